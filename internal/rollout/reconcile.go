package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// recordChange is a change of a rollout: its new record, and the changed parts of its waiting machines by
// index. Both are stored in one transaction before any orders derived from them are carried out.
type recordChange struct {
	record  *Record
	waiting map[int]MachineSet
}

// reconciler computes the next step of one rollout from its record and the current state of the fleet.
type reconciler struct {
	record  *Record
	waiting *waitingMachines
	view    FleetView
	now     ids.Timestamp
	changed bool // whether record was changed
}

// reconcile computes the next change of a rollout; it returns nil if nothing changes. With mustYield, the
// rollout uncordons the machines from which no tasks are being evicted, because an older rollout waits
// for capacity. One change rewrites at most maxParts parts of the waiting machines.
func reconcile(record *Record, waiting []MachineSet, view FleetView, now time.Time, maxParts int, mustYield bool) (*recordChange, error) {
	r := &reconciler{
		record:  record.clone(),
		waiting: newWaitingMachines(waiting, maxParts),
		view:    view,
		now:     ids.TimestampOf(now),
	}
	if err := r.reconcile(mustYield); err != nil {
		return nil, err
	}
	parts := r.waiting.changedParts()
	if !r.changed && len(parts) == 0 {
		return nil, nil
	}
	return &recordChange{record: r.record, waiting: parts}, nil
}

func (r *reconciler) reconcile(mustYield bool) error {
	if r.record.State.isFinal() {
		return nil
	}
	if err := r.markDeleted(); err != nil {
		return err
	}
	switch r.record.State {
	case Running:
		if mustYield {
			return r.yieldCapacity()
		}
		return r.advanceWave()
	case Halted:
		return r.uncordon(anyMachine)
	case Aborting:
		return r.abort()
	}
	return nil
}

// machinesIn returns the machines of the wave in a state as a list, which stays valid while the machines
// change their states.
func (r *reconciler) machinesIn(state MachineState) []ids.Machine {
	return slices.Collect(r.record.machinesIn(state).All())
}

// transitionMachine moves a machine of the wave to another state.
func (r *reconciler) transitionMachine(name ids.Machine, from, to MachineState) error {
	r.changed = true
	return r.record.Wave.transition(name, from, to)
}

// transition moves the rollout to another state.
func (r *reconciler) transition(to State, reason string) error {
	r.changed = true
	return r.record.transition(to, reason)
}

// markDeleted moves deleted machines of the wave to state Returned. It applies to every state of a rollout
// except Ended.
func (r *reconciler) markDeleted() error {
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

// halt stops the rollout until an operator resumes or aborts it, and uncordons the machines that are not
// empty.
func (r *reconciler) halt(reason string) error {
	if err := r.transition(Halted, reason); err != nil {
		return err
	}
	return r.uncordon(anyMachine)
}

// abort uncordons the machines that are not empty, and ends the rollout once its empty machines are
// returned.
func (r *reconciler) abort() error {
	if err := r.uncordon(anyMachine); err != nil {
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

// yieldCapacity uncordons the machines from which no tasks are being evicted, and continues with the others.
func (r *reconciler) yieldCapacity() error {
	notEvicting := func(machine MachineInfo) bool { return !machine.Evicting }
	if err := r.uncordon(notEvicting); err != nil {
		return err
	}
	if r.record.Wave == nil {
		return nil
	}
	return r.advanceWave()
}

func anyMachine(MachineInfo) bool { return true }

// uncordon moves the matching machines of the wave that are not empty back to state Waiting.
func (r *reconciler) uncordon(matches func(MachineInfo) bool) error {
	if r.record.Wave == nil {
		return nil
	}
	for _, state := range []MachineState{Cordoned, Draining} {
		for _, name := range r.machinesIn(state) {
			machine := r.view.Machine(name)
			if !matches(machine) {
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
