package rollout

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// The bytes that a stored set takes at most, also after any of its machines were taken out: a
// number takes two in a container of the bitmap, and everything is written as base64.
const (
	storedBytesPerMachine   = 2.0 * 4 / 3
	storedBytesPerContainer = 16.0 * 4 / 3
	storedBytesPerSeries    = 48.0
	containerBits           = 16 // the low bits of a number; the others choose its container
)

// partFillRatio is how much of a value a part may fill.
const partFillRatio = 0.9

// Parts splits a set into sets that each fit a value of so many bytes, also after any of their
// machines have been taken out.
func (m *MachineSet) Parts(valueBytes int) []MachineSet {
	splitter := partSplitter{maxBytes: partFillRatio * float64(valueBytes)}
	for name := range m.All() {
		splitter.add(name)
	}
	splitter.finishPart()
	return splitter.parts
}

// partSplitter collects the parts of a set, whose machines it is given in order.
type partSplitter struct {
	maxBytes float64
	parts    []MachineSet // finished
	part     MachineSet
	bytes    float64 // of the part
	// container is that of the bitmap which the last machine is in.
	container int
}

func (p *partSplitter) add(name ids.Machine) {
	if added := p.bytesFor(name); p.bytes > 0 && p.bytes+added > p.maxBytes {
		p.finishPart()
	}
	_, _, number := splitName(name)
	p.bytes += p.bytesFor(name)
	p.container = containerOf(number)
	p.part.Add(name)
}

// bytesFor is by how much a machine makes the part longer.
func (p *partSplitter) bytesFor(name ids.Machine) float64 {
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

// finishPart closes the part, unless it is empty.
func (p *partSplitter) finishPart() {
	if p.bytes > 0 {
		p.parts = append(p.parts, p.part)
		p.part, p.bytes = MachineSet{}, 0
	}
}
