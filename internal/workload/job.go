// Package workload holds the jobs of a leader's shard in its memory: what is stored of each, where
// its tasks are assigned, what failed and what was lost, and the decisions that need nothing else.
// It takes no lock and calls nothing out: internal/clusterstate's State guards it.
package workload

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/dependency"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// Job is a job in the leader's memory.
type Job struct {
	// Record is the job as it would be stored now, but for its assignments.
	Record record.Record
	// Revision is that of the stored record; writes are conditional on it.
	Revision ids.Revision
	// Version counts the changes made here; StoredVersion is the newest that the store surely has.
	Version, StoredVersion uint64
	// Ended tells that the final record is stored.
	Ended bool

	// Assignments are the tasks that are, or may be, on machines, by index.
	Assignments map[int]*Assignment
	// Retries are the tasks that failed, or were refused, by index.
	Retries  map[int]*Retry
	Failures FailureHistory
	Losses   LossHistory
	// RecordedOutcomes are the outcomes taken in, each with the version that holds it: the worker
	// is told to clear an outcome only once that version is stored.
	RecordedOutcomes map[TaskAttempt]uint64
	// ReadRequiredAfter holds starts back until the records were read in a read begun after it.
	ReadRequiredAfter time.Time
	// FinishedMayBeAssigned tells that a finished task may still be on a machine.
	FinishedMayBeAssigned bool

	// ChangedAt is when the oldest change that is not stored was made; Urgent tells that it must be
	// stored before anything can go on.
	ChangedAt time.Time
	Urgent    bool

	EncodedSize EncodedSize
	// MaxAssigned bounds the tasks assigned at a time, once a record did not fit; 0: no such bound.
	MaxAssigned int
	// Oversize tells that the record did not fit into a value when it was last encoded, and
	// OversizeVersion which version that was.
	Oversize        bool
	OversizeVersion uint64
	// KeptRuns is how many runs of finished tasks were kept to make the record fit; 0: all.
	KeptRuns int

	// PendingReason is why tasks wait now, LoggedReason the same as last logged.
	PendingReason, LoggedReason string
	LastSlice                   ArraySlice
	// Guaranteed tells that the job lies within its team's guarantee.
	Guaranteed bool
	// Inherited is the urgency of the jobs that depend on this one.
	Inherited dependency.Urgency
	// HasLasted tells that a start of the job was not undone at once, as far as this leader knows.
	HasLasted bool
	// UnassignedSince is when the last of its assignments was removed.
	UnassignedSince time.Time
	// ReservationSoughtAt is when machines to reserve were last looked for.
	ReservationSoughtAt time.Time
}

// NewJob takes a stored record in. Its assignments are added by the caller.
func NewJob(stored *record.Record, revision ids.Revision) *Job {
	version := max(stored.Seq, 1)
	return &Job{Record: *stored, Revision: revision, Version: version, StoredVersion: version,
		Assignments: map[int]*Assignment{}, Retries: map[int]*Retry{}, RecordedOutcomes: map[TaskAttempt]uint64{},
		HasLasted: stored.Attempt > 0} // an earlier leader knew more
}

// ID is the job's name.
func (j *Job) ID() ids.Job { return j.Record.Spec.ID }

// Unfinished counts the tasks that are not done.
func (j *Job) Unfinished() int { return j.Record.Spec.Tasks - j.Record.Finished.Len() }

// Schedulable tells whether tasks of the job may be started.
func (j *Job) Schedulable() bool {
	return !j.Ended && (j.Record.Status == record.Queued || j.Record.Status == record.Claimed) && j.Unfinished() > 0
}

// Unassigned counts the tasks that have no assignment yet.
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

// Cancelled tells whether the job's user was, or is about to be, told that it is cancelled.
func (j *Job) Cancelled() bool {
	return j.Record.Status == record.Cancelling || j.Record.Status == record.Cancelled
}

// EffectivePriority is the job's own, or a higher one of a job that depends on it.
func (j *Job) EffectivePriority() record.Priority {
	return max(j.Record.Spec.Priority, record.Priority(j.Inherited.Priority))
}

// CompareSubmission orders jobs by when they were submitted, equals by name.
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

// ArraySlice is how far assigning an array's tasks has got, lowest task first.
type ArraySlice struct {
	Attempt  ids.Attempt
	LastTask int
}

// ContinuesSlice tells whether assigning from task i on only goes on where the last slice left
// off. Then it is one claim with it and shares its attempt: no task above it was ever assigned under
// that. A record that had to name an attempt for every few tasks would hold a fraction of them.
func (j *Job) ContinuesSlice(i int) bool {
	return j.Record.Spec.Shape == record.Array && j.LastSlice.Attempt == j.Record.Attempt && j.Record.Attempt > 0 && i > j.LastSlice.LastTask
}

// StarvationTime is how long a job may wait to begin before it goes ahead of all but critical work:
// the largest too begin within four minutes.
const StarvationTime = 100 * time.Second

// StartProtectionTime is how long the beginning of a job that starved is not undone by preempting it
// for others but critical work: a start counts for its user only after that long (protocol, "How aims
// are counted").
const StartProtectionTime = 30 * time.Second

// Starving tells whether a job has waited so long to begin that it goes ahead of all but critical
// work. One whose tasks were all stopped again right after their start has not begun; its wait
// starts anew then, so that it does not come right back.
func (j *Job) Starving(now time.Time) bool {
	if begun := j.HasLasted && j.Record.Attempt > 0; begun || len(j.Assignments) > 0 || j.Record.Finished.Len() > 0 {
		return false
	}
	waitsSince := j.Record.EligibleSince().Time()
	if j.UnassignedSince.After(waitsSince) {
		waitsSince = j.UnassignedSince
	}
	return now.Sub(waitsSince) > StarvationTime
}
