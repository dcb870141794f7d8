package claim

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/dispatch"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// books lets the queue of commands change jobs and assignments. It is called under the cluster state's
// lock.
type books struct{ cluster *ClusterState }

// RemoveAssignment takes an assignment off the books.
func (b books) RemoveAssignment(assignment *workload.Assignment) {
	b.cluster.removeAssignment(assignment)
}

// MarkChanged notes that a job's record changed.
func (b books) MarkChanged(job *workload.Job) { b.cluster.markChanged(job) }

// MarkUrgent has a job's record stored at once.
func (b books) MarkUrgent(job *workload.Job) { b.cluster.markUrgent(job) }

// FinishIfComplete moves a job to its final status when nothing is left of it.
func (b books) FinishIfComplete(job *workload.Job) { b.cluster.finishIfComplete(job) }

// NextBatches takes the commands that may go out now, for at most so many machines.
func (c *ClusterState) NextBatches(limit int) []dispatch.Batch {
	starts, recordsRead := c.StartsAllowed()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	permission := dispatch.Permission{FencingToken: c.generation, Starts: starts, RecordsRead: recordsRead}
	return c.commands.NextBatches(limit, permission, time.Now())
}

// BatchAnswered takes in what became of a batch of commands.
func (c *ClusterState) BatchAnswered(batch dispatch.Batch, outcome worker.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands.Answered(batch, outcome)
}

// DueProbes takes the machines to probe now, with at most so many probes in flight.
func (c *ClusterState) DueProbes(now time.Time, limit int) []dispatch.Probe {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.prober.Due(now, limit, c.generation)
}

// ProbeAnswered takes in whether a machine answered a probe.
func (c *ClusterState) ProbeAnswered(name ids.Machine, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if machine := c.prober.Answered(name, answered); machine != nil {
		c.commands.RecordReachability(machine, answered)
	}
}
