package claim

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/dependency"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// Assignment is a task on, or perhaps on, a machine. It counts against quota and
// room from before its marker is written until it is proven gone.
type Assignment struct {
	Job          *Job
	TaskIndex    int
	Machine      ids.Machine
	Incarnation  ids.Session
	Attempt      ids.Attempt
	FencingToken ids.Generation // generation its start goes out under

	ProtectedUntil     time.Time // it is stopped for critical work only until then
	AwaitsImage        bool      // counted among those that wait for an image
	MarkerVersion      uint64    // the job's version that first holds it
	StartSent          bool      // a start may have gone out
	OfferedAt          ids.Tick
	OfferedInHeartbeat bool // a start went out in a beat answer
	Confirmed          bool // a report showed it
	Status             string
	AssignedAt         time.Time // placed
	RunningSince       time.Time // first seen running

	Evicting        bool // a rollout's permit to stop it was decided
	Stopping        bool
	StopGrace       ids.Seconds
	StopRequestedAt time.Time
	StopSentAt      time.Time
	StopReason      string
}

// Task is the task's name.
func (assignment *Assignment) Task() ids.Task {
	return ids.Task{Job: assignment.Job.Record.Spec.ID, Index: assignment.TaskIndex}
}

type Retry struct {
	Failures  int
	NotBefore time.Time
	Avoid     map[ids.Machine]bool
}

type TaskAttempt struct {
	Task    ids.Task
	Attempt ids.Attempt
	Machine ids.Machine
}

// Job is a job in the leader's memory.
type Job struct {
	Record      record.Record
	Revision    ids.Revision
	Assignments map[int]*Assignment
	Retries     map[int]*Retry
	// Version counts changes here; saved is the newest the store surely has.
	Version, StoredVersion uint64
	RecordedOutcomes       map[TaskAttempt]uint64 // outcome -> version that holds it
	ReadRequiredAfter      time.Time              // its starts wait for a read of the records that began after this
	Ended                  bool                   // its final record is stored
	KnownSince             time.Time
	PendingReason          string // why tasks wait now
	LoggedReason           string // the same, as last logged
	MaxAssigned            int    // tasks claimed at a time, once a marker did not fit; 0: no such bound
	LastSlice              ArraySlice
	EncodedSize            struct {
		PerAssignment float64 // bytes that a place took when last stored
		Rest          int     // and all the rest of the record
		Description   int     // and the description alone
	}
	Oversize              bool      // its record did not fit into a value when last encoded
	OversizeVersion       uint64    // the version that did not fit
	KeptRuns              int       // runs of finished tasks that were kept to make it fit; 0: all
	HasLasted             bool      // a start of it was not undone at once, as far as this leader knows
	UnassignedSince       time.Time // when its last place was dropped
	FinishedMayBeAssigned bool      // a finished task may still have a place
	ChangedAt             time.Time
	Urgent                bool // what changed must be stored before anything can go on
	Guaranteed            bool // lies within its team's guarantee
	Failures              FailureHistory
	Losses                LossHistory
	ReservationSoughtAt   time.Time // when machines to set aside were last looked for
	// Inherited is the urgency of the jobs that await this one.
	Inherited dependency.Urgency
}

func (job *Job) Unfinished() int { return job.Record.Spec.Tasks - job.Record.Finished.Len() }

// Schedulable tells whether tasks of the job may be started.
func (job *Job) Schedulable() bool {
	return !job.Ended && (job.Record.Status == record.Queued || job.Record.Status == record.Claimed) && job.Unfinished() > 0
}

// Unassigned counts the tasks that have no place yet.
func (job *Job) Unassigned() int {
	n := job.Unfinished() - len(job.Assignments)
	if job.FinishedMayBeAssigned {
		for i := range job.Assignments {
			if job.Record.Finished.Has(i) {
				n++
			}
		}
	}
	return n
}

func (job *Job) Cancelled() bool {
	return job.Record.Status == record.Cancelling || job.Record.Status == record.Cancelled
}
