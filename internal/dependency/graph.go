// Package dependency maintains the directed acyclic graph of jobs with unfinished dependencies. It
// determines which jobs are ready, which are cancelled because a prerequisite was cancelled, and
// what urgency a job inherits from its dependents. It is independent of how jobs run and are
// stored. It does no locking: the caller must serialize all calls.
//
// The cost of a change is proportional to the number of jobs that it affects, because the graph is
// indexed from each job to its dependents. No traversal is recursive, so that long chains need no
// deep stack.
package dependency

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Job is a job with dependencies.
type Job struct {
	ID        ids.Job
	DependsOn []ids.Job
	// Urgency is the job's own urgency, without the inherited urgency.
	Urgency Urgency
	// Duration is the estimated time from when the job is ready until it is done.
	Duration time.Duration
}

// Outcome is the way in which a job ended.
type Outcome int

// The outcomes of a job.
const (
	Unknown Outcome = iota // not ended, or not known to have ended
	Done
	Cancelled
)

// maxOutcomes is the number of remembered outcomes above which all are forgotten.
const maxOutcomes = 50000

// Changes describes the effects of an operation on the graph.
type Changes struct {
	// InheritedChanged contains the jobs whose inherited urgency changed.
	InheritedChanged []ids.Job
	// Resolved reports whether any waiting job became ready or was cancelled.
	Resolved bool
}

// node is a waiting job, or a prerequisite of one.
type node struct {
	id            ids.Job
	job           *Job           // nil unless the job waits
	prerequisites map[*node]bool // prerequisites not known to be done
	dependents    map[*node]bool
	// level is the topological level, which is higher than the levels of all prerequisites. It is
	// zero unless the job waits.
	level       int
	inherited   Urgency // urgency inherited from the dependents
	cancelledBy ids.Job // the cancelled job that this one depends on, directly or indirectly; empty: none
	queued      bool    // whether the node is in an updateQueue
}

// Graph holds the waiting jobs and their prerequisites. A job counts as waiting from Add until
// Remove, even while it is ready or cancelled.
type Graph struct {
	nodes     map[ids.Job]*node
	waiting   int // number of nodes whose job waits
	ready     map[ids.Job]bool
	cancelled map[ids.Job]bool
	outcomes  map[ids.Job]Outcome
	// recomputed counts the computations of a job's inherited urgency, and raised counts the
	// corrections of a level. Only tests use them.
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

// Add adds waiting jobs, in any order. It ignores jobs that already wait. The graph keeps references
// to the jobs.
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

// linkPrerequisites links a job and its unfinished prerequisites in both directions.
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

// cancelledPrerequisite returns a cancelled job that n depends on, directly or indirectly, or "" if
// there is none.
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

// Remove removes a job from the waiting jobs, because it can be scheduled, its cancellation is stored
// or its user cancelled it. Its dependents continue to depend on it.
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
	if n.cancelledBy == "" { // the prerequisites of a cancelled job inherit nothing from it
		queue.addAll(n.prerequisites)
	}
	prerequisites := n.prerequisites
	n.job, n.level, n.cancelledBy, n.prerequisites = nil, 0, "", map[*node]bool{}
	g.waiting--
	delete(g.ready, id)
	delete(g.cancelled, id)
	g.propagate(queue, &changes)
	for prerequisite := range prerequisites {
		g.removeIfUnused(prerequisite)
	}
	g.removeIfUnused(n)
	return changes
}

// Finish records that a job is done, so that its dependents no longer depend on it.
func (g *Graph) Finish(id ids.Job) Changes {
	g.recordOutcome(id, Done)
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
	g.removeIfUnused(n)
	return changes
}

// Cancel records that a job is cancelled, and cancels all waiting jobs that depend on it, directly or
// indirectly.
func (g *Graph) Cancel(id ids.Job) Changes {
	g.recordOutcome(id, Cancelled)
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

// cancelDependents cancels all jobs that depend on n, directly or indirectly. It reports whether any of
// them was not cancelled before.
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

// markCancelled marks a waiting job as cancelled, and queues its prerequisites, which no longer inherit
// from it.
func (g *Graph) markCancelled(n *node, by ids.Job, queue *updateQueue) {
	n.cancelledBy = by
	delete(g.ready, n.id)
	g.cancelled[n.id] = true
	queue.addAll(n.prerequisites)
}

// markIfReady marks a job as ready if it has no unfinished prerequisites and is not cancelled. It reports
// whether it marked the job.
func (g *Graph) markIfReady(n *node) bool {
	if len(n.prerequisites) > 0 || n.cancelledBy != "" {
		return false
	}
	g.ready[n.id] = true
	return true
}

// findOrAdd returns the node of a job, and adds it if it does not exist.
func (g *Graph) findOrAdd(id ids.Job) *node {
	n := g.nodes[id]
	if n == nil {
		n = &node{id: id, prerequisites: map[*node]bool{}, dependents: map[*node]bool{}}
		g.nodes[id] = n
	}
	return n
}

// removeIfUnused removes the node n if its job neither waits nor has dependents.
func (g *Graph) removeIfUnused(n *node) {
	if n.job == nil && len(n.dependents) == 0 {
		delete(g.nodes, n.id)
	}
}

// recordOutcome stores the outcome of a job, which is final.
func (g *Graph) recordOutcome(id ids.Job, outcome Outcome) {
	if len(g.outcomes) > maxOutcomes {
		clear(g.outcomes) // the caller looks up the outcomes that it still needs
	}
	g.outcomes[id] = outcome
}
