package eviction

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/provisioning"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

const (
	// relocationInterval is the minimum time between two relocations.
	relocationInterval = 1500 * time.Millisecond
	// relocationReservationTime is the time for which capacity is reserved for a replica that is moved off
	// a machine to be returned.
	relocationReservationTime = 5 * time.Second
)

// relocator moves replicas off machines that are consolidated, one at a time.
type relocator struct {
	*State
	cluster       Cluster
	disruption    *disruptionCounter
	permits       *permitTracker
	targetFoundAt time.Time // when another machine for a replica was last found
}

// relocate moves one replica off a machine if another machine has free capacity and the image.
func (r *relocator) relocate(machine *worker.Machine, now time.Time) {
	if now.Sub(r.targetFoundAt) < relocationInterval || !r.cluster.StoreAvailable() {
		return
	}
	for assignment := range r.Capacity.AssignmentsOn(machine.Name) {
		if !provisioning.IsSettledReplica(assignment, now) {
			continue
		}
		target := r.findTarget(assignment, machine, now)
		if target == nil {
			continue
		}
		r.targetFoundAt = now
		if r.mayRelocate(assignment, now) {
			r.Scheduler.Reservations.Set(target.Name, reservationFor(assignment.Job, now, relocationReservationTime))
			r.evict(assignment)
		}
		return
	}
}

// findTarget returns the best machine in the same zone that has free capacity and the image, or nil.
func (r *relocator) findTarget(assignment *workload.Assignment, from *worker.Machine, now time.Time) *capacity.Node {
	request := assignment.Job.Record.Spec.PlacementRequest()
	var best bestNode
	for node := range r.Capacity.WithImage(request.Image) {
		machine, ok := r.Capacity.UsableMachine(node, now, r.reportInterval())
		if !ok || machine.Name == from.Name || machine.Zone != from.Zone || machine.DeleteWhenEmpty || node.Class.InstanceType.Accels > 0 {
			continue
		}
		if !machine.Images.Has(request.Image) || !node.Free().Holds(request.Resources) ||
			!request.Allows(machine.Type, machine.Zone, machine.Spot) {
			continue
		}
		view := r.Scheduler.CandidateView(node, machine, assignment.Job, nil, now)
		best.consider(node, placement.Score(&view, &request))
	}
	return best.node
}

// mayRelocate reports whether a replica may be moved for consolidation. Such a move is never necessary, so
// it must be within the disruption budgets where operators have set any.
func (r *relocator) mayRelocate(assignment *workload.Assignment, now time.Time) bool {
	if !r.disruption.enabled() {
		return true
	}
	if assignment.Evicting {
		return false
	}
	denials := r.disruption.meter(now).Permit(r.disruption.request(assignment.Job, assignment, now))
	return len(denials) == 0
}

// evict stops a replica. If drains are enabled, it is stopped only after its permit is stored.
func (r *relocator) evict(assignment *workload.Assignment) {
	if !r.disruption.enabled() {
		r.cluster.Stop(assignment, assignment.CheckpointGrace(), relocationReason(assignment.Machine))
		return
	}
	unit := evictionUnit{assignment.Job, []*workload.Assignment{assignment}}
	r.permits.grant([]evictionUnit{unit}, &evictionStep{rollout: consolidationRollout, permitVersions: map[*workload.Job]uint64{}})
}

// relocationReason returns the reason for stopping a replica whose machine is to be returned.
func relocationReason(machine ids.Machine) string {
	return "moved off " + string(machine) + ", which is to be returned"
}
