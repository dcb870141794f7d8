package claim

import (
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// stopOnLeavingMachines stops, in time to save or to start elsewhere, what is on machines
// that will be taken or are faulty.
func (c *ClusterState) stopOnLeavingMachines(now time.Time) {
	names := make([]ids.Machine, 0, len(c.leaving))
	for name := range c.leaving {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		machine := c.machines.Machines[name]
		if machine == nil || machine.DrainReason == "" && machine.SpotTerminationAt.IsZero() && !machine.DeleteWhenEmpty {
			delete(c.leaving, name)
			continue
		}
		taken := !machine.SpotTerminationAt.IsZero()
		if !taken && machine.DrainReason == "" {
			c.relocateReplica(machine, now)
			continue
		}
		if !taken && c.drains != nil {
			continue // emptied within the budgets
		}
		for assignment := range c.capacity.AssignmentsOn(name) {
			if assignment.Stopping {
				continue
			}
			why := drainReason(machine)
			grace := assignment.CheckpointGrace()
			if taken {
				left := machine.SpotTerminationAt.Sub(now)
				// Saving goes as late as is safe; what cannot save and cannot
				// finish in time begins again elsewhere at once.
				if grace > 0 && left > (grace+3).Duration() || grace == 0 && (assignment.FinishesWithin(left, now) || !c.StoreAvailable()) {
					continue
				}
				why = "the cloud takes " + string(name) + " back"
			}
			c.stopAssignment(assignment, grace, why)
		}
	}
}

// drainReason is why tasks are stopped on a machine on which tasks keep failing.
func drainReason(machine *worker.Machine) string {
	return "machine " + string(machine.Name) + " is drained: " + machine.DrainReason
}

// relocationReservationTime is how long room is kept for a replica that is moved off a machine to be returned.
const relocationReservationTime = 5 * time.Second

// relocateReplica takes one replica at a time off a machine that is only kept by
// it, when another machine has room and the image.
func (c *ClusterState) relocateReplica(machine *worker.Machine, now time.Time) {
	if now.Sub(c.relocatedAt) < 1500*time.Millisecond || !c.StoreAvailable() {
		return
	}
	for assignment := range c.capacity.AssignmentsOn(machine.Name) {
		if assignment.Job.Record.Spec.Shape != record.Service || assignment.Stopping || assignment.Status != worker.StateRunning || now.Sub(assignment.RunningSince) < minRelocatableAge {
			continue
		}
		request := assignment.Job.Record.Spec.PlacementRequest()
		var best *capacity.Node
		bestScore := 0.0
		for node := range c.capacity.WithImage(request.Image) {
			t, ok := c.capacity.UsableMachine(node, now, c.settings.Params.Workers.ReportS)
			if !ok || node.Name == machine.Name || t.Zone != machine.Zone || t.DeleteWhenEmpty || node.Class.Offer.Accels > 0 || !t.Images.Has(request.Image) ||
				!node.Free().Holds(request.Resources) || !request.Allows(t.Type, t.Zone, t.Spot) {
				continue
			}
			pm := c.scheduler.View(node, t, assignment.Job, nil, now)
			if s := placement.Score(&pm, &request); best == nil || s < bestScore || s == bestScore && node.Name < best.Name {
				best, bestScore = node, s
			}
		}
		if best == nil {
			continue
		}
		c.relocatedAt = now
		if !c.mayRelocate(assignment, now) {
			return
		}
		c.scheduler.Reservations.Set(best.Name, scheduler.Reservation{Job: assignment.Job.ID(), Need: request.Resources, Made: now, Until: now.Add(relocationReservationTime)})
		if c.drains == nil {
			c.stopAssignment(assignment, assignment.CheckpointGrace(), relocationReason(machine.Name))
		} else {
			c.recordEvictions([]evictionUnit{{assignment.Job, []*workload.Assignment{assignment}}}, &evictionStep{rollout: consolidation, stored: map[*workload.Job]uint64{}})
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
func (c *ClusterState) mayRelocate(assignment *workload.Assignment, now time.Time) bool {
	if c.drains == nil {
		return true
	}
	return !assignment.Evicting && len(c.disruptionMeter(now).Permit(c.evictionRequest(assignment.Job, assignment, now))) == 0
}
