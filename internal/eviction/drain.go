package eviction

import (
	"fmt"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/budget"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// drainer decides the next step in draining a machine, within the teams' budgets.
type drainer struct {
	*State
	cluster    Cluster
	disruption *disruptionCounter
	permits    *permitTracker
	blockers   *blockerList
	finder     *capacityFinder
}

// evictNextStep decides the next step in draining a machine. It evicts one unit of each team that has tasks
// to stop there, all or none, and then further units as far as the budgets allow.
func (d *drainer) evictNextStep(name ids.Machine, order rollout.Order, meter *budget.Meter, now time.Time) {
	machine := d.Machines.Machines[name]
	if machine == nil || !machine.HasReported || machine.IsSuspect() {
		d.blockers.add(name, "nothing is heard of it")
		return
	}
	d.removeUnstarted(name)
	units, reasons := d.units(machine, order)
	d.blockers.add(name, reasons...)
	first, more := firstOfEachTeam(units)
	if len(first) == 0 {
		return
	}
	reserved := map[ids.Machine]scheduler.Reservation{}
	if reasons := d.unplaceableReasons(first, order, reserved, now); len(reasons) > 0 {
		d.blockers.addUnplaceable(name, reasons)
		return
	}
	if denials := meter.Permit(d.disruption.requests(first, now)...); len(denials) > 0 {
		measure.Default.Count(rollout.CounterPermitsRefused, 1)
		for _, denial := range denials {
			d.blockers.add(name, denial.String())
		}
		return
	}
	granted := append(first, d.permitMore(more, order, reserved, meter, now)...)
	for host, reservation := range reserved {
		d.Scheduler.Reservations.Set(host, reservation)
	}
	step := &evictionStep{rollout: order.Rollout, wave: order.Wave, machine: name, permitVersions: map[*workload.Job]uint64{}}
	d.permits.grant(granted, step)
}

// permitMore returns the further units that have a place elsewhere and fit the budgets.
func (d *drainer) permitMore(
	units []evictionUnit, order rollout.Order, reserved map[ids.Machine]scheduler.Reservation, meter *budget.Meter, now time.Time,
) (granted []evictionUnit) {
	for _, unit := range units {
		one := []evictionUnit{unit}
		if len(d.unplaceableReasons(one, order, reserved, now)) > 0 {
			continue
		}
		if len(meter.Permit(d.disruption.requests(one, now)...)) == 0 {
			granted = append(granted, unit)
		}
	}
	return granted
}

// removeUnstarted removes the tasks of a machine whose starts were never sent. They need no permit.
func (d *drainer) removeUnstarted(name ids.Machine) {
	for _, assignment := range d.sortedAssignmentsOn(name) {
		if !assignment.StartSent && !assignment.Stopping && !assignment.Evicting {
			d.cluster.Stop(assignment, 0, "its machine is drained")
		}
	}
}

// units returns the units to stop on a machine, and the reasons why other tasks are not stopped now. It
// changes nothing.
func (d *drainer) units(machine *worker.Machine, order rollout.Order) (units []evictionUnit, reasons []string) {
	seen := map[*workload.Job]bool{}
	for _, assignment := range d.sortedAssignmentsOn(machine.Name) {
		if assignment.Stopping || assignment.Evicting || !assignment.StartSent {
			continue
		}
		if reason := d.blockedReason(assignment, order); reason != "" {
			reasons = append(reasons, reason)
			continue
		}
		job := assignment.Job
		if !isGang(&job.Record.Spec) {
			units = append(units, evictionUnit{job, []*workload.Assignment{assignment}})
			continue
		}
		if seen[job] {
			continue
		}
		seen[job] = true
		if reason := gangBlocker(job); reason != "" {
			reasons = append(reasons, reason)
			continue
		}
		units = append(units, wholeGang(job))
	}
	return units, reasons
}

// blockedReason returns why a task can't be stopped now, or "" if it can.
func (d *drainer) blockedReason(assignment *workload.Assignment, order rollout.Order) string {
	spec := &assignment.Job.Record.Spec
	switch {
	case !assignment.Confirmed:
		return fmt.Sprintf("the start of %s is not confirmed yet", assignment.Task())
	case !isService(spec) && !mayInterrupt(spec, order):
		return fmt.Sprintf("%s can't save and runs to its end", assignment.Task())
	case !d.recordHoldsEvictions(assignment.Job, assignment.Machine, order):
		return fmt.Sprintf("the record of %s has no room for more evictions", spec.ID)
	}
	return ""
}

// recordHoldsEvictions reports whether a job's record has room for the eviction of the job's tasks on a
// machine. The evictions stay in the record until the tasks run again, so the record must hold them together
// with the new assignments, which take as much as the present ones. Otherwise the tasks could not start again,
// and the evictions would stay forever.
func (d *drainer) recordHoldsEvictions(job *workload.Job, machine ids.Machine, order rollout.Order) bool {
	limit := int(d.Settings.Params.State.ValueBytes())
	if !job.Record.EvictionsFit(limit) {
		return false
	}
	evictions := map[ids.Attempt]int{} // number of tasks by attempt
	for _, assignment := range job.Assignments {
		if assignment.Machine == machine || isGang(&job.Record.Spec) {
			evictions[assignment.Attempt]++
		}
	}
	growth := 0
	for _, tasks := range evictions {
		if isGang(&job.Record.Spec) {
			tasks = 2 // the first and the last one of a range
		}
		growth += record.MaxEvictionSize(string(order.Rollout), tasks)
	}
	size, err := d.cluster.RecordSize(job, nil)
	return err == nil && size+growth <= limit
}

// sortedAssignmentsOn returns the assignments of a machine, sorted by job and task.
func (s *State) sortedAssignmentsOn(name ids.Machine) []*workload.Assignment {
	var assignments []*workload.Assignment
	for assignment := range s.Capacity.AssignmentsOn(name) {
		assignments = append(assignments, assignment)
	}
	slices.SortFunc(assignments, compareTasks)
	return assignments
}

func isService(spec *record.Spec) bool { return spec.JobType == record.Service }

func isGang(spec *record.Spec) bool { return spec.JobType == record.Gang }

// mayInterrupt reports whether a task other than a replica may be stopped for a drain. Tasks that save
// checkpoints and tasks of low priority may be stopped at once; all others only after the deadline, and
// only if the operator chose to stop them then.
func mayInterrupt(spec *record.Spec, order rollout.Order) bool {
	return spec.CheckpointInterval > 0 || spec.Priority == record.Low || order.Stop
}

// gangBlocker returns why a gang can't be stopped as a whole now, or "" if it can.
func gangBlocker(job *workload.Job) string {
	for _, assignment := range job.Assignments {
		if !assignment.Confirmed || assignment.Stopping || assignment.Evicting {
			return fmt.Sprintf("not all tasks of gang %s are known to be on their machines", job.Record.Spec.ID)
		}
	}
	return ""
}

// wholeGang returns all tasks of a gang as one unit.
func wholeGang(job *workload.Job) evictionUnit {
	gang := evictionUnit{job: job}
	for _, task := range workload.SortedTasks(job.Assignments) {
		gang.assignments = append(gang.assignments, job.Assignments[task])
	}
	return gang
}

// firstOfEachTeam splits units into the first one of each team and the others.
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

// evictionReservationTime is the time for which capacity on another machine is reserved for a replica that
// is to be moved: its permit has to be stored, and its stop executed and reported.
const evictionReservationTime = 10 * time.Second

// unplaceableReasons returns the reasons why replicas could not start elsewhere. With surge, a machine must
// have free capacity now, which is added to reserved. Without surge, a feasible placement is enough.
func (d *drainer) unplaceableReasons(
	units []evictionUnit, order rollout.Order, reserved map[ids.Machine]scheduler.Reservation, now time.Time,
) (reasons []string) {
	for _, unit := range units {
		spec := &unit.job.Record.Spec
		if !isService(spec) {
			continue // tasks of other jobs are queued again and need no reservation
		}
		assignment := unit.assignments[0]
		zones := d.finder.zonesWithout(assignment)
		if !d.finder.hasFeasiblePlacement(spec, zones) {
			reasons = append(reasons, fmt.Sprintf("%s could start in no other place that its job allows", assignment.Task()))
			continue
		}
		if !order.Surge {
			continue
		}
		node := d.finder.find(unit.job, zones, reserved, now)
		if node == nil {
			reasons = append(reasons, fmt.Sprintf("%s has no room elsewhere yet", assignment.Task()))
			continue
		}
		reserved[node.Name] = reservationFor(unit.job, now, evictionReservationTime)
	}
	return reasons
}

// reservationFor returns a reservation of capacity for one task of a job.
func reservationFor(job *workload.Job, now time.Time, duration time.Duration) scheduler.Reservation {
	return scheduler.Reservation{Job: job.ID(), Need: job.Record.Spec.Resources, CreatedAt: now, ExpiresAt: now.Add(duration)}
}
