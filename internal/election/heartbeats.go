package election

import (
	"context"
	"net/http"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// heartbeatLoadTimeout bounds how long a heartbeat waits for the records to be loaded.
const heartbeatLoadTimeout = 1500 * time.Millisecond

// Heartbeat answers a worker's heartbeat. If it returns no commands, the HTTP status gives the reason, and the
// redirect may name the leader.
func (e *Elector) Heartbeat(ctx context.Context, report *worker.Report) (*worker.CommandBatch, int, worker.Redirect) {
	term := e.Term()
	if term == nil {
		return e.redirectHeartbeat(report)
	}
	if !term.awaitLoaded(ctx, heartbeatLoadTimeout) || !term.authority.mayAnswerHeartbeats() {
		return rejectHeartbeat()
	}
	if report.FencingToken > term.Cluster.Generation() {
		// The worker knows a newer leader. It would discard this node's response but keep reporting to this
		// node, so the heartbeat is rejected.
		e.stepDown(term, "a worker has seen a higher fencing token")
		return rejectHeartbeat()
	}
	if term.Cluster.LeaseMustExpire(report, e.settings.LeaderGracePeriod().Duration()) {
		return rejectHeartbeat()
	}
	response := term.Cluster.ReconcileHeartbeat(report)
	if response.Commands == nil {
		response.Commands = []worker.Command{} // encoded as an empty list, not as null
	}
	return &response, http.StatusOK, worker.Redirect{}
}

// redirectHeartbeat redirects a worker to the leader, or rejects the heartbeat if no leader is known.
func (e *Elector) redirectHeartbeat(report *worker.Report) (*worker.CommandBatch, int, worker.Redirect) {
	leader, known := e.Leader()
	if !known {
		return rejectHeartbeat()
	}
	e.redirects.record(report.Machine, leader)
	return nil, http.StatusMisdirectedRequest, worker.Redirect{Node: leader}
}

// rejectHeartbeat returns the response to a heartbeat that no controller can accept at present. It does not
// renew the worker's lease.
func rejectHeartbeat() (*worker.CommandBatch, int, worker.Redirect) {
	return nil, http.StatusServiceUnavailable, worker.Redirect{}
}

// awaitLoaded waits until the records are loaded. It returns false if the context ends or the timeout
// expires first.
func (t *Term) awaitLoaded(ctx context.Context, timeout time.Duration) bool {
	select {
	case <-t.loaded:
		return true
	case <-time.After(timeout):
		return false
	case <-ctx.Done():
		return false
	}
}
