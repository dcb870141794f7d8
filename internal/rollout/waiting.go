package rollout

import (
	"iter"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// waitingMachines holds the machines of a rollout that wait for a later wave, in the parts in which they are
// stored. A part is copied before its first change, so that the original parts stay unchanged.
type waitingMachines struct {
	parts   []MachineSet
	changed map[int]bool // by part index
	// maxChanged is the maximum number of parts that one transaction may rewrite.
	maxChanged int
}

func newWaitingMachines(parts []MachineSet, maxChanged int) *waitingMachines {
	return &waitingMachines{parts: slices.Clone(parts), changed: map[int]bool{}, maxChanged: maxChanged}
}

// count returns the number of machines.
func (w *waitingMachines) count() (n int) {
	for part := range w.parts {
		n += w.parts[part].Len()
	}
	return n
}

// all returns an iterator over the machines, each with the index of its part. Machines may be removed during
// the iteration.
func (w *waitingMachines) all() iter.Seq2[int, ids.Machine] {
	return func(yield func(int, ids.Machine) bool) {
		for part := range w.parts {
			for _, name := range slices.Collect(w.parts[part].All()) {
				if !yield(part, name) {
					return
				}
			}
		}
	}
}

// changedParts returns the changed parts by index.
func (w *waitingMachines) changedParts() map[int]MachineSet {
	parts := map[int]MachineSet{}
	for part := range w.changed {
		parts[part] = w.parts[part]
	}
	return parts
}

// remove removes a machine from a part. It returns false, and removes nothing, if too many parts would be
// rewritten.
func (w *waitingMachines) remove(part int, name ids.Machine) bool {
	if !w.modify(part) {
		return false
	}
	w.parts[part].Remove(name)
	return true
}

// add adds a machine to the smallest part that may be rewritten. Every part then still fits into a value,
// since the parts together held more machines when they were created.
func (w *waitingMachines) add(name ids.Machine) {
	smallest := -1
	for part := range w.parts {
		if w.mayModify(part) && (smallest < 0 || w.parts[part].Len() < w.parts[smallest].Len()) {
			smallest = part
		}
	}
	if w.modify(smallest) {
		w.parts[smallest].Add(name)
	}
}

func (w *waitingMachines) mayModify(part int) bool {
	return w.changed[part] || len(w.changed) < w.maxChanged
}

// modify copies a part before its first change. It returns false if too many parts would be rewritten.
func (w *waitingMachines) modify(part int) bool {
	if !w.mayModify(part) {
		return false
	}
	if !w.changed[part] {
		w.parts[part] = w.parts[part].Clone()
		w.changed[part] = true
	}
	return true
}
