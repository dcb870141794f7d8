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
