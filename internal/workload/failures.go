package workload

import (
	"fmt"
	"math"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// A failed task tells either of its machine or of its job: one submitted with a mistake fails
// wherever it runs, until its user cancels it. It may take neither machines nor room nor anybody's
// turn, and no machine is to be blamed for it. A good job that meets a bad machine or two must still
// run soon.

// Retry is what is kept of the failed tries of one task.
type Retry struct {
	Failures  int
	NotBefore time.Time
	Avoid     map[ids.Machine]bool // machines on which it failed
}

// RetryOf is what is kept of the failed tries of a task; it is added if there was none.
func (j *Job) RetryOf(i int) *Retry {
	retry := j.Retries[i]
	if retry == nil {
		retry = &Retry{Avoid: map[ids.Machine]bool{}}
		j.Retries[i] = retry
	}
	return retry
}

// Backoff is how the waits between the tries of a failing task grow, in seconds.
type Backoff struct{ First, Max float64 }

// maxDoublings bounds the exponent; the longest wait is reached long before.
const maxDoublings = 15

// Delay is the wait after so many failures in a row: it doubles from the first to the longest.
func (b Backoff) Delay(failures int) time.Duration {
	doublings := min(failures-1, maxDoublings)
	wait := b.First * math.Pow(2, float64(doublings))
	return ids.Seconds(min(wait, b.Max)).Duration()
}

// BackOff counts a failure of a task and puts off its next try.
func (j *Job) BackOff(i int, now time.Time, backoff Backoff) *Retry {
	retry := j.RetryOf(i)
	retry.Failures++
	retry.NotBefore = now.Add(backoff.Delay(retry.Failures))
	return retry
}

// FailureHistory is what is known of a job's failed tasks since one last completed.
type FailureHistory struct {
	ByMachine map[ids.Machine]int // how many failed there
	Tasks     int
	// Rounds counts the tries of the whole job since it counts as failing, and NotBefore is when
	// the next one may begin.
	Rounds    int
	NotBefore time.Time
	// LongestRun is how long the longest of those that failed had run.
	LongestRun time.Duration
}

// Failures on so many machines with nothing completed make a job suspect, and then failing.
const (
	suspectAfter = 2
	failingAfter = 3
)

// AddFailure counts a failed task that had run since a time, zero if it never ran.
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

// machinesWithFailures is on how many machines tasks failed, also under earlier leaders.
func (j *Job) machinesWithFailures() int {
	return max(len(j.Failures.ByMachine), j.Record.FailedMachines)
}

// Suspect tells that the job rather than a machine may be at fault: nothing is preempted for it.
func (j *Job) Suspect() bool {
	return j.Record.Finished.Len() == 0 && j.machinesWithFailures() >= suspectAfter
}

// Failing tells that the job fails wherever it runs: one task at a time is tried (of a gang, all),
// after a wait of the whole job's, and no machine is rented for it.
func (j *Job) Failing() bool {
	return j.Record.Finished.Len() == 0 && j.machinesWithFailures() >= failingAfter
}

// BackingOff tells that a failing job is not to be tried now.
func (j *Job) BackingOff(now time.Time) bool {
	return j.Failing() && (now.Before(j.Failures.NotBefore) || j.Record.Spec.Shape != record.Gang && len(j.Assignments) > 0)
}

// BackOffReason tells the user and operators so.
func (j *Job) BackOffReason() string {
	return fmt.Sprintf("its tasks fail wherever they run (%d failures on %d machines, none completed); tried again now and then, until it is cancelled",
		j.Failures.Tasks, j.machinesWithFailures())
}

// DescribeFailures explains the job's failures, one line each.
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

// CountBackingOff counts the tasks that wait after a failure and need no room yet.
func (j *Job) CountBackingOff(now time.Time) int {
	n := 0
	for i, retry := range j.Retries {
		if retry.NotBefore.After(now) && j.Assignments[i] == nil {
			n++
		}
	}
	return n
}

// outlastsAfter is how much longer than twice the longest failed run a task must run to show that the
// job is good.
const outlastsAfter = 30 * time.Second

// Outlasts tells whether a running task shows that a job with failures is good after all.
func (a *Assignment) Outlasts(now time.Time) bool {
	failures := &a.Job.Failures
	if failures.Tasks == 0 && a.Job.Record.FailedMachines == 0 {
		return false
	}
	return now.Sub(a.RunningSince) > outlastsAfter+2*failures.LongestRun
}
