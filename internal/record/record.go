// Package record defines the job records in the key-value store: their fields, their keys, the statuses of
// a job and the encoded forms. Older and newer versions of this program read the encoded forms, so the
// names in them must not change when a Go name changes. The package makes no scheduling decisions.
package record

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Event is one entry of a job's event history.
type Event struct {
	At      ids.Timestamp `json:"at"`
	Message string        `json:"what"`
}

// Record is the stored form of a job.
type Record struct {
	Spec      Spec          `json:"spec"`
	Status    Status        `json:"status"`
	Submitted ids.Timestamp `json:"submitted"`
	// ReadyAt is the time when the last of the job's dependencies was done; zero without dependencies.
	ReadyAt     ids.Timestamp     `json:"ready,omitempty"`
	Attempt     ids.Attempt       `json:"attempt"`
	Generation  ids.Generation    `json:"generation"` // generation of the leader that wrote the record last
	Finished    ids.IndexSet      `json:"finished"`   // tasks that are done
	Assignments []AssignmentGroup `json:"places,omitempty"`
	Events      []Event           `json:"trail,omitempty"` // oldest first
	// FailedMachines is the number of machines on which tasks of the job failed before any task
	// completed. It is stored so that a new leader does not start to count from zero.
	FailedMachines int `json:"failedOn,omitempty"`
	// Evictions are the tasks that drains stopped or are about to stop, until they run again.
	Evictions []Eviction `json:"evictions,omitempty"`
	// CancelledBy is the dependency whose cancellation cancelled this job.
	CancelledBy ids.Job `json:"cancelledBy,omitempty"`
	// Writer and Seq identify the write of the record, so that a writer that got no response can
	// find out whether its own write was applied.
	Writer string `json:"writer"`
	Seq    uint64 `json:"seq"`
}

// New returns the record of a job that has just been accepted.
func New(spec Spec, now ids.Timestamp, writer string) *Record {
	return &Record{
		Spec:      spec,
		Status:    Queued,
		Submitted: now,
		Writer:    writer,
		Events:    []Event{{now, "accepted"}},
	}
}

// AssignedTasks returns the number of tasks that are assigned to a machine and so may be running.
func (r *Record) AssignedTasks() int {
	assigned := 0
	r.EachAssignment(func(int, Location) { assigned++ })
	return assigned
}
