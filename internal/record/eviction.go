package record

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Eviction is tasks of one attempt that a wave of a rollout may stop, and has stopped since or is
// about to. It is stored before the stop is sent and stays until the tasks run again, so that a
// new leader knows what a team has down. Task and attempt together identify the start that is
// stopped.
//
// A version of this program from before drains drops it when it writes the record. That leaves
// services as they are, whose replicas count as down while they are not known to run; of other
// tasks it forgets that they are interrupted (docs/drains.md).
type Eviction struct {
	Rollout string       `json:"by"`
	Wave    int          `json:"wave"`
	Attempt ids.Attempt  `json:"a"`
	Tasks   ids.IndexSet `json:"tasks"`
}

const (
	// evictionShare is the divisor of a value's size that gives what a record's evictions may
	// take: the rest is for the assignments, without which nothing of the job runs.
	evictionShare = 8
	// evictionOverheadBytes is about what an eviction takes beside its rollout and tasks.
	evictionOverheadBytes = 64
)

// EvictionsFit reports whether the job's evictions take no more than their share of a value of
// limit bytes.
func (r *Record) EvictionsFit(limit int) bool {
	size := 0
	for i := range r.Evictions {
		eviction := &r.Evictions[i]
		size += evictionOverheadBytes + len(eviction.Rollout) + len(eviction.Tasks.String())
	}
	return size <= limit/evictionShare
}

// AddEviction adds a task to the job's evictions, in place of an eviction of an earlier attempt.
func (r *Record) AddEviction(task int, attempt ids.Attempt, rollout string, wave int) {
	r.RetainEvictions(func(other int, _ ids.Attempt) bool { return other != task })
	for i := range r.Evictions {
		eviction := &r.Evictions[i]
		if eviction.Rollout == rollout && eviction.Wave == wave && eviction.Attempt == attempt {
			eviction.Tasks.Add(task)
			return
		}
	}
	added := Eviction{Rollout: rollout, Wave: wave, Attempt: attempt}
	added.Tasks.Add(task)
	r.Evictions = append(r.Evictions, added)
}

// EvictedAttempt returns the attempt under which a task was evicted, and whether it was.
func (r *Record) EvictedAttempt(task int) (attempt ids.Attempt, evicted bool) {
	for i := range r.Evictions {
		if r.Evictions[i].Tasks.Contains(task) {
			return r.Evictions[i].Attempt, true
		}
	}
	return 0, false
}

// RetainEvictions drops the evictions of tasks for which keep is false, and reports whether there
// were any.
func (r *Record) RetainEvictions(keep func(task int, attempt ids.Attempt) bool) (dropped bool) {
	var kept []Eviction
	for i := range r.Evictions {
		eviction := r.Evictions[i]
		var tasks ids.IndexSet
		eviction.Tasks.Each(func(task int) {
			if keep(task, eviction.Attempt) {
				tasks.Add(task)
			}
		})
		dropped = dropped || tasks.Len() < eviction.Tasks.Len()
		if tasks.Len() > 0 {
			eviction.Tasks = tasks
			kept = append(kept, eviction)
		}
	}
	if dropped {
		r.Evictions = kept
	}
	return dropped
}

// EvictedTasks counts the evicted tasks.
func (r *Record) EvictedTasks() int {
	count := 0
	for i := range r.Evictions {
		count += r.Evictions[i].Tasks.Len()
	}
	return count
}
