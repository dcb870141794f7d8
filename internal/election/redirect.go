package election

import (
	"context"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/liveness"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// redirect is a worker sent on to the leader, perhaps again and again.
type redirect struct {
	to          ids.Node
	first, last time.Time
}

// A worker sent on reports to the leader within arrives. One that does not get
// through is back within backWithin: it waits 4 s for an answer, and another before it
// tries the next node.
const (
	redirectArrivalTime = 2500 * time.Millisecond
	redirectReturnTime  = 10 * time.Second
)

func (e *Elector) noteRedirect(m ids.Machine, to ids.Node) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.redirects) > 20000 {
		clear(e.redirects)
	}
	now := time.Now()
	s := e.redirects[m]
	if s.to != to || now.Sub(s.last) > redirectReturnTime {
		s = redirect{to: to, first: now}
	}
	s.last = now
	e.redirects[m] = s
}

// RedirectedWorkers lists the workers that were lately sent to the present leader and came
// back, or should be there by now: whether they have been, the leader knows. Those sent
// to an earlier one say nothing of this one.
func (e *Elector) RedirectedWorkers() (out []liveness.RedirectedWorker) {
	leader, _ := e.knownLeader()
	e.mu.Lock()
	defer e.mu.Unlock()
	for m, s := range e.redirects {
		if s.to != leader || time.Since(s.last) >= redirectReturnTime {
			delete(e.redirects, m)
		} else if s.last != s.first || time.Since(s.first) > redirectArrivalTime {
			out = append(out, liveness.RedirectedWorker{Machine: m, Ago: time.Since(s.first)})
		}
	}
	return out
}

// HandleRedirectedWorkers is told by a peer which workers reach it but not this leader. If
// those are most of the machines, this node is cut off from the workers and
// gives the pool up, at once and for a while, to one that is not.
func (e *Elector) HandleRedirectedWorkers(stranded []liveness.RedirectedWorker) {
	term := e.Term()
	if term == nil || len(stranded) == 0 || !term.Cluster.IsolatedFromWorkers(stranded, time.Now()) {
		return
	}
	e.resign(term, "cut off from the workers, which reach another node")
}

// isolationMinTerm is how long a term lasts at least before its leader may find itself
// cut off from all workers.
const isolationMinTerm = 5 * time.Second

// checkIsolation gives the pool up if no worker is heard or answers, and no other
// controller can be reached to tell whether they reach it. A leader that hears
// nobody keeps no lease alive, so little is lost if another fares no better.
func (e *Elector) checkIsolation(term *Term) {
	if e.Peers == nil || !e.Peers.Alone() || time.Since(term.began) < isolationMinTerm || !term.Cluster.HearsNoWorker(time.Now()) {
		return
	}
	e.resign(term, "no worker is heard, and no other controller")
}

// resign ends the term at once, and leaves the pool to others for a while.
func (e *Elector) resign(term *Term, why string) {
	e.mu.Lock()
	e.noCampaignBefore = time.Now().Add(20 * time.Second)
	e.mu.Unlock()
	e.stepDown(term, why)
	ctx, cancel := context.WithTimeout(context.Background(), state.CallTimeout)
	defer cancel()
	if err := e.State.RevokeLease(ctx, term.lease); err != nil {
		slog.Debug("hold not ended", "err", err) // it lapses by itself
	}
}
