package claim

import (
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Plan assigns what there is room for, after it has looked at what must be stopped; the committer then
// stores the assignments' markers.
func (c *ClusterState) Plan(now time.Time) {
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
func newScheduler(c *ClusterState) *scheduler.Scheduler {
	state := scheduler.State{Settings: c.settings, Jobs: c.jobs, Machines: c.machines, Capacity: c.capacity, Quota: c.quota, Estimates: c.estimates}
	rng := rand.New(rand.NewPCG(uint64(c.generation), uint64(len(c.writer))))
	return scheduler.New(state, schedulerCluster{c}, rng)
}

// schedulerCluster carries out what the scheduler decides. It is called under the cluster state's lock.
type schedulerCluster struct{ *ClusterState }

// StoreAvailable tells whether the store has answered just now.
func (c schedulerCluster) StoreAvailable() bool { return c.ClusterState.StoreAvailable() }

// FencingToken is what starts go out under now.
func (c schedulerCluster) FencingToken() ids.Generation { return c.generation }

// Assign puts an assignment on the books.
func (c schedulerCluster) Assign(assignment *workload.Assignment) { c.addAssignment(assignment) }

// Assigned has a job's new markers stored at once.
func (c schedulerCluster) Assigned(job *workload.Job) {
	c.markChanged(job)
	c.markUrgent(job)
}

// Restarted tells in a job's trail which lost tasks were assigned anew.
func (c schedulerCluster) Restarted(job *workload.Job, assigned []*workload.Assignment) {
	c.reconciler.RecordRestarts(job, assigned)
}

// Stop asks for a task to be stopped.
func (c schedulerCluster) Stop(assignment *workload.Assignment, grace ids.Seconds, reason string) {
	c.stopAssignment(assignment, grace, reason)
}

// RecordEvent adds a line to a job's trail.
func (c schedulerCluster) RecordEvent(job *workload.Job, format string, args ...any) {
	c.recordEvent(job, format, args...)
}

// QuotaForRelocated is what a job must leave of its team's quota to tasks that rollouts move.
func (c schedulerCluster) QuotaForRelocated(job *workload.Job) placement.Resources {
	return c.evictor.QuotaForRelocated(job)
}

// YieldLock lets heartbeats and commits at the cluster state for a moment.
func (c schedulerCluster) YieldLock() bool {
	c.mu.Unlock()
	runtime.Gosched()
	c.mu.Lock()
	return !c.closed
}
