// Package ids declares the types of identifiers, counters and times. Each has a distinct type so that
// the compiler rejects, for example, an attempt number where a generation is expected.
package ids

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Job identifies a job; the user who submits the job chooses the identifier.
type Job string

// Task identifies one task of a job by its index.
type Task struct {
	Job   Job
	Index int
}

// Machine identifies a cloud instance that runs a worker.
type Machine string

// Node identifies a controller.
type Node string

// ProvisioningRequest identifies a provisioning request; identifiers are never reused.
type ProvisioningRequest string

// Attempt numbers the starts of a job's tasks. Within a job it only increases.
type Attempt uint64

// Generation only rises. The stored generation of a shard is the last fencing token that its leader may
// use; see TokenRange.
type Generation uint64

// TokenRange contains the fencing tokens that a leader may use for its commands. A leader reserves a range
// by storing its last token as the generation, so that every token of the next leader is higher.
type TokenRange struct{ First, Last Generation }

// tokensPerRange is the number of fencing tokens that a leader reserves at a time. A machine uses at most
// two in a second.
const tokensPerRange = 1 << 20

// ReserveTokens returns the next range after a stored generation, which is 0 if none is stored.
func ReserveTokens(stored Generation) TokenRange {
	return TokenRange{First: stored + 1, Last: stored + tokensPerRange}
}

// Incarnation numbers the incarnations of a worker; a new one begins whenever the worker's lease expires.
type Incarnation uint64

// SequenceNumber orders the messages of one incarnation of a worker.
type SequenceNumber uint64

// Revision is the revision of the last change to one key of the key-value store.
type Revision uint64

// StoreRevision is a revision of the key-value store as a whole.
type StoreRevision uint64

// Lease identifies a lease of the key-value store.
type Lease uint64

var jobPattern = regexp.MustCompile(`^job-[0-9]{1,18}$`)

// ParseJob checks that a text is a job identifier, "job-" and 1 to 18 digits, and returns it.
func ParseJob(text string) (Job, error) {
	if !jobPattern.MatchString(text) {
		return "", fmt.Errorf("not a job id: %.40q", text)
	}
	return Job(text), nil
}

// String formats the task as "job/index".
func (t Task) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// ParseTask parses the format of String. It does not validate the job's identifier.
func ParseTask(text string) (Task, error) {
	job, indexText, found := strings.Cut(text, "/")
	if !found {
		return Task{}, fmt.Errorf("not a task id: %.40q", text)
	}
	index, err := strconv.Atoi(indexText)
	if err != nil || index < 0 {
		return Task{}, fmt.Errorf("not a task id: %.40q", text)
	}
	return Task{Job: Job(job), Index: index}, nil
}
