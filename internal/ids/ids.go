// Package ids declares the types of identifiers, counters and times. Each is a type of its own so
// that the compiler refuses an attempt where a generation is expected.
package ids

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Job identifies a job; users choose it.
type Job string

// Task identifies one task of a job by its index.
type Task struct {
	Job   Job
	Index int
}

// Machine identifies an instance that a worker runs on.
type Machine string

// Node identifies a controller.
type Node string

// ProvisioningRequest identifies a provisioning request; it is never reused.
type ProvisioningRequest string

// Attempt numbers the starts of a job's tasks; it only rises within a job.
type Attempt uint64

// Generation numbers the failovers of a shard's leadership. Workers see it as the fencing token
// of the leader's commands.
type Generation uint64

// Incarnation numbers the incarnations of a worker: it rises whenever the worker's lease expires.
type Incarnation uint64

// SequenceNumber orders the messages of one incarnation of a worker.
type SequenceNumber uint64

// Revision numbers the last change of a key in the key-value store.
type Revision uint64

// StoreRevision is a revision of the key-value store as a whole.
type StoreRevision uint64

// Lease identifies a lease of the key-value store.
type Lease uint64

var jobPattern = regexp.MustCompile(`^job-[0-9]{1,18}$`)

// ParseJob accepts the one form that job identifiers have.
func ParseJob(text string) (Job, error) {
	if !jobPattern.MatchString(text) {
		return "", fmt.Errorf("not a job id: %.40q", text)
	}
	return Job(text), nil
}

// String writes the task as "job/index".
func (t Task) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// ParseTask reads what String writes. It does not check the job's identifier.
func ParseTask(text string) (Task, error) {
	job, digits, found := strings.Cut(text, "/")
	if !found {
		return Task{}, fmt.Errorf("not a task id: %.40q", text)
	}
	index, err := strconv.Atoi(digits)
	if err != nil || index < 0 {
		return Task{}, fmt.Errorf("not a task id: %.40q", text)
	}
	return Task{Job: Job(job), Index: index}, nil
}
