package clusterstate

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/liveness"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/provisioning"
)

// newPlanner makes the planner of the fleet of a term.
func newPlanner(c *State) *provisioning.Planner {
	return provisioning.New(provisioning.State{Settings: c.settings, Jobs: c.jobs, Machines: c.machines, Capacity: c.capacity,
		Estimates: c.estimates, Scheduler: c.scheduler, Rollouts: c.evictor, Zones: c.zones,
		StoreAvailable: func() bool { return c.StoreAvailable() },
		TrustSilence:   func() time.Time { return c.trustSilence }})
}

// CapacityDemands is what the fleet should provide, most important first, what is there, and which
// machine types the cloud offers.
func (c *State) CapacityDemands(now time.Time) (demands []placement.Demand, instances []placement.Instance, types []*placement.InstanceType) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer measure.Process.Took("weighing the fleet", time.Now())
	return c.planner.Demands(now), c.planner.Instances(now), c.planner.Types()
}

// MachinesToTerminate picks the machines to delete now, and marks them so that nothing more is assigned
// there. Needed are those that a plan of the whole fleet keeps.
func (c *State) MachinesToTerminate(now time.Time, needed map[ids.Machine]bool) []ids.Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.MachinesToTerminate(now, needed)
}

// CloudListRead notes that the cloud's list was read to its end, and when that reading began.
func (c *State) CloudListRead(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner.CloudListRead(began)
}

// ConsolidationCandidates lists machines whose few replicas others might take over.
func (c *State) ConsolidationCandidates(now time.Time) []provisioning.ConsolidationCandidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.ConsolidationCandidates(now)
}

// Consolidate begins to move a machine's replicas elsewhere, or with no name gives that up; it tells
// whether there was something to give up.
func (c *State) Consolidate(name ids.Machine, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.Consolidate(name, now)
}

// SetShortage notes whether the cloud refuses now what waiting jobs need.
func (c *State) SetShortage(refused bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner.SetShortage(refused, now)
}

// Shortage is how much this leader's shard lacks machines.
func (c *State) Shortage() provisioning.Shortage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.Shortage()
}

// ShareCapacity makes room for other shards, which have had a shortage for so long.
func (c *State) ShareCapacity(othersShortage time.Duration, part int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner.ShareCapacity(othersShortage, part, now)
}

// UnreachableZones are the zones no machine of which reports any more.
func (c *State) UnreachableZones() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.zones.Update(c.machines, c.StoreAvailable()).UnreachableZones()
}

// IsolatedFromWorkers tells whether this controller has lost most machines while others reach them.
func (c *State) IsolatedFromWorkers(redirected []liveness.RedirectedWorker, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return liveness.IsolatedFromWorkers(c.machines, redirected, c.settings.Params.Workers.ReportS, now)
}

// HearsNoWorker tells whether next to no machine reports or answers.
func (c *State) HearsNoWorker(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return liveness.Measure(c.machines, c.StoreAvailable()).LostContact(now)
}

// ResetLiveness gives every machine the time to report again.
func (c *State) ResetLiveness(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	liveness.Reset(c.machines, now)
}
