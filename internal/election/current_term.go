package election

import (
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
)

// currentTerm holds the current term of an elector. While the elector has no term, it holds the hints that
// were last received from the shard's leader.
type currentTerm struct {
	// mu guards the fields below. The locks of the cluster state and of the authority may be acquired while
	// it is held, but no operation that blocks or calls another service may run.
	mu    sync.Mutex
	term  *Term // nil while this node does not lead
	hints clusterstate.HintCache
}

// get returns the current term; nil if this node does not lead the shard.
func (c *currentTerm) get() *Term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

// begin sets the current term and applies the last leader's hints to its cluster state.
func (c *currentTerm) begin(term *Term, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	term.Cluster.ApplyHints(&c.hints, now)
	c.term = term
}

// end ends a term. It returns false if the term is not the current one.
func (c *currentTerm) end(term *Term) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != term {
		return false
	}
	c.term = nil
	term.authority.end()
	return true
}

// receiveHints stores hints of the shard's leader, unless this node leads the shard.
func (c *currentTerm) receiveHints(hints []clusterstate.Hint, to clusterstate.HintPosition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == nil {
		c.hints.Receive(hints, to)
	}
}

// hintPosition returns the position up to which hints have been received.
func (c *currentTerm) hintPosition() clusterstate.HintPosition {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hints.Position()
}
