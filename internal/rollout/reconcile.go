package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// recordChange is what a rollout becomes: its record, and the parts of its waiting machines that
// are different. Both are stored in one transaction before anything that follows from them is done.
type recordChange struct {
	record  *Record
	waiting map[int]MachineSet
}

// reconciler decides what one rollout does next, from its record and the fleet as it is now.
type reconciler struct {
	record  *Record
	waiting *waitingMachines
	view    View
	now     ids.Timestamp
	changed bool // the record
}

// reconcile decides what a rollout does next; nil if nothing changes. yield makes it release what
// it cordoned and has not begun to drain, since an older rollout waits for room. One change
// rewrites at most maxParts parts of the waiting machines.
func reconcile(record *Record, waiting []MachineSet, view View, now time.Time, maxParts int, yield bool) (*recordChange, error) {
	r := &reconciler{
		record:  record.clone(),
		waiting: newWaitingMachines(waiting, maxParts),
		view:    view,
		now:     ids.TimestampOf(now),
	}
	if err := r.reconcile(yield); err != nil {
		return nil, err
	}
	parts := r.waiting.changedParts()
	if !r.changed && len(parts) == 0 {
		return nil, nil
	}
	return &recordChange{record: r.record, waiting: parts}, nil
}

func (r *reconciler) reconcile(yield bool) error {
	if r.record.State.isFinal() {
		return nil
	}
	if err := r.recordDeleted(); err != nil {
		return err
	}
	switch r.record.State {
	case Running:
		if yield {
			return r.yieldCapacity()
		}
		return r.advanceWave()
	case Halted:
		return r.release(allMachines)
	case Aborting:
		return r.abort()
	}
	return nil
}

// machinesIn lists the machines of the wave in a state; the list stays while they are moved.
func (r *reconciler) machinesIn(state MachineState) []ids.Machine {
	return slices.Collect(r.record.machinesIn(state).All())
}

// transitionMachine takes a machine of the wave to another state.
func (r *reconciler) transitionMachine(name ids.Machine, from, to MachineState) error {
	r.changed = true
	return r.record.Wave.transition(name, from, to)
}

// transition takes the rollout to another state.
func (r *reconciler) transition(to State, why string) error {
	r.changed = true
	return r.record.transition(to, why)
}

// recordDeleted notes which machines were deleted, whatever the rollout's state.
func (r *reconciler) recordDeleted() error {
	for _, state := range cordonedStates {
		for _, name := range r.machinesIn(state) {
			if !r.view.Machine(name).Deleted {
				continue
			}
			if err := r.transitionMachine(name, state, Returned); err != nil {
				return err
			}
		}
	}
	return nil
}

// halt stops the rollout until an operator resumes it.
func (r *reconciler) halt(why string) error {
	if err := r.transition(Halted, why); err != nil {
		return err
	}
	return r.release(allMachines)
}

// abort ends the rollout once what is empty has been returned.
func (r *reconciler) abort() error {
	if err := r.release(allMachines); err != nil {
		return err
	}
	if r.record.Wave != nil {
		if r.record.Wave.count(Empty) > 0 {
			return nil
		}
		r.closeWave()
	}
	return r.transition(Ended, fmt.Sprintf("aborted with %d of %d machines through", r.record.Done, r.record.Total))
}

// yieldCapacity releases what is not being drained yet, and goes on with the rest.
func (r *reconciler) yieldCapacity() error {
	notEvicting := func(machine Machine) bool { return !machine.Evicting }
	if err := r.release(notEvicting); err != nil {
		return err
	}
	if r.record.Wave == nil {
		return nil
	}
	return r.advanceWave()
}

func allMachines(Machine) bool { return true }

// release uncordons machines of the wave that are not empty, and lets them wait again.
func (r *reconciler) release(selects func(Machine) bool) error {
	if r.record.Wave == nil {
		return nil
	}
	for _, state := range []MachineState{Cordoned, Draining} {
		for _, name := range r.machinesIn(state) {
			machine := r.view.Machine(name)
			if !selects(machine) {
				continue
			}
			if err := r.transitionMachine(name, state, Waiting); err != nil {
				return err
			}
			r.record.Wave.adjustNeeded(machine.Class, -1)
			r.waiting.add(name)
		}
	}
	if r.changed && r.record.Wave.count(Cordoned, Draining, Empty, Returned, Replaced) == 0 {
		r.record.Wave = nil
	}
	return nil
}
