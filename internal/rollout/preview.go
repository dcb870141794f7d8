package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Planner is what a plan is made from.
type Planner interface {
	View
	// Machines lists all machines that are up or on their way.
	Machines() []ids.Machine
	// BootTime is about how long a machine of a kind takes until it is up.
	BootTime(kind Kind) time.Duration
	// StepTime is about how long one step of emptying a machine takes.
	StepTime() time.Duration
}

// Preview is what a rollout would do as things are now. It is a plan and no promise: each
// eviction asks for its permit when it is due.
type Preview struct {
	Machines []ids.Machine   `json:"machines"`
	Waves    [][]ids.Machine `json:"waves"`
	// Takes is about how long the rollout takes if nothing fails, in seconds, without those
	// machines that are blocked.
	Takes ids.Seconds `json:"takes"`
	// Blocked are the machines that can't be emptied now, and why.
	Blocked []BlockedMachine `json:"blocked,omitempty"`
}

// BlockedMachine is a machine that waits, and for what.
type BlockedMachine struct {
	Name ids.Machine `json:"name"`
	Why  []string    `json:"why"`
}

// MakePreview selects a description's machines and plans its waves. It changes nothing.
func MakePreview(spec *Spec, fleet Planner, now time.Time) (*Preview, error) {
	names, err := selectMachines(spec, fleet, now)
	if err != nil {
		return nil, err
	}
	preview := &Preview{Machines: names}
	var candidates []candidate
	for _, name := range names {
		c := candidate{name: name, machine: fleet.Machine(name), weight: fleet.Weigh(name)}
		candidates = append(candidates, c)
		if len(c.weight.Blocked) > 0 {
			preview.Blocked = append(preview.Blocked, BlockedMachine{name, c.weight.Blocked})
		}
	}
	for wave := range slices.Chunk(inOrder(candidates), max(1, spec.WaveSize)) {
		var list []ids.Machine
		for _, c := range wave {
			list = append(list, c.name)
		}
		if len(preview.Waves) > 0 {
			preview.Takes += spec.Pause
		}
		preview.Waves = append(preview.Waves, list)
		preview.Takes += ids.Seconds(waveTime(spec, wave, fleet).Seconds())
	}
	return preview, nil
}

// waveTime is about how long a wave takes: one step after the other, since the machines of a wave
// share the budgets.
func waveTime(spec *Spec, wave []candidate, fleet Planner) (takes time.Duration) {
	boot := time.Duration(0)
	for _, c := range wave {
		takes += time.Duration(c.weight.Steps) * fleet.StepTime()
		boot = max(boot, fleet.BootTime(c.machine.Kind))
	}
	if spec.Replace {
		takes += boot + spec.Observe.Duration()
	}
	return takes
}

// selectMachines lists the machines that a description selects, in order of their names.
func selectMachines(spec *Spec, fleet Planner, now time.Time) ([]ids.Machine, error) {
	sel := &spec.Select
	names := fleet.Machines()
	if len(sel.Machines) > 0 {
		names = slices.Compact(slices.Sorted(slices.Values(sel.Machines)))
	}
	var selected []ids.Machine
	for _, name := range names {
		m := fleet.Machine(name)
		switch {
		case len(sel.Machines) > 0 && (!m.Known || m.Gone):
			return nil, fmt.Errorf("%w: unknown machine %q", ErrBadSpec, name)
		case !m.Known || m.Gone,
			sel.Zone != "" && m.Kind.Zone != sel.Zone,
			sel.Type != "" && m.Kind.Type != sel.Type,
			sel.Older && !m.Rented.Before(now):
			continue
		}
		selected = append(selected, name)
	}
	if len(selected) == 0 {
		return nil, fmt.Errorf("%w: no machine is selected", ErrBadSpec)
	}
	slices.Sort(selected)
	return selected, nil
}
