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

// reportedTask is one task in a report.
type reportedTask struct {
	*worker.TaskStatus
	key     workload.TaskAttempt
	job     *workload.Job // nil if the leader does not know the job
	machine *worker.Machine
}

// index returns the index of the task in its job.
func (t *reportedTask) index() int { return t.key.Task.Index }

// exited reports whether the task has exited.
func (t *reportedTask) exited() bool { return t.State == worker.StateExited }

// taskReconciler reconciles the tasks in a report with the assignments.
type taskReconciler struct {
	*State
	cluster  Cluster
	outcomes *outcomeRecorder
	failures *failureTracker
	orphans  *orphanReconciler
}

// reconcile processes the tasks in a report and adds each to listed. It returns the commands for tasks that
// match no assignment.
func (t *taskReconciler) reconcile(
	machine *worker.Machine, report *worker.Report, listed map[workload.TaskAttempt]bool, fencingToken ids.Generation, now time.Time,
) (commands []worker.Command) {
	for i := range report.Tasks {
		status := &report.Tasks[i]
		task, err := ids.ParseTask(status.Task)
		if err != nil {
			continue
		}
		key := workload.TaskAttempt{Task: task, Attempt: status.Attempt, Machine: machine.Name}
		listed[key] = true
		reported := reportedTask{TaskStatus: status, key: key, job: t.Jobs.Get(task.Job), machine: machine}
		if reported.job != nil && (t.mayPredateRecord(&reported, report) || t.reconcileAssigned(&reported, report.Incarnation, now)) {
			continue
		}
		commands = append(commands, t.orphans.reconcile(&reported, fencingToken)...)
	}
	return commands
}

// mayPredateRecord reports whether a report may be older than the record of a gang. Until a worker has seen
// this leader's fencing token, its report may be of any age, and the task of a gang may have been started
// again, under the same attempt, on the machine where it had ended. Other jobs are not affected, because
// each of their starts has its own attempt number; neither are completed tasks, because a result stays
// valid.
func (t *taskReconciler) mayPredateRecord(reported *reportedTask, report *worker.Report) bool {
	done := reported.exited() && reported.Cause == worker.CauseDone
	return reported.job.Record.Spec.JobType == record.Gang && report.FencingToken < t.FirstToken && !done
}

// reconcileAssigned processes a reported task that matches an assignment. It reports whether the task needs
// no further handling; the outcome of an exited task still has to be cleared.
func (t *taskReconciler) reconcileAssigned(reported *reportedTask, incarnation ids.Incarnation, now time.Time) (handled bool) {
	key := reported.key
	// A task that is listed before its start was sent is left from an earlier start of the same attempt on
	// this machine, whose outcome is known.
	assignment := reported.job.Assignments[key.Task.Index]
	if assignment == nil || assignment.Machine != key.Machine || assignment.Attempt != key.Attempt || !assignment.StartSent {
		return false
	}
	if assignment.Incarnation != incarnation {
		return true // the task belongs to an earlier incarnation, and so to an earlier start
	}
	if reported.exited() {
		t.outcomes.record(assignment, reported)
		return false
	}
	t.recordStatus(assignment, reported, now)
	return true
}

// recordStatus records the reported status of a task that is on its machine.
func (t *taskReconciler) recordStatus(assignment *workload.Assignment, reported *reportedTask, now time.Time) {
	machine := reported.machine
	changed := assignment.Status != reported.State
	if !assignment.Confirmed || changed {
		slog.Debug("worker reported new task status", "class", assignment.Job.Record.Spec.Class, "job", assignment.Job.ID(), "task", assignment.TaskIndex,
			"machine", machine.Name, "status", reported.State, "sinceAssigned", now.Sub(assignment.AssignedAt).Round(time.Millisecond))
	}
	assignment.Confirmed, assignment.StartSent = true, true
	node := t.Capacity.Ensure(machine.Name)
	if reported.State != worker.StatePulling {
		t.Capacity.EndImagePull(node, assignment)
	}
	if assignment.Stopping && assignment.StopSentAt.Before(assignment.StopRequestedAt) {
		t.Commands.Add(node)
	}
	if changed {
		t.recordStatusChange(assignment, reported, now)
	}
	if reported.State == worker.StateRunning && !assignment.RunningSince.IsZero() && assignment.ShowsJobIsHealthy(now) {
		t.failures.attributeToMachines(assignment.Job)
	}
	assignment.Status = reported.State
}

// recordStatusChange records a change of a task's status.
func (t *taskReconciler) recordStatusChange(assignment *workload.Assignment, reported *reportedTask, now time.Time) {
	if reported.State == worker.StateRunning {
		assignment.RunningSince = now
	}
	if assignment.Job.Record.Spec.JobType == record.Gang {
		for _, other := range assignment.Job.Assignments {
			if !other.StartSent {
				t.Commands.AddFor(other) // its start waited until this task had its image
			}
		}
	}
	if reported.State != worker.StatePulling {
		t.recordImage(&assignment.Job.Record.Spec, reported.machine)
	}
}

// recordImage records that a machine has a job's image.
func (t *taskReconciler) recordImage(spec *record.Spec, machine *worker.Machine) {
	cacheGB := math.Inf(1)
	if machineType := t.Capacity.Type(machine.Type); machineType != nil {
		cacheGB = machineType.CacheGB
	}
	t.Capacity.ImageArrived(t.Capacity.Ensure(machine.Name), machine, spec.Image, spec.ImageGB, cacheGB)
	t.cluster.HintChanged(machine)
}
