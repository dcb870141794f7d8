// Package harness starts the project's controllers as separate processes on loopback addresses, with
// stand-ins of the state service, the cloud, the workers and the users that follow the users' pages.
// The review cases in the folders beside it are built on it.
package harness

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNoRun  = 2
)

// Recorder writes the record of a case: what was sent, answered and run, with the time since its start.
type Recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecorder creates the record at a path, replacing an earlier one.
func NewRecorder(path string) (*Recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Recorder{file: file, began: time.Now()}, nil
}

// Printf adds one line to the record.
func (r *Recorder) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that can't be written must not hide the result, which is the exit code.
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Elapsed returns the time since the start of the record.
func (r *Recorder) Elapsed() time.Duration { return time.Since(r.began) }

// Close closes the record.
func (r *Recorder) Close() { _ = r.file.Close() }
