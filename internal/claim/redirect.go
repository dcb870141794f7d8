package claim

import (
	"context"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// sentOn is a worker sent on to the leader, perhaps again and again.
type sentOn struct {
	to          ids.Node
	first, last time.Time
}

// Strand is a worker that was sent on to the leader and may not have got there.
type Strand struct {
	Machine ids.Machine
	Ago     time.Duration // when it was first sent on
}

// A worker sent on reports to the leader within arrives. One that does not get
// through is back within backWithin: it waits 4 s for an answer, and another before it
// tries the next node.
const (
	arrives    = 2500 * time.Millisecond
	backWithin = 10 * time.Second
)

func (p *Pool) noteRedirect(m ids.Machine, to ids.Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.sent) > 20000 {
		clear(p.sent)
	}
	now := time.Now()
	s := p.sent[m]
	if s.to != to || now.Sub(s.last) > backWithin {
		s = sentOn{to: to, first: now}
	}
	s.last = now
	p.sent[m] = s
}

// Stranded lists the workers that were lately sent to the present leader and came
// back, or should be there by now: whether they have been, the leader knows. Those sent
// to an earlier one say nothing of this one.
func (p *Pool) Stranded() (out []Strand) {
	leader, _ := p.known()
	p.mu.Lock()
	defer p.mu.Unlock()
	for m, s := range p.sent {
		if s.to != leader || time.Since(s.last) >= backWithin {
			delete(p.sent, m)
		} else if s.last != s.first || time.Since(s.first) > arrives {
			out = append(out, Strand{m, time.Since(s.first)})
		}
	}
	return out
}

// Reconsider is told by a peer which workers reach it but not this leader. If
// those are most of the machines, this node is cut off from the workers and
// gives the pool up, at once and for a while, to one that is not.
func (p *Pool) Reconsider(stranded []Strand) {
	t := p.Term()
	if t == nil || len(stranded) == 0 || !t.Cluster.cutOff(stranded, time.Now()) {
		return
	}
	p.giveWay(t, "cut off from the workers, which reach another node")
}

// deafAfter is how long a term lasts at least before its leader may find itself
// cut off from all workers.
const deafAfter = 5 * time.Second

// checkDeaf gives the pool up if no worker is heard or answers, and no other
// controller can be reached to tell whether they reach it. A leader that hears
// nobody keeps no lease alive, so little is lost if another fares no better.
func (p *Pool) checkDeaf(t *Term) {
	if p.Peers == nil || !p.Peers.Alone() || time.Since(t.began) < deafAfter || !t.Cluster.deaf(time.Now()) {
		return
	}
	p.giveWay(t, "no worker is heard, and no other controller")
}

// giveWay ends the term at once, and leaves the pool to others for a while.
func (p *Pool) giveWay(t *Term, why string) {
	p.mu.Lock()
	p.resting = time.Now().Add(20 * time.Second)
	p.mu.Unlock()
	p.stepDown(t, why)
	ctx, cancel := context.WithTimeout(context.Background(), state.CallTimeout)
	defer cancel()
	if err := p.State.EndLease(ctx, t.hold); err != nil {
		slog.Debug("hold not ended", "err", err) // it lapses by itself
	}
}
