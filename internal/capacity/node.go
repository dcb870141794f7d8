package capacity

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Node is a machine and its assignments. Only the Index changes its fields.
type Node struct {
	Name        ids.Machine
	Assignments map[*workload.Assignment]bool
	// Used is what the assignments take.
	Used placement.Resources
	// Reclaimable is the part of Used that belongs to tasks which end by themselves.
	Reclaimable placement.Resources
	// Replicas is the number of assignments of services, which run until they are cancelled.
	Replicas int
	// ImagePulls are the images that tasks of the node wait for.
	ImagePulls map[string]*ImagePull
	// Class is the class in whose list the node is; nil if it is full, not in use, or of an unknown type.
	Class    *Class
	position int // in Class.Open; -1 without a class
}

// ImagePull is the pull of an image for some tasks of a node.
type ImagePull struct {
	tasks int // that wait for the image
	// TopPriority is the highest priority of the tasks that have waited for the pull.
	TopPriority record.Priority
}

// Free returns the capacity that is left on a node. The node must be in its class's list: Class must not be
// nil.
func (n *Node) Free() placement.Resources { return n.Class.Offer.Capacity().Minus(n.Used) }

// add adds an assignment and updates the sums.
func (n *Node) add(assignment *workload.Assignment) {
	spec := &assignment.Job.Record.Spec
	n.Assignments[assignment] = true
	n.Used = n.Used.Plus(spec.Resources)
	if spec.Shape == record.Service {
		n.Replicas++
		return
	}
	n.Reclaimable = n.Reclaimable.Plus(spec.Resources)
}

// remove removes an assignment and updates the sums.
func (n *Node) remove(assignment *workload.Assignment) {
	spec := &assignment.Job.Record.Spec
	delete(n.Assignments, assignment)
	n.Used = n.Used.Minus(spec.Resources)
	if spec.Shape == record.Service {
		n.Replicas--
	} else {
		n.Reclaimable = n.Reclaimable.Minus(spec.Resources)
	}
	if len(n.Assignments) == 0 {
		n.Used, n.Reclaimable = placement.Resources{}, placement.Resources{} // drop accumulated rounding errors
	}
}

// TimeUntilFree estimates how long it takes until all tasks on a node that end by themselves have ended. A
// task that runs longer than its estimate counts as ending in a second.
func (n *Node) TimeUntilFree(now time.Time) time.Duration {
	longest := time.Duration(0)
	for assignment := range n.Assignments {
		spec := &assignment.Job.Record.Spec
		if spec.Shape == record.Service {
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
