package reconcile

import (
	"context"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// outcomeRecorder records the outcomes of attempts.
type outcomeRecorder struct {
	*State
	cluster  Cluster
	failures *failureTracker
}

// refusalRetryDelay is the delay before a task that a worker had no room for is retried elsewhere.
const refusalRetryDelay = time.Second

// record records the outcome of an assignment's attempt and removes the assignment.
func (o *outcomeRecorder) record(assignment *workload.Assignment, reported *reportedTask) {
	job, task, machine := assignment.Job, assignment.TaskIndex, reported.machine
	key := assignment.Key()
	o.cluster.RemoveAssignment(assignment)
	logOutcome(assignment, reported)
	if job.Ended {
		return
	}
	now := time.Now()
	switch reported.Cause {
	case worker.CauseDone:
		o.recordDone(assignment, machine)
	case worker.CauseStopped:
		o.recordStopped(assignment, reported, now)
	case worker.CausePeers:
		o.Costs.AddLostWork(assignment, "gang lost a task", now)
		o.cluster.RecordEvent(job, "task %d ended on %s: another task of the gang was gone", task, machine.Name)
	case worker.CauseIncomplete:
		o.cluster.RecordEvent(job, "task %d ended on %s: the gang was not complete in time", task, machine.Name)
	case worker.CauseError, worker.CauseNoSuch:
		o.failures.record(assignment, reported.Cause, machine, now)
	case worker.CauseNoRoom, worker.CauseBusy:
		o.cluster.RecordEvent(job, "task %d refused by %s: %s", task, machine.Name, reported.Cause)
		retry := job.EnsureRetry(task)
		retry.NotBefore = now.Add(refusalRetryDelay)
		retry.Avoid[machine.Name] = true
	}
	o.markRecorded(job, key)
}

// logOutcome logs the end of a task; at the usual level only if the task failed.
func logOutcome(assignment *workload.Assignment, reported *reportedTask) {
	level := slog.LevelDebug
	if reported.Cause == worker.CauseError || reported.Cause == worker.CauseNoSuch {
		level = slog.LevelInfo
	}
	machine := reported.machine
	slog.Log(context.Background(), level, "task ended", "task", assignment.Task(), "attempt", assignment.Attempt, "machine", machine.Name,
		"cause", reported.Cause, "generation", assignment.FencingToken,
		"reportToken", machine.FencingToken, "reportIncarnation", machine.Incarnation, "reportSequence", machine.Sequence)
}

// markRecorded records that a job's record contains an outcome from its current version on.
func (o *outcomeRecorder) markRecorded(job *workload.Job, key workload.TaskAttempt) {
	o.cluster.MarkChanged(job)
	o.cluster.FinishIfComplete(job)
	job.RecordedOutcomes[key] = job.Version
}

// recordDone records that a task completed. If it belongs to a gang, the whole gang is finished.
func (o *outcomeRecorder) recordDone(assignment *workload.Assignment, machine *worker.Machine) {
	job := assignment.Job
	machine.TaskFailures = 0
	delete(job.Retries, assignment.TaskIndex)
	job.Record.Finished.Add(assignment.TaskIndex)
	delete(job.Failures.ByMachine, machine.Name)
	o.failures.attributeToMachines(job)
	if job.Record.Spec.JobType == record.Gang {
		for task := range job.Record.Spec.Tasks {
			job.Record.Finished.Add(task)
		}
	}
}

// recordStopped records that a task was stopped and, if it saved no checkpoint, the work that was lost.
func (o *outcomeRecorder) recordStopped(assignment *workload.Assignment, reported *reportedTask, now time.Time) {
	job, machine := assignment.Job, reported.machine
	saved := " (progress saved)"
	if !reported.Checkpointed {
		saved = ""
	}
	if !reported.Checkpointed && !job.Cancelled() {
		cause := "stopped for others"
		if !machine.SpotTerminationAt.IsZero() {
			cause = "spot"
		}
		o.Costs.AddLostWork(assignment, cause, now)
	}
	o.cluster.RecordEvent(job, "task %d stopped on %s: %s%s", assignment.TaskIndex, machine.Name, assignment.StopReasonText(), saved)
}
