package reconcile

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// failureTracker records failed tasks, schedules their retries and drains machines on which tasks keep
// failing.
type failureTracker struct {
	*State
	cluster Cluster
}

// backoff returns the backoff between retries of failing tasks, as configured by the operators.
func (f *failureTracker) backoff() workload.Backoff {
	return workload.Backoff{First: f.Settings.Operator.BackoffS, Max: f.Settings.Operator.BackoffMaxS}
}

// record records that a task failed on a machine and schedules its retry on another machine.
func (f *failureTracker) record(assignment *workload.Assignment, cause string, machine *worker.Machine, now time.Time) {
	job, failures := assignment.Job, &assignment.Job.Failures
	failures.AddFailure(machine.Name, assignment.RunningSince, now)
	retry := job.BackOff(assignment.TaskIndex, now, f.backoff())
	retry.Avoid[machine.Name] = true
	f.cluster.RecordEvent(job, "task %d failed on %s (%s); tried again elsewhere after %.0fs",
		assignment.TaskIndex, machine.Name, cause, retry.NotBefore.Sub(now).Seconds())
	if job.Record.Finished.Len() > 0 {
		f.attributeToMachines(job)
		return
	}
	job.Record.FailedMachines = max(job.Record.FailedMachines, len(failures.ByMachine))
	// The failures of one round of retries increase the job's backoff only once.
	if job.Failing() && !now.Before(failures.NotBefore) {
		failures.Rounds++
		failures.NotBefore = now.Add(f.backoff().Delay(failures.Rounds))
		f.cluster.RecordEvent(job, "%s; next after %.0fs", job.BackOffReason(), failures.NotBefore.Sub(now).Seconds())
	}
}

// attributeToMachines makes the failures of a job count against the machines, once the job is known not to
// be at fault: one of its tasks completed, or has run for far longer than those that failed. If they
// counted before, healthy machines could be drained because of a faulty job.
func (f *failureTracker) attributeToMachines(job *workload.Job) {
	byMachine := job.Failures.ByMachine
	job.Failures, job.Record.FailedMachines = workload.FailureHistory{}, 0
	for name, count := range byMachine {
		machine := f.Machines.Machines[name]
		if machine == nil {
			continue
		}
		machine.TaskFailures += count
		if machine.TaskFailures >= int(f.Settings.Operator.FaultyAfter) && machine.DrainReason == "" {
			machine.DrainReason = "tasks keep failing there"
			f.Machines.MarkLeaving(machine.Name)
			slog.Warn("draining machine on which tasks keep failing", "machine", machine.Name, "why", machine.DrainReason)
		}
	}
}
