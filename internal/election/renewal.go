package election

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/state"
)

// renewLease renews a term's lease. It steps down if the state service no longer has the lease, if another
// leader has incremented the generation, or if neither workers nor other controllers can be reached.
func (e *Elector) renewLease(ctx context.Context, term *Term) {
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, leaseDuration(e.settings)/2)
	defer cancel()
	err := e.store.RenewLease(ctx, term.lease)
	switch {
	case err == nil:
		term.authority.recordRenewal(sentAt)
	case errors.Is(err, state.ErrNoLease):
		e.stepDown(term, "lease expired")
	default:
		slog.Debug("renewal of leader lease failed", "shard", e.shard, "term", term.Generation, "err", err)
	}
	e.checkIsolation(term)
	e.checkGeneration(term)
}

// checkGeneration steps down if another process has incremented the generation.
func (e *Elector) checkGeneration(term *Term) {
	stored, known := e.candidate.cachedGeneration()
	if known && stored.Generation > term.Cluster.Generation() && !e.candidate.isOwnWrite(stored) {
		e.stepDown(term, "another leader raised the generation")
	}
}

// HoldsLease reports whether no other node can lead the shard: by this node's clock, the term's lease,
// counted from when the last successful renewal was sent, has not expired.
func (e *Elector) HoldsLease(term *Term) bool { return term.authority.holdsLease() }
