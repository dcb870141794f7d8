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

// View is the view of the fleet for rollouts. All its methods take the cluster state's lock, except
// StepTime, which only reads settings. Disruptions are counted once per view, so a view serves one planning
// pass. It is not safe for concurrent use.
type View struct {
	evictor *Evictor
	now     time.Time
	meter   *budget.Meter // created on first use
}

// NewView returns a view of the fleet as of now. It is the only method of Evictor that needs no lock.
func (e *Evictor) NewView() *View { return &View{evictor: e, now: time.Now()} }

// Machine returns the state of one machine.
func (v *View) Machine(name ids.Machine) rollout.MachineInfo {
	e := v.evictor
	e.Lock.Lock()
	defer e.Lock.Unlock()
	machine := e.Machines.Machines[name]
	if machine == nil {
		deleted := e.cluster.Terminated(name) || e.cluster.CloudListConclusive()
		return rollout.MachineInfo{Deleted: deleted, Failed: e.replacements.lost[name]}
	}
	status := rollout.MachineInfo{
		Class:         rollout.InstanceClass{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot},
		Known:         true,
		Ready:         machine.HasReported && !machine.IsSuspect(),
		Failed:        e.failureReason(machine, v.now),
		Reclaimed:     !machine.SpotTerminationAt.IsZero(),
		TaskCount:     len(e.Capacity.AssignmentsOn(name)),
		ProvisionedAt: machine.ProvisionedAt,
	}
	for assignment := range e.Capacity.AssignmentsOn(name) {
		status.Evicting = status.Evicting || assignment.Evicting
	}
	status.Unschedulable = e.blockers.unplaceable[name]
	return status
}

// DrainCost returns the number of steps needed to drain a machine, and the reasons that block it now.
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

// maxSilentReports is the number of report intervals of silence, with unanswered probes, after which a
// replacement counts as failed.
const maxSilentReports = 4

// failureReason returns why a machine has failed, or "" if no failure is known.
func (s *State) failureReason(machine *worker.Machine, now time.Time) string {
	maxSilence := maxSilentReports * s.reportInterval().Duration()
	switch {
	case machine.Failed:
		return "it stopped by itself"
	case machine.DrainReason != "":
		return machine.DrainReason
	case machine.HasReported && machine.IsSuspect() && machine.SilentFor(now) > maxSilence:
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

// BootTime returns the estimated time until a machine of a class is up, or 0 if its type is not known.
func (v *View) BootTime(class rollout.InstanceClass) time.Duration {
	e := v.evictor
	e.Lock.Lock()
	defer e.Lock.Unlock()
	if machineType := e.Capacity.Type(class.Type); machineType != nil {
		return e.Estimates.BootTime(machineType)
	}
	return 0
}

// StepTime returns the estimated duration of a step: its permit is stored, the stop and the start are
// executed and reported, and the replica counts as ready again.
func (v *View) StepTime() time.Duration {
	settings := v.evictor.Settings
	return settings.Params.Workers.ReportS.Duration() + settings.Readiness().MinRunning
}

// ProvisionedMachines returns the machines provisioned for a request for replacements. answered reports
// whether that request was answered.
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
