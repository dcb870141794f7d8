package ids

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
)

type span struct{ lo, hi int }

// Ranges is a set of task indexes kept as spans, so that a job of a hundred
// thousand tasks stays small in memory and in its record.
type Ranges struct {
	spans []span
	n     int
}

// Add puts i into the set and tells whether it was new.
func (r *Ranges) Add(i int) bool {
	k := sort.Search(len(r.spans), func(k int) bool { return r.spans[k].hi >= i })
	if k < len(r.spans) && r.spans[k].lo <= i {
		return false
	}
	r.n++
	joinLeft := k > 0 && r.spans[k-1].hi == i-1
	joinRight := k < len(r.spans) && r.spans[k].lo == i+1
	switch {
	case joinLeft && joinRight:
		r.spans[k-1].hi = r.spans[k].hi
		r.spans = append(r.spans[:k], r.spans[k+1:]...)
	case joinLeft:
		r.spans[k-1].hi = i
	case joinRight:
		r.spans[k].lo = i
	default:
		r.spans = append(r.spans, span{})
		copy(r.spans[k+1:], r.spans[k:])
		r.spans[k] = span{i, i}
	}
	return true
}

// Has tells whether i is in the set.
func (r *Ranges) Has(i int) bool {
	k := sort.Search(len(r.spans), func(k int) bool { return r.spans[k].hi >= i })
	return k < len(r.spans) && r.spans[k].lo <= i
}

// FirstOf is the set of the n lowest indexes.
func FirstOf(n int) Ranges {
	if n == 0 {
		return Ranges{}
	}
	return Ranges{spans: []span{{0, n - 1}}, n: n}
}

// Runs counts the runs of members next to one another.
func (r *Ranges) Runs() int { return len(r.spans) }

// Longest is the set without all but its n longest runs.
func (r *Ranges) Longest(n int) Ranges {
	spans := slices.Clone(r.spans)
	slices.SortStableFunc(spans, func(a, z span) int { return cmp.Compare(z.hi-z.lo, a.hi-a.lo) })
	spans = spans[:min(n, len(spans))]
	slices.SortFunc(spans, func(a, z span) int { return cmp.Compare(a.lo, z.lo) })
	kept := Ranges{spans: spans}
	for _, s := range spans {
		kept.n += s.hi - s.lo + 1
	}
	return kept
}

// Len counts the members.
func (r *Ranges) Len() int { return r.n }

// NextMissing is the smallest index at or above i that is not in the set.
func (r *Ranges) NextMissing(i int) int {
	k := sort.Search(len(r.spans), func(k int) bool { return r.spans[k].hi >= i })
	if k < len(r.spans) && r.spans[k].lo <= i {
		return r.spans[k].hi + 1
	}
	return i
}

// Each calls f for every member, in order.
func (r *Ranges) Each(f func(int)) {
	for _, s := range r.spans {
		for i := s.lo; i <= s.hi; i++ {
			f(i)
		}
	}
}

// String writes the set as "0-4,7".
func (r Ranges) String() string {
	var b strings.Builder
	for k, s := range r.spans {
		if k > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(s.lo))
		if s.hi > s.lo {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(s.hi))
		}
	}
	return b.String()
}

// MarshalText makes the set a short string in JSON.
func (r Ranges) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads what MarshalText writes.
func (r *Ranges) UnmarshalText(b []byte) error {
	r.spans, r.n = nil, 0
	if len(b) == 0 {
		return nil
	}
	for _, part := range strings.Split(string(b), ",") {
		a, z, two := strings.Cut(part, "-")
		if !two {
			z = a
		}
		lo, err := strconv.Atoi(a)
		if err != nil {
			return fmt.Errorf("range %q: %w", part, err)
		}
		hi, err := strconv.Atoi(z)
		if err != nil || hi < lo {
			return fmt.Errorf("range %q is not one", part)
		}
		r.spans, r.n = append(r.spans, span{lo, hi}), r.n+hi-lo+1
	}
	return nil
}
