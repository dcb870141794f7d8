// Package rehearsal tests controllers under faults and load. It runs real controller processes on
// one machine, over loopback, against fakes of the state service, the cloud and the workers, injects
// faults while jobs are submitted, and writes a record of events and a report. It calls nothing
// outside this machine.
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

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
)

// Names of the files that a run writes to its folder.
const (
	recordFile = "record.jsonl.zst"
	reportFile = "report.html"
)

// EventKind is the kind of a recorded event.
type EventKind string

// The kinds of events. Task starts and ends are recorded by the fake workers, not by controllers.
const (
	TaskStarted   EventKind = "started"
	TaskEnded     EventKind = "ended"
	JobAccepted   EventKind = "accepted"
	JobRefused    EventKind = "refused"
	FaultInjected EventKind = "disturbed" // a fault was injected, or ended
	// LedgerChanged means that a team's ledger changed; Why describes the new split of its limit.
	LedgerChanged   EventKind = "transferred"
	RolloutStored   EventKind = "rollout"   // a new state of a rollout was stored
	EvictionStored  EventKind = "evicted"   // a permit to evict a task was stored
	CommandAccepted EventKind = "commanded" // a controller accepted an operator's command
	RolloutHalted   EventKind = "halted"    // a rollout halted; Why is the reason
)

// Event is an entry in the record of a run.
type Event struct {
	At    time.Duration `json:"at"` // since the start of the run
	Kind  EventKind     `json:"kind"`
	Team  string        `json:"team,omitempty"`
	Job   string        `json:"job,omitempty"`
	Task  string        `json:"task,omitempty"`
	Where string        `json:"where,omitempty"` // machine or controller
	Why   string        `json:"why,omitempty"`
	// Cores and Accelerators are the resources that the task uses.
	Cores        float64 `json:"cores,omitempty"`
	Accelerators float64 `json:"accelerators,omitempty"`
	// Machines holds the number of a rollout's machines by state.
	Machines map[string]int `json:"machines,omitempty"`
}

// writeFiles writes the record and the report of a run to a folder. The record is written even if
// rendering the report fails.
func writeFiles(folder string, events []Event, report func() ([]byte, error)) error {
	recordErr := WriteRecord(filepath.Join(folder, recordFile), events)
	page, err := report()
	if err != nil {
		return errors.Join(recordErr, fmt.Errorf("render report: %w", err))
	}
	return errors.Join(recordErr, os.WriteFile(filepath.Join(folder, reportFile), page, privateFileMode))
}

// WriteRecord writes events to a zstd-compressed file, one JSON object per line.
func WriteRecord(path string, events []Event) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create record file: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	compressed, err := zstd.NewWriter(file)
	if err != nil {
		return fmt.Errorf("create compressor for record: %w", err)
	}
	encoder := json.NewEncoder(compressed)
	for i := range events {
		if err := encoder.Encode(&events[i]); err != nil {
			return errors.Join(fmt.Errorf("write event to record: %w", err), compressed.Close())
		}
	}
	return compressed.Close()
}

// ReadRecord reads a file that WriteRecord wrote.
func ReadRecord(path string) ([]Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open record file: %w", err)
	}
	defer func() { _ = file.Close() }() // the file was only read
	plain, err := zstd.NewReader(file)
	if err != nil {
		return nil, fmt.Errorf("create decompressor for record: %w", err)
	}
	defer plain.Close()
	var events []Event
	for decoder := exactjson.NewDecoder(plain); ; {
		var event Event
		switch err := decoder.Decode(&event); {
		case errors.Is(err, io.EOF):
			return events, nil
		case err != nil:
			return events, fmt.Errorf("read event from record: %w", err)
		}
		events = append(events, event)
	}
}

// sortedByTime returns a copy of the events sorted by time.
func sortedByTime(events []Event) []Event {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	return sorted
}
