package ids

import (
	"math/rand/v2"
	"testing"
)

func TestIndexSetMatchesMap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var set IndexSet
	members := map[int]bool{}
	for range 400 {
		index := rng.IntN(120)
		if set.Add(index) == members[index] {
			t.Fatalf("Add(%d) returned a wrong result", index)
		}
		members[index] = true
		var decoded IndexSet
		if err := decoded.UnmarshalText([]byte(set.String())); err != nil || decoded.String() != set.String() {
			t.Fatalf("%q is decoded as %q, error %v", set, decoded, err)
		}
		next := 0
		for members[next] {
			next++
		}
		if set.NextMissing(0) != next || set.Len() != len(members) {
			t.Fatalf("after adding %d: next missing %d, want %d; %d members, want %d", index, set.NextMissing(0), next, set.Len(), len(members))
		}
		for other := range 121 {
			if set.Contains(other) != members[other] {
				t.Fatalf("Contains(%d) returned a wrong result", other)
			}
		}
	}
}

func TestLongestSpansKeepsTheLongest(t *testing.T) {
	var set IndexSet
	for _, index := range []int{0, 2, 3, 5, 7, 8, 9, 12} {
		set.Add(index)
	}
	kept := set.LongestSpans(2)
	if kept.String() != "2-3,7-9" || kept.Len() != 5 || set.SpanCount() != 5 || set.Len() != 8 {
		t.Errorf("of %s, with %d spans, the longest are %s, with %d members", set, set.SpanCount(), kept, kept.Len())
	}
	if first := FirstIndexes(3); first.String() != "0-2" || first.Len() != 3 || len(FirstIndexes(0).String()) > 0 {
		t.Errorf("FirstIndexes(3) is %s, or FirstIndexes(0) is not empty", first)
	}
}

func TestIndexSetRejectsMalformedText(t *testing.T) {
	for _, text := range []string{"x", "1,", "-1", "2-1", "1-x", "1--2", " 1"} {
		var set IndexSet
		if err := set.UnmarshalText([]byte(text)); err == nil {
			t.Errorf("malformed %q is decoded as %s", text, set)
		}
	}
}
