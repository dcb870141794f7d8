package clusterstate

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// HandleCancellation takes in that a job's cancellation is stored apart from its record,
// or, with removed, that it is no longer.
func (c *State) HandleCancellation(id ids.Job, revision ids.Revision, removed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.cancellations[id] {
		return
	}
	if removed {
		delete(c.cancellations, id)
		return
	}
	c.applyCancellation(id, revision)
}

// applyCancellation is HandleCancellation under the lock. A job that is loaded later is
// cancelled then, see addJob.
func (c *State) applyCancellation(id ids.Job, revision ids.Revision) {
	c.cancellations[id] = revision
	if job := c.jobs.Get(id); job != nil && !job.Ended {
		c.cancelConfirmed(job)
		c.markChanged(job)
	}
}

// cancelConfirmed cancels a job whose user was told so by another controller. A completion
// that only this memory knows came too late: what is told first stands.
func (c *State) cancelConfirmed(job *workload.Job) {
	if job.Cancelled() {
		return
	}
	if job.Record.Status == record.Done {
		job.Record.Status = record.Claimed
	}
	c.cancelJob(job)
}
