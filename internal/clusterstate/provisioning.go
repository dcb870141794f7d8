package clusterstate

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/liveness"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/provisioning"
)

// newPlanner returns the provisioning planner of a term.
func newPlanner(c *State) *provisioning.Planner {
	return provisioning.New(provisioning.State{Settings: c.settings, Jobs: c.jobs, Machines: c.machines, Capacity: c.capacity,
		Estimates: c.estimates, Scheduler: c.scheduler, Rollouts: c.evictor, Zones: c.zones,
		StoreAvailable:      func() bool { return c.StoreAvailable() },
		EarliestLeaseExpiry: func() time.Time { return c.earliestLeaseExpiry }})
}

// CapacityDemands returns the capacity that the fleet should provide, most important first, the machines
// that are there, and the machine types that the cloud offers.
func (c *State) CapacityDemands(now time.Time) (demands []placement.Demand, instances []placement.Instance, types []*placement.InstanceType) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer measure.Default.Took("weighing the fleet", time.Now())
	return c.planner.Demands(now), c.planner.Instances(now), c.planner.Types()
}

// MachinesToTerminate returns the machines to delete now, and marks them so that nothing more is assigned
// to them. needed are the machines that a plan of the whole fleet keeps.
func (c *State) MachinesToTerminate(now time.Time, needed map[ids.Machine]bool) []ids.Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.MachinesToTerminate(now, needed)
}

// CloudListRead records that the cloud's list was read to its end, and when that read began.
func (c *State) CloudListRead(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner.CloudListRead(began)
}

// ConsolidationCandidates returns machines whose few replicas could run on other machines.
func (c *State) ConsolidationCandidates(now time.Time) []provisioning.ConsolidationCandidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.ConsolidationCandidates(now)
}

// Consolidate starts to move a machine's replicas to other machines; an empty name ends the current
// consolidation. It reports whether another consolidation was in progress before the call.
func (c *State) Consolidate(name ids.Machine, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.Consolidate(name, now)
}

// SetShortage records whether the cloud currently refuses capacity that pending jobs need.
func (c *State) SetShortage(refused bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner.SetShortage(refused, now)
}

// Shortage returns the shortage of machines in this leader's shard.
func (c *State) Shortage() provisioning.Shortage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.Shortage()
}

// ShareCapacity frees capacity for other shards, which have been short of machines for othersShortage.
// part is the average number of machines per shard.
func (c *State) ShareCapacity(othersShortage time.Duration, part int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner.ShareCapacity(othersShortage, part, now)
}

// UnreachableZones returns the zones in which no machine reports any more.
func (c *State) UnreachableZones() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.zones.Update(c.machines, c.StoreAvailable()).UnreachableZones()
}

// IsolatedFromWorkers reports whether this controller has lost contact with most machines while workers
// reach other controllers.
func (c *State) IsolatedFromWorkers(redirected []liveness.RedirectedWorker, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return liveness.IsolatedFromWorkers(c.machines, redirected, c.settings.Params.Workers.ReportS, now)
}

// LostWorkerContact reports whether almost no machine reports or answers calls.
func (c *State) LostWorkerContact(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return liveness.Measure(c.machines, c.StoreAvailable()).LostContact(now)
}

// ResetLiveness gives every machine time to report again before it counts as silent.
func (c *State) ResetLiveness(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	liveness.Reset(c.machines, now)
}
