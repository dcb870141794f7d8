package clusterstate

import (
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/dependency"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// lookupRetryDelay is the delay after which an ended job that was not found is looked up again.
const lookupRetryDelay = time.Second

// scheduleLookup schedules a lookup of how a job ended.
func (t *dependencyTracker) scheduleLookup(id ids.Job, now time.Time) {
	if _, scheduled := t.lookups[id]; !scheduled {
		t.lookups[id] = now
	}
}

// scheduleLookupIfPrerequisite schedules a lookup of how a job ended if waiting jobs depend on it and its
// outcome is not known.
func (t *dependencyTracker) scheduleLookupIfPrerequisite(id ids.Job) {
	if t.graph.HasDependents(id) && t.graph.Outcome(id) == dependency.Unknown {
		t.scheduleLookup(id, time.Now())
	}
}

// dueLookups implements State.DueLookups.
func (t *dependencyTracker) dueLookups(now time.Time) []ids.Job {
	var due []ids.Job
	for id, dueAt := range t.lookups {
		if job := t.jobs.Get(id); t.waiting[id] != nil || job != nil && !job.Ended {
			delete(t.lookups, id) // the job became known after the lookup was scheduled
		} else if !dueAt.After(now) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

// retryLookup implements State.RetryLookup.
func (t *dependencyTracker) retryLookup(id ids.Job, now time.Time) {
	t.lookups[id] = now.Add(lookupRetryDelay)
}

// lookupNotFound implements State.LookupNotFound; live is set if the job is live in another shard.
func (t *dependencyTracker) lookupNotFound(id ids.Job, live bool, now time.Time) (readLive bool) {
	if live {
		delete(t.lookups, id)
		return false
	}
	t.retryLookup(id, now)
	return t.inShard(id)
}
