package clusterstate

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// HandleCancellation records that a job's cancellation is stored under its own key, apart from the job's
// record, or, if removed is set, that this key was deleted.
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

// applyCancellation implements HandleCancellation for a stored cancellation, with the lock held. A job that
// is loaded later is cancelled by addJob.
func (c *State) applyCancellation(id ids.Job, revision ids.Revision) {
	c.cancellations[id] = revision
	if job := c.jobs.Get(id); job != nil && !job.Ended {
		c.applyConfirmedCancellation(job)
		c.markChanged(job)
	}
}

// applyConfirmedCancellation cancels a job whose cancellation another controller has confirmed to the user.
// If the job is done but its end is not stored yet, it still ends as cancelled, since that was
// reported to the user first.
func (c *State) applyConfirmedCancellation(job *workload.Job) {
	if job.Cancelled() {
		return
	}
	if job.Record.Status == record.Done {
		job.Record.Status = record.Claimed
	}
	c.cancelJob(job)
}
