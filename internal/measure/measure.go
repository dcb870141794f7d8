// Package measure records latencies and counts for operators and measured rounds:
// how long things took and how often calls were made. No decision depends on it.
package measure

import (
	"log/slog"
	"sort"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Recorder keeps latencies and counts. Its size is bounded: names come from the
// code, never from what users or machines send.
type Recorder struct {
	mu     sync.Mutex
	took   map[string]*hdr.Histogram // in microseconds
	counts map[string]int64
}

// New makes an empty recorder.
func New() *Recorder { return &Recorder{took: map[string]*hdr.Histogram{}, counts: map[string]int64{}} }

// Process records for the whole process: counts come from many packages, and
// passing a recorder to each of them would tell no more.
var Process = New()

const longest = time.Minute

// Took notes how long something took since it began.
func (r *Recorder) Took(what string, began time.Time) {
	d := min(time.Since(began), longest)
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.took[what]
	if h == nil {
		h = hdr.New(1, longest.Microseconds(), 2)
		r.took[what] = h
	}
	if err := h.RecordValue(max(1, d.Microseconds())); err != nil {
		slog.Error("latency not kept", "what", what, "err", err) // within bounds by the above
	}
}

// Count adds to a count.
func (r *Recorder) Count(what string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what] += int64(n)
}

// Spread is a distribution in milliseconds.
type Spread struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50ms"`
	P99   float64 `json:"p99ms"`
	Max   float64 `json:"maxMs"`
	Sum   float64 `json:"sumMs"`
}

// Summary is everything measured so far.
func (r *Recorder) Summary() (map[string]Spread, map[string]int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	took := make(map[string]Spread, len(r.took))
	ms := func(us int64) float64 { return float64(us) / 1000 }
	for k, h := range r.took {
		took[k] = Spread{h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max()),
			h.Mean() * float64(h.TotalCount()) / 1000}
	}
	counts := make(map[string]int64, len(r.counts))
	for k, n := range r.counts {
		counts[k] = n
	}
	return took, counts
}

// Log writes the summary as one line.
func (r *Recorder) Log() {
	took, counts := r.Summary()
	var args []any
	for _, k := range sorted(took) {
		args = append(args, k, took[k])
	}
	for _, k := range sorted(counts) {
		args = append(args, k, counts[k])
	}
	slog.Info("measured", args...)
}

func sorted[V any](m map[string]V) []string {
	ks := make([]string, 0, len(m))
	for k := range m {
		ks = append(ks, k)
	}
	sort.Strings(ks)
	return ks
}
