package workload

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// Assignment is the assignment of a task to a machine, on which the task is or may be present. It counts
// against the team's quota and the machine's capacity from before it is stored in the job's record until the
// task is known to be gone from the machine.
type Assignment struct {
	Job         *Job
	TaskIndex   int
	Machine     ids.Machine
	Incarnation ids.Incarnation // of the worker to which the start command is sent
	Attempt     ids.Attempt
	// FencingToken is the highest token that the start command may have been sent with.
	FencingToken ids.Generation
	AssignedAt   time.Time

	// MarkerVersion is the first version of the job's record that contains the assignment. No start command
	// is sent before that version is stored.
	MarkerVersion uint64
	// StartSent is set if a start command may have been sent.
	StartSent bool
	// OfferedInHeartbeat is set if a start command was sent in the response to a heartbeat, and OfferedAt is
	// the sequence number of that heartbeat.
	OfferedInHeartbeat bool
	OfferedAt          ids.SequenceNumber

	// Confirmed is set once a report has shown the task on its machine. Status is the task's last reported
	// status.
	Confirmed    bool
	Status       string
	RunningSince time.Time // when the task was first reported as running
	// AwaitsImage is set while the task is counted among the machine's tasks that wait for an image.
	AwaitsImage bool

	// ProtectedUntil is the time until which only critical work may preempt the task.
	ProtectedUntil time.Time
	// Evicting is set if a rollout was permitted to stop the task.
	Evicting bool
	// Stopping is set once a stop has been requested; StopRequestedAt is the time of the request.
	Stopping        bool
	StopGrace       ids.Seconds // time that the task has to save a checkpoint
	StopRequestedAt time.Time
	StopSentAt      time.Time // when the stop command was last sent
	StopReason      string
}

// TaskAttempt identifies one start of a task on a machine.
type TaskAttempt struct {
	Task    ids.Task
	Attempt ids.Attempt
	Machine ids.Machine
}

// Task returns the task's job ID and index.
func (a *Assignment) Task() ids.Task { return ids.Task{Job: a.Job.ID(), Index: a.TaskIndex} }

// Key returns the identity of this start of the task.
func (a *Assignment) Key() TaskAttempt { return TaskAttempt{a.Task(), a.Attempt, a.Machine} }

// StopReasonText returns why the task was stopped, for the job's events.
func (a *Assignment) StopReasonText() string {
	if a.StopReason == "" {
		return "not asked for"
	}
	return a.StopReason
}

// graceMargin is added to twice the grace period: a task that is still saving its checkpoint after that time
// is stopped without a grace period.
const graceMargin = 3 * time.Second

// RemainingGrace returns the grace period to send with a stop command now. It is 0 once the task has been
// saving for far too long, so that a repeated stop command ends the task immediately.
func (a *Assignment) RemainingGrace(now time.Time) ids.Seconds {
	if a.StopGrace == 0 || now.Sub(a.StopRequestedAt) > 2*a.StopGrace.Duration()+graceMargin {
		return 0
	}
	return a.StopGrace
}

// CheckpointGrace returns the grace period that a task needs to save a checkpoint; 0 if the task saves none.
func (a *Assignment) CheckpointGrace() ids.Seconds {
	spec := &a.Job.Record.Spec
	if spec.CheckpointInterval <= 0 {
		return 0
	}
	return spec.CheckpointDuration*1.2 + 1
}

// LittleToSave reports whether a task's work since its last checkpoint is worth so little that critical
// work need not wait for another checkpoint.
func (a *Assignment) LittleToSave(now time.Time) bool {
	spec := &a.Job.Record.Spec
	if spec.JobType != record.Array || spec.CheckpointInterval <= 0 {
		return false
	}
	if a.RunningSince.IsZero() {
		return true
	}
	sinceCheckpoint := math.Mod(now.Sub(a.RunningSince).Seconds(), float64(spec.CheckpointInterval))
	return sinceCheckpoint <= 3*float64(spec.CheckpointDuration)
}

// The assumed cost of a stop, in seconds of work, of tasks whose cost does not depend on how long they ran.
const (
	notRunningCost = 0.1
	replicaCost    = 1000
)

// PreemptionCost returns the estimated cost of a stop of the task, in core-seconds: the time that the task
// has run or, if it saves checkpoints, the duration of a checkpoint. Replicas have a fixed cost per core.
func (a *Assignment) PreemptionCost(now time.Time) float64 {
	spec := &a.Job.Record.Spec
	if a.RunningSince.IsZero() {
		return notRunningCost * spec.Resources.Cores
	}
	ran := now.Sub(a.RunningSince).Seconds()
	if spec.CheckpointInterval > 0 {
		ran = float64(spec.CheckpointDuration)
	}
	if spec.JobType == record.Service {
		ran = replicaCost
	}
	return ran * spec.Resources.Cores
}

// ProtectedFrom reports whether the task must currently not be preempted for a job.
func (a *Assignment) ProtectedFrom(job *Job) bool {
	return job.EffectivePriority() < record.Critical && time.Now().Before(a.ProtectedUntil)
}

// FinishesWithin reports whether a task should finish within d, by its job's estimate.
func (a *Assignment) FinishesWithin(d time.Duration, now time.Time) bool {
	spec := &a.Job.Record.Spec
	if spec.JobType == record.Service || a.RunningSince.IsZero() {
		return false
	}
	return a.RunningSince.Add(spec.EstimatedDuration.Duration()).Before(now.Add(d))
}

// SortedTasks returns the indices of assigned tasks, lowest first.
func SortedTasks(assignments map[int]*Assignment) []int { return slices.Sorted(maps.Keys(assignments)) }

// GroupAssignments returns a job's assignments, and further planned ones, in the form in which its record
// stores them.
func GroupAssignments(assignments map[int]*Assignment, planned ...record.TaskAssignment) []record.AssignmentGroup {
	list := make([]record.TaskAssignment, 0, len(assignments)+len(planned))
	for _, assignment := range assignments {
		list = append(list, assignment.stored())
	}
	list = append(list, planned...)
	slices.SortFunc(list, func(x, y record.TaskAssignment) int { return cmp.Compare(x.Task, y.Task) })
	return record.GroupAssignments(list)
}

// stored returns the assignment as the job's record stores it.
func (a *Assignment) stored() record.TaskAssignment {
	location := record.Location{Machine: a.Machine, Incarnation: a.Incarnation, Attempt: a.Attempt, FencingToken: a.FencingToken}
	return record.TaskAssignment{Task: a.TaskIndex, Location: location}
}
