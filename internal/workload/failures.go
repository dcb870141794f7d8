package workload

import (
	"fmt"
	"math"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// A task fails because of its machine or because of its job. A job that was submitted with an error fails on
// every machine until its user cancels it. Such a job must not take machines, capacity or scheduling turns
// from other jobs, and its failures must not count against the machines. A job without errors whose tasks
// fail on one or two faulty machines must still run soon.

// Retry is the retry state of one task.
type Retry struct {
	Failures  int                  // consecutive failures
	NotBefore time.Time            // when the task may be assigned again
	Avoid     map[ids.Machine]bool // machines on which it failed
}

// EnsureRetry returns the retry state of a task, and creates it if there is none.
func (j *Job) EnsureRetry(i int) *Retry {
	retry := j.Retries[i]
	if retry == nil {
		retry = &Retry{Avoid: map[ids.Machine]bool{}}
		j.Retries[i] = retry
	}
	return retry
}

// Backoff is an exponential backoff; First and Max are the first and the longest delay in seconds.
type Backoff struct{ First, Max float64 }

// maxDoublings bounds the exponent; the longest delay is reached with far fewer doublings.
const maxDoublings = 15

// Delay returns the delay after the given number of failures in a row. It doubles with each failure, up to
// Max.
func (b Backoff) Delay(failures int) time.Duration {
	doublings := min(failures-1, maxDoublings)
	delay := b.First * math.Pow(2, float64(doublings))
	return ids.Seconds(min(delay, b.Max)).Duration()
}

// BackOff counts a failure of a task and delays the task's next attempt.
func (j *Job) BackOff(i int, now time.Time, backoff Backoff) *Retry {
	retry := j.EnsureRetry(i)
	retry.Failures++
	retry.NotBefore = now.Add(backoff.Delay(retry.Failures))
	return retry
}

// FailureHistory is the history of a job's failed tasks since a task of the job last completed.
type FailureHistory struct {
	ByMachine map[ids.Machine]int // failed tasks
	Tasks     int                 // failed tasks
	// Rounds counts the retries of the whole job since it started failing, and NotBefore is when the next
	// retry may begin.
	Rounds    int
	NotBefore time.Time
	// LongestRun is the longest time that a failed task had run.
	LongestRun time.Duration
}

// The numbers of machines with failures from which a job without completed tasks counts as suspect and as
// failing.
const (
	minSuspectMachines = 2
	minFailingMachines = 3
)

// AddFailure adds a failed task. runningSince is zero if the task never ran.
func (f *FailureHistory) AddFailure(machine ids.Machine, runningSince, now time.Time) {
	if f.ByMachine == nil {
		f.ByMachine = map[ids.Machine]int{}
	}
	f.ByMachine[machine]++
	f.Tasks++
	if !runningSince.IsZero() {
		f.LongestRun = max(f.LongestRun, now.Sub(runningSince))
	}
}

// machinesWithFailures returns the number of machines on which tasks failed, including failures under
// earlier leaders.
func (j *Job) machinesWithFailures() int {
	return max(len(j.Failures.ByMachine), j.Record.FailedMachines)
}

// Suspect reports whether the job, rather than a machine, may be at fault. Nothing is preempted for such a
// job.
func (j *Job) Suspect() bool {
	return j.Record.Finished.Len() == 0 && j.machinesWithFailures() >= minSuspectMachines
}

// Failing reports whether the job fails on every machine. Such a job is retried with a backoff for the whole
// job, one task at a time or all tasks of a gang together, and no machine is provisioned for it.
func (j *Job) Failing() bool {
	return j.Record.Finished.Len() == 0 && j.machinesWithFailures() >= minFailingMachines
}

// BackingOff reports whether the job is failing and must not be retried now.
func (j *Job) BackingOff(now time.Time) bool {
	return j.Failing() && (now.Before(j.Failures.NotBefore) || j.Record.Spec.JobType != record.Gang && len(j.Assignments) > 0)
}

// BackOffReason returns the explanation for users and operators why a failing job is not retried now.
func (j *Job) BackOffReason() string {
	return fmt.Sprintf("its tasks fail wherever they run (%d failures on %d machines, none completed); tried again now and then, until it is cancelled",
		j.Failures.Tasks, j.machinesWithFailures())
}

// DescribeFailures returns a description of the job's failures for its user; nil if there are none.
func (j *Job) DescribeFailures(now time.Time) (lines []string) {
	if j.Failing() {
		lines = append(lines, j.BackOffReason())
		if d := j.Failures.NotBefore.Sub(now); d > 0 {
			lines = append(lines, fmt.Sprintf("next try in %.1fs", d.Seconds()))
		}
	} else if j.Failures.Tasks > 0 {
		lines = append(lines, fmt.Sprintf("%d of its tasks failed, on %d machines", j.Failures.Tasks, len(j.Failures.ByMachine)))
	}
	return lines
}

// CountBackingOff returns the number of unassigned tasks that back off after a failure and need no capacity
// yet.
func (j *Job) CountBackingOff(now time.Time) int {
	n := 0
	for i, retry := range j.Retries {
		if retry.NotBefore.After(now) && j.Assignments[i] == nil {
			n++
		}
	}
	return n
}

// outlastMargin is how much longer than twice the longest failed run a task must run to show that its job
// is not at fault.
const outlastMargin = 30 * time.Second

// ShowsJobIsHealthy reports whether a running task shows that its job, which has failures, is not at fault.
func (a *Assignment) ShowsJobIsHealthy(now time.Time) bool {
	failures := &a.Job.Failures
	if failures.Tasks == 0 && a.Job.Record.FailedMachines == 0 {
		return false
	}
	return now.Sub(a.RunningSince) > outlastMargin+2*failures.LongestRun
}
