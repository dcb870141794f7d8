package claim

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

// drainView is what rollouts see of the fleet. The budgets are counted once for a view.
type drainView struct {
	cluster *ClusterState
	now     time.Time
	meter   *budget.Meter // made when it is first needed
}

// RolloutView looks at the fleet as it is now.
func (c *ClusterState) RolloutView() rollout.View { return c.drainView() }

// RolloutPlanner is what plans are made from.
func (c *ClusterState) RolloutPlanner() rollout.Planner { return c.drainView() }

func (c *ClusterState) drainView() *drainView { return &drainView{cluster: c, now: time.Now()} }

// Machine looks at one machine.
func (v *drainView) Machine(name ids.Machine) rollout.Machine {
	cluster := v.cluster
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	machine := cluster.machines.Machines[name]
	if machine == nil {
		gone := rollout.Machine{Deleted: cluster.terminated[name] || cluster.listIsConclusive()}
		if cluster.drains != nil {
			gone.Failed = cluster.drains.lostReplacements[name]
		}
		return gone
	}
	seen := rollout.Machine{Class: rollout.InstanceClass{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot}, Known: true, Ready: machine.HasReported && !machine.Suspect(),
		Failed: cluster.failureReason(machine, v.now), Reclaimed: !machine.SpotTerminationAt.IsZero(), Tasks: len(cluster.capacity.AssignmentsOn(name)), ProvisionedAt: machine.ProvisionedAt}
	for assignment := range cluster.capacity.AssignmentsOn(name) {
		seen.Evicting = seen.Evicting || assignment.Evicting
	}
	if cluster.drains != nil {
		seen.Unschedulable = cluster.drains.noRoom[name]
	}
	return seen
}

// orderFor is what rollouts want with a machine, if anything.
func (d *drainState) orderFor(name ids.Machine) (order rollout.Order, ok bool) {
	if d == nil || d.orders == nil {
		return order, false
	}
	order, ok = d.orders.Machines[name]
	return order, ok
}

// DrainCost tells how many steps emptying a machine takes, and what blocks it now.
func (v *drainView) DrainCost(name ids.Machine) (weight rollout.DrainCost) {
	cluster := v.cluster
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	drains, machine := cluster.drains, cluster.machines.Machines[name]
	if drains == nil || machine == nil {
		return weight
	}
	if _, ordered := drains.orderFor(name); ordered {
		weight.Blocked = slices.Clone(drains.blockers[name])
		return weight
	}
	if v.meter == nil {
		v.meter = cluster.disruptionMeter(v.now)
	}
	units, whys := cluster.evictionUnits(machine, rollout.Order{})
	weight.Blocked = whys
	first, _ := firstOfEachTeam(units)
	for _, denial := range v.meter.DryRun(cluster.evictionRequests(first, v.now)...) {
		weight.Blocked = append(weight.Blocked, denial.String())
	}
	steps := map[string]int{}
	for _, unit := range units {
		steps[unit.team()]++
		weight.Steps = max(weight.Steps, steps[unit.team()])
	}
	return weight
}

// listIsConclusive tells that a machine this leader does not know is surely none: the cloud's list
// was read to its end so long after the takeover that it would name it.
func (c *ClusterState) listIsConclusive() bool {
	return c.planner.CloudListSince(c.termBegan) > c.planner.CloudListLag()
}

// failureReason tells why a machine can't do its work; empty: it can, as far as known.
func (c *ClusterState) failureReason(machine *worker.Machine, now time.Time) string {
	switch {
	case machine.Failed:
		return "it stopped by itself"
	case machine.DrainReason != "":
		return machine.DrainReason
	case machine.HasReported && machine.Suspect() && machine.SilentFor(now) > silentReportsFailed*c.settings.Params.Workers.ReportS.Duration():
		return "nothing is heard of it any more"
	}
	return ""
}

// silentReportsFailed is after how many report intervals of silence, with questions left unanswered, a
// replacement counts as failed.
const silentReportsFailed = 4

// Machines lists all machines.
func (v *drainView) Machines() []ids.Machine {
	cluster := v.cluster
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return slices.Sorted(maps.Keys(cluster.machines.Machines))
}

// BootTime is about how long a machine of a kind takes until it is up.
func (v *drainView) BootTime(kind rollout.InstanceClass) time.Duration {
	cluster := v.cluster
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if machineType := cluster.capacity.Type(kind.Type); machineType != nil {
		return cluster.estimates.BootTime(machineType)
	}
	return 0
}

// StepTime is about how long a step takes: the permit is stored, the stop and the start are
// carried out and told, and the replica counts as up again.
func (v *drainView) StepTime() time.Duration {
	cluster := v.cluster
	return cluster.settings.Params.Workers.ReportS.Duration() + cluster.settings.Readiness().MinRunning
}

// ProvisionedMachines tells what a hire of replacements has rented.
func (v *drainView) ProvisionedMachines(name ids.ProvisioningRequest) (machines []ids.Machine, answered bool) {
	cluster := v.cluster
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if cluster.drains == nil {
		return nil, false
	}
	machines, answered = cluster.drains.provisioned[name]
	return machines, answered
}

// DrainProvisioning are the replacements that rollouts want rented and that have no answer yet.
func (c *ClusterState) DrainProvisioning() []rollout.ProvisioningRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drains == nil || c.drains.orders == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(c.drains.orders.Provisioning), func(h rollout.ProvisioningRequest) bool {
		_, answered := c.drains.provisioned[h.Name]
		return answered
	})
}

// DrainProvisioned notes what a hire has rented.
func (c *ClusterState) DrainProvisioned(name ids.ProvisioningRequest, machines []ids.Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drains != nil && strings.HasPrefix(string(name), rollout.ReplacementPrefix) {
		c.drains.provisioned[name] = machines
	}
}

// ClosedZones are the zones that rollouts give up: nothing is rented there meanwhile.
func (c *ClusterState) ClosedZones() map[string]rollout.Name {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drains == nil || c.drains.orders == nil {
		return nil
	}
	return maps.Clone(c.drains.orders.ClosedZones)
}

// DrainBlockers tells what the machines being emptied wait for.
func (c *ClusterState) DrainBlockers() map[ids.Machine][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	waits := map[ids.Machine][]string{}
	if c.drains != nil {
		for name, why := range c.drains.blockers {
			waits[name] = slices.Clone(why)
		}
	}
	return waits
}
