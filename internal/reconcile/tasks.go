package reconcile

import (
	"log/slog"
	"math"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// reconcileTasks takes in the tasks that a report lists, and returns which they are and what their machine
// is to do with those that no assignment accounts for.
func (r *Reconciler) reconcileTasks(machine *worker.Machine, report *worker.Report, fencingToken ids.Generation, now time.Time) (listed map[workload.TaskAttempt]bool, commands []worker.Command) {
	listed = make(map[workload.TaskAttempt]bool, len(report.Tasks))
	for i := range report.Tasks {
		reported := &report.Tasks[i]
		task, err := ids.ParseTask(reported.Task)
		if err != nil {
			continue
		}
		key := workload.TaskAttempt{Task: task, Attempt: reported.Attempt, Machine: machine.Name}
		listed[key] = true
		job := r.Jobs.Get(task.Job)
		if job != nil && (r.mayPredateRecord(job, report, reported) || r.reconcileAssigned(job, key, reported, machine, report.Incarnation, now)) {
			continue
		}
		commands = append(commands, r.reconcileOrphan(job, key, reported, machine, fencingToken)...)
	}
	return listed, commands
}

// mayPredateRecord tells whether a report may be from before what the record tells of a gang. Until a
// worker shows this leader's token its report may be of any age, and of a gang the same task may have been
// started again, under the same attempt, on the machine where it had ended. Of other jobs every start has a
// number of its own; and what is done is done.
func (r *Reconciler) mayPredateRecord(job *workload.Job, report *worker.Report, reported *worker.TaskStatus) bool {
	done := reported.State == worker.StateExited && reported.Cause == worker.CauseDone
	return job.Record.Spec.Shape == record.Gang && report.FencingToken < r.FirstGeneration && !done
}

// reconcileAssigned takes in a reported task that an assignment accounts for; it tells whether that is all
// there is to do. The outcome of one that ended is yet to be cleared.
func (r *Reconciler) reconcileAssigned(job *workload.Job, key workload.TaskAttempt, reported *worker.TaskStatus, machine *worker.Machine, incarnation ids.Incarnation, now time.Time) (settled bool) {
	// What is listed before a start went out is left from an earlier start of the same attempt there,
	// whose outcome is known.
	assignment := job.Assignments[key.Task.Index]
	if assignment == nil || assignment.Machine != key.Machine || assignment.Attempt != key.Attempt || !assignment.StartSent {
		return false
	}
	if assignment.Incarnation != incarnation {
		return true // of an earlier incarnation, and so of an earlier start
	}
	if reported.State == worker.StateExited {
		r.recordOutcome(assignment, reported, machine)
		return false
	}
	r.observe(assignment, reported, machine, now)
	return true
}

// observe notes a task that is on its machine.
func (r *Reconciler) observe(assignment *workload.Assignment, reported *worker.TaskStatus, machine *worker.Machine, now time.Time) {
	changed := assignment.Status != reported.State
	if !assignment.Confirmed || changed {
		slog.Debug("task status", "class", assignment.Job.Record.Spec.Class, "job", assignment.Job.ID(), "task", assignment.TaskIndex,
			"machine", machine.Name, "status", reported.State, "sinceAssigned", now.Sub(assignment.AssignedAt).Round(time.Millisecond))
	}
	assignment.Confirmed, assignment.StartSent = true, true
	node := r.Capacity.Ensure(machine.Name)
	if reported.State != worker.StatePulling {
		r.Capacity.EndImagePull(node, assignment)
	}
	if assignment.Stopping && assignment.StopSentAt.Before(assignment.StopRequestedAt) {
		r.Commands.Add(node)
	}
	if changed {
		r.observeChange(assignment, reported, machine, now)
	}
	if reported.State == worker.StateRunning && !assignment.RunningSince.IsZero() && assignment.Outlasts(now) {
		r.clearFailures(assignment.Job)
	}
	assignment.Status = reported.State
}

// observeChange notes that a task's status changed.
func (r *Reconciler) observeChange(assignment *workload.Assignment, reported *worker.TaskStatus, machine *worker.Machine, now time.Time) {
	spec := &assignment.Job.Record.Spec
	if reported.State == worker.StateRunning {
		assignment.RunningSince = now
	}
	if spec.Shape == record.Gang {
		for _, other := range assignment.Job.Assignments {
			if !other.StartSent {
				r.Commands.AddFor(other) // it waited for this one's image
			}
		}
	}
	if reported.State != worker.StatePulling {
		cache := math.Inf(1)
		if offer := r.Capacity.Type(machine.Type); offer != nil {
			cache = offer.CacheGB
		}
		r.Capacity.ImageArrived(r.Capacity.Ensure(machine.Name), machine, spec.Image, spec.ImageGB, cache)
		r.cluster.HintChanged(machine)
	}
}

// reconcileOrphan deals with a reported task that no assignment accounts for.
func (r *Reconciler) reconcileOrphan(job *workload.Job, key workload.TaskAttempt, reported *worker.TaskStatus, machine *worker.Machine, fencingToken ids.Generation) []worker.Command {
	if reported.State == worker.StateExited {
		return r.clearOutcome(job, key, reported, machine)
	}
	if job != nil && job.Assignments[key.Task.Index] == nil && key.Task.Index < job.Record.Spec.Tasks {
		r.adoptOrphan(job, key, reported, machine, fencingToken)
		return nil
	}
	slog.Info("orphaned task stopped", "task", reported.Task, "attempt", reported.Attempt, "machine", machine.Name)
	return []worker.Command{worker.StopCommand(reported.Task, reported.Attempt, 0)}
}

// clearOutcome has a worker clear the outcome of a task that ended, once that is stored.
func (r *Reconciler) clearOutcome(job *workload.Job, key workload.TaskAttempt, reported *worker.TaskStatus, machine *worker.Machine) []worker.Command {
	if job != nil && !job.Ended {
		if version, recorded := job.RecordedOutcomes[key]; recorded && job.StoredVersion < version {
			return nil // its outcome must be stored before it is cleared
		}
		if r.keepResult(job, key, reported) {
			return nil
		}
		delete(job.RecordedOutcomes, key)
	}
	if machine.MayRestart(reported.Task, reported.Attempt) {
		return nil // cleared, a late start would begin it anew
	}
	return []worker.Command{worker.ClearCommand(reported.Task, reported.Attempt)}
}

// keepResult takes in that a task is done which nobody expected there: a result is kept wherever it comes
// from. It tells whether it was new.
func (r *Reconciler) keepResult(job *workload.Job, key workload.TaskAttempt, reported *worker.TaskStatus) bool {
	index := key.Task.Index
	wanted := !job.Record.Finished.Contains(index) && index < job.Record.Spec.Tasks && job.Assignments[index] == nil
	if reported.Cause != worker.CauseDone || !wanted || job.Cancelled() || !job.MayRecordFinished() {
		return false
	}
	job.Record.Finished.Add(index)
	r.outcomeRecorded(job, key)
	return true
}

// adoptOrphan puts a task on the books that is on a machine, whoever started it: until it is gone it must
// not be started elsewhere and counts against its team.
func (r *Reconciler) adoptOrphan(job *workload.Job, key workload.TaskAttempt, reported *worker.TaskStatus, machine *worker.Machine, fencingToken ids.Generation) {
	assignment := &workload.Assignment{Job: job, TaskIndex: key.Task.Index, Machine: machine.Name, Incarnation: machine.Incarnation,
		Attempt: key.Attempt, FencingToken: fencingToken, StartSent: true, Confirmed: true, Status: reported.State, AssignedAt: time.Now()}
	job.Record.Attempt = max(job.Record.Attempt, key.Attempt)
	r.cluster.Assign(assignment)
	if job.Cancelled() || job.Record.Finished.Contains(key.Task.Index) || job.Record.Spec.Shape == record.Gang {
		r.cluster.Stop(assignment, 0, "not expected there")
	} else {
		r.cluster.RecordEvent(job, "task %d found on %s and kept", assignment.TaskIndex, machine.Name)
	}
	if !job.Ended {
		r.cluster.MarkChanged(job)
		assignment.MarkerVersion = job.Version
	}
}
