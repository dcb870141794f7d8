package reconcile

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// refusalRetryDelay is after how long a task that a worker had no room for is tried elsewhere.
const refusalRetryDelay = time.Second

// recordOutcome takes in how an attempt ended.
func (r *Reconciler) recordOutcome(assignment *workload.Assignment, reported *worker.TaskStatus, machine *worker.Machine) {
	job, task := assignment.Job, assignment.TaskIndex
	key := assignment.Key()
	r.cluster.RemoveAssignment(assignment)
	if job.Ended {
		return
	}
	now := time.Now()
	switch reported.Cause {
	case worker.CauseDone:
		r.recordDone(assignment, machine)
	case worker.CauseStopped:
		r.recordStopped(assignment, reported, machine, now)
	case worker.CausePeers:
		r.Costs.AddLostWork(assignment, "gang lost a task", now)
		r.cluster.RecordEvent(job, "task %d ended on %s: another task of the gang was gone", task, machine.Name)
	case worker.CauseIncomplete:
		r.cluster.RecordEvent(job, "task %d ended on %s: the gang was not complete in time", task, machine.Name)
	case worker.CauseError, worker.CauseNoSuch:
		r.recordFailure(assignment, reported.Cause, machine, now)
	case worker.CauseNoRoom, worker.CauseBusy:
		r.cluster.RecordEvent(job, "task %d refused by %s: %s", task, machine.Name, reported.Cause)
		retry := job.EnsureRetry(task)
		retry.NotBefore = now.Add(refusalRetryDelay)
		retry.Avoid[machine.Name] = true
	}
	r.outcomeRecorded(job, key)
}

// outcomeRecorded notes that a job's record holds an outcome from its present version on.
func (r *Reconciler) outcomeRecorded(job *workload.Job, key workload.TaskAttempt) {
	r.cluster.MarkChanged(job)
	job.RecordedOutcomes[key] = job.Version
	r.cluster.FinishIfComplete(job)
	job.RecordedOutcomes[key] = job.Version
}

// recordDone takes in that a task completed. A gang completes as one.
func (r *Reconciler) recordDone(assignment *workload.Assignment, machine *worker.Machine) {
	job := assignment.Job
	machine.TaskFailures = 0
	delete(job.Retries, assignment.TaskIndex)
	job.Record.Finished.Add(assignment.TaskIndex)
	delete(job.Failures.ByMachine, machine.Name)
	r.clearFailures(job)
	if job.Record.Spec.Shape == record.Gang {
		for task := range job.Record.Spec.Tasks {
			job.Record.Finished.Add(task)
		}
	}
}

// recordStopped takes in that a task was stopped.
func (r *Reconciler) recordStopped(assignment *workload.Assignment, reported *worker.TaskStatus, machine *worker.Machine, now time.Time) {
	saved := " (progress saved)"
	if !reported.Checkpointed {
		saved = ""
	}
	if !reported.Checkpointed && !assignment.Job.Cancelled() {
		cause := "stopped for others"
		if !machine.SpotTerminationAt.IsZero() {
			cause = "spot"
		}
		r.Costs.AddLostWork(assignment, cause, now)
	}
	r.cluster.RecordEvent(assignment.Job, "task %d stopped on %s: %s%s", assignment.TaskIndex, machine.Name, assignment.StopReasonText(), saved)
}

// backoff is how waits between the tries of failing tasks grow, by the operators' settings.
func (r *Reconciler) backoff() workload.Backoff {
	return workload.Backoff{First: r.Settings.Operator.BackoffS, Max: r.Settings.Operator.BackoffMaxS}
}

// recordFailure takes in that a task failed on a machine.
func (r *Reconciler) recordFailure(assignment *workload.Assignment, cause string, machine *worker.Machine, now time.Time) {
	job, failures := assignment.Job, &assignment.Job.Failures
	failures.AddFailure(machine.Name, assignment.RunningSince, now)
	retry := job.BackOff(assignment.TaskIndex, now, r.backoff())
	retry.Avoid[machine.Name] = true
	r.cluster.RecordEvent(job, "task %d failed on %s (%s); tried again elsewhere after %.0fs", assignment.TaskIndex, machine.Name, cause, retry.NotBefore.Sub(now).Seconds())
	if job.Record.Finished.Len() > 0 {
		r.clearFailures(job)
		return
	}
	job.Record.FailedMachines = max(job.Record.FailedMachines, len(failures.ByMachine))
	// Of a whole round's failures the first one counts.
	if job.Failing() && !now.Before(failures.NotBefore) {
		failures.Rounds++
		failures.NotBefore = now.Add(r.backoff().Delay(failures.Rounds))
		r.cluster.RecordEvent(job, "%s; next after %.0fs", job.BackOffReason(), failures.NotBefore.Sub(now).Seconds())
	}
}

