package dependency

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Urgency is how important a job is and by when it should be done. Its zero value requires
// nothing.
type Urgency struct {
	Priority int
	Deadline time.Time // zero: none
}

// merge returns the higher priority and the earlier deadline of both.
func (u Urgency) merge(other Urgency) Urgency {
	u.Priority = max(u.Priority, other.Priority)
	if u.Deadline.IsZero() || !other.Deadline.IsZero() && other.Deadline.Before(u.Deadline) {
		u.Deadline = other.Deadline
	}
	return u
}

// passedOn is the urgency that the prerequisites of a waiting job inherit from it: they must leave
// it its duration before its own deadline and those of its dependents.
func (n *node) passedOn() Urgency {
	urgency := n.inherited.merge(n.job.Urgency)
	if !urgency.Deadline.IsZero() {
		urgency.Deadline = urgency.Deadline.Add(-n.job.Duration)
	}
	return urgency
}

// inheritedFromDependents computes what a job inherits.
func (n *node) inheritedFromDependents() (urgency Urgency) {
	for dependent := range n.dependents {
		if dependent.cancelledBy == "" {
			urgency = urgency.merge(dependent.passedOn())
		}
	}
	return urgency
}

// UpdateDurations replaces the estimated durations of all waiting jobs.
func (g *Graph) UpdateDurations(estimate func(ids.Job) time.Duration) Changes {
	var changes Changes
	queue := &updateQueue{}
	for id, n := range g.nodes {
		if n.job == nil {
			continue
		}
		if duration := estimate(id); duration != n.job.Duration {
			n.job.Duration = duration
			queue.addAll(n.prerequisites)
		}
	}
	g.propagate(queue, &changes)
	return changes
}

// propagate recomputes what the queued jobs inherit, and passes changes on to their prerequisites
// in turn. Jobs of a higher level go first: all dependents of a job are of a higher level, so each
// job is recomputed at most once.
func (g *Graph) propagate(queue *updateQueue, changes *Changes) {
	for queue.Len() > 0 {
		n := queue.next()
		g.recomputed++
		inherited := n.inheritedFromDependents()
		if inherited == n.inherited {
			continue
		}
		n.inherited = inherited
		changes.InheritedChanged = append(changes.InheritedChanged, n.id)
		if n.cancelledBy != "" {
			continue // its prerequisites inherit nothing from it
		}
		for prerequisite := range n.prerequisites {
			if prerequisite.level < n.level { // false only in a cycle, which nobody can submit
				queue.add(prerequisite)
			}
		}
	}
}
