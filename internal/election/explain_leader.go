package election

import (
	"errors"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Explain tells why a job's tasks wait, if this node surely owns the pool: a leader
// that stood still, or can't renew its hold, might tell what is no longer so.
func (e *Elector) Explain(id ids.Job) ([]string, error) {
	term := e.Term()
	if term == nil {
		return nil, ErrNotLeader
	}
	if !e.LeaseSurelyHeld(term) {
		return []string{"the state service has not answered the pool's leader for a moment: nothing is started or stopped until it does"}, nil
	}
	select {
	case <-term.loaded:
	default:
		return []string{"the pool was taken over a moment ago: its new leader is still reading the records"}, nil
	}
	lines := term.Cluster.Explain(id)
	if lines == nil {
		lines = []string{"the pool's leader has not read of this job yet"}
	}
	return lines, nil
}

// ErrNotLeader tells that this node does not own the pool.
var ErrNotLeader = errors.New("not the pool's leader")
