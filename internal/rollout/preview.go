package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Planner is the view of the fleet that a plan is made from.
type Planner interface {
	View
	// Machines lists all machines that are up or being provisioned.
	Machines() []ids.Machine
	// BootTime is about how long a machine of an instance class takes until it is up.
	BootTime(kind InstanceClass) time.Duration
	// StepTime is about how long one step of draining a machine takes.
	StepTime() time.Duration
}

// Preview is what a rollout would do as things are now. It is a plan and no promise: each
// eviction asks the disruption budgets when it is due.
type Preview struct {
	Machines []ids.Machine   `json:"machines"`
	Waves    [][]ids.Machine `json:"waves"`
	// Takes is about how long the rollout takes if nothing fails, in seconds, without the machines
	// that are blocked.
	Takes ids.Seconds `json:"takes"`
	// Blocked are the machines that can't be drained now, and why.
	Blocked []BlockedMachine `json:"blocked,omitempty"`
}

// BlockedMachine is a machine that would wait, and for what.
type BlockedMachine struct {
	Name ids.Machine `json:"name"`
	Why  []string    `json:"why"`
}

// NewPreview selects a description's machines and plans its waves. It changes nothing.
func NewPreview(spec *Spec, fleet Planner, now time.Time) (*Preview, error) {
	names, err := selectMachines(spec, fleet, now)
	if err != nil {
		return nil, err
	}
	preview := &Preview{Machines: names}
	candidates := make([]candidate, len(names))
	for i, name := range names {
		candidates[i] = candidate{name: name, machine: fleet.Machine(name), weight: fleet.DrainCost(name)}
		if blocked := candidates[i].weight.Blocked; len(blocked) > 0 {
			preview.Blocked = append(preview.Blocked, BlockedMachine{name, blocked})
		}
	}
	for wave := range slices.Chunk(sortCandidates(candidates), max(1, spec.WaveSize)) {
		preview.addWave(spec, wave, fleet)
	}
	return preview, nil
}

// addWave adds a wave and the time that it takes.
func (p *Preview) addWave(spec *Spec, wave []candidate, fleet Planner) {
	var names []ids.Machine
	for i := range wave {
		names = append(names, wave[i].name)
	}
	if len(p.Waves) > 0 {
		p.Takes += spec.Pause
	}
	p.Waves = append(p.Waves, names)
	p.Takes += ids.Seconds(waveTime(spec, wave, fleet).Seconds())
}

// waveTime is about how long a wave takes: one step after the other, since the machines of a wave
// share the budgets.
func waveTime(spec *Spec, wave []candidate, fleet Planner) (total time.Duration) {
	bootTime := time.Duration(0)
	for i := range wave {
		total += time.Duration(wave[i].weight.Steps) * fleet.StepTime()
		bootTime = max(bootTime, fleet.BootTime(wave[i].machine.Class))
	}
	if spec.Replace {
		total += bootTime + spec.Observe.Duration()
	}
	return total
}

// selectMachines lists the machines that a description selects, in order of their names. One that
// is named and unknown is an error.
func selectMachines(spec *Spec, fleet Planner, now time.Time) ([]ids.Machine, error) {
	selection := &spec.Select
	names := fleet.Machines()
	isNamed := len(selection.Machines) > 0
	if isNamed {
		names = slices.Compact(slices.Sorted(slices.Values(selection.Machines)))
	}
	var selected []ids.Machine
	for _, name := range names {
		machine := fleet.Machine(name)
		exists := machine.Known && !machine.Deleted
		if isNamed && !exists {
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

// matches reports whether a machine has the zone, type and age that are selected.
func (s *Selection) matches(machine Machine, now time.Time) bool {
	return (s.Zone == "" || machine.Class.Zone == s.Zone) &&
		(s.Type == "" || machine.Class.Type == s.Type) &&
		(!s.Older || machine.ProvisionedAt.Before(now))
}
