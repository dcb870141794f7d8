package election

import (
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
)

// currentTerm is the present term of an elector, or while it has none, the hints of the last leader
// that was heard.
type currentTerm struct {
	// mu guards what follows. The cluster state's lock and the authority's may be taken under it;
	// nothing is waited for and no other service is called.
	mu    sync.Mutex
	term  *Term // nil while this node does not lead
	hints clusterstate.HintCache
}

// get is the present term; nil if this node does not lead.
func (c *currentTerm) get() *Term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

// begin makes a term the present one, and gives it the last leader's hints.
func (c *currentTerm) begin(term *Term, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	term.Cluster.ApplyHints(&c.hints, now)
	c.term = term
}

// end makes a term not the present one any more; it is false if it is not.
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

// receiveHints keeps a leader's hints, unless this node leads.
func (c *currentTerm) receiveHints(hints []clusterstate.Hint, to clusterstate.HintPosition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == nil {
		c.hints.Receive(hints, to)
	}
}

// hintPosition is how far the hints go.
func (c *currentTerm) hintPosition() clusterstate.HintPosition {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hints.Position()
}
