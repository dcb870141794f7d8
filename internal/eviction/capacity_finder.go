package eviction

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// capacityFinder finds machines with free capacity for tasks that are to be moved.
type capacityFinder struct {
	*State
	orders *orderSet
}

// zonesWithout returns how the tasks of an assignment's job are spread over zones, not counting the
// assignment itself, which is to be moved.
func (f *capacityFinder) zonesWithout(assignment *workload.Assignment) *scheduler.ZoneSpread {
	spread := scheduler.ZoneSpreadOf(assignment.Job, f.Machines)
	if machine := f.Machines.Machines[assignment.Machine]; machine != nil {
		spread.Remove(machine.Zone)
	}
	return spread
}

// hasFeasiblePlacement reports whether the job's constraints allow one more task anywhere: in a zone that
// is not being drained permanently, on a machine of a type that is large enough. The orders must be known.
func (f *capacityFinder) hasFeasiblePlacement(spec *record.Spec, zones *scheduler.ZoneSpread) bool {
	request := spec.PlacementRequest()
	for _, machineType := range f.Capacity.Types() {
		for _, zone := range machineType.Zones {
			_, closed := f.orders.current.ClosedZones[zone]
			if closed || zones.Allowed(zone, 1) == 0 || !machineType.Capacity().Holds(request.Resources) {
				continue
			}
			if request.Allows(machineType.Label, zone, false) || request.Allows(machineType.Label, zone, true) {
				return true
			}
		}
	}
	return false
}

// find returns a machine with free capacity for one more task of a job, or nil. A job without accelerators
// gets a machine with accelerators only if no other has capacity.
func (f *capacityFinder) find(
	job *workload.Job, zones *scheduler.ZoneSpread, reserved map[ids.Machine]scheduler.Reservation, now time.Time,
) *capacity.Node {
	if node := f.findAmong(job, zones, reserved, now, false); node != nil {
		return node
	}
	return f.findAmong(job, zones, reserved, now, true)
}

// findAmong returns the machine with the best score among those with accelerators or, if accelerators is
// false, among those without.
func (f *capacityFinder) findAmong(
	job *workload.Job, zones *scheduler.ZoneSpread, reserved map[ids.Machine]scheduler.Reservation, now time.Time, accelerators bool,
) *capacity.Node {
	request := job.Record.Spec.PlacementRequest()
	var best bestNode
	for _, class := range f.Capacity.Classes() {
		if !request.Allows(class.Type, class.Zone, class.Spot) || class.InstanceType.Accels > 0 != accelerators || zones.Allowed(class.Zone, 1) == 0 {
			continue
		}
		for _, node := range class.OpenNodes {
			machine, ok := f.Capacity.UsableMachine(node, now, f.reportInterval())
			_, taken := reserved[node.Name]
			_, reservedNow := f.Scheduler.Reservations.On(node.Name, now)
			if !ok || taken || reservedNow || machine.DeleteWhenEmpty || !node.Free().Holds(request.Resources) {
				continue
			}
			view := f.Scheduler.CandidateView(node, machine, job, nil, now)
			best.consider(node, placement.Score(&view, &request))
		}
	}
	return best.node
}

// bestNode is the node with the lowest score of those considered; among equal scores, the first by name.
type bestNode struct {
	node  *capacity.Node
	score float64
}

// consider replaces the best node if the given node is better.
func (b *bestNode) consider(node *capacity.Node, score float64) {
	if b.node == nil || score < b.score || score == b.score && node.Name < b.node.Name {
		b.node, b.score = node, score
	}
}
