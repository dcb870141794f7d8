package eviction

import (
	"maps"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/budget"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// View is what rollouts see of the fleet. Each of its methods takes the cluster state's lock, but for StepTime,
// which reads settings only. The budgets are counted once for a view, so a view is for one planning pass. It is
// not safe for concurrent use.
type View struct {
	evictor *Evictor
	now     time.Time
	meter   *budget.Meter // made when it is first needed
}

// NewView returns a view of the fleet as it is now. It is the only method of an Evictor that needs no lock.
func (e *Evictor) NewView() *View { return &View{evictor: e, now: time.Now()} }

// Machine describes one machine.
func (v *View) Machine(name ids.Machine) rollout.Machine {
	e := v.evictor
	e.Lock.Lock()
	defer e.Lock.Unlock()
	machine := e.Machines.Machines[name]
	if machine == nil {
		deleted := e.cluster.Terminated(name) || e.cluster.CloudListConclusive()
		return rollout.Machine{Deleted: deleted, Failed: e.replacements.lost[name]}
	}
	seen := rollout.Machine{
		Class:         rollout.InstanceClass{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot},
		Known:         true,
		Ready:         machine.HasReported && !machine.Suspect(),
		Failed:        e.failureReason(machine, v.now),
		Reclaimed:     !machine.SpotTerminationAt.IsZero(),
		Tasks:         len(e.Capacity.AssignmentsOn(name)),
		ProvisionedAt: machine.ProvisionedAt,
	}
	for assignment := range e.Capacity.AssignmentsOn(name) {
		seen.Evicting = seen.Evicting || assignment.Evicting
	}
	seen.Unschedulable = e.blockers.noRoom[name]
	return seen
}

// DrainCost returns how many steps emptying a machine takes, and what blocks it now.
func (v *View) DrainCost(name ids.Machine) (cost rollout.DrainCost) {
	e := v.evictor
	e.Lock.Lock()
	defer e.Lock.Unlock()
	machine := e.Machines.Machines[name]
	if !e.Enabled() || machine == nil {
		return cost
	}
	if _, ordered := e.OrderFor(name); ordered {
		cost.Blocked = e.blockers.of(name)
		return cost
	}
	if v.meter == nil {
		v.meter = e.disruption.meter(v.now)
	}
	units, reasons := e.drainer.units(machine, rollout.Order{})
	cost.Blocked = reasons
	first, _ := firstOfEachTeam(units)
	for _, denial := range v.meter.DryRun(e.disruption.requests(first, v.now)...) {
		cost.Blocked = append(cost.Blocked, denial.String())
	}
	steps := map[string]int{}
	for _, unit := range units {
		steps[unit.team()]++
		cost.Steps = max(cost.Steps, steps[unit.team()])
	}
	return cost
}

// silentReportsFailed is after how many report intervals of silence, with probes unanswered, a replacement
// counts as failed.
const silentReportsFailed = 4

// failureReason returns why a machine can't do its work; empty if it can, as far as known.
func (s *State) failureReason(machine *worker.Machine, now time.Time) string {
	maxSilence := silentReportsFailed * s.reportInterval().Duration()
	switch {
	case machine.Failed:
		return "it stopped by itself"
	case machine.DrainReason != "":
		return machine.DrainReason
	case machine.HasReported && machine.Suspect() && machine.SilentFor(now) > maxSilence:
		return "nothing is heard of it any more"
	}
	return ""
}

// Machines returns the names of all machines, sorted.
func (v *View) Machines() []ids.Machine {
	e := v.evictor
	e.Lock.Lock()
	defer e.Lock.Unlock()
	return slices.Sorted(maps.Keys(e.Machines.Machines))
}

// BootTime returns about how long a machine of a class takes until it is up; 0 if its type is not known.
func (v *View) BootTime(class rollout.InstanceClass) time.Duration {
	e := v.evictor
	e.Lock.Lock()
	defer e.Lock.Unlock()
	if machineType := e.Capacity.Type(class.Type); machineType != nil {
		return e.Estimates.BootTime(machineType)
	}
	return 0
}

// StepTime returns about how long a step takes: the permit is stored, the stop and the start are carried out
// and reported, and the replica counts as up again.
func (v *View) StepTime() time.Duration {
	settings := v.evictor.Settings
	return settings.Params.Workers.ReportS.Duration() + settings.Readiness().MinRunning
}

// ProvisionedMachines returns the machines provisioned for a request of replacements; answered reports whether
// that request was answered.
func (v *View) ProvisionedMachines(name ids.ProvisioningRequest) (machines []ids.Machine, answered bool) {
	e := v.evictor
	e.Lock.Lock()
	defer e.Lock.Unlock()
	if !e.Enabled() {
		return nil, false
	}
	machines, answered = e.replacements.provisioned[name]
	return machines, answered
}
