package election

import (
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/liveness"
)

// A redirected worker reports to the leader within redirectArrivalTime. One that does not get
// through is back within redirectReturnTime: it waits 4 s for an answer, and another before it tries
// the next node.
const (
	redirectArrivalTime = 2500 * time.Millisecond
	redirectReturnTime  = 10 * time.Second
)

// maxRedirects bounds the redirects that are remembered: beyond it all are forgotten.
const maxRedirects = 20000

// redirect is a worker redirected to the leader, perhaps again and again.
type redirect struct {
	leader      ids.Node
	first, last time.Time
}

// redirectTracker remembers the workers that this node has redirected to the leader, so that the
// leader learns which of them can't reach it.
type redirectTracker struct {
	// mu guards what follows; nothing is called under it.
	mu        sync.Mutex
	byMachine map[ids.Machine]redirect
}

func newRedirectTracker() *redirectTracker {
	return &redirectTracker{byMachine: map[ids.Machine]redirect{}}
}

// record notes that a worker is redirected to the leader just now.
func (t *redirectTracker) record(machine ids.Machine, leader ids.Node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.byMachine) > maxRedirects {
		clear(t.byMachine)
	}
	now := time.Now()
	noted := t.byMachine[machine]
	if noted.leader != leader || now.Sub(noted.last) > redirectReturnTime {
		noted = redirect{leader: leader, first: now}
	}
	noted.last = now
	t.byMachine[machine] = noted
}

// overdue lists the workers that were lately redirected to the present leader and came back, or
// should be there by now, and forgets those that are of no use any more.
func (t *redirectTracker) overdue(leader ids.Node) (workers []liveness.RedirectedWorker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for machine, noted := range t.byMachine {
		if noted.leader != leader || time.Since(noted.last) >= redirectReturnTime {
			delete(t.byMachine, machine)
		} else if noted.last != noted.first || time.Since(noted.first) > redirectArrivalTime {
			workers = append(workers, liveness.RedirectedWorker{Machine: machine, Ago: time.Since(noted.first)})
		}
	}
	return workers
}

// RedirectedWorkers lists the workers that were lately redirected to the present leader and came
// back, or should be there by now: whether they have been, the leader knows. Those redirected to an
// earlier one say nothing of this one.
func (e *Elector) RedirectedWorkers() []liveness.RedirectedWorker {
	leader, _ := e.Leader()
	return e.redirects.overdue(leader)
}
