package harness2

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes to record.txt what was sent, answered and run, with the time since the start.
type Record struct {
	mu       sync.Mutex
	file     *os.File
	began    time.Time
	breaches []string
}

// NewRecord creates the record in a file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Now returns the time since the start of the record.
func (r *Record) Now() time.Duration { return time.Since(r.began) }

// Add adds a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", r.Now().Seconds(), fmt.Sprintf(format, args...))
}

// Breach adds a line on a broken rule.
func (r *Record) Breach(rule, format string, args ...any) {
	line := rule + ": " + fmt.Sprintf(format, args...)
	r.Add("RULE BROKEN  %s", line)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches = append(r.breaches, line)
}

// Breaches returns the broken rules so far.
func (r *Record) Breaches() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.breaches...)
}
