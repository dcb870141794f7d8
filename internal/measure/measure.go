// Package measure keeps what operators and rounds of improvement are guided
// by: how long things took and how often calls were made. It decides nothing.
package measure

import (
	"log/slog"
	"sort"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Book is one process's measurements. Its size is bounded: names come from the
// code, never from what users or machines send.
type Book struct {
	mu     sync.Mutex
	took   map[string]*hdr.Histogram // in microseconds
	counts map[string]int64
}

// New makes an empty book.
func New() *Book { return &Book{took: map[string]*hdr.Histogram{}, counts: map[string]int64{}} }

// Process is this process's book: counts by purpose come from many slices, and
// handing one book to each of them would tell no more.
var Process = New()

const longest = time.Minute

// Took notes how long something took since it began.
func (b *Book) Took(what string, began time.Time) {
	d := min(time.Since(began), longest)
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.took[what]
	if h == nil {
		h = hdr.New(1, longest.Microseconds(), 2)
		b.took[what] = h
	}
	if err := h.RecordValue(max(1, d.Microseconds())); err != nil {
		slog.Error("latency not kept", "what", what, "err", err) // within bounds by the above
	}
}

// Count adds to a count.
func (b *Book) Count(what string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[what] += int64(n)
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
func (b *Book) Summary() (map[string]Spread, map[string]int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	took := make(map[string]Spread, len(b.took))
	ms := func(us int64) float64 { return float64(us) / 1000 }
	for k, h := range b.took {
		took[k] = Spread{h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max()),
			h.Mean() * float64(h.TotalCount()) / 1000}
	}
	counts := make(map[string]int64, len(b.counts))
	for k, n := range b.counts {
		counts[k] = n
	}
	return took, counts
}

// Log writes the summary as one line.
func (b *Book) Log() {
	took, counts := b.Summary()
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
