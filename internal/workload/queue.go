package workload

import (
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Queue contains the jobs of a shard and the IDs of jobs that ended recently. A job that has ended stays in
// the queue while tasks of the job may still be on machines.
type Queue struct {
	byID    map[ids.Job]*Job
	ordered []*Job // by submission
	retired map[ids.Job]bool
	// retiredOrder contains the retired IDs, oldest first.
	retiredOrder []ids.Job
}

// maxRetired bounds the number of retired IDs. Reports about jobs that ended longer ago are not expected.
const maxRetired = 20000

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{byID: map[ids.Job]*Job{}, retired: map[ids.Job]bool{}} }

// Get returns a job by ID; nil if the job is not in the queue.
func (q *Queue) Get(id ids.Job) *Job { return q.byID[id] }

// Contains reports whether this very job, and not another job with the same ID, is in the queue.
func (q *Queue) Contains(job *Job) bool { return q.byID[job.ID()] == job }

// All returns the jobs by ID. Callers must not change the map.
func (q *Queue) All() map[ids.Job]*Job { return q.byID }

// Ordered returns the jobs in order of submission. Callers must not change the slice.
func (q *Queue) Ordered() []*Job { return q.ordered }

// Len returns the number of jobs.
func (q *Queue) Len() int { return len(q.byID) }

// Add adds a job to the queue.
func (q *Queue) Add(job *Job) {
	q.byID[job.ID()] = job
	at, _ := slices.BinarySearchFunc(q.ordered, job, CompareSubmission)
	q.ordered = slices.Insert(q.ordered, at, job)
}

// Remove removes a job from the queue.
func (q *Queue) Remove(job *Job) {
	delete(q.byID, job.ID())
	if at, ok := slices.BinarySearchFunc(q.ordered, job, CompareSubmission); ok {
		q.ordered = slices.Delete(q.ordered, at, at+1)
	}
}

// Retire records the ID of a job whose final record is stored, so that a late message about the job is not
// mistaken for one about a new job.
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

// IsRetired reports whether a job's final record was stored in this term and its ID is still recorded.
func (q *Queue) IsRetired(id ids.Job) bool { return q.retired[id] }

// RetiredCount returns the number of recorded IDs of retired jobs.
func (q *Queue) RetiredCount() int { return len(q.retired) }
