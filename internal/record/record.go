// Package record holds the jobs' records as the state service keeps them: their fields, their
// keys, the statuses a job goes through and the stored forms. Names in the stored forms are
// read by older and newer versions of this program and outlive a rename in the code. The
// package decides nothing.
package record

import (
	"encoding/json"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Event is one line of a job's trail.
type Event struct {
	At   ids.Wall `json:"at"`
	What string   `json:"what"`
}

// Record is a job as the state service keeps it.
type Record struct {
	Spec      Spec     `json:"spec"`
	Status    Status   `json:"status"`
	Submitted ids.Wall `json:"submitted"`
	// Ready is when the last job that it awaited was done; zero without any.
	Ready    ids.Wall       `json:"ready,omitempty"`
	Attempt  ids.Attempt    `json:"attempt"`
	Gen      ids.Generation `json:"generation"`
	Finished ids.Ranges     `json:"finished"`
	Places   []PlaceGroup   `json:"places,omitempty"`
	Trail    []Event        `json:"trail,omitempty"`
	// FailedOn is on how many machines its tasks failed with none completed, so
	// that a new leader need not find out again.
	FailedOn int `json:"failedOn,omitempty"`
	// Evictions are the tasks that drains may stop, until they run again.
	Evictions []Eviction `json:"evictions,omitempty"`
	// CancelledBy is the job whose cancellation ended this one, which needs it.
	CancelledBy ids.Job `json:"cancelledBy,omitempty"`
	// Writer and Seq tell a writer that lost an answer whether what it finds
	// is its own.
	Writer string `json:"writer"`
	Seq    uint64 `json:"seq"`
}

// New is how every job begins.
func New(s Spec, now ids.Wall, writer string) *Record {
	return &Record{Spec: s, Status: Queued, Submitted: now, Writer: writer,
		Trail: []Event{{now, "accepted"}}}
}

// Decode reads a record.
func Decode(raw json.RawMessage) (*Record, error) {
	r := &Record{}
	return r, json.Unmarshal(raw, r)
}

// Encode writes the record of a job that does not wait into at most limit bytes. What
// it awaited no longer matters and is given up first, then the oldest trail; ok is
// false when even that does not fit.
func (r *Record) Encode(limit int) (raw json.RawMessage, ok bool) {
	for {
		raw, err := json.Marshal(r)
		if err != nil {
			return nil, false
		}
		if len(raw) <= limit {
			return raw, true
		}
		switch {
		case len(r.Spec.Awaits) > 0:
			r.Spec.Awaits = nil
		case len(r.Trail) > 0:
			r.Trail = r.Trail[1:]
		default:
			return nil, false
		}
	}
}

// EncodeFinal writes the record of a job that is over into at most limit bytes. Its last
// event, which tells how it ended, stays as long as anything else can be given up: older
// events first, then the names of what it awaited and which of its tasks were done, of
// which only the number is of use any more.
func (r *Record) EncodeFinal(limit int) (raw json.RawMessage, ok bool) {
	small := *r
	small.Evictions = nil // nothing is to run again
	for {
		raw, err := json.Marshal(&small)
		if err != nil {
			return nil, false
		}
		if len(raw) <= limit {
			return raw, true
		}
		if len(small.Trail) < 2 {
			break
		}
		small.Trail = small.Trail[1:]
	}
	small.Spec.Awaits = nil
	small.Finished = ids.FirstOf(small.Finished.Len())
	return small.Encode(limit)
}

// Open counts the tasks that may be on machines.
func (r *Record) Open() int {
	n := 0
	r.EachPlace(func(int, Location) { n++ })
	return n
}
