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

// IndexSet is a set of task indexes kept as sorted spans, so that a job of a hundred thousand tasks
// stays small in memory and in its record. A copy of the value shares its memory: neither may be
// changed while the other is in use.
type IndexSet struct {
	spans []span // neither overlapping nor adjacent
	size  int
}

// FirstIndexes returns the set of the n lowest indexes.
func FirstIndexes(n int) IndexSet {
	if n == 0 {
		return IndexSet{}
	}
	return IndexSet{spans: []span{{0, n - 1}}, size: n}
}

// search returns the position of the span that holds an index, or where it would be inserted.
func (s *IndexSet) search(index int) (position int, found bool) {
	position = sort.Search(len(s.spans), func(k int) bool { return s.spans[k].last >= index })
	return position, position < len(s.spans) && s.spans[position].first <= index
}

// Add adds an index and reports whether it was new.
func (s *IndexSet) Add(index int) bool {
	position, found := s.search(index)
	if found {
		return false
	}
	s.size++
	joinsLeft := position > 0 && s.spans[position-1].last == index-1
	joinsRight := position < len(s.spans) && s.spans[position].first == index+1
	switch {
	case joinsLeft && joinsRight:
		s.spans[position-1].last = s.spans[position].last
		s.spans = append(s.spans[:position], s.spans[position+1:]...)
	case joinsLeft:
		s.spans[position-1].last = index
	case joinsRight:
		s.spans[position].first = index
	default:
		s.spans = append(s.spans, span{})
		copy(s.spans[position+1:], s.spans[position:])
		s.spans[position] = span{index, index}
	}
	return true
}

// Contains reports whether an index is in the set.
func (s *IndexSet) Contains(index int) bool {
	_, found := s.search(index)
	return found
}

// SpanCount counts the spans of consecutive members.
func (s *IndexSet) SpanCount() int { return len(s.spans) }

// LongestSpans returns the set without all but its n longest spans, the lower of equals first.
func (s *IndexSet) LongestSpans(n int) IndexSet {
	spans := slices.Clone(s.spans)
	slices.SortStableFunc(spans, func(a, b span) int { return cmp.Compare(b.length(), a.length()) })
	spans = spans[:min(n, len(spans))]
	slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.first, b.first) })
	kept := IndexSet{spans: spans}
	for _, run := range spans {
		kept.size += run.length()
	}
	return kept
}

// Len counts the members.
func (s *IndexSet) Len() int { return s.size }

// NextMissing returns the smallest index at or above from that is not in the set.
func (s *IndexSet) NextMissing(from int) int {
	if position, found := s.search(from); found {
		return s.spans[position].last + 1
	}
	return from
}

// Each calls visit for every member, in order.
func (s *IndexSet) Each(visit func(index int)) {
	for _, run := range s.spans {
		for index := run.first; index <= run.last; index++ {
			visit(index)
		}
	}
}

// String writes the set as "0-4,7".
func (s IndexSet) String() string {
	var text strings.Builder
	for k, run := range s.spans {
		if k > 0 {
			text.WriteByte(',')
		}
		text.WriteString(strconv.Itoa(run.first))
		if run.last > run.first {
			text.WriteByte('-')
			text.WriteString(strconv.Itoa(run.last))
		}
	}
	return text.String()
}

// MarshalText makes the set a short string in JSON.
func (s IndexSet) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads what MarshalText writes.
func (s *IndexSet) UnmarshalText(text []byte) error {
	s.spans, s.size = nil, 0
	if len(text) == 0 {
		return nil
	}
	for _, part := range strings.Split(string(text), ",") {
		parsed, err := parseSpan(part)
		if err != nil {
			return err
		}
		s.spans = append(s.spans, parsed)
		s.size += parsed.length()
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
