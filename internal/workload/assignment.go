package workload

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// Assignment is a task on, or perhaps on, a machine. It counts against the team's quota and the
// machine's capacity from before its marker is stored until it is proven gone.
type Assignment struct {
	Job         *Job
	TaskIndex   int
	Machine     ids.Machine
	Incarnation ids.Incarnation // of the worker to which the start goes
	Attempt     ids.Attempt
	// FencingToken is the generation under which the start goes out.
	FencingToken ids.Generation
	AssignedAt   time.Time

	// MarkerVersion is the job's version that first holds the assignment: no start goes out before
	// that is stored.
	MarkerVersion uint64
	// StartSent tells that a start may have gone out, OfferedInHeartbeat that one went out in the
	// answer to a heartbeat, whose sequence number was OfferedAt.
	StartSent          bool
	OfferedInHeartbeat bool
	OfferedAt          ids.SequenceNumber

	// Confirmed tells that a report showed the task on its machine, with Status.
	Confirmed    bool
	Status       string
	RunningSince time.Time // when it was first reported running
	// AwaitsImage tells that it counts among those that wait for an image there.
	AwaitsImage bool

	// ProtectedUntil is until when it is preempted for critical work only.
	ProtectedUntil time.Time
	// Evicting tells that a rollout was permitted to stop it.
	Evicting bool
	// Stopping tells that a stop was asked for, at StopRequestedAt, with StopGrace to save and why.
	// StopSentAt is when it last went out.
	Stopping        bool
	StopGrace       ids.Seconds
	StopRequestedAt time.Time
	StopSentAt      time.Time
	StopReason      string
}

// TaskAttempt names one start of a task on a machine.
type TaskAttempt struct {
	Task    ids.Task
	Attempt ids.Attempt
	Machine ids.Machine
}

// Task is the task's name.
func (a *Assignment) Task() ids.Task { return ids.Task{Job: a.Job.ID(), Index: a.TaskIndex} }

// Key names this start of the task.
func (a *Assignment) Key() TaskAttempt { return TaskAttempt{a.Task(), a.Attempt, a.Machine} }

// StopReasonText is why the task was stopped, for the job's trail.
func (a *Assignment) StopReasonText() string {
	if a.StopReason == "" {
		return "not asked for"
	}
	return a.StopReason
}

// RemainingGrace is what is left of a stop's grace period; a second stop with 0 ends a task that
// saves for too long.
func (a *Assignment) RemainingGrace(now time.Time) ids.Seconds {
	if a.StopGrace == 0 || now.Sub(a.StopRequestedAt) > 2*a.StopGrace.Duration()+3*time.Second {
		return 0
	}
	return a.StopGrace
}

// CheckpointGrace is the grace period that lets a task save a checkpoint; 0 if it can't.
func (a *Assignment) CheckpointGrace() ids.Seconds {
	spec := &a.Job.Record.Spec
	if spec.CheckpointInterval <= 0 {
		return 0
	}
	return spec.CheckpointDuration*1.2 + 1
}

// LittleToSave tells whether what a task did since its last checkpoint is worth less than making
// critical work wait for another one.
func (a *Assignment) LittleToSave(now time.Time) bool {
	spec := &a.Job.Record.Spec
	if spec.Shape != record.Array || spec.CheckpointInterval <= 0 {
		return false
	}
	if a.RunningSince.IsZero() {
		return true
	}
	sinceCheckpoint := math.Mod(now.Sub(a.RunningSince).Seconds(), float64(spec.CheckpointInterval))
	return sinceCheckpoint <= 3*float64(spec.CheckpointDuration)
}

// What a stop is taken to throw away, in seconds of a task's work, where that can't be told from how
// long the task ran.
const (
	notRunningCost = 0.1
	replicaCost    = 1000
)

// PreemptionCost is the progress, in core-seconds, that a stop throws away.
func (a *Assignment) PreemptionCost(now time.Time) float64 {
	spec := &a.Job.Record.Spec
	if a.RunningSince.IsZero() {
		return notRunningCost * spec.Resources.Cores
	}
	ran := now.Sub(a.RunningSince).Seconds()
	if spec.CheckpointInterval > 0 {
		ran = float64(spec.CheckpointDuration)
	}
	if spec.Shape == record.Service {
		ran = replicaCost
	}
	return ran * spec.Resources.Cores
}

// ProtectedFrom tells whether the assignment is not to be preempted for a job now.
func (a *Assignment) ProtectedFrom(job *Job) bool {
	return job.EffectivePriority() < record.Critical && time.Now().Before(a.ProtectedUntil)
}

// FinishesWithin guesses whether a task completes within d.
func (a *Assignment) FinishesWithin(d time.Duration, now time.Time) bool {
	spec := &a.Job.Record.Spec
	if spec.Shape == record.Service || a.RunningSince.IsZero() {
		return false
	}
	return a.RunningSince.Add(spec.EstimatedDuration.Duration()).Before(now.Add(d))
}

// SortedTasks are the indices of assigned tasks, lowest first.
func SortedTasks(assignments map[int]*Assignment) []int { return slices.Sorted(maps.Keys(assignments)) }

// GroupAssignments are a job's assignments as its record keeps them.
func GroupAssignments(assignments map[int]*Assignment) []record.AssignmentGroup {
	list := make([]record.TaskAssignment, 0, len(assignments))
	for _, i := range SortedTasks(assignments) {
		a := assignments[i]
		at := record.Location{Machine: a.Machine, Incarnation: a.Incarnation, Attempt: a.Attempt, FencingToken: a.FencingToken}
		list = append(list, record.TaskAssignment{Task: i, At: at})
	}
	return record.GroupAssignments(list)
}
