package dependency

import (
	"iter"
	"maps"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Outcome returns the outcome of a job, or Unknown if it is not remembered.
func (g *Graph) Outcome(id ids.Job) Outcome { return g.outcomes[id] }

// HasDependents reports whether any waiting job depends directly on this one.
func (g *Graph) HasDependents(id ids.Job) bool {
	n := g.nodes[id]
	return n != nil && len(n.dependents) > 0
}

// IsReady reports whether all prerequisites of a waiting job are done.
func (g *Graph) IsReady(id ids.Job) bool { return g.ready[id] }

// CancelledBy returns the cancelled job that a waiting job depends on, directly or indirectly, or "" if
// there is none.
func (g *Graph) CancelledBy(id ids.Job) ids.Job {
	if n := g.nodes[id]; n != nil {
		return n.cancelledBy
	}
	return ""
}

// Ready returns the waiting jobs whose prerequisites are all done, in no particular order.
func (g *Graph) Ready() iter.Seq[ids.Job] { return maps.Keys(g.ready) }

// Cancelled returns the waiting jobs that were cancelled because of a prerequisite, in no particular order.
func (g *Graph) Cancelled() iter.Seq[ids.Job] { return maps.Keys(g.cancelled) }

// InheritedUrgency returns the urgency that a job inherits from its dependents.
func (g *Graph) InheritedUrgency(id ids.Job) Urgency {
	if n := g.nodes[id]; n != nil {
		return n.inherited
	}
	return Urgency{}
}

// Len returns the number of waiting jobs.
func (g *Graph) Len() int { return g.waiting }

// Counts returns the numbers of waiting jobs that are ready and that are cancelled.
func (g *Graph) Counts() (ready, cancelled int) { return len(g.ready), len(g.cancelled) }
