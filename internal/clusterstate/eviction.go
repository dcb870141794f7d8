package clusterstate

import (
	"github.com/pebbletrail/pebbletrail/internal/eviction"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// newEvictor makes the evictor of a term.
func newEvictor(c *State) *eviction.Evictor {
	return eviction.New(eviction.State{Settings: c.settings, Jobs: c.jobs, Machines: c.machines, Capacity: c.capacity,
		Estimates: c.estimates, Scheduler: c.scheduler, FirstGeneration: c.firstGeneration, Lock: &c.mu}, operations{c})
}

// CarryOut replaces what rollouts want of the leader.
func (c *State) CarryOut(orders *rollout.Orders) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evictor.CarryOut(orders) {
		wait.Signal(c.planSignal)
	}
}

// RolloutView looks at the fleet as it is now.
func (c *State) RolloutView() rollout.View { return c.evictor.NewView() }

// RolloutPlanner is what plans are made from.
func (c *State) RolloutPlanner() rollout.Planner { return c.evictor.NewView() }

// ReplacementsToProvision are the replacements that rollouts want and that were not provisioned yet.
func (c *State) ReplacementsToProvision() []rollout.ProvisioningRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evictor.ReplacementsToProvision()
}

// ReplacementsProvisioned notes the machines provisioned for a request, if it was one for replacements.
func (c *State) ReplacementsProvisioned(name ids.ProvisioningRequest, machines []ids.Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evictor.ReplacementsProvisioned(name, machines)
}

// ClosedZones are the zones that rollouts give up: nothing is provisioned there meanwhile.
func (c *State) ClosedZones() map[string]rollout.Name {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evictor.ClosedZones()
}

// DrainBlockers tells what the machines being emptied wait for.
func (c *State) DrainBlockers() map[ids.Machine][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evictor.Blockers()
}
