package election

import (
	"context"
	"net/http"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// heartbeatLoadTimeout is how long a heartbeat waits for the records to be loaded.
const heartbeatLoadTimeout = 1500 * time.Millisecond

// Heartbeat answers a worker's heartbeat: a reply, or else an HTTP status and perhaps a redirect.
func (e *Elector) Heartbeat(ctx context.Context, report *worker.Report) (*worker.CommandBatch, int, worker.Redirect) {
	term := e.Term()
	if term == nil {
		return e.redirectHeartbeat(report)
	}
	if !term.awaitLoaded(ctx, heartbeatLoadTimeout) || !term.authority.mayAnswerHeartbeats() {
		return rejectHeartbeat()
	}
	generation := term.Cluster.Generation()
	if report.FencingToken > generation {
		// The worker has heard of a later leader. It would drop our answer and yet stay with us, so
		// it is turned away.
		e.stepDown(term, "a worker has seen a higher fencing token")
		return rejectHeartbeat()
	}
	if term.Cluster.LeaseMustExpire(report, e.settings.LeaderGracePeriod().Duration()) {
		return rejectHeartbeat()
	}
	commands := term.Cluster.ReconcileHeartbeat(report, true, true)
	if commands == nil {
		commands = []worker.Command{} // an empty list on the wire
	}
	return &worker.CommandBatch{FencingToken: generation, Commands: commands}, http.StatusOK, worker.Redirect{}
}

// redirectHeartbeat sends a worker to the leader, if one is known.
func (e *Elector) redirectHeartbeat(report *worker.Report) (*worker.CommandBatch, int, worker.Redirect) {
	leader, known := e.Leader()
	if !known {
		return rejectHeartbeat()
	}
	e.redirects.record(report.Machine, leader)
	return nil, http.StatusMisdirectedRequest, worker.Redirect{Node: leader}
}

// rejectHeartbeat answers a heartbeat that nobody may answer just now: it renews no lease.
func rejectHeartbeat() (*worker.CommandBatch, int, worker.Redirect) {
	return nil, http.StatusServiceUnavailable, worker.Redirect{}
}

// awaitLoaded waits until the records are loaded; it is false if the context ends or the time is
// over first.
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
