package eviction

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/provisioning"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// StopOnLeavingMachines stops, in time to save or to start elsewhere, what is on machines that the cloud
// takes back or on which tasks keep failing, and relocates replicas off those to be deleted when empty.
func (e *Evictor) StopOnLeavingMachines(now time.Time) {
	for _, machine := range e.Machines.Leaving() {
		switch reclaimed := !machine.SpotTerminationAt.IsZero(); {
		case reclaimed:
			e.stopOnReclaimedMachine(machine, now)
		case machine.DrainReason == "":
			e.RelocateReplica(machine, now)
		case !e.Enabled(): // else emptied within the budgets
			e.stopOnFailingMachine(machine)
		}
	}
}

// reclaimMargin is how much longer than a task's grace period before the cloud takes its machine it is
// stopped, in seconds.
const reclaimMargin = 3

// stopOnReclaimedMachine stops tasks as late as is safe for those that save; what cannot save and cannot
// finish in time begins again elsewhere at once.
func (e *Evictor) stopOnReclaimedMachine(machine *worker.Machine, now time.Time) {
	left := machine.SpotTerminationAt.Sub(now)
	reason := "the cloud takes " + string(machine.Name) + " back"
	for assignment := range e.Capacity.AssignmentsOn(machine.Name) {
		if assignment.Stopping {
			continue
		}
		grace := assignment.CheckpointGrace()
		mayWait := grace > 0 && left > (grace+reclaimMargin).Duration()
		mayFinish := grace == 0 && (assignment.FinishesWithin(left, now) || !e.cluster.StoreAvailable())
		if !mayWait && !mayFinish {
			e.cluster.Stop(assignment, grace, reason)
		}
	}
}

// stopOnFailingMachine stops everything on a machine on which tasks keep failing.
func (e *Evictor) stopOnFailingMachine(machine *worker.Machine) {
	for assignment := range e.Capacity.AssignmentsOn(machine.Name) {
		if !assignment.Stopping {
			e.cluster.Stop(assignment, assignment.CheckpointGrace(), drainReason(machine))
		}
	}
}

// drainReason is why tasks are stopped on a machine on which tasks keep failing.
func drainReason(machine *worker.Machine) string {
	return "machine " + string(machine.Name) + " is drained: " + machine.DrainReason
}

// relocationReservationTime is how long room is kept for a replica that is moved off a machine to be returned.
const relocationReservationTime = 5 * time.Second

// RelocateReplica takes one replica at a time off a machine that is only kept by
// it, when another machine has room and the image.
func (e *Evictor) RelocateReplica(machine *worker.Machine, now time.Time) {
	if now.Sub(e.relocatedAt) < 1500*time.Millisecond || !e.cluster.StoreAvailable() {
		return
	}
	for assignment := range e.Capacity.AssignmentsOn(machine.Name) {
		if !provisioning.IsSettledReplica(assignment, now) {
			continue
		}
		request := assignment.Job.Record.Spec.PlacementRequest()
		var best *capacity.Node
		bestScore := 0.0
		for node := range e.Capacity.WithImage(request.Image) {
			t, ok := e.Capacity.UsableMachine(node, now, e.Settings.Params.Workers.ReportS)
			if !ok || node.Name == machine.Name || t.Zone != machine.Zone || t.DeleteWhenEmpty || node.Class.Offer.Accels > 0 || !t.Images.Has(request.Image) ||
				!node.Free().Holds(request.Resources) || !request.Allows(t.Type, t.Zone, t.Spot) {
				continue
			}
			pm := e.Scheduler.CandidateView(node, t, assignment.Job, nil, now)
			if s := placement.Score(&pm, &request); best == nil || s < bestScore || s == bestScore && node.Name < best.Name {
				best, bestScore = node, s
			}
		}
		if best == nil {
			continue
		}
		e.relocatedAt = now
		if !e.mayRelocate(assignment, now) {
			return
		}
		e.Scheduler.Reservations.Set(best.Name, scheduler.Reservation{Job: assignment.Job.ID(), Need: request.Resources, CreatedAt: now, ExpiresAt: now.Add(relocationReservationTime)})
		if !e.Enabled() {
			e.cluster.Stop(assignment, assignment.CheckpointGrace(), relocationReason(machine.Name))
		} else {
			e.recordEvictions([]evictionUnit{{assignment.Job, []*workload.Assignment{assignment}}}, &evictionStep{rollout: consolidation, stored: map[*workload.Job]uint64{}})
		}
		return
	}
}

// relocationReason is why a replica is stopped that is moved to have its machine returned.
func relocationReason(machine ids.Machine) string {
	return "moved off " + string(machine) + ", which is to be returned"
}

// mayRelocate tells whether a replica may be moved that nobody has to move: where operators have set
// budgets, only within these.
func (e *Evictor) mayRelocate(assignment *workload.Assignment, now time.Time) bool {
	if !e.Enabled() {
		return true
	}
	return !assignment.Evicting && len(e.disruptionMeter(now).Permit(e.evictionRequest(assignment.Job, assignment, now))) == 0
}
