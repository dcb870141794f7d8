package eviction

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/budget"
	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// evictionUnit is what is stopped together: a task, or a whole gang.
type evictionUnit struct {
	job         *workload.Job
	assignments []*workload.Assignment
}

func (unit *evictionUnit) team() string { return unit.job.Record.Spec.Team }

// evictNextStep decides the next step of emptying a machine: of each team that has anything to
// stop there one unit, all or none, and then what more the budgets allow.
func (e *Evictor) evictNextStep(name ids.Machine, order rollout.Order, meter *budget.Meter, now time.Time) {
	machine := e.Machines.Machines[name]
	if machine == nil || !machine.HasReported || machine.Suspect() {
		e.addBlocker(name, "nothing is heard of it")
		return
	}
	e.removeUnsentFrom(name)
	units, whys := e.evictionUnits(machine, order)
	e.addBlocker(name, whys...)
	first, more := firstOfEachTeam(units)
	if len(first) == 0 {
		return
	}
	step := &evictionStep{rollout: order.Rollout, wave: order.Wave, machine: name, stored: map[*workload.Job]uint64{}}
	reserved := map[ids.Machine]scheduler.Reservation{}
	if why := e.unplaceableReasons(first, order, reserved, now); len(why) > 0 {
		e.noRoom[name] = true
		e.addBlocker(name, why...)
		return
	}
	if denials := meter.Permit(e.evictionRequests(first, now)...); len(denials) > 0 {
		measure.Process.Count(rollout.PermitsRefused, 1)
		for _, denial := range denials {
			e.addBlocker(name, denial.String())
		}
		return
	}
	granted := first
	for _, unit := range more {
		one := []evictionUnit{unit}
		if len(e.unplaceableReasons(one, order, reserved, now)) == 0 && len(meter.Permit(e.evictionRequests(one, now)...)) == 0 {
			granted = append(granted, unit)
		}
	}
	for host, reservation := range reserved {
		e.Scheduler.Reservations.Set(host, reservation)
	}
	e.recordEvictions(granted, step)
}

// recordEvictions notes permits on the jobs' records; the stops wait until all are stored.
func (e *Evictor) recordEvictions(units []evictionUnit, step *evictionStep) {
	measure.Process.Count(rollout.PermitsGiven, len(units))
	for _, unit := range units {
		job := unit.job
		for _, assignment := range unit.assignments {
			assignment.Evicting = true
			e.pending[assignment] = step
			job.Record.AddEviction(assignment.TaskIndex, assignment.Attempt, string(step.rollout), step.wave)
		}
		e.evicted[job] = true
		e.cluster.MarkChanged(job)
		e.cluster.MarkUrgent(job)
		step.stored[job] = job.Version
	}
}

// removeUnsentFrom takes tasks off a machine that were never started there: it takes no permit.
func (e *Evictor) removeUnsentFrom(name ids.Machine) {
	for _, assignment := range e.sortedAssignmentsOn(name) {
		if !assignment.StartSent && !assignment.Stopping && !assignment.Evicting {
			e.cluster.Stop(assignment, 0, "its machine is drained")
		}
	}
}

// evictionRequests is what it takes of the teams' budgets to stop units together.
func (e *Evictor) evictionRequests(units []evictionUnit, now time.Time) []budget.Request {
	requests := make([]budget.Request, len(units))
	for i, unit := range units {
		requests[i] = e.evictionRequest(unit.job, unit.assignments[0], now)
	}
	return requests
}

