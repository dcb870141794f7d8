package rollout

import (
	"fmt"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// largestHire is the most machines that the cloud rents in one request (protocol, POST /hosts).
const largestHire = 50

// HirePrefix begins the names of all hires of replacements; no other hire's name begins so.
const HirePrefix = "ro-"

// hireMissing asks for the replacements that no hire covers yet.
func (a *advance) hireMissing() {
	wave := a.record.Wave
	for _, wanted := range wave.Wanted {
		missing := wanted.Count
		for i := range wave.Hires {
			if wave.Hires[i].Kind == wanted.Kind {
				missing -= wave.Hires[i].Count
			}
		}
		for ; missing > 0; missing -= largestHire {
			a.moved = true
			wave.HireCount++
			wave.ObservedSince = 0
			wave.Hires = append(wave.Hires, Hire{Name: ids.Hire(fmt.Sprintf("%s%s-%d-%d", HirePrefix, a.record.ID, wave.Number, wave.HireCount)),
				KindCount: KindCount{wanted.Kind, min(missing, largestHire)}, Asked: a.now})
		}
	}
}

// followHires takes in what became of the replacements. It returns why the rollout has to halt,
// empty if it need not.
func (a *advance) followHires() string {
	wave := a.record.Wave
	for i := range wave.Hires {
		hire := &wave.Hires[i]
		a.takeAnswer(hire)
		if why := a.followReplacements(hire); why != "" {
			return why
		}
		if up := hire.Up.Len(); up < hire.Count && a.now > hire.Asked+wallOf(a.record.Spec.Deadline) {
			return fmt.Sprintf("of %d replacements (%s) of wave %d the cloud has rented %d and %d are up, %.0f s after they were asked for",
				hire.Count, hire.Kind, wave.Number, hire.Machines.Len(), up, float64(a.record.Spec.Deadline))
		}
	}
	// One that was rented in part, or lost machines to the cloud, leaves the rest to a new one.
	wave.Hires = slices.DeleteFunc(wave.Hires, func(h Hire) bool { return h.Answered && h.Count == 0 })
	return ""
}

// takeAnswer notes which machines the cloud rented.
func (a *advance) takeAnswer(hire *Hire) {
	if hire.Answered {
		return
	}
	machines, answered := a.view.HireAnswer(hire.Name)
	if !answered {
		return
	}
	a.moved = true
	hire.Answered, hire.Machines, hire.Count = true, NewMachineSet(machines...), len(machines)
}

// followReplacements notes which machines of a hire are up, and finds those that failed.
func (a *advance) followReplacements(hire *Hire) (halt string) {
	for _, name := range slices.Collect(hire.Machines.All()) {
		m := a.view.Machine(name)
		wasUp := hire.Up.Has(name)
		switch {
		case m.Reclaimed:
			// The cloud's doing says nothing of the replacement; another one is asked for.
			a.moved = true
			hire.Machines.Remove(name)
			hire.Up.Remove(name)
			hire.Count--
		case m.Failed != "":
			return fmt.Sprintf("replacement %s of wave %d failed: %s", name, a.record.Wave.Number, m.Failed)
		case m.Gone && wasUp:
			return fmt.Sprintf("replacement %s of wave %d came up and is gone", name, a.record.Wave.Number)
		case m.Gone:
			return fmt.Sprintf("replacement %s of wave %d is gone and never came up", name, a.record.Wave.Number)
		case m.Up && !wasUp:
			a.moved = true
			hire.Up.Add(name)
		}
	}
	return ""
}

// replacementsUp tells whether every replacement that the wave needs is up.
func (a *advance) replacementsUp() bool {
	if !a.record.Spec.Replace {
		return true
	}
	wave := a.record.Wave
	for _, wanted := range wave.Wanted {
		up := 0
		for i := range wave.Hires {
			if wave.Hires[i].Kind == wanted.Kind {
				up += wave.Hires[i].Up.Len()
			}
		}
		if up < wanted.Count {
			return false
		}
	}
	return true
}

// verify carries returned machines on to replaced and verified; it tells whether all are.
func (a *advance) verify() bool {
	wave := a.record.Wave
	if !a.replacementsUp() {
		return false
	}
	for _, name := range a.names(Returned) {
		if a.moveMachine(name, Returned, Replaced) != nil {
			return false
		}
	}
	if wave.ObservedSince == 0 {
		wave.ObservedSince, a.moved = a.now, true
	}
	if a.now < wave.ObservedSince+wallOf(a.record.Spec.Observe) {
		return false
	}
	for _, name := range a.names(Replaced) {
		if a.moveMachine(name, Replaced, Verified) != nil {
			return false
		}
	}
	return true
}

// forgetFailed prepares a halted wave for being resumed: replacements that were not up are given
// up, and the time that the rollout stood still counts against no deadline. Those that are up are
// looked at again by the leader.
func (w *Wave) forgetFailed(now ids.Wall, failed func(ids.Machine) bool) {
	w.ObservedSince = 0
	w.restartClocks(now)
	for i := range w.Hires {
		hire := &w.Hires[i]
		if !hire.Answered {
			continue
		}
		for _, name := range slices.Collect(hire.Machines.All()) {
			if !hire.Up.Has(name) || failed(name) {
				hire.Machines.Remove(name)
				hire.Up.Remove(name)
			}
		}
		hire.Count = hire.Machines.Len()
	}
}

// restartClocks has the time that a rollout stood still count against no deadline.
func (w *Wave) restartClocks(now ids.Wall) {
	if w.DrainingSince > 0 {
		w.DrainingSince = now
	}
	for i := range w.Hires {
		w.Hires[i].Asked = now
	}
}
