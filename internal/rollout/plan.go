package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// PlanningView is a view of the fleet with the additional data that planning requires.
type PlanningView interface {
	FleetView
	// Machines returns all machines that are up or being provisioned.
	Machines() []ids.Machine
	// BootTime returns the approximate time that a machine of an instance class takes to boot.
	BootTime(class InstanceClass) time.Duration
	// StepTime returns the approximate duration of one step of draining a machine.
	StepTime() time.Duration
}

// Plan is the plan of a rollout in the current state of the fleet. The plan is not binding: the
// disruption budgets are checked again when each eviction is due.
type Plan struct {
	Machines []ids.Machine   `json:"machines"`
	Waves    [][]ids.Machine `json:"waves"`
	// Takes is the approximate duration of the rollout in seconds if nothing fails, without the time that
	// blocked machines wait.
	Takes ids.Seconds `json:"takes"`
	// Blocked lists the machines that cannot be drained now, with the reasons.
	Blocked []BlockedMachine `json:"blocked,omitempty"`
}

// BlockedMachine is a machine that cannot be drained now, with the reasons.
type BlockedMachine struct {
	Name ids.Machine `json:"name"`
	Why  []string    `json:"why"`
}

// NewPlan selects the machines of a specification and plans its waves. It changes nothing.
func NewPlan(spec *Spec, fleet PlanningView, now time.Time) (*Plan, error) {
	names, err := selectMachines(spec, fleet, now)
	if err != nil {
		return nil, err
	}
	plan := &Plan{Machines: names}
	candidates := make([]candidate, len(names))
	for i, name := range names {
		candidates[i] = candidate{name: name, machine: fleet.Machine(name), cost: fleet.DrainCost(name)}
		if blocked := candidates[i].cost.Blocked; len(blocked) > 0 {
			plan.Blocked = append(plan.Blocked, BlockedMachine{name, blocked})
		}
	}
	for wave := range slices.Chunk(sortCandidates(candidates), max(1, spec.WaveSize)) {
		plan.addWave(spec, wave, fleet)
	}
	return plan, nil
}

// addWave adds a wave and its estimated duration.
func (p *Plan) addWave(spec *Spec, wave []candidate, fleet PlanningView) {
	var names []ids.Machine
	for i := range wave {
		names = append(names, wave[i].name)
	}
	if len(p.Waves) > 0 {
		p.Takes += spec.Pause
	}
	p.Waves = append(p.Waves, names)
	p.Takes += ids.Seconds(waveDuration(spec, wave, fleet).Seconds())
}

// waveDuration returns the approximate duration of a wave. The steps of all its machines are added up,
// since the machines of a wave share the disruption budgets.
func waveDuration(spec *Spec, wave []candidate, fleet PlanningView) (total time.Duration) {
	bootTime := time.Duration(0)
	for i := range wave {
		total += time.Duration(wave[i].cost.Steps) * fleet.StepTime()
		bootTime = max(bootTime, fleet.BootTime(wave[i].machine.Class))
	}
	if spec.Replace {
		total += bootTime + spec.Observe.Duration()
	}
	return total
}

// selectMachines returns the machines that a specification selects, sorted by name. It returns an error
// if the specification names an unknown machine or selects none.
func selectMachines(spec *Spec, fleet PlanningView, now time.Time) ([]ids.Machine, error) {
	selection := &spec.Select
	names := fleet.Machines()
	hasNames := len(selection.Machines) > 0
	if hasNames {
		names = slices.Compact(slices.Sorted(slices.Values(selection.Machines)))
	}
	var selected []ids.Machine
	for _, name := range names {
		machine := fleet.Machine(name)
		exists := machine.Known && !machine.Deleted
		if hasNames && !exists {
			return nil, fmt.Errorf("%w: unknown machine %q", ErrInvalidSpec, name)
		}
		if exists && selection.matches(machine, now) {
			selected = append(selected, name)
		}
	}
	if len(selected) == 0 {
		return nil, fmt.Errorf("%w: no machine is selected", ErrInvalidSpec)
	}
	slices.Sort(selected)
	return selected, nil
}

// matches reports whether a machine has the selected zone, type and age.
func (s *Selection) matches(machine MachineInfo, now time.Time) bool {
	return (s.Zone == "" || machine.Class.Zone == s.Zone) &&
		(s.Type == "" || machine.Class.Type == s.Type) &&
		(!s.Older || machine.ProvisionedAt.Before(now))
}
