package election

import (
	"context"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// confirmationRetryDelay is the wait before the earlier leaders are asked again.
const confirmationRetryDelay = 500 * time.Millisecond

// ConfirmStopped is told by a peer of a higher generation; the answer confirms that this node answers
// no heartbeats under an older one.
func (e *Elector) ConfirmStopped(generation ids.Generation) bool {
	term := e.Term()
	if term == nil {
		return true
	}
	if term.Cluster.Generation() >= generation {
		return false
	}
	e.stepDown(term, "a peer knows a higher generation")
	return true
}

// awaitPredecessorsStopped shortens the wait for silent workers' lease expiry once those who may
// still be answering them confirm that they have stopped. It ends then, or with the term.
func (e *Elector) awaitPredecessorsStopped(ctx context.Context, term *Term, of ...ids.Node) {
	for ctx.Err() == nil {
		if e.Peers == nil {
			return
		}
		if e.Peers.AllStopped(ctx, term.Generation, of...) {
			now := time.Now()
			term.Cluster.TrustSilenceFrom(now.Add(e.settings.Params.Workers.LeaseS.WithClockDrift()))
			return
		}
		wait.For(ctx, confirmationRetryDelay)
	}
}
