package clusterstate

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// HandleWaitingJob records that a job waits for other jobs, or, if rec is nil, that it no longer does.
func (c *State) HandleWaitingJob(id ids.Job, revision ids.Revision, rec *record.Record, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dependencies.handleWaitingJob(id, revision, rec, now)
}

// LoadWaitingJobs adds the waiting jobs at a takeover. The jobs that they depend on must be loaded already.
func (c *State) LoadWaitingJobs(records map[ids.Job]*record.Record, revisions map[ids.Job]ids.Revision, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dependencies.load(records, revisions, now)
}

// HandleOtherShardChange updates the dependents of a job of another shard after that job changed.
func (c *State) HandleOtherShardChange(id ids.Job, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dependencies.handleOtherShardChange(id, now)
}

// DueLookups returns the ended jobs whose outcomes are to be looked up now, in the order of their keys.
func (c *State) DueLookups(now time.Time) []ids.Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dependencies.dueLookups(now)
}

// RetryLookup postpones the lookup of a job that could not be read.
func (c *State) RetryLookup(id ids.Job, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dependencies.retryLookup(id, now)
}

// LookupFound records how a job ended.
func (c *State) LookupFound(id ids.Job, status record.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dependencies.recordOutcome(id, status)
}

// LookupNotFound records that a job has no final record. readLive reports whether the job may be live after
// all, because of a write by this leader that was not answered. A job that is live in another shard needs
// no other lookup: its end will arrive as a change.
func (c *State) LookupNotFound(id ids.Job, now time.Time) (readLive bool) {
	_, live := c.StatusInOtherShard(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dependencies.lookupNotFound(id, live, now)
}

// LiveRecordFound adds the job of a live record that this leader wrote without learning that it was stored.
func (c *State) LiveRecordFound(stored *record.Record, revision ids.Revision, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := stored.Spec.ID
	if c.jobs.Get(id) == nil && !c.jobs.IsRetired(id) && !stored.Status.IsTerminal() {
		c.addJob(stored, revision, now)
		wait.Signal(c.planSignal)
	}
}

// MoveFound records that the move of a waiting job to the schedulable jobs was stored.
func (c *State) MoveFound(waiting *workload.WaitingJob, stored *record.Record, revision ids.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dependencies.recordMove(commit.Change{Waiting: waiting, MovedRecord: stored}, revision, time.Now())
}

// MoveNotFound records that a job is stored neither as waiting nor as schedulable any more.
func (c *State) MoveNotFound(waiting *workload.WaitingJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dependencies.moveNotFound(waiting)
}
