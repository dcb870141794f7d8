package claim

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// backoff is how waits between the tries of failing tasks grow, by the operators' settings.
func (c *ClusterState) backoff() workload.Backoff {
	return workload.Backoff{First: c.settings.Operator.BackoffS, Max: c.settings.Operator.BackoffMaxS}
}

// recordFailure takes in that a task failed on a machine.
func (c *ClusterState) recordFailure(assignment *workload.Assignment, cause string, machine *worker.Machine, now time.Time) {
	job, f := assignment.Job, &assignment.Job.Failures
	f.AddFailure(machine.Name, assignment.RunningSince, now)
	retry := job.BackOff(assignment.TaskIndex, now, c.backoff())
	retry.Avoid[machine.Name] = true
	c.recordEvent(job, "task %d failed on %s (%s); tried again elsewhere after %.0fs", assignment.TaskIndex, machine.Name, cause, retry.NotBefore.Sub(now).Seconds())
	if job.Record.Finished.Len() > 0 {
		c.clearFailures(job)
		return
	}
	job.Record.FailedMachines = max(job.Record.FailedMachines, len(f.ByMachine))
	// Of a whole round's failures the first one counts.
	if job.Failing() && !now.Before(f.NotBefore) {
		f.Rounds++
		f.NotBefore = now.Add(c.backoff().Delay(f.Rounds))
		c.recordEvent(job, "%s; next after %.0fs", job.BackOffReason(), f.NotBefore.Sub(now).Seconds())
	}
}

// clearFailures takes in that the job is good: one of its tasks completed, or runs for far
// longer than those that failed. Only now its failures tell of the machines. To
// blame one for jobs that may all be at fault themselves would cost good machines.
func (c *ClusterState) clearFailures(job *workload.Job) {
	on := job.Failures.ByMachine
	job.Failures, job.Record.FailedMachines = workload.FailureHistory{}, 0
	for name, n := range on {
		machine := c.machines.Machines[name]
		if machine == nil {
			continue
		}
		if machine.TaskFailures += n; machine.TaskFailures >= int(c.settings.Operator.FaultyAfter) && machine.DrainReason == "" {
			machine.DrainReason = "tasks keep failing there"
			c.machines.MarkLeaving(machine.Name)
			slog.Warn("machine drained", "machine", machine.Name, "why", machine.DrainReason)
		}
	}
}

// checkOutlasted takes in that a task of a job with failures goes on running.
func (c *ClusterState) checkOutlasted(assignment *workload.Assignment, now time.Time) {
	if assignment.Outlasts(now) {
		c.clearFailures(assignment.Job)
	}
}
