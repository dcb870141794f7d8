package eviction

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/budget"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// View is what rollouts see of the fleet. It takes the cluster state's lock for each look; the budgets are
// counted once for a view.
type View struct {
	evictor *Evictor
	now     time.Time
	meter   *budget.Meter // made when it is first needed
}

// NewView looks at the fleet as it is now.
func (e *Evictor) NewView() *View { return &View{evictor: e, now: time.Now()} }

// Machine looks at one machine.
func (v *View) Machine(name ids.Machine) rollout.Machine {
	e := v.evictor
	e.Lock.Lock()
	defer e.Lock.Unlock()
	machine := e.Machines.Machines[name]
	if machine == nil {
		deleted := e.cluster.Terminated(name) || e.cluster.CloudListConclusive()
		return rollout.Machine{Deleted: deleted, Failed: e.lostReplacements[name]}
	}
	seen := rollout.Machine{Class: rollout.InstanceClass{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot}, Known: true, Ready: machine.HasReported && !machine.Suspect(),
		Failed: e.failureReason(machine, v.now), Reclaimed: !machine.SpotTerminationAt.IsZero(), Tasks: len(e.Capacity.AssignmentsOn(name)), ProvisionedAt: machine.ProvisionedAt}
	for assignment := range e.Capacity.AssignmentsOn(name) {
		seen.Evicting = seen.Evicting || assignment.Evicting
	}
	seen.Unschedulable = e.noRoom[name]
	return seen
}

// OrderFor is what rollouts want with a machine, if anything.
func (e *Evictor) OrderFor(name ids.Machine) (order rollout.Order, ok bool) {
	if e.orders == nil {
		return order, false
	}
	order, ok = e.orders.Machines[name]
	return order, ok
}

// DrainCost tells how many steps emptying a machine takes, and what blocks it now.
func (v *View) DrainCost(name ids.Machine) (weight rollout.DrainCost) {
	e := v.evictor
	e.Lock.Lock()
	defer e.Lock.Unlock()
	machine := e.Machines.Machines[name]
	if !e.Enabled() || machine == nil {
		return weight
	}
	if _, ordered := e.OrderFor(name); ordered {
		weight.Blocked = slices.Clone(e.blockers[name])
		return weight
	}
	if v.meter == nil {
		v.meter = e.disruptionMeter(v.now)
	}
	units, whys := e.evictionUnits(machine, rollout.Order{})
	weight.Blocked = whys
	first, _ := firstOfEachTeam(units)
	for _, denial := range v.meter.DryRun(e.evictionRequests(first, v.now)...) {
		weight.Blocked = append(weight.Blocked, denial.String())
	}
	steps := map[string]int{}
	for _, unit := range units {
		steps[unit.team()]++
		weight.Steps = max(weight.Steps, steps[unit.team()])
	}
	return weight
}

// failureReason tells why a machine can't do its work; empty: it can, as far as known.
func (e *Evictor) failureReason(machine *worker.Machine, now time.Time) string {
	switch {
	case machine.Failed:
		return "it stopped by itself"
	case machine.DrainReason != "":
		return machine.DrainReason
	case machine.HasReported && machine.Suspect() && machine.SilentFor(now) > silentReportsFailed*e.Settings.Params.Workers.ReportS.Duration():
		return "nothing is heard of it any more"
	}
	return ""
}

// silentReportsFailed is after how many report intervals of silence, with questions left unanswered, a
// replacement counts as failed.
const silentReportsFailed = 4

// Machines lists all machines.
func (v *View) Machines() []ids.Machine {
	e := v.evictor
	e.Lock.Lock()
	defer e.Lock.Unlock()
	return slices.Sorted(maps.Keys(e.Machines.Machines))
}

// BootTime is about how long a machine of a kind takes until it is up.
func (v *View) BootTime(kind rollout.InstanceClass) time.Duration {
	e := v.evictor
	e.Lock.Lock()
	defer e.Lock.Unlock()
	if machineType := e.Capacity.Type(kind.Type); machineType != nil {
		return e.Estimates.BootTime(machineType)
	}
	return 0
}

// StepTime is about how long a step takes: the permit is stored, the stop and the start are
// carried out and told, and the replica counts as up again.
func (v *View) StepTime() time.Duration {
	e := v.evictor
	return e.Settings.Params.Workers.ReportS.Duration() + e.Settings.Readiness().MinRunning
}

// ProvisionedMachines tells what a hire of replacements has rented.
func (v *View) ProvisionedMachines(name ids.ProvisioningRequest) (machines []ids.Machine, answered bool) {
	e := v.evictor
	e.Lock.Lock()
	defer e.Lock.Unlock()
	if !e.Enabled() {
		return nil, false
	}
	machines, answered = e.provisioned[name]
	return machines, answered
}

// ReplacementsToProvision are the replacements that rollouts want rented and that were not rented yet.
func (e *Evictor) ReplacementsToProvision() []rollout.ProvisioningRequest {
	if e.orders == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(e.orders.Provisioning), func(request rollout.ProvisioningRequest) bool {
		_, answered := e.provisioned[request.Name]
		return answered
	})
}

// ReplacementsProvisioned notes the machines rented for a request, if it was one for replacements.
func (e *Evictor) ReplacementsProvisioned(name ids.ProvisioningRequest, machines []ids.Machine) {
	if e.Enabled() && strings.HasPrefix(string(name), rollout.ReplacementPrefix) {
		e.provisioned[name] = machines
	}
}

// ReplacementLost notes why a replacement was given up, if a rollout still observed it.
func (e *Evictor) ReplacementLost(name ids.Machine, reason string) {
	if e.Keeps(name) {
		e.lostReplacements[name] = reason
	}
}

// Keeps tells that a machine replaces another one and is still observed.
func (e *Evictor) Keeps(name ids.Machine) bool { return e.orders != nil && e.orders.Keep[name] }

// MayConsolidate tells that no rollout is moving replicas, and none may begin unknown to this leader.
func (e *Evictor) MayConsolidate() bool {
	return !e.Enabled() || e.orders != nil && len(e.orders.Machines) == 0
}

// ClosedZones are the zones that rollouts give up: nothing is rented there meanwhile.
func (e *Evictor) ClosedZones() map[string]rollout.Name {
	if e.orders == nil {
		return nil
	}
	return maps.Clone(e.orders.ClosedZones)
}

// Blockers tells what the machines being emptied wait for.
func (e *Evictor) Blockers() map[ids.Machine][]string {
	blockers := map[ids.Machine][]string{}
	for name, reasons := range e.blockers {
		blockers[name] = slices.Clone(reasons)
	}
	return blockers
}
