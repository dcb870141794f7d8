package election

import (
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/liveness"
)

// A redirected worker reports to the leader within redirectArrivalTime. A worker that can't reach the leader
// reports to this node again within redirectReturnTime: it waits 4 s for an answer, and 1 s more before it
// tries the next node.
const (
	redirectArrivalTime = 2500 * time.Millisecond
	redirectReturnTime  = 10 * time.Second
)

// maxRedirects bounds the number of tracked redirects. If it is exceeded, all of them are dropped.
const maxRedirects = 20000

// redirect records the first and the last time that a worker was redirected to a leader.
type redirect struct {
	leader      ids.Node
	first, last time.Time
}

// redirectTracker tracks the workers that this node has redirected to the leader, so that the leader
// learns which workers may be unable to reach it.
type redirectTracker struct {
	// mu guards the field below. No other lock is acquired and no callback runs while it is held.
	mu        sync.Mutex
	byMachine map[ids.Machine]redirect
}

func newRedirectTracker() *redirectTracker {
	return &redirectTracker{byMachine: map[ids.Machine]redirect{}}
}

// record records that a worker is redirected to the leader now.
func (t *redirectTracker) record(machine ids.Machine, leader ids.Node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.byMachine) > maxRedirects {
		clear(t.byMachine)
	}
	now := time.Now()
	tracked := t.byMachine[machine]
	if tracked.leader != leader || now.Sub(tracked.last) > redirectReturnTime {
		tracked = redirect{leader: leader, first: now}
	}
	tracked.last = now
	t.byMachine[machine] = tracked
}

// overdue returns the workers that were redirected to the leader and either reported to this node again, or
// should have reached the leader by now. It drops redirects to other leaders and redirects that are too old.
func (t *redirectTracker) overdue(leader ids.Node) (workers []liveness.RedirectedWorker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for machine, tracked := range t.byMachine {
		if tracked.leader != leader || time.Since(tracked.last) >= redirectReturnTime {
			delete(t.byMachine, machine)
		} else if tracked.last != tracked.first || time.Since(tracked.first) > redirectArrivalTime {
			workers = append(workers, liveness.RedirectedWorker{Machine: machine, Ago: time.Since(tracked.first)})
		}
	}
	return workers
}

// RedirectedWorkers returns the workers that were recently redirected to the current leader and either
// reported to this node again, or should have reached the leader by now. The leader knows whether they have
// reached it. Workers redirected to an earlier leader are left out, since they say nothing about the current
// one.
func (e *Elector) RedirectedWorkers() []liveness.RedirectedWorker {
	leader, _ := e.Leader()
	return e.redirects.overdue(leader)
}
