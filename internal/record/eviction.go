package record

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Eviction is a set of tasks of one attempt that a wave of a rollout has stopped or is about to stop. It
// is stored before the stop commands are sent and stays until the tasks run again, so that a new leader
// knows which tasks of a team are down. Task and attempt together identify the start that is stopped.
//
// Versions of this program without drains drop evictions when they write the record. Services are not
// affected, because their replicas count as down while they are not known to run. Other tasks no longer
// count as interrupted (docs/drains.md).
type Eviction struct {
	Rollout string       `json:"by"`
	Wave    int          `json:"wave"`
	Attempt ids.Attempt  `json:"a"`
	Tasks   ids.IndexSet `json:"tasks"`
}

const (
	// evictionSizeDivisor divides the maximum size of a value to give the maximum size of a record's
	// evictions. The rest is for the assignments, without which no task of the job runs.
	evictionSizeDivisor = 8
	// evictionOverheadBytes is the largest encoded size of an eviction without its rollout and tasks, that of
	// the list of evictions included.
	evictionOverheadBytes = 64
)

// EvictionsFit reports whether the job's evictions fit into their share of a value of limit bytes.
func (r *Record) EvictionsFit(limit int) bool {
	size := 0
	for i := range r.Evictions {
		eviction := &r.Evictions[i]
		size += evictionOverheadBytes + len(eviction.Rollout) + len(eviction.Tasks.String())
	}
	return size <= limit/evictionSizeDivisor
}

// maxIndexBytes is the largest encoded size of a task's index in a list of tasks.
const maxIndexBytes = 7

// MaxEvictionSize returns how many bytes the eviction of tasks of one attempt adds to a record at most.
// separate is the number of tasks whose indexes don't adjoin.
func MaxEvictionSize(rollout string, separate int) int {
	return evictionOverheadBytes + len(rollout) + separate*maxIndexBytes
}

// AddEviction adds a task to the job's evictions, in place of any earlier eviction of the task.
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

// EvictedAttempt returns the attempt of a task that was evicted; evicted is false if none was.
func (r *Record) EvictedAttempt(task int) (attempt ids.Attempt, evicted bool) {
	for i := range r.Evictions {
		if r.Evictions[i].Tasks.Contains(task) {
			return r.Evictions[i].Attempt, true
		}
	}
	return 0, false
}

// RetainEvictions removes the evictions of tasks for which keep returns false, and reports whether it
// removed any.
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

// EvictedTasks returns the number of evicted tasks.
func (r *Record) EvictedTasks() int {
	count := 0
	for i := range r.Evictions {
		count += r.Evictions[i].Tasks.Len()
	}
	return count
}
