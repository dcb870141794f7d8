package rehearsal

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// maxCopyDelay is the longest time after which a copy of direct commands arrives. It is shorter than most
// tasks of a rehearsal take to end, move and be cleared together, so that copies meet all of these.
const maxCopyDelay = 15 * time.Second

// copyFault delivers copies of direct commands to workers some seconds after they were executed and
// answered.
type copyFault struct {
	share float64 // of the requests with commands, from 0 to 1

	mu  sync.Mutex // guards rng
	rng *rand.Rand
}

// newCopyFault returns a fault that copies a share of the direct commands.
func newCopyFault(share float64, seed uint64) *copyFault {
	return &copyFault{share: share, rng: rand.New(rand.NewPCG(seed, copyStream))}
}

// copyStream is the stream of random numbers of copyFault.
const copyStream = 3

// wrap returns a handler that passes requests to a worker and delivers copies of some of them later.
func (f *copyFault) wrap(worker http.Handler) http.Handler {
	if f.share <= 0 {
		return worker
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if delay, selected := f.draw(); selected && r.Method == http.MethodPost {
			late := r.Clone(context.WithoutCancel(r.Context()))
			late.Body = io.NopCloser(bytes.NewReader(body))
			time.AfterFunc(delay, func() { worker.ServeHTTP(discardResponse{}, late) })
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		worker.ServeHTTP(w, r)
	})
}

// draw draws whether a request is copied, and the delay of the copy.
func (f *copyFault) draw() (delay time.Duration, selected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rng.Float64() * float64(maxCopyDelay)), f.rng.Float64() < f.share
}

// discardResponse is the response to a copy, for which nobody waits.
type discardResponse struct{}

// Header returns headers that are sent to nobody.
func (discardResponse) Header() http.Header { return http.Header{} }

// Write accepts all data.
func (discardResponse) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader does nothing.
func (discardResponse) WriteHeader(int) {}
