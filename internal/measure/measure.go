// Package measure records latencies of operations and counts of events, for operators and for
// benchmarks. No decision of the program depends on it.
package measure

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Recorder records latencies and counts by name. Its size is bounded, since names are constants in the
// code and never come from users or machines.
type Recorder struct {
	// mu guards the maps and the histograms. It is held only for updates and copies. No code
	// that takes another lock runs under it, except the logger if a latency can't be recorded.
	mu        sync.Mutex
	latencies map[string]*hdr.Histogram // in microseconds
	counts    map[string]int64
}

// newRecorder returns an empty recorder.
func newRecorder() *Recorder {
	return &Recorder{latencies: map[string]*hdr.Histogram{}, counts: map[string]int64{}}
}

// Default is the recorder of the whole process. Counts come from many packages, and a separate recorder
// for each of them would give no further information.
var Default = newRecorder()

const (
	// maxLatency is the highest latency that is recorded; longer ones are recorded as this value.
	maxLatency = time.Minute
	// significantDigits is the precision of the histograms.
	significantDigits = 2
)

// Took records the latency of an operation that began at the given time and has just ended.
func (r *Recorder) Took(name string, began time.Time) {
	latency := min(time.Since(began), maxLatency)
	r.mu.Lock()
	defer r.mu.Unlock()
	histogram := r.latencies[name]
	if histogram == nil {
		histogram = hdr.New(1, maxLatency.Microseconds(), significantDigits)
		r.latencies[name] = histogram
	}
	if err := histogram.RecordValue(max(1, latency.Microseconds())); err != nil {
		slog.Error("failed to record a latency", "what", name, "err", err) // not expected: latency is within the bounds of the histogram
	}
}

// Count adds n to the named count.
func (r *Recorder) Count(name string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name] += int64(n)
}

// Distribution summarizes latencies in milliseconds. Log lines contain the names of its fields, which
// must not change; the status page uses the JSON names.
type Distribution struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50ms"`
	P99   float64 `json:"p99ms"`
	Max   float64 `json:"maxMs"`
	Sum   float64 `json:"sumMs"`
}

const microsecondsPerMillisecond = 1000

// newDistribution summarizes a histogram.
func newDistribution(histogram *hdr.Histogram) Distribution {
	milliseconds := func(microseconds int64) float64 { return float64(microseconds) / microsecondsPerMillisecond }
	count := histogram.TotalCount()
	return Distribution{
		Count: count,
		P50:   milliseconds(histogram.ValueAtQuantile(50)),
		P99:   milliseconds(histogram.ValueAtQuantile(99)),
		Max:   milliseconds(histogram.Max()),
		Sum:   histogram.Mean() * float64(count) / microsecondsPerMillisecond,
	}
}

// Summary returns the latencies and counts recorded so far, by name.
func (r *Recorder) Summary() (latencies map[string]Distribution, counts map[string]int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	latencies = make(map[string]Distribution, len(r.latencies))
	for name, histogram := range r.latencies {
		latencies[name] = newDistribution(histogram)
	}
	return latencies, maps.Clone(r.counts)
}

// Log writes the summary as one log line.
func (r *Recorder) Log() {
	latencies, counts := r.Summary()
	var args []any
	for _, name := range slices.Sorted(maps.Keys(latencies)) {
		args = append(args, name, latencies[name])
	}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		args = append(args, name, counts[name])
	}
	slog.Info("measured", args...)
}
