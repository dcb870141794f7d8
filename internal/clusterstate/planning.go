package clusterstate

import (
	"math/rand/v2"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
)

// Plan runs a planning pass: it stops the tasks that must be stopped, then assigns as many pending tasks as
// there is room for. The committer then stores the markers of the new assignments.
func (c *State) Plan(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.capacity.Types()) == 0 || c.evictor.AwaitsOrders() {
		return
	}
	defer measure.Default.Took("planning pass", time.Now())
	c.evictor.StopOnLeavingMachines(now)
	c.evictor.Run(now)
	c.scheduler.PreemptForOtherShards()
	if c.scheduler.Run(now) && c.planner.SampleUsage(now) {
		c.costs.Accrue(now, c.machines, c.capacity)
	}
}

// newScheduler returns the scheduler of a term. Its random numbers are seeded from the term.
func newScheduler(c *State) *scheduler.Scheduler {
	state := scheduler.State{Settings: c.settings, Jobs: c.jobs, Machines: c.machines, Capacity: c.capacity, Quota: c.quota, Estimates: c.estimates}
	rng := rand.New(rand.NewPCG(uint64(c.firstToken), uint64(len(c.writer))))
	return scheduler.New(state, operations{c}, rng)
}
