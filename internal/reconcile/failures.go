package reconcile

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// failureTracker records failed tasks: when they are retried, and the machines on which tasks keep failing.
type failureTracker struct {
	*State
	cluster Cluster
}

// backoff returns how the delays between retries of failing tasks grow, by the operators' settings.
func (f *failureTracker) backoff() workload.Backoff {
	return workload.Backoff{First: f.Settings.Operator.BackoffS, Max: f.Settings.Operator.BackoffMaxS}
}

// record records that a task failed on a machine.
func (f *failureTracker) record(assignment *workload.Assignment, cause string, machine *worker.Machine, now time.Time) {
	job, failures := assignment.Job, &assignment.Job.Failures
	failures.AddFailure(machine.Name, assignment.RunningSince, now)
	retry := job.BackOff(assignment.TaskIndex, now, f.backoff())
	retry.Avoid[machine.Name] = true
	f.cluster.RecordEvent(job, "task %d failed on %s (%s); tried again elsewhere after %.0fs",
		assignment.TaskIndex, machine.Name, cause, retry.NotBefore.Sub(now).Seconds())
	if job.Record.Finished.Len() > 0 {
		f.clear(job)
		return
	}
	job.Record.FailedMachines = max(job.Record.FailedMachines, len(failures.ByMachine))
	// Of a whole round's failures the first one counts.
	if job.Failing() && !now.Before(failures.NotBefore) {
		failures.Rounds++
		failures.NotBefore = now.Add(f.backoff().Delay(failures.Rounds))
		f.cluster.RecordEvent(job, "%s; next after %.0fs", job.BackOffReason(), failures.NotBefore.Sub(now).Seconds())
	}
}

// clear records that a job is good: one of its tasks completed, or runs for far longer than those that failed.
// Only now do its failures count against the machines. To blame machines for jobs that may all be at fault
// themselves would cost good machines.
func (f *failureTracker) clear(job *workload.Job) {
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
			slog.Warn("machine drained", "machine", machine.Name, "why", machine.DrainReason)
		}
	}
}
