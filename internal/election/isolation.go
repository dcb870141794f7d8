package election

import (
	"context"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/liveness"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

const (
	// isolationMinTerm is how long a term lasts at least before its leader may find itself cut off
	// from all workers.
	isolationMinTerm = 5 * time.Second
	// resignationPause is how long this node does not campaign after it resigned.
	resignationPause = 20 * time.Second
)

// HandleRedirectedWorkers is told by a peer which workers reach it but not this leader. If those
// are most of the machines, this node is cut off from the workers and resigns, at once and for a
// while, in favour of one that is not.
func (e *Elector) HandleRedirectedWorkers(unheard []liveness.RedirectedWorker) {
	term := e.Term()
	if term == nil || len(unheard) == 0 || !term.Cluster.IsolatedFromWorkers(unheard, time.Now()) {
		return
	}
	e.resign(term, "cut off from the workers, which reach another node")
}

// checkIsolation resigns if no worker is heard or answers, and no other controller can be reached
// to tell whether they reach it. A leader that hears nobody keeps no lease alive, so little is lost
// if another fares no better.
func (e *Elector) checkIsolation(term *Term) {
	if e.Peers == nil || !e.Peers.Alone() || time.Since(term.began) < isolationMinTerm || !term.Cluster.HearsNoWorker(time.Now()) {
		return
	}
	e.resign(term, "no worker is heard, and no other controller")
}

// resign steps down at once, and leaves the shard to others for a while.
func (e *Elector) resign(term *Term, why string) {
	e.candidate.suspend(resignationPause)
	e.stepDown(term, why)
	ctx, cancel := context.WithTimeout(context.Background(), state.CallTimeout)
	defer cancel()
	if err := e.store.RevokeLease(ctx, term.lease); err != nil {
		slog.Debug("lease not released", "shard", e.shard, "term", term.Generation, "err", err) // it expires by itself
	}
}
