package rollout

import (
	"fmt"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// advanceWave advances a running rollout within its wave, or starts the next wave.
func (r *reconciler) advanceWave() error {
	if r.record.Wave == nil {
		return r.startWave()
	}
	if r.record.Resumed {
		r.resumeWave()
	}
	if reason := r.updateReplacements(); reason != "" {
		return r.halt(reason)
	}
	if r.replacementsDue() {
		r.requestMissing()
	}
	if err := r.startDraining(); err != nil {
		return err
	}
	if err := r.markEmpty(); err != nil {
		return err
	}
	return r.finishWave()
}

// startWave starts a wave with the next machines once the pause is over. It ends the rollout if no
// machines are left.
func (r *reconciler) startWave() error {
	if r.now < r.record.NextWave {
		return nil
	}
	chosen := r.chooseMachines()
	if len(chosen) == 0 {
		if r.waiting.count() > 0 {
			return nil // too many parts contain deleted machines; the next passes handle the rest
		}
		return r.endRollout()
	}
	r.changed = true
	r.record.Waves++
	wave := &Wave{
		Number:    r.record.Waves,
		StartedAt: r.now,
		Machines:  map[MachineState]MachineSet{Cordoned: NewMachineSet(chosen...)},
	}
	if r.record.Spec.Replace {
		for _, name := range chosen {
			wave.adjustNeeded(r.view.Machine(name).Class, 1)
		}
	}
	r.record.Wave = wave
	return nil
}

// chooseMachines removes the machines of the next wave from the waiting machines and returns them.
// Machines that were deleted count as done without being part of a wave.
func (r *reconciler) chooseMachines() []ids.Machine {
	var candidates []candidate
	for part, name := range r.waiting.all() {
		machine := r.view.Machine(name)
		if !machine.Deleted {
			candidates = append(candidates, candidate{name: name, part: part, machine: machine, cost: r.view.DrainCost(name)})
		} else if r.waiting.remove(part, name) {
			r.record.Done++
		}
	}
	var chosen []ids.Machine
	for _, candidate := range sortCandidates(candidates) {
		if len(chosen) == r.record.Spec.WaveSize {
			break
		}
		if r.waiting.remove(candidate.part, candidate.name) {
			chosen = append(chosen, candidate.name)
		}
	}
	return chosen
}

// resumeWave prepares the wave of a resumed rollout: it discards replacements that have failed.
func (r *reconciler) resumeWave() {
	r.record.Wave.discardFailedReplacements(r.now, func(name ids.Machine) bool {
		machine := r.view.Machine(name)
		return machine.Deleted || machine.Failed != ""
	})
	r.record.Resumed, r.changed = false, true
}

// startDraining moves the cordoned machines to state Draining; with Surge only once the replacements are
// ready.
func (r *reconciler) startDraining() error {
	if r.record.Spec.Surge && !r.replacementsReady() {
		return nil
	}
	for _, name := range r.machinesIn(Cordoned) {
		if err := r.transitionMachine(name, Cordoned, Draining); err != nil {
			return err
		}
		r.record.Wave.DrainingSince = r.now
	}
	return nil
}

// markEmpty moves machines that have been drained to state Empty.
func (r *reconciler) markEmpty() error {
	for _, name := range r.machinesIn(Draining) {
		machine := r.view.Machine(name)
		if !machine.Known || !machine.Ready || machine.TaskCount > 0 {
			continue
		}
		if err := r.transitionMachine(name, Draining, Empty); err != nil {
			return err
		}
	}
	return nil
}

// finishWave closes the wave once all its machines are returned and, if the rollout replaces machines,
// verified.
func (r *reconciler) finishWave() error {
	if r.record.Wave.count(cordonedStates...) > 0 {
		return nil
	}
	if r.record.Spec.Replace && !r.verifyReplacements() {
		return nil
	}
	r.closeWave()
	r.record.NextWave = r.now + timestampOffset(r.record.Spec.Pause)
	if r.record.Done >= r.record.Total {
		return r.endRollout()
	}
	return nil
}

// closeWave adds the completed machines of the wave to Done and removes the wave.
func (r *reconciler) closeWave() {
	r.changed = true
	r.record.Done += r.record.Wave.count(Returned, Replaced, Verified)
	r.record.Wave = nil
}

// endRollout ends a rollout that has completed all its machines.
func (r *reconciler) endRollout() error {
	return r.transition(Ended, fmt.Sprintf("all %d machines are through", r.record.Total))
}

// timestampOffset converts a duration to the unit of timestamps, milliseconds.
func timestampOffset(seconds ids.Seconds) ids.Timestamp {
	return ids.Timestamp(seconds.Duration().Milliseconds())
}
