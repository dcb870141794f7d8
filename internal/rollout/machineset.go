package rollout

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"iter"
	"slices"
	"strconv"
	"strings"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// MachineSet is a set of machines. The cloud numbers its machines, so a set is kept as a
// compressed bitmap of numbers for each way in which names are written: thousands of machines
// then fit into a value of the state service. The zero value is the empty set.
type MachineSet struct {
	series []series
}

// series is the machines whose names are written alike but for their number.
type series struct {
	prefix string
	// digits is how many digits a number has that begins with a zero, as in host-000231; 0: it
	// is written without leading zeros; noNumber: the name ends in no digit.
	digits  int
	numbers *roaring.Bitmap
}

// noNumber marks a name that does not end in a number.
const noNumber = -1

// mostDigits is how many digits a number has at most to fit into a bitmap.
const mostDigits = 9

// split takes a machine's name apart.
func split(name ids.Machine) (prefix string, digits int, number uint32) {
	text := string(name)
	from := len(text)
	for from > 0 && len(text)-from < mostDigits && text[from-1] >= '0' && text[from-1] <= '9' {
		from--
	}
	value, err := strconv.ParseUint(text[from:], 10, 32)
	if err != nil {
		return text, noNumber, 0
	}
	if text[from] == '0' && len(text)-from > 1 {
		digits = len(text) - from
	}
	return text[:from], digits, uint32(value)
}

// name puts a machine's name together again.
func (s *series) name(number uint32) ids.Machine {
	switch {
	case s.digits == noNumber:
		return ids.Machine(s.prefix)
	case s.digits > 0:
		return ids.Machine(fmt.Sprintf("%s%0*d", s.prefix, s.digits, number))
	}
	return ids.Machine(s.prefix + strconv.FormatUint(uint64(number), 10))
}

// NewMachineSet is the set of the machines named.
func NewMachineSet(names ...ids.Machine) MachineSet {
	var set MachineSet
	for _, name := range names {
		set.Add(name)
	}
	return set
}

// find is the index of the series that a name belongs to, and where it would be put.
func (m *MachineSet) find(prefix string, digits int) (at int, found bool) {
	return slices.BinarySearchFunc(m.series, series{prefix: prefix, digits: digits}, compareSeries)
}

func compareSeries(a, b series) int {
	if order := strings.Compare(a.prefix, b.prefix); order != 0 {
		return order
	}
	return a.digits - b.digits
}

// Add puts a machine into the set.
func (m *MachineSet) Add(name ids.Machine) {
	prefix, digits, number := split(name)
	at, found := m.find(prefix, digits)
	if !found {
		m.series = slices.Insert(m.series, at, series{prefix: prefix, digits: digits, numbers: roaring.New()})
	}
	m.series[at].numbers.Add(number)
}

// Remove takes a machine out of the set, and tells whether it was there.
func (m *MachineSet) Remove(name ids.Machine) bool {
	prefix, digits, number := split(name)
	at, found := m.find(prefix, digits)
	if !found || !m.series[at].numbers.CheckedRemove(number) {
		return false
	}
	if m.series[at].numbers.IsEmpty() {
		m.series = slices.Delete(m.series, at, at+1)
	}
	return true
}

// Has tells whether a machine is in the set.
func (m *MachineSet) Has(name ids.Machine) bool {
	prefix, digits, number := split(name)
	at, found := m.find(prefix, digits)
	return found && m.series[at].numbers.Contains(number)
}

// Len counts the machines.
func (m *MachineSet) Len() (n int) {
	for i := range m.series {
		n += int(m.series[i].numbers.GetCardinality())
	}
	return n
}

// All are the machines, in order of their names' prefixes and numbers.
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

// Clone is a copy that shares nothing.
func (m *MachineSet) Clone() MachineSet {
	copied := MachineSet{series: slices.Clone(m.series)}
	for i := range copied.series {
		copied.series[i].numbers = copied.series[i].numbers.Clone()
	}
	return copied
}

// Overlap is a machine that is in both sets, if there is one.
func (m *MachineSet) Overlap(other *MachineSet) (ids.Machine, bool) {
	for i := range m.series {
		at, found := other.find(m.series[i].prefix, m.series[i].digits)
		if !found {
			continue
		}
		common := roaring.And(m.series[i].numbers, other.series[at].numbers)
		if !common.IsEmpty() {
			return m.series[i].name(common.Minimum()), true
		}
	}
	return "", false
}

// storedSeries is a series as it is stored: the bitmap in roaring's own portable format.
type storedSeries struct {
	Prefix  string `json:"p"`
	Digits  int    `json:"d,omitempty"`
	Numbers string `json:"n"`
}

// MarshalJSON writes the set.
func (m MachineSet) MarshalJSON() ([]byte, error) {
	stored := make([]storedSeries, 0, len(m.series))
	for _, s := range m.series {
		numbers := s.numbers.Clone()
		numbers.RunOptimize()
		raw, err := numbers.ToBytes()
		if err != nil {
			return nil, err
		}
		stored = append(stored, storedSeries{s.prefix, s.digits, base64.RawStdEncoding.EncodeToString(raw)})
	}
	return json.Marshal(stored)
}

// UnmarshalJSON reads what MarshalJSON wrote; a set that does not decode is an error.
func (m *MachineSet) UnmarshalJSON(text []byte) error {
	var stored []storedSeries
	if err := json.Unmarshal(text, &stored); err != nil {
		return err
	}
	m.series = nil
	for _, s := range stored {
		raw, err := base64.RawStdEncoding.DecodeString(s.Numbers)
		if err != nil {
			return fmt.Errorf("machines %s…: %w", s.Prefix, err)
		}
		numbers := roaring.New()
		if err := numbers.UnmarshalBinary(raw); err != nil {
			return fmt.Errorf("machines %s…: %w", s.Prefix, err)
		}
		if numbers.IsEmpty() {
			continue
		}
		if err := numbers.Validate(); err != nil {
			return fmt.Errorf("machines %s…: %w", s.Prefix, err)
		}
		m.series = append(m.series, series{s.Prefix, s.Digits, numbers})
	}
	slices.SortFunc(m.series, compareSeries)
	return nil
}

// What a stored set takes at most, in bytes, also after any of its machines were taken out: a
// number takes two in a container of the bitmap, and everything is written as base64.
const (
	storedPerMachine   = 2.0 * 4 / 3
	storedPerContainer = 16.0 * 4 / 3
	storedPerSeries    = 48.0
	containerBits      = 16 // the low bits of a number; the others choose its container
)

// partShare is how much of a value a part may fill.
const partShare = 0.9

// Parts splits a set into sets that each fit a value of so many bytes, also after any of their
// machines have been taken out.
func (m *MachineSet) Parts(valueBytes int) []MachineSet {
	var parts []MachineSet
	var part MachineSet
	size := 0.0
	container := -1
	for name := range m.All() {
		prefix, digits, number := split(name)
		grows := storedPerMachine
		if _, found := part.find(prefix, digits); !found {
			grows += storedPerSeries + float64(len(prefix))
			container = -1
		}
		if int(number>>containerBits) != container {
			grows += storedPerContainer
		}
		if size+grows > partShare*float64(valueBytes) && size > 0 {
			parts = append(parts, part)
			part, size = MachineSet{}, 0
			grows = storedPerMachine + storedPerSeries + float64(len(prefix)) + storedPerContainer
		}
		container = int(number >> containerBits)
		size += grows
		part.Add(name)
	}
	if size > 0 {
		parts = append(parts, part)
	}
	return parts
}
