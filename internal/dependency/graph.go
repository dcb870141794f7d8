// Package dependency keeps the directed acyclic graph of jobs with unfinished dependencies. It
// tells which of them are ready, which are cancelled because a prerequisite is, and what urgency
// a job inherits from its dependents. It knows nothing of how jobs run or are stored. It does no
// locking: the caller must serialize all calls.
//
// The cost of a change is that of the jobs it affects: the graph is indexed from a job to its
// dependents, and no traversal is recursive, so that long chains need no deep stack.
package dependency

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Job is a job with dependencies.
type Job struct {
	ID        ids.Job
	DependsOn []ids.Job
	// Urgency is its own, without what it inherits.
	Urgency Urgency
	// Duration is how long it is estimated to take once it is ready.
	Duration time.Duration
}

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
	// InheritedChanged are the jobs whose inherited urgency changed.
	InheritedChanged []ids.Job
	// Resolved reports that waiting jobs became ready or were cancelled.
	Resolved bool
}

// node is a waiting job, or a prerequisite of one.
type node struct {
	id            ids.Job
	job           *Job           // nil unless it waits
	prerequisites map[*node]bool // those not known to be done
	dependents    map[*node]bool
	// level is the topological level: above the levels of all prerequisites; zero unless the job
	// waits.
	level       int
	inherited   Urgency // from its dependents
	cancelledBy ids.Job // the cancelled job that this one depends on, directly or not
	queued      bool    // in an updateQueue
}

// Graph holds the waiting jobs and their prerequisites. A job waits from Add to Remove, also while
// it is ready or cancelled.
type Graph struct {
	nodes     map[ids.Job]*node
	waiting   int // nodes with a job
	ready     map[ids.Job]bool
	cancelled map[ids.Job]bool
	outcomes  map[ids.Job]Outcome
	// recomputed counts how often the inherited urgency of a job was computed, and raised how
	// often a level was corrected, for tests.
	recomputed, raised int
}

// New returns an empty graph.
func New() *Graph {
	return &Graph{
		nodes:     map[ids.Job]*node{},
		ready:     map[ids.Job]bool{},
		cancelled: map[ids.Job]bool{},
		outcomes:  map[ids.Job]Outcome{},
	}
}

// Add adds waiting jobs, in any order. A job that waits already stays as it is. The graph keeps
// references to the jobs.
func (g *Graph) Add(jobs ...Job) Changes {
	var added []*node
	for i := range jobs {
		if n := g.findOrAdd(jobs[i].ID); n.job == nil {
			n.job = &jobs[i]
			g.waiting++
			added = append(added, n)
		}
	}
	for _, n := range added {
		g.linkPrerequisites(n)
	}
	g.raiseLevels(added)
	var changes Changes
	queue := &updateQueue{}
	for _, n := range added {
		if n.cancelledBy == "" {
			n.cancelledBy = g.cancelledPrerequisite(n)
		}
		if n.cancelledBy != "" {
			g.markCancelled(n, n.cancelledBy, queue)
			g.cancelDependents(n, n.cancelledBy, queue)
			changes.Resolved = true
		}
		queue.addAll(n.prerequisites)
		changes.Resolved = g.markIfReady(n) || changes.Resolved
	}
	g.propagate(queue, &changes)
	return changes
}

// linkPrerequisites makes a job a dependent of its unfinished prerequisites.
func (g *Graph) linkPrerequisites(n *node) {
	for _, id := range n.job.DependsOn {
		if g.outcomes[id] == Done {
			continue
		}
		prerequisite := g.findOrAdd(id)
		n.prerequisites[prerequisite] = true
		prerequisite.dependents[n] = true
	}
}

// cancelledPrerequisite returns the cancelled job that n depends on, directly or not, if there is
// one.
func (g *Graph) cancelledPrerequisite(n *node) ids.Job {
	for _, id := range n.job.DependsOn {
		if g.outcomes[id] == Cancelled {
			return id
		}
		if prerequisite := g.nodes[id]; prerequisite != nil && prerequisite.cancelledBy != "" {
			return prerequisite.cancelledBy
		}
	}
	return ""
}

