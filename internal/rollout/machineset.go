package rollout

import (
	"fmt"
	"iter"
	"slices"
	"strconv"
	"strings"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// MachineSet is a set of machine names. The cloud numbers its machines, so the set holds one compressed
// bitmap of numbers for each name pattern: thousands of machines then fit into a value of the state service.
// The zero value is the empty set.
//
// A copy by assignment shares the bitmaps with the original; Clone makes an independent copy.
type MachineSet struct {
	series []nameSeries
}

// nameSeries is a set of machines whose names differ only in their number.
type nameSeries struct {
	prefix string
	// digits is the width of numbers with leading zeros, as in host-000231. It is 0 for numbers without
	// leading zeros, and noNumber for a name that does not end in a number.
	digits  int
	numbers *roaring.Bitmap
}

// noNumber is the value of digits for a name that does not end in a number.
const noNumber = -1

// maxDigits is the maximum number of digits of a number that certainly fits into a bitmap.
const maxDigits = 9

// splitName splits a machine's name into its prefix, the width of its number, and the number.
func splitName(name ids.Machine) (prefix string, digits int, number uint32) {
	text := string(name)
	numberStart := len(text)
	for numberStart > 0 && len(text)-numberStart < maxDigits && text[numberStart-1] >= '0' && text[numberStart-1] <= '9' {
		numberStart--
	}
	value, err := strconv.ParseUint(text[numberStart:], 10, 32)
	if err != nil {
		return text, noNumber, 0
	}
	if text[numberStart] == '0' && len(text)-numberStart > 1 {
		digits = len(text) - numberStart
	}
	return text[:numberStart], digits, uint32(value)
}

// name returns the name of the machine with the given number.
func (s *nameSeries) name(number uint32) ids.Machine {
	switch {
	case s.digits == noNumber:
		return ids.Machine(s.prefix)
	case s.digits > 0:
		return ids.Machine(fmt.Sprintf("%s%0*d", s.prefix, s.digits, number))
	}
	return ids.Machine(s.prefix + strconv.FormatUint(uint64(number), 10))
}

// NewMachineSet returns a set of the given machines.
func NewMachineSet(names ...ids.Machine) MachineSet {
	var set MachineSet
	for _, name := range names {
		set.Add(name)
	}
	return set
}

// find returns the index of the series with the given prefix and digits, or the index at which to insert it.
func (m *MachineSet) find(prefix string, digits int) (index int, found bool) {
	return slices.BinarySearchFunc(m.series, nameSeries{prefix: prefix, digits: digits}, compareSeries)
}

func compareSeries(a, b nameSeries) int {
	if order := strings.Compare(a.prefix, b.prefix); order != 0 {
		return order
	}
	return a.digits - b.digits
}

// Add adds a machine to the set.
func (m *MachineSet) Add(name ids.Machine) {
	prefix, digits, number := splitName(name)
	index, found := m.find(prefix, digits)
	if !found {
		m.series = slices.Insert(m.series, index, nameSeries{prefix: prefix, digits: digits, numbers: roaring.New()})
	}
	m.series[index].numbers.Add(number)
}

// Remove removes a machine from the set and reports whether the set contained it.
func (m *MachineSet) Remove(name ids.Machine) bool {
	prefix, digits, number := splitName(name)
	index, found := m.find(prefix, digits)
	if !found || !m.series[index].numbers.CheckedRemove(number) {
		return false
	}
	if m.series[index].numbers.IsEmpty() {
		m.series = slices.Delete(m.series, index, index+1)
	}
	return true
}

// Has reports whether the set contains a machine.
func (m *MachineSet) Has(name ids.Machine) bool {
	prefix, digits, number := splitName(name)
	index, found := m.find(prefix, digits)
	return found && m.series[index].numbers.Contains(number)
}

// Len returns the number of machines.
func (m *MachineSet) Len() (n int) {
	for i := range m.series {
		n += int(m.series[i].numbers.GetCardinality())
	}
	return n
}

// All returns an iterator over the machines, sorted by prefix and number. The set must not change during the
// iteration.
func (m *MachineSet) All() iter.Seq[ids.Machine] {
	return func(yield func(ids.Machine) bool) {
		for i := range m.series {
			for numbers := m.series[i].numbers.Iterator(); numbers.HasNext(); {
				if !yield(m.series[i].name(numbers.Next())) {
					return
				}
			}
		}
	}
}

// Clone returns an independent copy.
func (m *MachineSet) Clone() MachineSet {
	copied := MachineSet{series: slices.Clone(m.series)}
	for i := range copied.series {
		copied.series[i].numbers = copied.series[i].numbers.Clone()
	}
	return copied
}

// Overlap returns a machine that both sets contain, if there is one.
func (m *MachineSet) Overlap(other *MachineSet) (ids.Machine, bool) {
	for i := range m.series {
		index, found := other.find(m.series[i].prefix, m.series[i].digits)
		if !found {
			continue
		}
		common := roaring.And(m.series[i].numbers, other.series[index].numbers)
		if !common.IsEmpty() {
			return m.series[i].name(common.Minimum()), true
		}
	}
	return "", false
}
