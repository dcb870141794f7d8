package claim

import (
	"context"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// LearnCancellation takes in that a job's cancellation is stored apart from its record,
// or, with removed, that it is no longer.
func (b *ClusterState) LearnCancellation(id ids.Job, stamp ids.Revision, removed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if stamp <= b.cancellations[id] {
		return
	}
	if removed {
		delete(b.cancellations, id)
		return
	}
	b.learnCancellation(id, stamp)
}

// learnCancellation is LearnCancellation under the lock. A job that is loaded later is
// cancelled then, see addJob.
func (b *ClusterState) learnCancellation(id ids.Job, stamp ids.Revision) {
	b.cancellations[id] = stamp
	if j := b.jobs[id]; j != nil && !j.ended {
		b.cancelTold(j)
		b.touch(j)
	}
}

// cancelTold cancels a job whose user was told so by another controller. A completion
// that only this memory knows came too late: what is told first stands.
func (b *ClusterState) cancelTold(j *Job) {
	if j.cancelled() {
		return
	}
	if j.Rec.Status == record.Done {
		j.Rec.Status = record.Claimed
	}
	b.cancel(j)
}

// readCancellation finds out why a write was refused for a cancellation stored apart
// from the job's record; it is false if the state service does not tell.
func (c *Committer) readCancellation(ctx context.Context, id ids.Job) bool {
	entry, found, err := c.State.Get(ctx, record.CancelKey(id), state.Urgent)
	if err != nil {
		return false
	}
	b := c.Cluster
	b.mu.Lock()
	defer b.mu.Unlock()
	if found {
		b.learnCancellation(id, entry.Revision)
	} else {
		delete(b.cancellations, id)
	}
	return true
}
