package election

import (
	"errors"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// ErrNotLeader is returned if this node does not lead the shard.
var ErrNotLeader = errors.New("this node does not lead the shard")

// Explanations returned to users while the leader does not know the current reasons.
const (
	explainStoreSilent   = "the state service has not answered the pool's leader for a moment: nothing is started or stopped until it does"
	explainLoading       = "the pool was taken over a moment ago: its new leader is still reading the records"
	explainRecordUnknown = "the pool's leader has not read of this job yet"
)

// Explain returns the reasons why a job's tasks wait. It returns ErrNotLeader unless this node leads the
// shard. The cluster state of a leader that was paused or can't renew its lease may be out of date, so such
// a leader reports that the state service has not answered instead.
func (e *Elector) Explain(id ids.Job) ([]string, error) {
	term := e.Term()
	if term == nil {
		return nil, ErrNotLeader
	}
	if !term.authority.holdsLease() {
		return []string{explainStoreSilent}, nil
	}
	if !term.isLoaded() {
		return []string{explainLoading}, nil
	}
	lines := term.Cluster.Explain(id)
	if lines == nil {
		lines = []string{explainRecordUnknown}
	}
	return lines, nil
}

// isLoaded reports whether the records are loaded.
func (t *Term) isLoaded() bool {
	select {
	case <-t.loaded:
		return true
	default:
		return false
	}
}
