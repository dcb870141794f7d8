package clusterstate

import (
	"math/rand/v2"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
)

// Plan assigns what there is room for, after it has looked at what must be stopped; the committer then
// stores the assignments' markers.
func (c *State) Plan(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.capacity.Types()) == 0 || c.evictor.AwaitsOrders() {
		return
	}
	defer measure.Process.Took("planning pass", time.Now())
	c.evictor.StopOnLeavingMachines(now)
	c.evictor.Run(now)
	c.scheduler.PreemptForOtherShards()
	if c.scheduler.Run(now) && c.planner.SampleUsage(now) {
		c.costs.Accrue(now, c.machines, c.capacity)
	}
}

// newScheduler makes the scheduler of a term. Its random choices follow from the term.
func newScheduler(c *State) *scheduler.Scheduler {
	state := scheduler.State{Settings: c.settings, Jobs: c.jobs, Machines: c.machines, Capacity: c.capacity, Quota: c.quota, Estimates: c.estimates}
	rng := rand.New(rand.NewPCG(uint64(c.generation), uint64(len(c.writer))))
	return scheduler.New(state, operations{c}, rng)
}
