// Package dependency keeps the graph of jobs that wait for other jobs. It tells which
// of them are ready, which are cancelled because one that they need is, and what
// urgency a job inherits from those that depend on it. It knows nothing of how jobs
// run or are stored, and does no locking.
//
// Every change costs what it changes: the graph is indexed from a job to its
// dependents, and no walk is recursive, so that long chains need no deep stack.
package dependency

import (
	"iter"
	"maps"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Outcome is how a job ended.
type Outcome int

// The outcomes of a job.
const (
	Unknown Outcome = iota // not ended, or not known to have
	Done
	Cancelled
)

// maxOutcomes bounds how many outcomes are remembered.
const maxOutcomes = 50000

// Changes is what an operation on the graph changed.
type Changes struct {
	// Inherited are the jobs whose inherited urgency changed.
	Inherited []ids.Job
	// Resolved tells that waiting jobs became ready or were cancelled.
	Resolved bool
}

// node is a job that waits for others, or that others wait for.
type node struct {
	id         ids.Job
	job        *Job           // nil unless it waits
	awaits     map[*node]bool // those not known to be done
	dependents map[*node]bool
	// level is above the levels of all that it awaits; zero unless it waits.
	level       int
	inherited   Urgency // from its dependents
	cancelledBy ids.Job // the cancelled job because of which it ends
	queued      bool    // for propagation
}

// Graph holds the jobs that wait, and those that they wait for.
type Graph struct {
	nodes     map[ids.Job]*node
	waiting   int
	ready     map[ids.Job]bool
	cancelled map[ids.Job]bool
	outcomes  map[ids.Job]Outcome
	// recomputed counts how often a job's inherited urgency was worked out, and raised
	// how often a job's level was corrected, for tests.
	recomputed, raised int
}

// New makes an empty graph.
func New() *Graph {
	return &Graph{nodes: map[ids.Job]*node{}, ready: map[ids.Job]bool{}, cancelled: map[ids.Job]bool{}, outcomes: map[ids.Job]Outcome{}}
}

// Add takes in jobs that wait for others, in any order. One that waits already stays
// as it is.
func (g *Graph) Add(jobs ...Job) Changes {
	var added []*node
	for i := range jobs {
		if n := g.node(jobs[i].ID); n.job == nil {
			n.job = &jobs[i]
			g.waiting++
			added = append(added, n)
		}
	}
	for _, n := range added {
		g.connect(n)
	}
	g.raiseLevels(added)
	var changes Changes
	queue := &propagation{}
	for _, n := range added {
		if n.cancelledBy == "" {
			n.cancelledBy = g.cancelledAmong(n)
		}
		if n.cancelledBy != "" {
			g.cancel(n, n.cancelledBy, queue)
			changes.Resolved = true
		}
		for need := range n.awaits {
			queue.add(need)
		}
		changes.Resolved = g.markReady(n) || changes.Resolved
	}
	g.propagate(queue, &changes)
	return changes
}

// connect indexes a job below those that it awaits.
func (g *Graph) connect(n *node) {
	for _, id := range n.job.Awaits {
		if g.outcomes[id] == Done {
			continue
		}
		need := g.node(id)
		n.awaits[need], need.dependents[n] = true, true
	}
}

// cancelledAmong is the cancelled job that ends n, if it awaits one that is cancelled.
func (g *Graph) cancelledAmong(n *node) ids.Job {
	for _, id := range n.job.Awaits {
		if g.outcomes[id] == Cancelled {
			return id
		}
		if need := g.nodes[id]; need != nil && need.cancelledBy != "" {
			return need.cancelledBy
		}
	}
	return ""
}

// Remove takes a job out of those that wait, because it moved on or its user cancelled
// it. Those that depend on it still do.
func (g *Graph) Remove(id ids.Job) Changes {
	n := g.nodes[id]
	if n == nil || n.job == nil {
		return Changes{}
	}
	var changes Changes
	queue := &propagation{}
	counted := n.cancelledBy == "" // else it asks nothing of them already
	for need := range n.awaits {
		delete(need.dependents, n)
		if counted {
			queue.add(need)
		}
	}
	needs := n.awaits
	n.job, n.level, n.cancelledBy, n.awaits = nil, 0, "", map[*node]bool{}
	g.waiting--
	delete(g.ready, id)
	delete(g.cancelled, id)
	g.propagate(queue, &changes)
	for need := range needs {
		g.release(need)
	}
	g.release(n)
	return changes
}

// Finish takes in that a job is done: its dependents wait for it no more.
func (g *Graph) Finish(id ids.Job) Changes {
	g.remember(id, Done)
	n := g.nodes[id]
	if n == nil {
		return Changes{}
	}
	var changes Changes
	for dependent := range n.dependents {
		delete(dependent.awaits, n)
		changes.Resolved = g.markReady(dependent) || changes.Resolved
	}
	clear(n.dependents)
	n.inherited = Urgency{}
	g.release(n)
	return changes
}

// Cancel takes in that a job is cancelled, and with it all that depend on it, directly
// or not.
func (g *Graph) Cancel(id ids.Job) Changes {
	g.remember(id, Cancelled)
	n := g.nodes[id]
	if n == nil {
		return Changes{}
	}
	var changes Changes
	queue := &propagation{}
	changes.Resolved = g.cancelDependents(n, id, queue)
	g.propagate(queue, &changes)
	return changes
}

// cancel ends a waiting job and all that depend on it; what they await may inherit
// less from now on.
func (g *Graph) cancel(n *node, by ids.Job, queue *propagation) {
	n.cancelledBy = by
	delete(g.ready, n.id)
	g.cancelled[n.id] = true
	for need := range n.awaits {
		queue.add(need)
	}
	g.cancelDependents(n, by, queue)
}

// cancelDependents ends all that depend on a job; it tells whether there were any left.
func (g *Graph) cancelDependents(n *node, by ids.Job, queue *propagation) (changed bool) {
	stack := []*node{n}
	for len(stack) > 0 {
		last := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for dependent := range last.dependents {
			if dependent.cancelledBy != "" {
				continue
			}
			changed = true
			dependent.cancelledBy = by
			delete(g.ready, dependent.id)
			g.cancelled[dependent.id] = true
			for need := range dependent.awaits {
				queue.add(need)
			}
			stack = append(stack, dependent)
		}
	}
	return changed
}

// markReady notes that a job awaits nothing any more, if that is so.
func (g *Graph) markReady(n *node) bool {
	if len(n.awaits) > 0 || n.cancelledBy != "" {
		return false
	}
	g.ready[n.id] = true
	return true
}

// node is a job's entry; it is made if there is none.
func (g *Graph) node(id ids.Job) *node {
	n := g.nodes[id]
	if n == nil {
		n = &node{id: id, awaits: map[*node]bool{}, dependents: map[*node]bool{}}
		g.nodes[id] = n
	}
	return n
}

// release drops the entry of a job that neither waits nor is waited for.
func (g *Graph) release(n *node) {
	if n.job == nil && len(n.dependents) == 0 {
		delete(g.nodes, n.id)
	}
}

// remember keeps how a job ended, which never changes.
func (g *Graph) remember(id ids.Job, how Outcome) {
	if len(g.outcomes) > maxOutcomes {
		clear(g.outcomes) // what is still of interest is looked up again
	}
	g.outcomes[id] = how
}

// Outcome is how a job ended, as far as that is remembered.
func (g *Graph) Outcome(id ids.Job) Outcome { return g.outcomes[id] }

// Waits tells whether a job waits for others, or did and was not removed yet.
func (g *Graph) Waits(id ids.Job) bool {
	n := g.nodes[id]
	return n != nil && n.job != nil
}

// Awaited tells whether any job waits for this one.
func (g *Graph) Awaited(id ids.Job) bool {
	n := g.nodes[id]
	return n != nil && len(n.dependents) > 0
}

// IsReady tells whether a job waits for nothing any more.
func (g *Graph) IsReady(id ids.Job) bool { return g.ready[id] }

// CancelledBy is the cancelled job because of which a waiting one ends, if any.
func (g *Graph) CancelledBy(id ids.Job) ids.Job {
	if n := g.nodes[id]; n != nil {
		return n.cancelledBy
	}
	return ""
}

// Ready lists the waiting jobs that await nothing any more.
func (g *Graph) Ready() iter.Seq[ids.Job] { return maps.Keys(g.ready) }

// Cancelled lists the waiting jobs that end because one that they need is cancelled.
func (g *Graph) Cancelled() iter.Seq[ids.Job] { return maps.Keys(g.cancelled) }

// Inherited is what those that depend on a job ask of it.
func (g *Graph) Inherited(id ids.Job) Urgency {
	if n := g.nodes[id]; n != nil {
		return n.inherited
	}
	return Urgency{}
}

// Len is how many jobs wait.
func (g *Graph) Len() int { return g.waiting }

// Counts tells how many waiting jobs are ready, and how many are cancelled.
func (g *Graph) Counts() (ready, cancelled int) { return len(g.ready), len(g.cancelled) }