// evictionUnits lists what is to be stopped on a machine, and why the rest is not stopped now.
// It changes nothing.
func (e *Evictor) evictionUnits(machine *worker.Machine, order rollout.Order) (units []evictionUnit, whys []string) {
	limit := int(e.Settings.Params.State.ValueKB * 1024)
	seen := map[*workload.Job]bool{}
	for _, assignment := range e.sortedAssignmentsOn(machine.Name) {
		job := assignment.Job
		spec := &job.Record.Spec
		switch {
		case assignment.Stopping || assignment.Evicting || !assignment.StartSent:
			continue
		case !assignment.Confirmed:
			whys = append(whys, fmt.Sprintf("the start of %s is not confirmed yet", assignment.Task()))
			continue
		case !isService(spec) && !mayInterrupt(spec, order):
			whys = append(whys, fmt.Sprintf("%s can't save and runs to its end", assignment.Task()))
			continue
		case !job.Record.EvictionsFit(limit):
			whys = append(whys, fmt.Sprintf("the record of %s has no room for more evictions", spec.ID))
			continue
		}
		if !isGang(spec) {
			units = append(units, evictionUnit{job, []*workload.Assignment{assignment}})
			continue
		}
		if seen[job] {
			continue
		}
		seen[job] = true
		if why := gangBlocker(job); why != "" {
			whys = append(whys, why)
			continue
		}
		gang := evictionUnit{job: job}
		for _, i := range workload.SortedTasks(job.Assignments) {
			gang.assignments = append(gang.assignments, job.Assignments[i])
		}
		units = append(units, gang)
	}
	return units, whys
}

// sortedAssignmentsOn lists what is or may be on a machine, in the order of the tasks' names.
func (e *Evictor) sortedAssignmentsOn(name ids.Machine) []*workload.Assignment {
	var places []*workload.Assignment
	for assignment := range e.Capacity.AssignmentsOn(name) {
		places = append(places, assignment)
	}
	slices.SortFunc(places, func(x, y *workload.Assignment) int {
		return cmp.Or(cmp.Compare(x.Job.Record.Spec.ID, y.Job.Record.Spec.ID), cmp.Compare(x.TaskIndex, y.TaskIndex))
	})
	return places
}

func isService(spec *record.Spec) bool { return spec.Shape == record.Service }

func isGang(spec *record.Spec) bool { return spec.Shape == record.Gang }

// mayInterrupt tells whether a task that is no replica is stopped for a drain: what can save, and
// low work, at once; all else only when the operator chose so for after the deadline.
func mayInterrupt(spec *record.Spec, order rollout.Order) bool {
	return spec.CheckpointInterval > 0 || spec.Priority == record.Low || order.Stop
}

// gangBlocker tells why a gang can't be stopped as a whole now; empty: it can.
func gangBlocker(job *workload.Job) string {
	for _, assignment := range job.Assignments {
		if !assignment.Confirmed || assignment.Stopping || assignment.Evicting {
			return fmt.Sprintf("not all tasks of gang %s are known to be on their machines", job.Record.Spec.ID)
		}
	}
	return ""
}

// firstOfEachTeam splits units into the first of each team and the others.
func firstOfEachTeam(units []evictionUnit) (first, more []evictionUnit) {
	seen := map[string]bool{}
	for _, unit := range units {
		if seen[unit.team()] {
			more = append(more, unit)
			continue
		}
		seen[unit.team()] = true
		first = append(first, unit)
	}
	return first, more
}

// evictionReservationTime is how long room elsewhere is kept for a replica that is to be moved there: its
// permit has to be stored, the stop carried out and told.
const evictionReservationTime = 10 * time.Second

// unplaceableReasons tells which replicas could not start elsewhere. With surge there has to be room
// now, which is added to reserved; without it a place has to be possible at all.
func (e *Evictor) unplaceableReasons(units []evictionUnit, order rollout.Order, reserved map[ids.Machine]scheduler.Reservation, now time.Time) (whys []string) {
	for _, unit := range units {
		if !isService(&unit.job.Record.Spec) {
			continue // it waits in the queue
		}
		assignment := unit.assignments[0]
		zones := e.zonesWithout(assignment)
		if !e.canStartSomewhere(&unit.job.Record.Spec, zones) {
			whys = append(whys, fmt.Sprintf("%s could start in no other place that its job allows", assignment.Task()))
			continue
		}
		if !order.Surge {
			continue
		}
		node := e.FindRoom(unit.job, zones, reserved, now)
		if node == nil {
			whys = append(whys, fmt.Sprintf("%s has no room elsewhere yet", assignment.Task()))
			continue
		}
		reserved[node.Name] = scheduler.Reservation{Job: unit.job.ID(), Need: unit.job.Record.Spec.Resources, CreatedAt: now, ExpiresAt: now.Add(evictionReservationTime)}
	}
	return whys
}

