package ids

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// span is a range of consecutive indexes, both ends included.
type span struct{ first, last int }

// length returns the number of indexes in the span.
func (s span) length() int { return s.last - s.first + 1 }

// IndexSet is a set of task indexes, stored as sorted spans to keep a job of a hundred thousand tasks
// small in memory and in its record. A copy of an IndexSet shares the original's memory: do not modify
// either while the other is in use.
type IndexSet struct {
	spans []span // sorted, neither overlapping nor adjacent
	size  int
}

// FirstIndexes returns the set of the n lowest indexes.
func FirstIndexes(n int) IndexSet {
	if n == 0 {
		return IndexSet{}
	}
	return IndexSet{spans: []span{{0, n - 1}}, size: n}
}

// search returns the position of the span that contains index, or the position at which to insert one.
func (s *IndexSet) search(index int) (position int, found bool) {
	position = sort.Search(len(s.spans), func(k int) bool { return s.spans[k].last >= index })
	return position, position < len(s.spans) && s.spans[position].first <= index
}

// Add adds an index and reports whether the set did not contain it before.
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

// Contains reports whether the set contains an index.
func (s *IndexSet) Contains(index int) bool {
	_, found := s.search(index)
	return found
}

// SpanCount returns the number of spans of consecutive members.
func (s *IndexSet) SpanCount() int { return len(s.spans) }

// LongestSpans returns a set of the n longest spans. Among spans of equal length it keeps the lowest.
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

// Len returns the number of members.
func (s *IndexSet) Len() int { return s.size }

// NextMissing returns the smallest index that is not in the set and is at least from.
func (s *IndexSet) NextMissing(from int) int {
	if position, found := s.search(from); found {
		return s.spans[position].last + 1
	}
	return from
}

// Each calls visit for every member, in ascending order.
func (s *IndexSet) Each(visit func(index int)) {
	for _, run := range s.spans {
		for index := run.first; index <= run.last; index++ {
			visit(index)
		}
	}
}

// String formats the set as comma-separated indexes and ranges, such as "0-4,7".
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

// MarshalText encodes the set as String does, which keeps its JSON short.
func (s IndexSet) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes the output of MarshalText.
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

// parseSpan parses a single index, such as "7", or a range, such as "0-4".
func parseSpan(text string) (span, error) {
	low, high, isRange := strings.Cut(text, "-")
	if !isRange {
		high = low
	}
	first, err := strconv.Atoi(low)
	if err != nil {
		return span{}, fmt.Errorf("index range %q: %w", text, err)
	}
	last, err := strconv.Atoi(high)
	if err != nil || last < first {
		return span{}, fmt.Errorf("malformed index range %q", text)
	}
	return span{first, last}, nil
}
