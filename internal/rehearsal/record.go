// Package rehearsal runs real controller processes on one machine, over loopback, against fakes of
// everything around them, injects faults while a scenario of load is carried out, and leaves a
// record and a report of what happened. Nothing outside this machine is called.
package rehearsal

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/klauspost/compress/zstd"
)

// Files that a run leaves in its folder.
const (
	recordFile = "record.jsonl.zst"
	reportFile = "report.html"
)

// EventKind is what an event of the record tells.
type EventKind string

// The kinds of events. Starts and ends are the workers' own record.
const (
	TaskStarted   EventKind = "started"
	TaskEnded     EventKind = "ended"
	JobAccepted   EventKind = "accepted"
	JobRefused    EventKind = "refused"
	FaultInjected EventKind = "disturbed" // a fault was injected, or ended
	// LedgerChanged tells that a team's ledger was changed; Why is how its limit is split then.
	LedgerChanged EventKind = "transferred"
	// RolloutStored tells what a rollout became, Evicted that a task's permit was stored,
	// Commanded that a controller took a command, Halt why a rollout halted.
	RolloutStored   EventKind = "rollout"
	EvictionStored  EventKind = "evicted"
	CommandAccepted EventKind = "commanded"
	RolloutHalted   EventKind = "halted"
)

// Event is one entry of a run's record.
type Event struct {
	At    time.Duration `json:"at"` // since the run began
	Kind  EventKind     `json:"kind"`
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

// writeFiles writes a run's record and its report into a folder. The record is written also if the
// report cannot be made.
func writeFiles(folder string, events []Event, report func() ([]byte, error)) error {
	recordErr := WriteRecord(filepath.Join(folder, recordFile), events)
	page, err := report()
	if err != nil {
		return errors.Join(recordErr, fmt.Errorf("make the report: %w", err))
	}
	return errors.Join(recordErr, os.WriteFile(filepath.Join(folder, reportFile), page, privateFile))
}

// WriteRecord stores events compressed, one JSON object a line.
func WriteRecord(path string, events []Event) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create the record: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	compressed, err := zstd.NewWriter(file)
	if err != nil {
		return fmt.Errorf("compress the record: %w", err)
	}
	encoder := json.NewEncoder(compressed)
	for i := range events {
		if err := encoder.Encode(&events[i]); err != nil {
			return errors.Join(fmt.Errorf("write the record: %w", err), compressed.Close())
		}
	}
	return compressed.Close()
}

// ReadRecord reads what WriteRecord stored.
func ReadRecord(path string) ([]Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open the record: %w", err)
	}
	defer func() { _ = file.Close() }() // it was only read
	plain, err := zstd.NewReader(file)
	if err != nil {
		return nil, fmt.Errorf("decompress the record: %w", err)
	}
	defer plain.Close()
	var events []Event
	for decoder := json.NewDecoder(plain); ; {
		var event Event
		switch err := decoder.Decode(&event); {
		case errors.Is(err, io.EOF):
			return events, nil
		case err != nil:
			return events, fmt.Errorf("read the record: %w", err)
		}
		events = append(events, event)
	}
}

// ordered is a copy of the record in the order of time.
func ordered(events []Event) []Event {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	return sorted
}
