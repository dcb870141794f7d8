package clusterstate

import (
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// lookupRetryDelay is when an ended job that was not found is looked up again.
const lookupRetryDelay = time.Second

// DueLookups lists, in the order of their keys, the ended jobs to look up now.
func (c *State) DueLookups(now time.Time) []ids.Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []ids.Job
	for id, at := range c.dependencies.lookups {
		if job := c.jobs.Get(id); c.dependencies.waiting[id] != nil || job != nil && !job.Ended {
			delete(c.dependencies.lookups, id) // here after all: it was learned of later
		} else if !at.After(now) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

// RetryLookup puts off looking a job up that could not be read.
func (c *State) RetryLookup(id ids.Job, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dependencies.lookups[id] = now.Add(lookupRetryDelay)
}

// LookupFound takes in how a job ended.
func (c *State) LookupFound(id ids.Job, status record.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobEnded(id, status)
}

// LookupMissed takes in that a job has no final record; readLive tells that it may be live after all, by a
// write of this leader's without an answer. Of a live job of another shard a change will tell.
func (c *State) LookupMissed(id ids.Job, now time.Time) (readLive bool) {
	_, live := c.StatusInOtherShard(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if live {
		delete(c.dependencies.lookups, id)
		return false
	}
	c.dependencies.lookups[id] = now.Add(lookupRetryDelay)
	return c.inShard(id)
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
