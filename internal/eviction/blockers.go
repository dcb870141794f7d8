package eviction

import (
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// blockerList is what the last look found that machines being drained wait for.
type blockerList struct {
	reasons map[ids.Machine][]string
	// noRoom are the machines whose replicas have no room elsewhere.
	noRoom map[ids.Machine]bool
}

func newBlockerList() *blockerList {
	return &blockerList{reasons: map[ids.Machine][]string{}, noRoom: map[ids.Machine]bool{}}
}

// clear forgets what the last look found.
func (b *blockerList) clear() {
	clear(b.reasons)
	clear(b.noRoom)
}

// add records what a machine waits for.
func (b *blockerList) add(machine ids.Machine, reasons ...string) {
	b.reasons[machine] = append(b.reasons[machine], reasons...)
}

// addNoRoom records that replicas on a machine have no room elsewhere, and which.
func (b *blockerList) addNoRoom(machine ids.Machine, reasons []string) {
	b.noRoom[machine] = true
	b.add(machine, reasons...)
}

// of returns a copy of what one machine waits for.
func (b *blockerList) of(machine ids.Machine) []string { return slices.Clone(b.reasons[machine]) }

// all returns a copy of what all machines wait for.
func (b *blockerList) all() map[ids.Machine][]string {
	all := map[ids.Machine][]string{}
	for name := range b.reasons {
		all[name] = b.of(name)
	}
	return all
}
