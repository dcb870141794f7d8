// Package rehearsal runs real controller processes on one machine, over loopback, against
// stand-ins of everything around them, has them fail by a script, and tells in a record and a
// report what happened. Nothing outside this machine is called.
package rehearsal

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"time"

	"github.com/klauspost/compress/zstd"
)

// Kind is what an event of the record tells.
type Kind string

// The kinds of events. Starts and ends are the workers' own record.
const (
	TaskStarted Kind = "started"
	TaskEnded   Kind = "ended"
	Accepted    Kind = "accepted"
	Refused     Kind = "refused"
	Disturbed   Kind = "disturbed" // a failure was caused, or ended
	// Transferred tells that a team's ledger was changed; Why is how its limit is split then.
	Transferred Kind = "transferred"
	// RolloutStored tells what a rollout became, Evicted that a task's permit was stored,
	// Commanded that a controller took a command, Halt why a rollout halted.
	RolloutStored Kind = "rollout"
	Evicted       Kind = "evicted"
	Commanded     Kind = "commanded"
	Halt          Kind = "halted"
)

// Event is one entry of a run's record.
type Event struct {
	At    time.Duration `json:"at"` // since the run began
	Kind  Kind          `json:"kind"`
	Team  string        `json:"team,omitempty"`
	Job   string        `json:"job,omitempty"`
	Task  string        `json:"task,omitempty"`
	Where string        `json:"where,omitempty"` // machine or controller
	Why   string        `json:"why,omitempty"`
	// Cores and Accelerators are what the task takes.
	Cores        float64 `json:"cores,omitempty"`
	Accelerators float64 `json:"accelerators,omitempty"`
	// Machines are a rollout's machines by state.
	Machines map[string]int `json:"machines,omitempty"`
}

// WriteRecord stores events compressed, one JSON object a line.
func WriteRecord(path string, events []Event) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	compressed, err := zstd.NewWriter(file)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(compressed)
	for i := range events {
		if err := encoder.Encode(&events[i]); err != nil {
			return errors.Join(err, compressed.Close())
		}
	}
	return compressed.Close()
}

// ReadRecord reads what WriteRecord stored.
func ReadRecord(path string) ([]Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	plain, err := zstd.NewReader(file)
	if err != nil {
		return nil, err
	}
	defer plain.Close()
	var events []Event
	for decoder := json.NewDecoder(plain); ; {
		var event Event
		switch err := decoder.Decode(&event); {
		case errors.Is(err, io.EOF):
			return events, nil
		case err != nil:
			return events, err
		}
		events = append(events, event)
	}
}
