package ids

import (
	"math/rand/v2"
	"testing"
)

func TestRangesAgreeWithAPlainSet(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var r Ranges
	plain := map[int]bool{}
	for range 400 {
		i := rng.IntN(120)
		if r.Add(i) == plain[i] {
			t.Fatalf("Add(%d) disagrees", i)
		}
		plain[i] = true
		var back Ranges
		if err := back.UnmarshalText([]byte(r.String())); err != nil || back.String() != r.String() {
			t.Fatalf("%q read back as %q: %v", r, back, err)
		}
		next := 0
		for plain[next] {
			next++
		}
		if r.NextMissing(0) != next || r.Len() != len(plain) {
			t.Fatalf("after %d: next %d, want %d; %d members, want %d", i, r.NextMissing(0), next, r.Len(), len(plain))
		}
	}
}

func TestJobIdsHaveOneForm(t *testing.T) {
	for s, ok := range map[string]bool{"job-000412": true, "job-": false, "job-1/2": false, "Job-1": false, "job-1 ": false, "": false, "job-x": false} {
		if _, err := ParseJob(s); (err == nil) != ok {
			t.Errorf("%q: %v", s, err)
		}
	}
}

func TestTheLongestRunsAreKept(t *testing.T) {
	var set Ranges
	for _, i := range []int{0, 2, 3, 5, 7, 8, 9, 12} {
		set.Add(i)
	}
	kept := set.Longest(2)
	if kept.String() != "2-3,7-9" || kept.Len() != 5 || set.Runs() != 5 || set.Len() != 8 {
		t.Errorf("of %s, with %d runs, %s are kept, %d in all", set, set.Runs(), kept, kept.Len())
	}
	if first := FirstOf(3); first.String() != "0-2" || first.Len() != 3 || len(FirstOf(0).String()) > 0 {
		t.Errorf("the first three are %s", first)
	}
}
