package claim

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// placementView is how placement sees a machine for an ask of a job.
func (c *ClusterState) placementView(node *capacity.Node, machine *worker.Machine, job *workload.Job, retry *workload.Retry, now time.Time) placement.Machine {
	spec := &job.Record.Spec
	p := placement.Machine{Name: node.Name, Type: node.Class.Offer, Zone: machine.Zone, Spot: machine.Spot, Going: machine.Going, Free: node.Free(), Pulls: len(node.ImagePulls)}
	p.Holds = machine.Images.Has(spec.Image)
	p.Warm = p.Holds || node.ImagePulls[spec.Image] != nil
	for img, pull := range node.ImagePulls {
		if pull.TopPriority >= record.High && pull.TopPriority > job.EffectivePriority() && !machine.Images.Has(img) {
			p.Hush = true
		}
		if machine.Images.Has(img) {
			p.Pulls--
		}
	}
	p.Held = c.reservedForOther(&p, job, now)
	p.Avoid = retry != nil && retry.Avoid[node.Name]
	return p
}

func cmpString(a, z string) int {
	if a < z {
		return -1
	}
	return 1
}

// removeMachine takes a machine that is gone out of the registry and the indices.
func (c *ClusterState) removeMachine(name ids.Machine) {
	if node := c.capacity.Remove(name); node != nil {
		delete(c.pendingCommands, node)
	}
}
