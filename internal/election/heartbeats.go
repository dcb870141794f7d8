package election

import (
	"context"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// mayAnswerHeartbeats tells whether this node may still answer beats. A successor trusts that
// it stops a fixed time after its last good renewal, and users that what they
// cancelled is gone in time: what this node has not read of, it may keep alive for
// so long after its last complete read only.
func (e *Elector) mayAnswerHeartbeats(term *Term) bool {
	return e.authorityWithin(term, e.Settings.LeaderGracePeriod().Duration())
}

// mayStartTasks tells whether this node may still start tasks: a job may have been
// cancelled, by a node that can't reach this one, since its records were last read.
// Two lives of the hold allow for slow answers.
func (e *Elector) mayStartTasks(term *Term) bool {
	return e.authorityWithin(term, 2*time.Duration(e.Settings.Operator.PoolHoldMs)*time.Millisecond)
}

// authorityWithin tells whether the last good renewal and the last complete read of the
// records both began less than d ago.
func (e *Elector) authorityWithin(term *Term, d time.Duration) bool {
	if !e.renewedSincePause(term) {
		return false
	}
	read := e.recordsReadAt()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term == term && time.Since(term.renewedAt) < d && time.Since(read) < d
}

// LeaseSurelyHeld tells whether no other node can own the pool: its hold, counted from when
// the last good renewal was sent, has not run out by this node's clock.
func (e *Elector) LeaseSurelyHeld(term *Term) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	life := time.Duration(e.Settings.Operator.PoolHoldMs) * time.Millisecond
	return e.term == term && time.Since(term.renewedAt) < life-life/100
}

// Heartbeat answers a worker's report: a reply, or else a status and redirect.
func (e *Elector) Heartbeat(ctx context.Context, report *worker.Report) (*worker.CommandBatch, int, worker.Redirect) {
	term := e.Term()
	if term == nil {
		if node, ok := e.Leader(); ok {
			e.noteRedirect(report.Machine, node)
			return nil, 421, worker.Redirect{Node: node}
		}
		return nil, 503, worker.Redirect{}
	}
	select {
	case <-term.loaded:
	case <-time.After(1500 * time.Millisecond):
		return nil, 503, worker.Redirect{}
	case <-ctx.Done():
		return nil, 503, worker.Redirect{}
	}
	if !e.mayAnswerHeartbeats(term) {
		return nil, 503, worker.Redirect{}
	}
	generation := term.Cluster.Generation()
	if report.FencingToken > generation {
		// The worker has heard of a later leader. It would drop our answer and
		// yet stay with us, so it is sent on.
		e.stepDown(term, "a worker has seen a higher token")
		return nil, 503, worker.Redirect{}
	}
	if term.Cluster.LeaseMustExpire(report, e.Settings.LeaderGracePeriod().Duration()) {
		return nil, 503, worker.Redirect{}
	}
	orders := term.Cluster.ReconcileHeartbeat(report, true, true)
	if orders == nil {
		orders = []worker.Command{}
	}
	return &worker.CommandBatch{FencingToken: generation, Commands: orders}, 200, worker.Redirect{}
}
