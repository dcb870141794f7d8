package dependency

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Urgency is the priority of a job and the deadline by which it should be done. The zero value has the
// priority 0 and no deadline.
type Urgency struct {
	Priority int
	Deadline time.Time // zero: none
}

// merge returns the higher priority and the earlier deadline of two urgencies.
func (u Urgency) merge(other Urgency) Urgency {
	u.Priority = max(u.Priority, other.Priority)
	if u.Deadline.IsZero() || !other.Deadline.IsZero() && other.Deadline.Before(u.Deadline) {
		u.Deadline = other.Deadline
	}
	return u
}

// urgencyForPrerequisites returns the urgency that the prerequisites of a waiting job inherit from it.
// The deadline of that urgency is the earlier of the job's own deadline and the one that it inherits, minus
// the job's duration.
func (n *node) urgencyForPrerequisites() Urgency {
	urgency := n.inherited.merge(n.job.Urgency)
	if !urgency.Deadline.IsZero() {
		urgency.Deadline = urgency.Deadline.Add(-n.job.Duration)
	}
	return urgency
}

// computeInherited returns the urgency that a job inherits from its dependents.
func (n *node) computeInherited() (urgency Urgency) {
	for dependent := range n.dependents {
		if dependent.cancelledBy == "" {
			urgency = urgency.merge(dependent.urgencyForPrerequisites())
		}
	}
	return urgency
}

// UpdateDurations replaces the durations of all waiting jobs by new estimates.
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

// propagate recomputes the inherited urgency of the queued jobs, and queues the prerequisites of each job
// whose inherited urgency changed. It takes jobs of higher levels first. All dependents of a job have a
// higher level, so each job is recomputed at most once.
func (g *Graph) propagate(queue *updateQueue, changes *Changes) {
	for queue.Len() > 0 {
		n := queue.popHighest()
		g.recomputed++
		inherited := n.computeInherited()
		if inherited == n.inherited {
			continue
		}
		n.inherited = inherited
		changes.InheritedChanged = append(changes.InheritedChanged, n.id)
		if n.cancelledBy != "" {
			continue // its prerequisites inherit nothing from it
		}
		for prerequisite := range n.prerequisites {
			if prerequisite.level < n.level { // false only on a cycle, which users cannot submit
				queue.add(prerequisite)
			}
		}
	}
}