// zonesWithout is where a job's tasks are, but for one that is to be moved.
func (e *Evictor) zonesWithout(assignment *workload.Assignment) *scheduler.ZoneSpread {
	spread := scheduler.ZoneSpreadOf(assignment.Job, e.Machines)
	if machine := e.Machines.Machines[assignment.Machine]; machine != nil {
		spread.Remove(machine.Zone)
	}
	return spread
}

// canStartSomewhere tells whether a job's rules leave any place for one more task, in a zone that is not
// given up, on a machine of a type that holds it.
func (e *Evictor) canStartSomewhere(spec *record.Spec, zones *scheduler.ZoneSpread) bool {
	request := spec.PlacementRequest()
	for _, machineType := range e.Capacity.Types() {
		for _, zone := range machineType.Zones {
			if _, closed := e.orders.ClosedZones[zone]; closed || zones.Allowed(zone, 1) == 0 || !machineType.Capacity().Holds(request.Resources) {
				continue
			}
			if request.Allows(machineType.Label, zone, false) || request.Allows(machineType.Label, zone, true) {
				return true
			}
		}
	}
	return false
}

// SurgeDemands is the room that has to be rented before what is to be moved can be stopped: of
// rollouts that rent no replacements, for replicas that have no room elsewhere.
func (e *Evictor) SurgeDemands() (demands []placement.Demand) {
	if e.orders == nil {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(e.noRoom)) {
		order := e.orders.Machines[name]
		if !order.Drain || !order.Surge || order.Replace {
			continue
		}
		for _, assignment := range e.sortedAssignmentsOn(name) {
			request := assignment.Job.Record.Spec.PlacementRequest()
			if isService(&assignment.Job.Record.Spec) && !assignment.Stopping && !e.acceleratedMachineBooting(&request) {
				demands = append(demands, placement.Demand{Request: request, Count: 1, Headroom: true})
			}
		}
	}
	return demands
}

// acceleratedMachineBooting tells that a machine with accelerators is booting that work without them could use.
// Rentals count no such machine as room for it, so that another would be rented at each look.
func (e *Evictor) acceleratedMachineBooting(request *placement.Request) bool {
	for _, machine := range e.Machines.Machines {
		machineType := e.Capacity.Type(machine.Type)
		if machine.Booting && !machine.HasReported && machineType != nil && machineType.Accels > 0 && request.Resources.Accels == 0 && machineType.Capacity().Holds(request.Resources) && request.Allows(machine.Type, machine.Zone, machine.Spot) {
			return true
		}
	}
	return false
}

// FindRoom finds a machine with room for one more task of a job; nil if there is none. Work without
// accelerators takes a machine with some only where nothing else has room.
func (e *Evictor) FindRoom(job *workload.Job, zones *scheduler.ZoneSpread, reserved map[ids.Machine]scheduler.Reservation, now time.Time) *capacity.Node {
	if node := e.roomAmong(job, zones, reserved, now, false); node != nil {
		return node
	}
	return e.roomAmong(job, zones, reserved, now, true)
}

// roomAmong finds room on machines with accelerators, or on those without.
func (e *Evictor) roomAmong(job *workload.Job, zones *scheduler.ZoneSpread, reserved map[ids.Machine]scheduler.Reservation, now time.Time, accelerators bool) *capacity.Node {
	request := job.Record.Spec.PlacementRequest()
	var best *capacity.Node
	bestScore := 0.0
	for _, class := range e.Capacity.Classes() {
		if !request.Allows(class.Type, class.Zone, class.Spot) || class.Offer.Accels > 0 != accelerators || zones.Allowed(class.Zone, 1) == 0 {
			continue
		}
		for _, node := range class.Open {
			machine, ok := e.Capacity.UsableMachine(node, now, e.Settings.Params.Workers.ReportS)
			_, taken := reserved[node.Name]
			_, reservedNow := e.Scheduler.Reservations.On(node.Name, now)
			if !ok || taken || reservedNow || machine.DeleteWhenEmpty || !node.Free().Holds(request.Resources) {
				continue
			}
			view := e.Scheduler.CandidateView(node, machine, job, nil, now)
			if score := placement.Score(&view, &request); best == nil || score < bestScore || score == bestScore && node.Name < best.Name {
				best, bestScore = node, score
			}
		}
	}
	return best
}
