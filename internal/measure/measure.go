// Package measure records latencies and counts, for operators and for measured rounds: how long
// things took and how often calls were made. No decision depends on it.
package measure

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Recorder keeps latencies and counts. Its size is bounded: names come from the code, never from
// what users or machines send.
type Recorder struct {
	// mu guards the maps and the histograms. It is held only for updates and copies, and nothing
	// that locks is called under it but the logger, of a latency that was not kept.
	mu        sync.Mutex
	latencies map[string]*hdr.Histogram // in microseconds
	counts    map[string]int64
}

// newRecorder returns an empty recorder.
func newRecorder() *Recorder {
	return &Recorder{latencies: map[string]*hdr.Histogram{}, counts: map[string]int64{}}
}

// Process records for the whole process: counts come from many packages, and passing a recorder
// to each of them would tell no more.
var Process = newRecorder()

const (
	// maxLatency is the highest latency kept; longer ones count as this.
	maxLatency = time.Minute
	// significantDigits is the precision of the histograms.
	significantDigits = 2
)

// Took records how long something took that began at a time.
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
		slog.Error("latency not kept", "what", name, "err", err) // cannot be: it is within the bounds
	}
}

// Count adds to a count.
func (r *Recorder) Count(name string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name] += int64(n)
}

// Distribution describes latencies in milliseconds. It is logged under its fields' names, which
// must stay, and told to operators under those in JSON.
type Distribution struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50ms"`
	P99   float64 `json:"p99ms"`
	Max   float64 `json:"maxMs"`
	Sum   float64 `json:"sumMs"`
}

const microsecondsPerMillisecond = 1000

// distributionOf summarizes a histogram.
func distributionOf(histogram *hdr.Histogram) Distribution {
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
		latencies[name] = distributionOf(histogram)
	}
	return latencies, maps.Clone(r.counts)
}

// Log writes the summary as one line.
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
