package clusterstate

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// HandleWaitingJob takes in a job that awaits others, or that it no longer does; rec is
// nil then.
func (c *State) HandleWaitingJob(id ids.Job, revision ids.Revision, rec *record.Record, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dependencies.handleWaitingJob(id, revision, rec, now)
}

// LoadWaitingJobs adds, at a takeover, the jobs that wait; those they await are loaded.
func (c *State) LoadWaitingJobs(records map[ids.Job]*record.Record, revisions map[ids.Job]ids.Revision, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dependencies.load(records, revisions, now)
}

// HandleOtherShardChange takes in that something changed of a job of another shard.
func (c *State) HandleOtherShardChange(id ids.Job, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dependencies.handleOtherShardChange(id, now)
}

// DueLookups lists, in the order of their keys, the ended jobs to look up now.
func (c *State) DueLookups(now time.Time) []ids.Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dependencies.dueLookups(now)
}

// RetryLookup puts off looking a job up that could not be read.
func (c *State) RetryLookup(id ids.Job, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dependencies.retryLookup(id, now)
}

// LookupFound takes in how a job ended.
func (c *State) LookupFound(id ids.Job, status record.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dependencies.jobEnded(id, status)
}

// LookupMissed takes in that a job has no final record; readLive tells that it may be live after all, by a
// write of this leader's without an answer. Of a live job of another shard a change will tell.
func (c *State) LookupMissed(id ids.Job, now time.Time) (readLive bool) {
	_, live := c.StatusInOtherShard(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dependencies.lookupMissed(id, live, now)
}

// LiveRecordFound takes in a live record that this leader wrote but does not know of.
func (c *State) LiveRecordFound(stored *record.Record, revision ids.Revision, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := stored.Spec.ID
	if c.jobs.Get(id) == nil && !c.jobs.IsRetired(id) && !stored.Status.IsTerminal() {
		c.addJob(stored, revision, now)
		wait.Signal(c.planSignal)
	}
}

// MoveFound takes in that a waiting job's move was stored.
func (c *State) MoveFound(waiting *workload.WaitingJob, stored *record.Record, revision ids.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dependencies.waitingJobMoved(commit.Change{Waiting: waiting, Becomes: stored}, revision, time.Now())
}

// MoveNotFound takes in that a waiting job is neither waiting nor schedulable any more.
func (c *State) MoveNotFound(waiting *workload.WaitingJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dependencies.moveNotFound(waiting)
}
