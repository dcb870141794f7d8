package election

import (
	"context"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// confirmationRetryDelay is the delay before the earlier leaders are asked again.
const confirmationRetryDelay = 500 * time.Millisecond

// ConfirmStopped handles a peer's request to confirm that this node answers no heartbeats under a generation
// older than the given one. It steps down if this node leads under an older generation, and returns false if
// the generation of this node's term is at least as high.
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

// awaitPredecessorsStopped asks the controllers that may still be answering heartbeats to confirm that they
// have stopped, until all have confirmed or the term ends. Once they have, the leases of silent workers count
// as expired one worker lease later, without the wait for a predecessor's grace period.
func (e *Elector) awaitPredecessorsStopped(ctx context.Context, term *Term, nodes ...ids.Node) {
	for ctx.Err() == nil {
		if e.Peers == nil {
			return
		}
		if e.Peers.AllConfirmStopped(ctx, term.Generation, nodes...) {
			now := time.Now()
			term.Cluster.AdvanceLeaseExpiry(now.Add(e.settings.Params.Workers.LeaseS.WithClockDrift()))
			return
		}
		wait.For(ctx, confirmationRetryDelay)
	}
}
