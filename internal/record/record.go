// Package record defines job records as they are stored in the key-value store: their fields,
// their keys, the statuses of a job and the encoded forms. Names in the encoded forms are read by
// older and newer versions of this program, so they outlive a rename in the code. The package
// makes no scheduling decisions.
package record

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Event is one entry of a job's event history.
type Event struct {
	At      ids.Timestamp `json:"at"`
	Message string        `json:"what"`
}

// Record is a job as it is stored.
type Record struct {
	Spec      Spec          `json:"spec"`
	Status    Status        `json:"status"`
	Submitted ids.Timestamp `json:"submitted"`
	// ReadyAt is when the last of the job's dependencies was done; zero without dependencies.
	ReadyAt     ids.Timestamp     `json:"ready,omitempty"`
	Attempt     ids.Attempt       `json:"attempt"`
	Generation  ids.Generation    `json:"generation"` // of the leader that wrote the record last
	Finished    ids.IndexSet      `json:"finished"`   // the tasks that are done
	Assignments []AssignmentGroup `json:"places,omitempty"`
	Events      []Event           `json:"trail,omitempty"` // oldest first
	// FailedMachines is the number of machines on which tasks of the job failed while none was
	// completed, so that a new leader need not find out again.
	FailedMachines int `json:"failedOn,omitempty"`
	// Evictions are the tasks that drains may stop, until they run again.
	Evictions []Eviction `json:"evictions,omitempty"`
	// CancelledBy is the dependency whose cancellation cancelled this job.
	CancelledBy ids.Job `json:"cancelledBy,omitempty"`
	// Writer and Seq let a writer that got no answer to its write recognise the stored record
	// as its own.
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

// AssignedTasks counts the tasks that are assigned to a machine and so may run.
func (r *Record) AssignedTasks() int {
	assigned := 0
	r.EachAssignment(func(int, Location) { assigned++ })
	return assigned
}
