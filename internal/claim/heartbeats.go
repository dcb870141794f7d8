package claim

import (
	"context"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// entitled tells whether this node may still answer beats. A successor trusts that
// it stops a fixed time after its last good renewal, and users that what they
// cancelled is gone in time: what this node has not read of, it may keep alive for
// so long after its last complete read only.
func (p *Pool) entitled(t *Term) bool {
	return p.within(t, p.Set.Grace().Duration())
}

// mayStart tells whether this node may still start tasks: a job may have been
// cancelled, by a node that can't reach this one, since its records were last read.
// Two lives of the hold allow for slow answers.
func (p *Pool) mayStart(t *Term) bool {
	return p.within(t, 2*time.Duration(p.Set.Own.PoolHoldMs)*time.Millisecond)
}

// within tells whether the last good renewal and the last complete read of the
// records both began less than d ago.
func (p *Pool) within(t *Term, d time.Duration) bool {
	if !p.proven(t) {
		return false
	}
	read := p.readAt()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.term == t && time.Since(t.renewed) < d && time.Since(read) < d
}

// Sure tells whether no other node can own the pool: its hold, counted from when
// the last good renewal was sent, has not run out by this node's clock.
func (p *Pool) Sure(t *Term) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	life := time.Duration(p.Set.Own.PoolHoldMs) * time.Millisecond
	return p.term == t && time.Since(t.renewed) < life-life/100
}

// Heartbeat answers a worker's report: a reply, or else a status and redirect.
func (p *Pool) Heartbeat(ctx context.Context, rep *worker.Report) (*worker.Reply, int, worker.Redirect) {
	t := p.Term()
	if t == nil {
		if node, ok := p.Leader(); ok {
			p.noteRedirect(rep.Machine, node)
			return nil, 421, worker.Redirect{AnswerTo: node}
		}
		return nil, 503, worker.Redirect{}
	}
	select {
	case <-t.loaded:
	case <-time.After(1500 * time.Millisecond):
		return nil, 503, worker.Redirect{}
	case <-ctx.Done():
		return nil, 503, worker.Redirect{}
	}
	if !p.entitled(t) {
		return nil, 503, worker.Redirect{}
	}
	gen := t.Cluster.Generation()
	if rep.Token > gen {
		// The worker has heard of a later leader. It would drop our answer and
		// yet stay with us, so it is sent on.
		p.stepDown(t, "a worker has seen a higher token")
		return nil, 503, worker.Redirect{}
	}
	if t.Cluster.mustLapse(rep, p.Set.Grace().Duration()) {
		return nil, 503, worker.Redirect{}
	}
	orders := t.Cluster.Observe(rep, true, true)
	if orders == nil {
		orders = []worker.Order{}
	}
	return &worker.Reply{Token: gen, Orders: orders}, 200, worker.Redirect{}
}
