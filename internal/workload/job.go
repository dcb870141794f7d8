// Package workload holds the jobs of a shard in the leader's memory: their records, the assignments of
// their tasks, the failures and losses of tasks, and the decisions that depend on nothing else.
//
// The package has no lock: the lock of the cluster state that the jobs belong to guards them. Nothing here
// blocks or calls other components.
package workload

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/dependency"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// Job is a job in the leader's memory.
type Job struct {
	// Record is the job's record as it would be stored now, except for the assignments.
	Record record.Record
	// Revision is the revision of the stored record; writes are conditional on it.
	Revision ids.Revision
	// Version is incremented with each change in memory. StoredVersion is the newest version that is known to
	// be stored.
	Version, StoredVersion uint64
	// Ended is set once the final record is stored.
	Ended bool

	// Assignments are the tasks that are or may be on machines, by index.
	Assignments map[int]*Assignment
	// Retries are the tasks that failed or that a worker refused, by index.
	Retries  map[int]*Retry
	Failures FailureHistory
	Losses   LossHistory
	// RecordedOutcomes are the task outcomes that Record contains, each with the version that added it. The
	// worker is instructed to clear an outcome only after that version is stored.
	RecordedOutcomes map[TaskAttempt]uint64
	// ReadRequiredAfter delays starts of the job's tasks: the records must first be read by a read that began
	// after this time.
	ReadRequiredAfter time.Time
	// FinishedMayBeAssigned is set if a finished task may still be on a machine.
	FinishedMayBeAssigned bool

	// ChangedAt is the time of the oldest change that is not stored yet.
	ChangedAt time.Time
	// Urgent is set if another operation waits for the changes to be stored.
	Urgent bool

	EncodedSize EncodedSize
	// EstimateTooLow is set once a record of the job was larger than estimated, so that it could not be stored.
	// From then on every further assignment is measured before it is made.
	EstimateTooLow bool
	// Room is what was last measured of the room for assignments in the record.
	Room RecordRoom
	// Oversize is set if the record was too large to be stored when it was last encoded, and
	// OversizeVersion is the version that was encoded then.
	Oversize        bool
	OversizeVersion uint64
	// KeptSpans is the number of runs of consecutive finished tasks that were kept to make the record fit into a
	// value of the state service; 0: all.
	KeptSpans int

	// TasksPerMachine is how many tasks of a gang must share each machine so that its record fits into a value;
	// 0: they need not share machines.
	TasksPerMachine int

	// PendingReason is the reason why tasks are pending, and LoggedReason is the reason that was last logged.
	PendingReason, LoggedReason string
	LastSlice                   ArraySlice
	// Guaranteed is set if the job is within its team's guarantee.
	Guaranteed bool
	// Inherited is the urgency that the job inherits from the jobs that depend on it.
	Inherited dependency.Urgency
	// StartLasted is set if the job was started and, as far as this leader knows, its tasks were not all
	// stopped again right after their start.
	StartLasted bool
	// UnassignedSince is when the job's last assignment was removed.
	UnassignedSince time.Time
	// LastReservationAttempt is when the scheduler last looked for machines to reserve for the job.
	LastReservationAttempt time.Time
}

// NewJob returns the job of a stored record. The caller adds its assignments.
func NewJob(stored *record.Record, revision ids.Revision) *Job {
	version := max(stored.Seq, 1)
	return &Job{Record: *stored, Revision: revision, Version: version, StoredVersion: version,
		Assignments: map[int]*Assignment{}, Retries: map[int]*Retry{}, RecordedOutcomes: map[TaskAttempt]uint64{},
		StartLasted: stored.Attempt > 0} // assumed, since only an earlier leader knew whether the start lasted
}

// ID returns the job's ID.
func (j *Job) ID() ids.Job { return j.Record.Spec.ID }

// Unfinished returns the number of tasks that are not finished.
func (j *Job) Unfinished() int { return j.Record.Spec.Tasks - j.Record.Finished.Len() }

// Schedulable reports whether tasks of the job may be started.
func (j *Job) Schedulable() bool {
	return !j.Ended && (j.Record.Status == record.Queued || j.Record.Status == record.Claimed) && j.Unfinished() > 0
}

// Unassigned returns the number of unfinished tasks without an assignment.
func (j *Job) Unassigned() int {
	n := j.Unfinished() - len(j.Assignments)
	if j.FinishedMayBeAssigned {
		for i := range j.Assignments {
			if j.Record.Finished.Contains(i) {
				n++
			}
		}
	}
	return n
}

// Cancelled reports whether the job has been, or is about to be, reported to its user as cancelled.
func (j *Job) Cancelled() bool {
	return j.Record.Status == record.Cancelling || j.Record.Status == record.Cancelled
}

// EffectivePriority returns the highest of the job's own priority and those of the jobs that depend on it.
func (j *Job) EffectivePriority() record.Priority {
	return max(j.Record.Spec.Priority, record.Priority(j.Inherited.Priority))
}

// CompareSubmission orders jobs by their time of submission, then by ID.
func CompareSubmission(x, y *Job) int {
	switch a, b := &x.Record, &y.Record; {
	case a.Submitted < b.Submitted:
		return -1
	case a.Submitted > b.Submitted:
		return 1
	case a.Spec.ID < b.Spec.ID:
		return -1
	case a.Spec.ID > b.Spec.ID:
		return 1
	}
	return 0
}

// ArraySlice is a range of tasks of an array, up to LastTask, that were assigned under the same attempt.
type ArraySlice struct {
	Attempt  ids.Attempt
	LastTask int
}

// ContinuesSlice reports whether assigning tasks from index i on continues the last slice. If so, the tasks
// share the slice's attempt, under which no task with a higher index has been assigned. A record that had to
// contain a separate attempt for every few tasks would have room for only a fraction of the assignments.
func (j *Job) ContinuesSlice(i int) bool {
	return j.Record.Spec.JobType == record.Array && j.LastSlice.Attempt == j.Record.Attempt && j.Record.Attempt > 0 && i > j.LastSlice.LastTask
}

// StarvationTime is how long a job waits for its first start before it is scheduled ahead of all but critical
// jobs. With this value, even the largest jobs start within four minutes.
const StarvationTime = 100 * time.Second

// StartProtectionTime is how long the first tasks of a job that starved are protected from preemption, except
// for critical jobs. A start counts for the job's user only if it lasts that long (protocol, "How aims are
// counted").
const StartProtectionTime = 30 * time.Second

// Starving reports whether a job has waited so long for its first start that it is scheduled ahead of all but
// critical jobs. A job whose tasks were all stopped again right after their start counts as not started. Its
// wait restarts when they are stopped, so that it does not immediately preempt other jobs again.
func (j *Job) Starving(now time.Time) bool {
	if started := j.StartLasted && j.Record.Attempt > 0; started || len(j.Assignments) > 0 || j.Record.Finished.Len() > 0 {
		return false
	}
	waitingSince := j.Record.EligibleSince().Time()
	if j.UnassignedSince.After(waitingSince) {
		waitingSince = j.UnassignedSince
	}
	return now.Sub(waitingSince) > StarvationTime
}
