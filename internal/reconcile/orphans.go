package reconcile

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// orphanReconciler handles reported tasks that match no assignment, and outcomes that a worker still
// stores.
type orphanReconciler struct {
	cluster  Cluster
	outcomes *outcomeRecorder
}

// reconcile returns the commands for a reported task that matches no assignment. It clears the outcome of
// an exited task, adopts a task of a known job that has no assignment for it, and stops any other task.
func (o *orphanReconciler) reconcile(reported *reportedTask, fencingToken ids.Generation) []worker.Command {
	if reported.exited() {
		return o.clearOutcome(reported)
	}
	job, index := reported.job, reported.index()
	if job != nil && job.Assignments[index] == nil && index < job.Record.Spec.Tasks {
		o.adopt(reported, fencingToken)
		return nil
	}
	logOrphan(reported)
	return []worker.Command{worker.StopCommand(reported.Task, reported.Attempt, 0)}
}

// logOrphan logs a reported task that matches no assignment, with what is known of its job.
func logOrphan(reported *reportedTask) {
	status, assignedTo := record.Status("unknown"), ids.Machine("")
	if job := reported.job; job != nil {
		status = job.Record.Status
		if assignment := job.Assignments[reported.index()]; assignment != nil {
			assignedTo = assignment.Machine
		}
	}
	machine := reported.machine
	measure.Default.Count("tasks without assignment stopped", 1)
	slog.Info("stopping reported task that matches no assignment", "task", reported.Task, "attempt", reported.Attempt, "machine", machine.Name,
		"status", reported.State, "job", status, "assignedTo", assignedTo,
		"reportToken", machine.FencingToken, "reportIncarnation", machine.Incarnation, "reportSequence", machine.Sequence)
}

// clearOutcome returns the command that makes a worker clear the outcome of an exited task, once that
// outcome is stored.
func (o *orphanReconciler) clearOutcome(reported *reportedTask) []worker.Command {
	if job := reported.job; job != nil && !job.Ended {
		if version, recorded := job.RecordedOutcomes[reported.key]; recorded && job.StoredVersion < version {
			return nil // the outcome must be stored before it is cleared
		}
		if o.recordUnassignedResult(reported) {
			return nil
		}
		delete(job.RecordedOutcomes, reported.key)
	}
	return []worker.Command{worker.ClearCommand(reported.Task, reported.Attempt)}
}

// recordUnassignedResult records that a task without an assignment completed, because a result counts
// whichever machine reports it. It reports whether the result was new.
func (o *orphanReconciler) recordUnassignedResult(reported *reportedTask) bool {
	job, index := reported.job, reported.index()
	wanted := !job.Record.Finished.Contains(index) && index < job.Record.Spec.Tasks && job.Assignments[index] == nil
	if reported.Cause != worker.CauseDone || !wanted || job.Cancelled() || !job.MayRecordFinished() {
		return false
	}
	job.Record.Finished.Add(index)
	o.outcomes.markRecorded(job, reported.key)
	return true
}

// adopt adds an assignment for a task that is on a machine, whichever leader started it. Until the task is
// gone it must not be started elsewhere, and it counts against its team's quota.
func (o *orphanReconciler) adopt(reported *reportedTask, fencingToken ids.Generation) {
	job, machine := reported.job, reported.machine
	assignment := &workload.Assignment{
		Job:          job,
		TaskIndex:    reported.index(),
		Machine:      machine.Name,
		Incarnation:  machine.Incarnation,
		Attempt:      reported.Attempt,
		FencingToken: fencingToken,
		StartSent:    true,
		Confirmed:    true,
		Status:       reported.State,
		AssignedAt:   time.Now(),
	}
	job.Record.Attempt = max(job.Record.Attempt, reported.Attempt)
	o.cluster.Assign(assignment)
	if job.Cancelled() || job.Record.Finished.Contains(reported.index()) || job.Record.Spec.JobType == record.Gang {
		o.cluster.Stop(assignment, 0, "not expected there")
	} else {
		o.cluster.RecordEvent(job, "task %d found on %s and kept", assignment.TaskIndex, machine.Name)
	}
	if !job.Ended {
		o.cluster.MarkChanged(job)
		assignment.MarkerVersion = job.Version
	}
}
