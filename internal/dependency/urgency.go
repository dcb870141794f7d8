package dependency

import (
	"container/heap"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Job is a job that waits for others.
type Job struct {
	ID     ids.Job
	Awaits []ids.Job
	// Urgency is its own, without what it inherits.
	Urgency Urgency
	// Duration is how long it takes once it is ready, by the estimates.
	Duration time.Duration
}

// Urgency is how important a job is and by when it should be done. Its zero value
// asks for nothing.
type Urgency struct {
	Priority int
	Deadline time.Time // zero: none
}

// merge is the higher priority and the earlier deadline of both.
func (u Urgency) merge(o Urgency) Urgency {
	u.Priority = max(u.Priority, o.Priority)
	if u.Deadline.IsZero() || !o.Deadline.IsZero() && o.Deadline.Before(u.Deadline) {
		u.Deadline = o.Deadline
	}
	return u
}

// demands is what a waiting job asks of those that it awaits: they must leave it its
// time before its own deadline and those of its dependents.
func (n *node) demands() Urgency {
	u := n.inherited.merge(n.job.Urgency)
	if !u.Deadline.IsZero() {
		u.Deadline = u.Deadline.Add(-n.job.Duration)
	}
	return u
}

// SetDurations takes in new estimates of how long the waiting jobs take.
func (g *Graph) SetDurations(estimate func(ids.Job) time.Duration) Changes {
	var changes Changes
	queue := &propagation{}
	for id, n := range g.nodes {
		if n.job == nil {
			continue
		}
		if d := estimate(id); d != n.job.Duration {
			n.job.Duration = d
			for need := range n.awaits {
				queue.add(need)
			}
		}
	}
	g.propagate(queue, &changes)
	return changes
}

// propagate works out anew what the queued jobs inherit, and passes on what changed
// to those that they await in turn. Jobs of a higher level go first: all dependents of
// a job are of a higher level, so each is worked out once at most.
func (g *Graph) propagate(queue *propagation, changes *Changes) {
	for queue.Len() > 0 {
		n := heap.Pop(queue).(*node)
		n.queued = false
		g.recomputed++
		var u Urgency
		for dependent := range n.dependents {
			if dependent.cancelledBy == "" {
				u = u.merge(dependent.demands())
			}
		}
		if u == n.inherited {
			continue
		}
		n.inherited = u
		changes.Inherited = append(changes.Inherited, n.id)
		if n.cancelledBy != "" {
			continue // it asks nothing of anybody
		}
		for need := range n.awaits {
			if need.level < n.level { // always so, but in a cycle, which nobody can submit
				queue.add(need)
			}
		}
	}
}

// raiseLevels puts added jobs above all that they await, and what depends on them
// above them. Among the added ones, those that others await go first.
func (g *Graph) raiseLevels(added []*node) {
	for _, n := range inOrder(added) {
		for need := range n.awaits {
			n.level = max(n.level, need.level+1)
		}
		n.level = max(n.level, 1)
	}
	for _, n := range added {
		g.raiseDependents(n)
	}
}

// raiseDependents puts all that depend on a job above it; those that were added with
// it are already.
func (g *Graph) raiseDependents(n *node) {
	raised := []*node{n}
	for len(raised) > 0 {
		next := raised[0]
		raised = raised[1:]
		for dependent := range next.dependents {
			// Without a cycle no level is higher than the number of jobs.
			if dependent.level <= next.level && next.level < len(g.nodes) {
				dependent.level = next.level + 1
				g.raised++
				raised = append(raised, dependent)
			}
		}
	}
}

// inOrder lists jobs so that those that a job awaits come before it.
func inOrder(added []*node) []*node {
	open := make(map[*node]int, len(added)) // how many of the added ones it awaits
	for _, n := range added {
		open[n] = 0
	}
	for _, n := range added {
		for need := range n.awaits {
			if _, isAdded := open[need]; isAdded {
				open[n]++
			}
		}
	}
	order := make([]*node, 0, len(added))
	for _, n := range added {
		if open[n] == 0 {
			order = append(order, n)
		}
	}
	for i := 0; i < len(order); i++ {
		for dependent := range order[i].dependents {
			if left, isAdded := open[dependent]; isAdded {
				if open[dependent] = left - 1; left == 1 {
					order = append(order, dependent)
				}
			}
		}
	}
	return order
}

// propagation is a priority queue of jobs whose inherited urgency may have changed,
// the highest level first.
type propagation struct{ nodes []*node }

// add queues a job, unless it is queued already.
func (p *propagation) add(n *node) {
	if !n.queued {
		n.queued = true
		heap.Push(p, n)
	}
}

// Len, Less, Swap, Push and Pop make it a heap.Interface.
func (p *propagation) Len() int           { return len(p.nodes) }
func (p *propagation) Less(i, j int) bool { return p.nodes[i].level > p.nodes[j].level }
func (p *propagation) Swap(i, j int)      { p.nodes[i], p.nodes[j] = p.nodes[j], p.nodes[i] }

// Push appends a job for the heap.
func (p *propagation) Push(x any) { p.nodes = append(p.nodes, x.(*node)) }

// Pop takes the last job for the heap.
func (p *propagation) Pop() any {
	last := len(p.nodes) - 1
	n := p.nodes[last]
	p.nodes = p.nodes[:last]
	return n
}
