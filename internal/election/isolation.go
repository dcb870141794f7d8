package election

import (
	"context"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/liveness"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

const (
	// isolationMinTerm is the minimum duration of a term before its leader may resign because it has lost
	// contact with the workers.
	isolationMinTerm = 5 * time.Second
	// resignationPause is how long this node does not campaign for a shard after it resigned from it.
	resignationPause = 20 * time.Second
)

// HandleRedirectedWorkers handles a peer's list of workers that reach the peer but may not reach this
// leader. If those that are silent here outnumber the workers that report, this leader is cut off from the
// workers: it resigns immediately and does not campaign for a while, so that another controller is elected.
func (e *Elector) HandleRedirectedWorkers(redirected []liveness.RedirectedWorker) {
	term := e.Term()
	if term == nil || len(redirected) == 0 || !term.Cluster.IsolatedFromWorkers(redirected, time.Now()) {
		return
	}
	e.resign(term, "cut off from the workers, which reach another node")
}

// checkIsolation resigns if hardly any worker reports or answers, and no other controller can be reached to
// ask whether the workers reach it. Such a leader renews hardly any worker lease, so little is lost if the
// next leader can't reach the workers either.
func (e *Elector) checkIsolation(term *Term) {
	if e.Peers == nil || !e.Peers.NoPeerUp() || time.Since(term.beganAt) < isolationMinTerm || !term.Cluster.LostWorkerContact(time.Now()) {
		return
	}
	e.resign(term, "no worker is heard, and no other controller")
}

// resign steps down immediately, and keeps this node from campaigning for the shard for a while.
func (e *Elector) resign(term *Term, reason string) {
	e.candidate.suspend(resignationPause)
	e.stepDown(term, reason)
	ctx, cancel := context.WithTimeout(context.Background(), state.CallTimeout)
	defer cancel()
	if err := e.store.RevokeLease(ctx, term.lease); err != nil {
		// The lease is left to expire.
		slog.Debug("revoking leader lease after resignation failed", "shard", e.shard, "term", term.Generation, "err", err)
	}
}
