package record

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Eviction is tasks that a drain may stop, and has stopped since or is about to. It is stored
// before the stop is sent and stays until the tasks run again, so that a new leader knows what a
// team has down. A start is named by task and attempt, so that names what is stopped.
//
// A version from before drains drops it when it writes the record. That leaves services as they
// are, whose replicas count as down while they are not known to run; of other tasks it forgets
// that they are interrupted (docs/drains.md).
type Eviction struct {
	Rollout string      `json:"by"`
	Wave    int         `json:"wave"`
	Attempt ids.Attempt `json:"a"`
	Tasks   ids.Ranges  `json:"tasks"`
}

// evictionShare is how much of a value a record's evictions may take: the rest is for the
// places, without which nothing of the job runs.
const evictionShare = 8

// evictionBytes is about what an eviction takes beside its tasks.
const evictionBytes = 64

// EvictionsFit tells whether a job's evictions take no more than their share of a value of so
// many bytes.
func (r *Record) EvictionsFit(limit int) bool {
	size := 0
	for i := range r.Evictions {
		e := &r.Evictions[i]
		size += evictionBytes + len(e.Rollout) + len(e.Tasks.String())
	}
	return size <= limit/evictionShare
}

// Evict adds a task to the job's evictions, in place of one of an earlier attempt.
func (r *Record) Evict(task int, attempt ids.Attempt, rollout string, wave int) {
	r.KeepEvictions(func(other int, _ ids.Attempt) bool { return other != task })
	for i := range r.Evictions {
		if e := &r.Evictions[i]; e.Rollout == rollout && e.Wave == wave && e.Attempt == attempt {
			e.Tasks.Add(task)
			return
		}
	}
	added := Eviction{Rollout: rollout, Wave: wave, Attempt: attempt}
	added.Tasks.Add(task)
	r.Evictions = append(r.Evictions, added)
}

// EvictedAttempt is the attempt under which a task was evicted.
func (r *Record) EvictedAttempt(task int) (attempt ids.Attempt, evicted bool) {
	for i := range r.Evictions {
		if r.Evictions[i].Tasks.Has(task) {
			return r.Evictions[i].Attempt, true
		}
	}
	return 0, false
}

// KeepEvictions drops the evictions of tasks for which keep is false; it tells whether there
// were any.
func (r *Record) KeepEvictions(keep func(task int, attempt ids.Attempt) bool) (dropped bool) {
	var kept []Eviction
	for i := range r.Evictions {
		e := r.Evictions[i]
		var tasks ids.Ranges
		e.Tasks.Each(func(task int) {
			if keep(task, e.Attempt) {
				tasks.Add(task)
			}
		})
		dropped = dropped || tasks.Len() < e.Tasks.Len()
		if tasks.Len() > 0 {
			e.Tasks = tasks
			kept = append(kept, e)
		}
	}
	if dropped {
		r.Evictions = kept
	}
	return dropped
}

// Evicted counts the tasks evicted.
func (r *Record) Evicted() (n int) {
	for i := range r.Evictions {
		n += r.Evictions[i].Tasks.Len()
	}
	return n
}
