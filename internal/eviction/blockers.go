package eviction

import (
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// blockerList contains the reasons why drains wait, as found by the last evaluation.
type blockerList struct {
	reasons map[ids.Machine][]string
	// unplaceable contains the machines whose replicas fit on no other machine.
	unplaceable map[ids.Machine]bool
}

func newBlockerList() *blockerList {
	return &blockerList{reasons: map[ids.Machine][]string{}, unplaceable: map[ids.Machine]bool{}}
}

// clear removes the results of the last evaluation.
func (b *blockerList) clear() {
	clear(b.reasons)
	clear(b.unplaceable)
}

// add records reasons why a machine's drain waits.
func (b *blockerList) add(machine ids.Machine, reasons ...string) {
	b.reasons[machine] = append(b.reasons[machine], reasons...)
}

// addUnplaceable records that replicas on a machine fit on no other machine, with the reasons.
func (b *blockerList) addUnplaceable(machine ids.Machine, reasons []string) {
	b.unplaceable[machine] = true
	b.add(machine, reasons...)
}

// of returns a copy of the reasons why one machine's drain waits.
func (b *blockerList) of(machine ids.Machine) []string { return slices.Clone(b.reasons[machine]) }

// all returns a copy of the reasons for all machines.
func (b *blockerList) all() map[ids.Machine][]string {
	all := map[ids.Machine][]string{}
	for name := range b.reasons {
		all[name] = b.of(name)
	}
	return all
}
