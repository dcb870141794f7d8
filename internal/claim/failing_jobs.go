package claim

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// A failed task tells either of its machine or of its job: one submitted with a
// mistake fails wherever it runs, until its user cancels it. It may take neither
// machines nor room nor anybody's turn, and no machine is to be blamed for it. A
// good job that meets a bad machine or two must still run soon.

// FailureHistory is what is known of a job's failed tasks since one last completed.
type FailureHistory struct {
	ByMachine  map[ids.Machine]int // how many failed there
	Tasks      int
	Rounds     int       // tries of the whole job since it counts as failing
	NotBefore  time.Time // no try before, once it counts as failing
	LongestRun time.Duration
}

// Failures on so many machines with nothing completed make a job suspect, and then
// failing.
const (
	suspectAfter = 2
	failingAfter = 3
)

// Suspect tells that the job rather than a machine may be at fault: nothing is
// stopped for it.
func (job *Job) Suspect() bool {
	return job.Record.Finished.Len() == 0 && max(len(job.Failures.ByMachine), job.Record.FailedOn) >= suspectAfter
}

// Failing tells that the job fails wherever it runs: one task at a time is tried
// (of a gang, all), after a wait of the whole job's, and no machine is rented for it.
func (job *Job) Failing() bool {
	return job.Record.Finished.Len() == 0 && max(len(job.Failures.ByMachine), job.Record.FailedOn) >= failingAfter
}

// BackingOff tells that a failing job is not to be tried now.
func (job *Job) BackingOff(now time.Time) bool {
	return job.Failing() && (now.Before(job.Failures.NotBefore) || job.Record.Spec.Shape != record.Gang && len(job.Assignments) > 0)
}

// BackOffReason tells its user and operators so.
func (job *Job) BackOffReason() string {
	return fmt.Sprintf("its tasks fail wherever they run (%d failures on %d machines, none completed); tried again now and then, until it is cancelled",
		job.Failures.Tasks, max(len(job.Failures.ByMachine), job.Record.FailedOn))
}

// recordFailure takes in that a task failed on a machine.
func (c *ClusterState) recordFailure(assignment *Assignment, cause string, machine *worker.Machine, now time.Time) {
	job, f := assignment.Job, &assignment.Job.Failures
	if f.ByMachine == nil {
		f.ByMachine = map[ids.Machine]int{}
	}
	f.ByMachine[machine.Name]++
	f.Tasks++
	if !assignment.RunningSince.IsZero() {
		f.LongestRun = max(f.LongestRun, now.Sub(assignment.RunningSince))
	}
	retry := c.backOff(job, assignment.TaskIndex, now)
	retry.Avoid[machine.Name] = true
	c.recordEvent(job, "task %d failed on %s (%s); tried again elsewhere after %.0fs", assignment.TaskIndex, machine.Name, cause, retry.NotBefore.Sub(now).Seconds())
	if job.Record.Finished.Len() > 0 {
		c.clearFailures(job)
		return
	}
	job.Record.FailedOn = max(job.Record.FailedOn, len(f.ByMachine))
	// Of a whole round's failures the first one counts.
	if job.Failing() && !now.Before(f.NotBefore) {
		f.Rounds++
		f.NotBefore = now.Add(c.backOffDelay(f.Rounds))
		c.recordEvent(job, "%s; next after %.0fs", job.BackOffReason(), f.NotBefore.Sub(now).Seconds())
	}
}

// clearFailures takes in that the job is good: one of its tasks completed, or runs for far
// longer than those that failed. Only now its failures tell of the machines. To
// blame one for jobs that may all be at fault themselves would cost good machines.
func (c *ClusterState) clearFailures(job *Job) {
	on := job.Failures.ByMachine
	job.Failures, job.Record.FailedOn = FailureHistory{}, 0
	for name, n := range on {
		machine := c.machines.Machines[name]
		if machine == nil {
			continue
		}
		if machine.Faults += n; machine.Faults >= int(c.settings.Own.FaultyAfter) && machine.Draining == "" {
			machine.Draining = "tasks keep failing there"
			c.leaving[machine.Name] = true
			slog.Warn("machine drained", "machine", machine.Name, "why", machine.Draining)
		}
	}
}

// checkOutlasted takes in that a task of a job with failures goes on running.
func (c *ClusterState) checkOutlasted(assignment *Assignment, now time.Time) {
	if f := &assignment.Job.Failures; (f.Tasks > 0 || assignment.Job.Record.FailedOn > 0) && now.Sub(assignment.RunningSince) > 30*time.Second+2*f.LongestRun {
		c.clearFailures(assignment.Job)
	}
}

// DescribeFailures explains a job's failures.
func (job *Job) DescribeFailures(now time.Time) (out []string) {
	if job.Failing() {
		out = append(out, job.BackOffReason())
		if d := job.Failures.NotBefore.Sub(now); d > 0 {
			out = append(out, fmt.Sprintf("next try in %.1fs", d.Seconds()))
		}
	} else if job.Failures.Tasks > 0 {
		out = append(out, fmt.Sprintf("%d of its tasks failed, on %d machines", job.Failures.Tasks, len(job.Failures.ByMachine)))
	}
	return out
}

// CountBackingOff counts the tasks that wait after a failure and need no room yet.
func (job *Job) CountBackingOff(now time.Time) int {
	n := 0
	for i, retry := range job.Retries {
		if retry.NotBefore.After(now) && job.Assignments[i] == nil {
			n++
		}
	}
	return n
}
