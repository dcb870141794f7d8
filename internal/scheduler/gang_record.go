package scheduler

import (
	"fmt"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// gangFit is the result of measuring the record of a gang with all of its tasks assigned.
type gangFit int

const (
	fitsAnywhere gangFit = iota // the record fits even if each unassigned task is on a machine of its own
	fitsPacked                  // it fits only if unassigned tasks share machines
	fitsNowhere                 // it does not fit even if they are on as few machines as the allowed types permit
)

// minEntryBytes is the least size of the stored assignments of one machine: a separator, the shortest name,
// a colon and one task.
const minEntryBytes = 4

// gangFit returns how a gang's unassigned tasks must be placed so that its record fits into a value, and, if
// that is impossible, the reason. A gang within the estimate is not measured here: that only decides whether
// room is made for it, and its record is measured with the machines that are chosen.
func (r *recordRoom) gangFit(job *workload.Job, missing int) (fit gangFit, reason string) {
	if !job.EstimateTooLow && job.Record.Spec.Tasks <= job.EstimatedMaxAssigned(r.valueBytes()) {
		return fitsAnywhere, ""
	}
	if r.holdsSpreadOut(job, missing) {
		return fitsAnywhere, ""
	}
	machines := r.fewestMachines(job, missing)
	size, fits := machines*minEntryBytes, false
	if size <= r.valueLimit() {
		size, fits = r.holds(job, r.packedOn(job, hypotheticalMachines(machines)))
	}
	if fits {
		return fitsPacked, ""
	}
	return fitsNowhere, fmt.Sprintf("its record is too large: its %d tasks need at least %d machines, with which it takes at least %d bytes, and a value of the state service holds %d",
		job.Record.Spec.Tasks, machines, size, r.valueLimit())
}

// holdsSpreadOut reports whether a gang's record fits with each unassigned task on a machine of its own, as
// far as the shard has that many machines.
func (r *recordRoom) holdsSpreadOut(job *workload.Job, missing int) bool {
	if len(r.Capacity.Nodes()) >= missing && missing*minEntryBytes > r.valueLimit() {
		return false
	}
	names := make([]ids.Machine, 0, missing)
	for name := range r.Capacity.Nodes() {
		if len(names) == missing {
			break
		}
		names = append(names, name)
	}
	if len(names) == 0 {
		return true // no machine is known yet
	}
	_, fits := r.holds(job, r.packedOn(job, names))
	return fits
}

// fewestMachines returns the least number of machines that have room for a number of a job's tasks, if they
// are of the allowed types.
func (r *recordRoom) fewestMachines(job *workload.Job, tasks int) int {
	return divideUp(tasks, r.mostPerMachine(job, tasks))
}

// mostPerMachine returns for how many of a job's tasks, at least one and at most tasks, an empty machine of
// the allowed types has room.
func (r *recordRoom) mostPerMachine(job *workload.Job, tasks int) int {
	request := job.Record.Spec.PlacementRequest()
	most := 1
	for name, instanceType := range r.Capacity.Types() {
		if request.Allows(name, request.Zone, false) || request.Allows(name, request.Zone, true) {
			most = max(most, instanceType.Capacity().CountFitting(request.Resources, tasks))
		}
	}
	return most
}

// tasksPerMachine returns how many of a gang's unassigned tasks must share each machine so that its record
// fits, as far as the names of the machines can be foreseen. Machines are provisioned accordingly.
func (r *recordRoom) tasksPerMachine(job *workload.Job, missing int) int {
	most := r.mostPerMachine(job, missing)
	for tasks := 2; tasks < most; tasks *= 2 {
		names := make([]ids.Machine, divideUp(missing, tasks))
		for i := range names {
			names[i] = ids.Machine(fmt.Sprintf("%0*d", foreseenDigits, i*foreseenStep))
		}
		if _, fits := r.holds(job, r.packedOn(job, names)); fits {
			return tasks
		}
	}
	return most
}

// The names that are foreseen for machines to be rented: numbers of which these many digits differ, not in
// direct succession.
const (
	foreseenDigits = 6
	foreseenStep   = 7
)

// divideUp returns n divided by a positive divisor, rounded up.
func divideUp(n, divisor int) int { return (n + divisor - 1) / divisor }

// hypotheticalMachines returns the shortest names for a number of machines.
func hypotheticalMachines(count int) []ids.Machine {
	names := make([]ids.Machine, count)
	for i := range names {
		names[i] = ids.Machine(fmt.Sprint(i))
	}
	return names
}

// packedOn returns the assignments of a gang's unassigned tasks, distributed evenly over machines.
func (r *recordRoom) packedOn(job *workload.Job, names []ids.Machine) []record.TaskAssignment {
	missing := job.Record.Spec.Tasks - len(job.Assignments)
	machines := make([]ids.Machine, missing)
	for i := range machines {
		machines[i] = names[i*len(names)/missing]
	}
	return r.gangPlan(job, machines)
}

// gangPlan returns the assignments of a gang's unassigned tasks, in order, one to each element of machines.
func (r *recordRoom) gangPlan(job *workload.Job, machines []ids.Machine) []record.TaskAssignment {
	attempt := gangAttempt(job)
	plan := make([]record.TaskAssignment, 0, len(machines))
	for i := range job.Record.Spec.Tasks {
		if job.Assignments[i] == nil {
			plan = append(plan, r.planned(i, attempt, machines[len(plan)]))
		}
	}
	return plan
}

// nodesForGang returns nodes for a gang's unassigned tasks with which its record fits into a value: the best
// ones or, if the record does not fit with those, as few as possible. It returns nil if there are none; then
// reason is empty if that is for lack of room on the machines.
func (a *assigner) nodesForGang(job *workload.Job, search *search, missing int) (nodes []*capacity.Node, reason string) {
	zones := gangZones(job, a.Settings.Params.Zones)
	size := 0
	for _, find := range []func([]string, int) []*capacity.Node{search.bestNodesForGang, search.fewestNodesForGang} {
		nodes := find(zones, missing)
		if nodes == nil {
			return nil, ""
		}
		machines := make([]ids.Machine, len(nodes))
		for i, node := range nodes {
			machines[i] = node.Name
		}
		var fits bool
		if size, fits = a.records.holds(job, a.records.gangPlan(job, machines)); fits {
			return nodes, ""
		}
	}
	job.EstimateTooLow = true // gangFit measures from now on
	return nil, fmt.Sprintf("there is room only on so many machines that its record would take %d bytes, and a value of the state service holds %d", size, a.valueLimit())
}

// gangAttempt returns the attempt to which a gang's next assignments belong.
func gangAttempt(job *workload.Job) ids.Attempt {
	if len(job.Assignments) == 0 {
		return job.Record.Attempt + 1
	}
	return job.Record.Attempt
}
