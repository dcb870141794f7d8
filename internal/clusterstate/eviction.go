package clusterstate

import (
	"github.com/pebbletrail/pebbletrail/internal/eviction"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// newEvictor returns the evictor of a term.
func newEvictor(c *State) *eviction.Evictor {
	return eviction.New(eviction.State{Settings: c.settings, Jobs: c.jobs, Machines: c.machines, Capacity: c.capacity,
		Estimates: c.estimates, Scheduler: c.scheduler, FirstToken: c.firstToken, Lock: &c.mu}, operations{c})
}

// SetOrders replaces the orders that rollouts give to the leader.
func (c *State) SetOrders(orders *rollout.Orders) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evictor.SetOrders(orders) {
		wait.Signal(c.planSignal)
	}
}

// RolloutView returns a view of the fleet as it is now.
func (c *State) RolloutView() rollout.FleetView { return c.evictor.NewView() }

// RolloutPlanner returns a view of the fleet from which rollouts are planned.
func (c *State) RolloutPlanner() rollout.PlanningView { return c.evictor.NewView() }

// ReplacementsToProvision returns the replacements that rollouts want and that were not provisioned yet.
func (c *State) ReplacementsToProvision() []rollout.ProvisioningRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evictor.ReplacementsToProvision()
}

// ReplacementsProvisioned records the machines provisioned for a request, if it was one for replacements.
func (c *State) ReplacementsProvisioned(name ids.ProvisioningRequest, machines []ids.Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evictor.ReplacementsProvisioned(name, machines)
}

// ClosedZones returns the zones that rollouts drain permanently, in which nothing is provisioned, and the
// rollout that drains each zone.
func (c *State) ClosedZones() map[string]rollout.Name {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evictor.ClosedZones()
}

// DrainBlockers returns what each machine that is being drained waits for.
func (c *State) DrainBlockers() map[ids.Machine][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evictor.Blockers()
}
