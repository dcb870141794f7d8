// Package ids declares the types of names, numbers and times. Each is a type of its
// own so that the compiler refuses an attempt where a generation is due.
package ids

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Job names a job; users choose it.
type Job string

// Task names one task of a job by its index.
type Task struct {
	Job   Job
	Index int
}

// Machine names a rented machine.
type Machine string

// Node names a controller.
type Node string

// Hire names a rental request; such a name is never reused.
type Hire string

// Attempt numbers the starts of a job's tasks; it only rises within a job.
type Attempt uint64

// Generation numbers the takeovers of the machine pool. Workers see it as
// their token.
type Generation uint64

// Session numbers a worker's sessions: it rises whenever its lease lapses.
type Session uint64

// Tick orders the messages of one worker session.
type Tick uint64

// Revision numbers the last change of a key in the state service.
type Revision uint64

// Epoch is a revision of the state service as a whole.
type Epoch uint64

// Lease names a lease of the state service.
type Lease uint64

// Seconds is a length of time as the interfaces write it.
type Seconds float64

// Duration converts to Go's own type.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Drifted is the longest time that may truly pass while a clock as bad as the
// deployments allow shows s. Everything that trusts a lapse waits this long.
func (s Seconds) Drifted() time.Duration {
	return time.Duration(float64(s.Duration())*1.0011) + 100*time.Millisecond
}

// Wall is a time of day in milliseconds, only good for ordering and display.
type Wall int64

// WallOf converts a time.
func WallOf(t time.Time) Wall { return Wall(t.UnixMilli()) }

// Time converts back.
func (w Wall) Time() time.Time { return time.UnixMilli(int64(w)) }

var jobForm = regexp.MustCompile(`^job-[0-9]{1,18}$`)

// ParseJob accepts the one form that job ids have.
func ParseJob(s string) (Job, error) {
	if !jobForm.MatchString(s) {
		return "", fmt.Errorf("not a job id: %.40q", s)
	}
	return Job(s), nil
}

// String writes the task as the interfaces do.
func (t Task) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// ParseTask reads what String writes.
func ParseTask(s string) (Task, error) {
	job, idx, ok := strings.Cut(s, "/")
	if !ok {
		return Task{}, fmt.Errorf("not a task id: %.40q", s)
	}
	n, err := strconv.Atoi(idx)
	if err != nil || n < 0 {
		return Task{}, fmt.Errorf("not a task id: %.40q", s)
	}
	return Task{Job(job), n}, nil
}
