package capacity

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Node is a machine with what is, or may be, on it. Its fields are changed by the Index alone.
type Node struct {
	Name        ids.Machine
	Assignments map[*workload.Assignment]bool
	// Used is what the assignments take, Reclaimable the part of it that ends by itself or may be
	// preempted, and Replicas how many run until they are cancelled.
	Used        placement.Resources
	Reclaimable placement.Resources
	Replicas    int
	// ImagePulls are the images that its tasks still wait for.
	ImagePulls map[string]*ImagePull
	// Class is where the node is listed while it has capacity left; nil while it has none, or is of
	// no known class, or not in use.
	Class    *Class
	position int // in the class's list
}

// ImagePull is an image being pulled for some tasks of a node.
type ImagePull struct {
	tasks int
	// TopPriority is the highest priority of the tasks that wait for it.
	TopPriority record.Priority
}

// Free is the capacity left on a node that is listed in its class.
func (n *Node) Free() placement.Resources { return n.Class.Offer.Capacity().Minus(n.Used) }

// add counts an assignment.
func (n *Node) add(a *workload.Assignment) {
	spec := &a.Job.Record.Spec
	n.Assignments[a] = true
	n.Used = n.Used.Plus(spec.Resources)
	if spec.Shape == record.Service {
		n.Replicas++
		return
	}
	n.Reclaimable = n.Reclaimable.Plus(spec.Resources)
}

// remove takes an assignment out of the sums.
func (n *Node) remove(a *workload.Assignment) {
	spec := &a.Job.Record.Spec
	delete(n.Assignments, a)
	n.Used = n.Used.Minus(spec.Resources)
	if spec.Shape == record.Service {
		n.Replicas--
	} else {
		n.Reclaimable = n.Reclaimable.Minus(spec.Resources)
	}
	if len(n.Assignments) == 0 {
		n.Used, n.Reclaimable = placement.Resources{}, placement.Resources{} // no rounding errors stay behind
	}
}

// TimeUntilFree guesses when everything on a node that ends by itself has ended.
func (n *Node) TimeUntilFree(now time.Time) time.Duration {
	longest := time.Duration(0)
	for a := range n.Assignments {
		spec := &a.Job.Record.Spec
		if spec.Shape == record.Service {
			continue
		}
		since := a.RunningSince
		if since.IsZero() || a.Status == worker.StatePulling {
			since = now
		}
		longest = max(longest, spec.EstimatedDuration.Duration()-now.Sub(since), time.Second)
	}
	return longest
}