// clearFailures takes in that the job is good: one of its tasks completed, or runs for far longer than those
// that failed. Only now its failures tell of the machines. To blame one for jobs that may all be at fault
// themselves would cost good machines.
func (r *Reconciler) clearFailures(job *workload.Job) {
	byMachine := job.Failures.ByMachine
	job.Failures, job.Record.FailedMachines = workload.FailureHistory{}, 0
	for name, count := range byMachine {
		machine := r.Machines.Machines[name]
		if machine == nil {
			continue
		}
		machine.TaskFailures += count
		if machine.TaskFailures >= int(r.Settings.Operator.FaultyAfter) && machine.DrainReason == "" {
			machine.DrainReason = "tasks keep failing there"
			r.Machines.MarkLeaving(machine.Name)
			slog.Warn("machine drained", "machine", machine.Name, "why", machine.DrainReason)
		}
	}
}

// MarkLost requeues a task proven not to be on its machine any more.
func (r *Reconciler) MarkLost(assignment *workload.Assignment, reason string) {
	job := assignment.Job
	if machine := r.Machines.Machines[assignment.Machine]; machine != nil {
		logLoss(assignment, machine, reason)
	}
	if !job.Ended {
		r.recordLoss(assignment, reason)
	}
	r.cluster.RemoveAssignment(assignment)
	if job.Ended {
		return
	}
	if !job.Cancelled() {
		r.Costs.AddLostWork(assignment, "machine lost", time.Now())
	}
	r.cluster.MarkChanged(job)
	// The evidence may be the cloud's word to this process alone: stored late, a successor would have to
	// wait for it anew before it starts the task.
	r.cluster.MarkUrgent(job)
	r.cluster.FinishIfComplete(job)
}

// logLoss tells by what evidence a task counts as lost, should it turn out to be wrong.
func logLoss(assignment *workload.Assignment, machine *worker.Machine, reason string) {
	slog.Info("task lost", "task", assignment.Task(), "machine", assignment.Machine, "why", reason,
		"attempt", assignment.Attempt, "token", assignment.FencingToken, "incarnation", assignment.Incarnation, "confirmed", assignment.Confirmed,
		"reported", machine.HasReported, "reportToken", machine.FencingToken, "reportIncarnation", machine.Incarnation, "reportSequence", machine.Sequence)
}

// unknownZone stands for the zone of a machine that was never heard or listed.
const unknownZone = "an unknown zone"

// ZoneOf is a machine's zone for a text.
func (r *Reconciler) ZoneOf(name ids.Machine) string {
	if machine := r.Machines.Machines[name]; machine != nil && machine.Zone != "" {
		return machine.Zone
	}
	return unknownZone
}

// recordLoss tells in the trail that a task is proven not to be on its machine.
func (r *Reconciler) recordLoss(assignment *workload.Assignment, reason string) {
	job, events, last := assignment.Job, assignment.Job.Record.Events, ""
	if n := len(events); n > 0 {
		last = events[n-1].Message
	}
	line, replaces := job.Losses.Add(assignment.TaskIndex, assignment.Machine, r.ZoneOf(assignment.Machine), reason, last)
	if replaces {
		job.Record.Events = events[:len(events)-1]
	}
	r.cluster.RecordEvent(job, "%s", line)
}

// RecordRestarts tells in the trail where tasks lost before were assigned anew.
func (r *Reconciler) RecordRestarts(job *workload.Job, assigned []*workload.Assignment) {
	to, from := map[string]int{}, map[string]int{}
	for _, assignment := range assigned {
		zone, lost := job.Losses.Restarted(assignment.TaskIndex)
		if !lost {
			continue
		}
		from[zone]++
		if machine := r.Machines.Machines[assignment.Machine]; machine != nil {
			to[machine.Zone]++
		}
	}
	if len(from) > 0 {
		r.cluster.RecordEvent(job, "tasks lost in %s start again: %s", workload.FormatByZone(from), workload.FormatByZone(to))
	}
}
