package eviction

import (
	"maps"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// surgePlanner decides which capacity must be provisioned before replicas can be moved.
type surgePlanner struct {
	*State
	orders   *orderSet
	blockers *blockerList
}

// demands returns the capacity to provision for replicas that are to be moved but fit on no other machine.
// Only rollouts with surge that provision no replacements need it.
func (s *surgePlanner) demands() (demands []placement.Demand) {
	if !s.orders.known() {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(s.blockers.unplaceable)) {
		order, _ := s.orders.orderFor(name)
		if !order.Drain || !order.Surge || order.Replace {
			continue
		}
		for _, assignment := range s.sortedAssignmentsOn(name) {
			request := assignment.Job.Record.Spec.PlacementRequest()
			if isService(&assignment.Job.Record.Spec) && !assignment.Stopping && !s.acceleratedMachineBooting(&request) {
				demands = append(demands, placement.Demand{Request: request, Count: 1, Headroom: true})
			}
		}
	}
	return demands
}

// acceleratedMachineBooting reports whether a machine with accelerators is booting that could run a task
// without them. Provisioning does not count such a machine as capacity for that task, so without this check
// another machine would be provisioned after each evaluation.
func (s *surgePlanner) acceleratedMachineBooting(request *placement.Request) bool {
	if request.Resources.Accels != 0 {
		return false
	}
	for _, machine := range s.Machines.Machines {
		if machine.Booting && !machine.HasReported && s.acceleratedMachineFits(machine, request) {
			return true
		}
	}
	return false
}

// acceleratedMachineFits reports whether a machine has accelerators and could run a task.
func (s *surgePlanner) acceleratedMachineFits(machine *worker.Machine, request *placement.Request) bool {
	machineType := s.Capacity.Type(machine.Type)
	return machineType != nil && machineType.Accels > 0 && machineType.Capacity().Holds(request.Resources) &&
		request.Allows(machine.Type, machine.Zone, machine.Spot)
}
