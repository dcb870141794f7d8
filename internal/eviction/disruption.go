package eviction

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/budget"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// disruptionCounter counts the unavailable replicas and the interrupted tasks of each team for its
// disruption budget.
type disruptionCounter struct {
	*State
	budgets   *budget.Budgets // nil if drains are disabled
	readiness budget.Readiness
}

// newDisruptionCounter returns a counter that is enabled if drains are. Drains require a cluster of one
// shard.
func newDisruptionCounter(state *State) *disruptionCounter {
	counter := &disruptionCounter{State: state}
	if state.Settings.DrainsEnabled() && state.Settings.ShardCount() == 1 {
		counter.budgets, counter.readiness = state.Settings.DisruptionBudgets(), state.Settings.Readiness()
	}
	return counter
}

// enabled reports whether drains are enabled.
func (d *disruptionCounter) enabled() bool { return d.budgets != nil }

// meter returns a meter that has counted the current disruptions of every team.
func (d *disruptionCounter) meter(now time.Time) *budget.Meter {
	meter := budget.NewMeter(d.budgets)
	for id, job := range d.Jobs.All() {
		spec := &job.Record.Spec
		switch {
		case !job.Schedulable():
		case spec.JobType == record.Service:
			ready := 0
			for _, assignment := range job.Assignments {
				if d.replicaReady(assignment, now) {
					ready++
				}
			}
			meter.CountService(spec.Team, id, spec.Tasks, ready)
		case len(job.Record.Evictions) > 0:
			meter.CountInterrupted(spec.Team, job.Record.EvictedTasks())
		}
	}
	return meter
}

// replicaReady reports whether a replica is ready.
func (d *disruptionCounter) replicaReady(assignment *workload.Assignment, now time.Time) bool {
	return d.readiness.IsReady(d.replica(assignment), now)
}

// replica returns the state of a replica as known to this leader.
func (d *disruptionCounter) replica(assignment *workload.Assignment) budget.Replica {
	replica := budget.Replica{
		Running:      assignment.Confirmed && assignment.Status == worker.StateRunning,
		RunningSince: assignment.RunningSince,
		Terminating:  assignment.Stopping || assignment.Evicting,
	}
	machine := d.Machines.Machines[assignment.Machine]
	if machine != nil && machine.HasReported && !machine.IsSuspect() && machine.Incarnation == assignment.Incarnation {
		replica.LastHeartbeat = machine.LastReportAt
	}
	return replica
}

// requests returns the budget requests for stopping units together.
func (d *disruptionCounter) requests(units []evictionUnit, now time.Time) []budget.Request {
	requests := make([]budget.Request, len(units))
	for i, unit := range units {
		requests[i] = d.request(unit.job, unit.assignments[0], now)
	}
	return requests
}

// request returns the budget request for stopping a task, or its whole gang. If an eviction of the replica
// is pending, the request still treats the replica as ready, although the meter counts it as unavailable.
func (d *disruptionCounter) request(job *workload.Job, assignment *workload.Assignment, now time.Time) budget.Request {
	spec := &job.Record.Spec
	request := budget.Request{Team: spec.Team, Job: spec.ID, Service: spec.JobType == record.Service}
	switch spec.JobType {
	case record.Service:
		replica := d.replica(assignment)
		replica.Terminating = false
		request.Ready = d.readiness.IsReady(replica, now)
	case record.Gang:
		request.Tasks = len(job.Assignments)
	default:
		request.Tasks = 1
	}
	return request
}