// Remove removes a job from those that wait, because it can be scheduled, its cancellation is
// stored or its user cancelled it. Its dependents keep waiting for it.
func (g *Graph) Remove(id ids.Job) Changes {
	n := g.nodes[id]
	if n == nil || n.job == nil {
		return Changes{}
	}
	var changes Changes
	queue := &updateQueue{}
	for prerequisite := range n.prerequisites {
		delete(prerequisite.dependents, n)
	}
	if n.cancelledBy == "" { // else its prerequisites inherit nothing from it already
		queue.addAll(n.prerequisites)
	}
	prerequisites := n.prerequisites
	n.job, n.level, n.cancelledBy, n.prerequisites = nil, 0, "", map[*node]bool{}
	g.waiting--
	delete(g.ready, id)
	delete(g.cancelled, id)
	g.propagate(queue, &changes)
	for prerequisite := range prerequisites {
		g.dropIfUnused(prerequisite)
	}
	g.dropIfUnused(n)
	return changes
}

// Finish records that a job is done: its dependents wait for it no more.
func (g *Graph) Finish(id ids.Job) Changes {
	g.rememberOutcome(id, Done)
	n := g.nodes[id]
	if n == nil {
		return Changes{}
	}
	var changes Changes
	for dependent := range n.dependents {
		delete(dependent.prerequisites, n)
		changes.Resolved = g.markIfReady(dependent) || changes.Resolved
	}
	clear(n.dependents)
	n.inherited = Urgency{}
	g.dropIfUnused(n)
	return changes
}

// Cancel records that a job is cancelled, and with it all that depend on it, directly or not.
func (g *Graph) Cancel(id ids.Job) Changes {
	g.rememberOutcome(id, Cancelled)
	n := g.nodes[id]
	if n == nil {
		return Changes{}
	}
	var changes Changes
	queue := &updateQueue{}
	changes.Resolved = g.cancelDependents(n, id, queue)
	g.propagate(queue, &changes)
	return changes
}

// cancelDependents cancels all that depend on a job, directly or not, and reports whether there
// were any that were not cancelled yet.
func (g *Graph) cancelDependents(n *node, by ids.Job, queue *updateQueue) (changed bool) {
	stack := []*node{n}
	for len(stack) > 0 {
		last := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for dependent := range last.dependents {
			if dependent.cancelledBy != "" {
				continue
			}
			changed = true
			g.markCancelled(dependent, by, queue)
			stack = append(stack, dependent)
		}
	}
	return changed
}

// markCancelled cancels a waiting job, of which its prerequisites inherit nothing from now on.
func (g *Graph) markCancelled(n *node, by ids.Job, queue *updateQueue) {
	n.cancelledBy = by
	delete(g.ready, n.id)
	g.cancelled[n.id] = true
	queue.addAll(n.prerequisites)
}

// markIfReady marks a job as ready if it is, and reports that.
func (g *Graph) markIfReady(n *node) bool {
	if len(n.prerequisites) > 0 || n.cancelledBy != "" {
		return false
	}
	g.ready[n.id] = true
	return true
}

// findOrAdd returns the node of a job.
func (g *Graph) findOrAdd(id ids.Job) *node {
	n := g.nodes[id]
	if n == nil {
		n = &node{id: id, prerequisites: map[*node]bool{}, dependents: map[*node]bool{}}
		g.nodes[id] = n
	}
	return n
}

// dropIfUnused removes the node of a job that neither waits nor has dependents.
func (g *Graph) dropIfUnused(n *node) {
	if n.job == nil && len(n.dependents) == 0 {
		delete(g.nodes, n.id)
	}
}

// rememberOutcome stores how a job ended, which never changes.
func (g *Graph) rememberOutcome(id ids.Job, outcome Outcome) {
	if len(g.outcomes) > maxOutcomes {
		clear(g.outcomes) // the caller looks up again what is still of interest
	}
	g.outcomes[id] = outcome
}
