package workload

import (
	"fmt"
	"math"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// A task fails because of its machine or because of its job. A job that was submitted with a mistake fails
// wherever it runs, until its user cancels it: it must not take machines, room or turns from other jobs,
// and no machine is to be blamed for it. A good job that meets a faulty machine or two must still run soon.

// Retry is the state of the retries of one task.
type Retry struct {
	Failures  int                  // in a row
	NotBefore time.Time            // when the task may be assigned again
	Avoid     map[ids.Machine]bool // machines on which it failed
}

// EnsureRetry returns the state of a task's retries and adds it if there is none.
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

// maxDoublings bounds the exponent; the longest delay is reached long before.
const maxDoublings = 15

// Delay returns the delay after so many failures in a row: it doubles with each failure up to Max.
func (b Backoff) Delay(failures int) time.Duration {
	doublings := min(failures-1, maxDoublings)
	delay := b.First * math.Pow(2, float64(doublings))
	return ids.Seconds(min(delay, b.Max)).Duration()
}

// BackOff counts a failure of a task and delays its next attempt.
func (j *Job) BackOff(i int, now time.Time, backoff Backoff) *Retry {
	retry := j.EnsureRetry(i)
	retry.Failures++
	retry.NotBefore = now.Add(backoff.Delay(retry.Failures))
	return retry
}

// FailureHistory is the history of a job's failed tasks since one last completed.
type FailureHistory struct {
	ByMachine map[ids.Machine]int // failed tasks
	Tasks     int                 // failed tasks
	// Rounds counts the retries of the whole job since it has been failing, and NotBefore is when the next
	// one may begin.
	Rounds    int
	NotBefore time.Time
	// LongestRun is the longest time that a failed task had run.
	LongestRun time.Duration
}

// Failures on so many machines, with no task completed, make a job suspect and failing.
const (
	suspectAfter = 2
	failingAfter = 3
)

// AddFailure adds a failed task. runningSince is zero if it never ran.
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

// machinesWithFailures returns on how many machines tasks failed, including failures under earlier
// leaders.
func (j *Job) machinesWithFailures() int {
	return max(len(j.Failures.ByMachine), j.Record.FailedMachines)
}

// Suspect reports whether the job, rather than a machine, may be at fault. Nothing is preempted for such a
// job.
func (j *Job) Suspect() bool {
	return j.Record.Finished.Len() == 0 && j.machinesWithFailures() >= suspectAfter
}

// Failing reports whether the job fails wherever it runs. One task at a time of such a job is retried, or
// all tasks of a gang, with a backoff for the whole job, and no machine is provisioned for it.
func (j *Job) Failing() bool {
	return j.Record.Finished.Len() == 0 && j.machinesWithFailures() >= failingAfter
}

// BackingOff reports whether a failing job is not to be retried now.
func (j *Job) BackingOff(now time.Time) bool {
	return j.Failing() && (now.Before(j.Failures.NotBefore) || j.Record.Spec.Shape != record.Gang && len(j.Assignments) > 0)
}

// BackOffReason explains to users and operators why a failing job is not retried now.
func (j *Job) BackOffReason() string {
	return fmt.Sprintf("its tasks fail wherever they run (%d failures on %d machines, none completed); tried again now and then, until it is cancelled",
		j.Failures.Tasks, j.machinesWithFailures())
}

// DescribeFailures describes the job's failures to its user, in a few lines or none.
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

// CountBackingOff returns the number of unassigned tasks that back off after a failure and need no room
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

// outlastsAfter is how much longer than twice the longest failed run a task must run to show that its job
// is not at fault.
const outlastsAfter = 30 * time.Second

// Outlasts reports whether a running task shows that its job, which has failures, is not at fault.
func (a *Assignment) Outlasts(now time.Time) bool {
	failures := &a.Job.Failures
	if failures.Tasks == 0 && a.Job.Record.FailedMachines == 0 {
		return false
	}
	return now.Sub(a.RunningSince) > outlastsAfter+2*failures.LongestRun
}
