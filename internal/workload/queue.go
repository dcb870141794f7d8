package workload

import (
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Queue is the jobs of a shard, by name and in the order of their submission, and the names of those
// that ended lately. A job stays in it after its end for as long as tasks of it may be on machines.
type Queue struct {
	byID    map[ids.Job]*Job
	ordered []*Job
	retired map[ids.Job]bool
	// retiredOrder are the retired names, oldest first: their number is bounded.
	retiredOrder []ids.Job
}

// maxRetired bounds the names of ended jobs that are remembered: older news is not expected.
const maxRetired = 20000

// NewQueue makes an empty queue.
func NewQueue() *Queue { return &Queue{byID: map[ids.Job]*Job{}, retired: map[ids.Job]bool{}} }

// Get is a job by name; nil if it is not known.
func (q *Queue) Get(id ids.Job) *Job { return q.byID[id] }

// Holds tells whether this very job is in the queue.
func (q *Queue) Holds(job *Job) bool { return q.byID[job.ID()] == job }

// All are the jobs by name. Callers must not change the map.
func (q *Queue) All() map[ids.Job]*Job { return q.byID }

// Ordered are the jobs in the order of their submission. Callers must not change the list.
func (q *Queue) Ordered() []*Job { return q.ordered }

// Len counts the jobs.
func (q *Queue) Len() int { return len(q.byID) }

// Add adds a job.
func (q *Queue) Add(job *Job) {
	q.byID[job.ID()] = job
	at, _ := slices.BinarySearchFunc(q.ordered, job, CompareSubmission)
	q.ordered = slices.Insert(q.ordered, at, job)
}

// Remove takes a job out.
func (q *Queue) Remove(job *Job) {
	delete(q.byID, job.ID())
	if at, ok := slices.BinarySearchFunc(q.ordered, job, CompareSubmission); ok {
		q.ordered = slices.Delete(q.ordered, at, at+1)
	}
}

// Retire remembers that a job's end is stored: late news of it is not that of a new job.
func (q *Queue) Retire(id ids.Job) {
	if q.retired[id] {
		return
	}
	q.retired[id] = true
	q.retiredOrder = append(q.retiredOrder, id)
	if len(q.retiredOrder) > maxRetired {
		delete(q.retired, q.retiredOrder[0])
		q.retiredOrder = q.retiredOrder[1:]
	}
}

// IsRetired tells whether a job's end was stored in this term.
func (q *Queue) IsRetired(id ids.Job) bool { return q.retired[id] }

// Retired counts the retired names that are remembered.
func (q *Queue) Retired() int { return len(q.retired) }
