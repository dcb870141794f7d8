package capacity

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Node holds the assignments and the allocated capacity of a machine. Only Index changes its fields.
type Node struct {
	Name        ids.Machine
	Assignments map[*workload.Assignment]bool
	// Used is the sum of the resources of all assignments.
	Used placement.Resources
	// Reclaimable is the part of Used that belongs to tasks of arrays and gangs, which end without being
	// stopped.
	Reclaimable placement.Resources
	// Replicas is the number of assignments of services, which run until they are cancelled.
	Replicas int
	// ImagePulls contains, by image, the pulls that tasks of the node wait for.
	ImagePulls map[string]*ImagePull
	// Class is the class that lists the node. It is nil if the node is full, or if its machine has not
	// reported, is being deleted or has an unknown type.
	Class    *Class
	position int // index in Class.OpenNodes, or -1 if Class is nil
}

// ImagePull is the pull of an image to a node.
type ImagePull struct {
	tasks int // number of tasks that wait for the image
	// TopPriority is the highest priority of all tasks that wait or have waited for the pull.
	TopPriority record.Priority
}

// Free returns the unallocated capacity of a node. Class must not be nil.
func (n *Node) Free() placement.Resources { return n.Class.InstanceType.Capacity().Minus(n.Used) }

// add adds an assignment and updates the resource sums.
func (n *Node) add(assignment *workload.Assignment) {
	spec := &assignment.Job.Record.Spec
	n.Assignments[assignment] = true
	n.Used = n.Used.Plus(spec.Resources)
	if spec.JobType == record.Service {
		n.Replicas++
		return
	}
	n.Reclaimable = n.Reclaimable.Plus(spec.Resources)
}

// remove removes an assignment and updates the resource sums.
func (n *Node) remove(assignment *workload.Assignment) {
	spec := &assignment.Job.Record.Spec
	delete(n.Assignments, assignment)
	n.Used = n.Used.Minus(spec.Resources)
	if spec.JobType == record.Service {
		n.Replicas--
	} else {
		n.Reclaimable = n.Reclaimable.Minus(spec.Resources)
	}
	if len(n.Assignments) == 0 {
		n.Used, n.Reclaimable = placement.Resources{}, placement.Resources{} // drop accumulated rounding errors
	}
}

// TimeUntilFree estimates the time until all array and gang tasks on a node have ended. A task that already
// runs longer than its estimated duration is assumed to end in a second.
func (n *Node) TimeUntilFree(now time.Time) time.Duration {
	longest := time.Duration(0)
	for assignment := range n.Assignments {
		spec := &assignment.Job.Record.Spec
		if spec.JobType == record.Service {
			continue
		}
		since := assignment.RunningSince
		if since.IsZero() || assignment.Status == worker.StatePulling {
			since = now
		}
		longest = max(longest, spec.EstimatedDuration.Duration()-now.Sub(since), time.Second)
	}
	return longest
}
