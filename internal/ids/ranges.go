package ids

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// span is the indexes from first to last.
type span struct{ first, last int }

// length is the number of indexes.
func (s span) length() int { return s.last - s.first + 1 }

// Ranges is a set of task indexes kept as sorted spans, so that a job of a hundred thousand tasks
// stays small in memory and in its record. A copy of the value shares its memory: neither may be
// changed while the other is in use.
type Ranges struct {
	spans []span // neither overlapping nor adjacent
	size  int
}

// FirstOf returns the set of the n lowest indexes.
func FirstOf(n int) Ranges {
	if n == 0 {
		return Ranges{}
	}
	return Ranges{spans: []span{{0, n - 1}}, size: n}
}

// search returns the position of the span that holds an index, or where it would be inserted.
func (r *Ranges) search(index int) (position int, found bool) {
	position = sort.Search(len(r.spans), func(k int) bool { return r.spans[k].last >= index })
	return position, position < len(r.spans) && r.spans[position].first <= index
}

// Add adds an index and reports whether it was new.
func (r *Ranges) Add(index int) bool {
	position, found := r.search(index)
	if found {
		return false
	}
	r.size++
	joinsLeft := position > 0 && r.spans[position-1].last == index-1
	joinsRight := position < len(r.spans) && r.spans[position].first == index+1
	switch {
	case joinsLeft && joinsRight:
		r.spans[position-1].last = r.spans[position].last
		r.spans = append(r.spans[:position], r.spans[position+1:]...)
	case joinsLeft:
		r.spans[position-1].last = index
	case joinsRight:
		r.spans[position].first = index
	default:
		r.spans = append(r.spans, span{})
		copy(r.spans[position+1:], r.spans[position:])
		r.spans[position] = span{index, index}
	}
	return true
}

// Has reports whether an index is in the set.
func (r *Ranges) Has(index int) bool {
	_, found := r.search(index)
	return found
}

// Runs counts the spans of consecutive members.
func (r *Ranges) Runs() int { return len(r.spans) }

// Longest returns the set without all but its n longest spans, the lower of equals first.
func (r *Ranges) Longest(n int) Ranges {
	spans := slices.Clone(r.spans)
	slices.SortStableFunc(spans, func(a, b span) int { return cmp.Compare(b.length(), a.length()) })
	spans = spans[:min(n, len(spans))]
	slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.first, b.first) })
	kept := Ranges{spans: spans}
	for _, s := range spans {
		kept.size += s.length()
	}
	return kept
}

// Len counts the members.
func (r *Ranges) Len() int { return r.size }

// NextMissing returns the smallest index at or above from that is not in the set.
func (r *Ranges) NextMissing(from int) int {
	if position, found := r.search(from); found {
		return r.spans[position].last + 1
	}
	return from
}

// Each calls visit for every member, in order.
func (r *Ranges) Each(visit func(index int)) {
	for _, s := range r.spans {
		for index := s.first; index <= s.last; index++ {
			visit(index)
		}
	}
}

// String writes the set as "0-4,7".
func (r Ranges) String() string {
	var text strings.Builder
	for k, s := range r.spans {
		if k > 0 {
			text.WriteByte(',')
		}
		text.WriteString(strconv.Itoa(s.first))
		if s.last > s.first {
			text.WriteByte('-')
			text.WriteString(strconv.Itoa(s.last))
		}
	}
	return text.String()
}

// MarshalText makes the set a short string in JSON.
func (r Ranges) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads what MarshalText writes.
func (r *Ranges) UnmarshalText(text []byte) error {
	r.spans, r.size = nil, 0
	if len(text) == 0 {
		return nil
	}
	for _, part := range strings.Split(string(text), ",") {
		parsed, err := parseSpan(part)
		if err != nil {
			return err
		}
		r.spans = append(r.spans, parsed)
		r.size += parsed.length()
	}
	return nil
}

// parseSpan reads one index, or the first and the last of several.
func parseSpan(text string) (span, error) {
	low, high, isRange := strings.Cut(text, "-")
	if !isRange {
		high = low
	}
	first, err := strconv.Atoi(low)
	if err != nil {
		return span{}, fmt.Errorf("range %q: %w", text, err)
	}
	last, err := strconv.Atoi(high)
	if err != nil || last < first {
		return span{}, fmt.Errorf("range %q is not one", text)
	}
	return span{first, last}, nil
}
