package rollout

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Upper bounds for the stored size of a set in bytes, which also hold after any of its machines are removed:
// a number takes two bytes in a container of the bitmap, and base64 encodes three bytes as four.
const (
	storedBytesPerMachine   = 2.0 * 4 / 3
	storedBytesPerContainer = 16.0 * 4 / 3
	storedBytesPerSeries    = 48.0
	containerBits           = 16 // count of low bits of a number; the higher bits select its container
)

// partFillRatio is the share of a value's size limit that a part may fill.
const partFillRatio = 0.9

// Parts splits the set into sets that each fit into a value of valueBytes, also after any of their machines
// are removed.
func (m *MachineSet) Parts(valueBytes int) []MachineSet {
	splitter := partitioner{maxBytes: partFillRatio * float64(valueBytes)}
	for name := range m.All() {
		splitter.add(name)
	}
	splitter.finishPart()
	return splitter.parts
}

// partitioner splits a set into parts. The machines must be added in the order of MachineSet.All.
type partitioner struct {
	maxBytes float64
	parts    []MachineSet // finished
	part     MachineSet
	bytes    float64 // upper bound of the size of part
	// container is the bitmap container of the last machine added.
	container int
}

func (p *partitioner) add(name ids.Machine) {
	if added := p.bytesFor(name); p.bytes > 0 && p.bytes+added > p.maxBytes {
		p.finishPart()
	}
	_, _, number := splitName(name)
	p.bytes += p.bytesFor(name)
	p.container = containerOf(number)
	p.part.Add(name)
}

// bytesFor returns the upper bound of the bytes that a machine adds to the part.
func (p *partitioner) bytesFor(name ids.Machine) float64 {
	prefix, digits, number := splitName(name)
	if _, found := p.part.find(prefix, digits); !found {
		return storedBytesPerMachine + storedBytesPerSeries + float64(len(prefix)) + storedBytesPerContainer
	}
	if containerOf(number) != p.container {
		return storedBytesPerMachine + storedBytesPerContainer
	}
	return storedBytesPerMachine
}

func containerOf(number uint32) int { return int(number >> containerBits) }

// finishPart appends the current part to the finished parts, unless it is empty.
func (p *partitioner) finishPart() {
	if p.bytes > 0 {
		p.parts = append(p.parts, p.part)
		p.part, p.bytes = MachineSet{}, 0
	}
}
