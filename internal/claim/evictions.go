package claim

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/budget"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// drainState is what the leader carries out for rollouts. What a team has down is worked out
// anew at each look, from the records and the reports (docs/drains.md).
type drainState struct {
	budgets   *budget.Budgets
	readiness budget.Readiness
	// orders are nil until the stored rollouts were read.
	orders *rollout.Orders
	// provisioned are what hires of replacements have rented.
	provisioned map[ids.ProvisioningRequest][]ids.Machine
	// pending are evictions that were decided and are not stopped yet.
	pending map[*workload.Assignment]*evictionStep
	// evicted are the jobs whose records hold evictions.
	evicted map[*workload.Job]bool
	// blockers are what the machines being emptied wait for, noRoom those whose tasks have no
	// room elsewhere.
	blockers map[ids.Machine][]string
	noRoom   map[ids.Machine]bool
	// lostReplacements are replacements that were given up while they were observed, and why.
	lostReplacements map[ids.Machine]string
	lookedAt         time.Time
	lookCount        int // at the teams' budgets, so far
}

// evictionStep is tasks whose permits were given together: none is stopped before the permits of
// all of them are stored.
type evictionStep struct {
	rollout rollout.Name
	wave    int
	// machine is the one that is emptied; a gang's other tasks are elsewhere. After a takeover
	// it is not known.
	machine ids.Machine
	stored  map[*workload.Job]uint64 // by job, the version that holds its permits
}

// What the leader empties by itself stands as a rollout of a name that none has: replicas moved off
// machines that are to be returned, and machines on which tasks keep failing.
const (
	consolidation rollout.Name = "~consolidation"
	faulty        rollout.Name = "~faulty"
)

// evictionInterval spaces the looks at what may be stopped.
const evictionInterval = 200 * time.Millisecond

// newDrainState is nil where drains are off.
func newDrainState(settings *config.Settings) *drainState {
	if !settings.DrainsEnabled() || settings.ShardCount() > 1 {
		return nil
	}
	return &drainState{budgets: settings.DisruptionBudgets(), readiness: settings.Readiness(), provisioned: map[ids.ProvisioningRequest][]ids.Machine{},
		pending: map[*workload.Assignment]*evictionStep{}, evicted: map[*workload.Job]bool{},
		blockers: map[ids.Machine][]string{}, noRoom: map[ids.Machine]bool{},
		lostReplacements: map[ids.Machine]string{}}
}

// awaitsOrders tells that drains are on and the stored rollouts are not known yet: what is placed
// now might go to a machine that is being emptied.
func (d *drainState) awaitsOrders() bool { return d != nil && d.orders == nil }

// active tells whether a rollout empties machines now.
func (d *drainState) active(name rollout.Name) bool {
	for _, order := range d.orders.Machines {
		if order.Rollout == name && order.Drain {
			return true
		}
	}
	return false
}

// CarryOut replaces what rollouts want of the leader.
func (c *ClusterState) CarryOut(orders *rollout.Orders) {
	c.mu.Lock()
	defer c.mu.Unlock()
	drains := c.drains
	if drains == nil {
		return
	}
	changed := drains.orders == nil
	if !changed {
		for name := range drains.orders.Machines {
			if _, still := orders.Machines[name]; !still {
				changed = c.setCordoned(name, false) || changed
			}
		}
	}
	for name := range orders.Machines {
		changed = c.setCordoned(name, true) || changed
	}
	drains.orders = orders
	if changed {
		signal(c.planSignal)
	}
}

// setCordoned marks a machine as closed to new work, or opens it; it tells whether that is a change.
func (c *ClusterState) setCordoned(name ids.Machine, cordoned bool) bool {
	machine := c.machines.Machines[name]
	if machine == nil || machine.Cordoned == cordoned {
		return false
	}
	machine.Cordoned = cordoned
	return true
}

// loadEvictions takes in the evictions of a record just read: their permits were given, and
// whether the stops went out is not known.
func (c *ClusterState) loadEvictions(job *workload.Job) {
	drains := c.drains
	if drains == nil || len(job.Record.Evictions) == 0 {
		return
	}
	drains.evicted[job] = true
	for i := range job.Record.Evictions {
		e := &job.Record.Evictions[i]
		step := &evictionStep{rollout: rollout.Name(e.Rollout), wave: e.Wave}
		e.Tasks.Each(func(task int) {
			if assignment := job.Assignments[task]; assignment != nil && assignment.Attempt == e.Attempt {
				assignment.Evicting = true
				drains.pending[assignment] = step
			}
		})
	}
}

// runEvictions looks at what may be stopped for rollouts, and has it stopped.
func (c *ClusterState) runEvictions(now time.Time) {
	drains := c.drains
	if drains == nil || now.Sub(drains.lookedAt) < evictionInterval || len(drains.orders.Machines) == 0 && len(drains.evicted) == 0 && !c.machines.AnyLeaving() {
		return
	}
	drains.lookedAt = now
	drains.lookCount++
	c.clearFinishedEvictions(now)
	c.withdrawEvictions()
	clear(drains.blockers)
	clear(drains.noRoom)
	if !c.StoreAvailable() {
		for name := range drains.orders.Machines {
			c.addBlocker(name, "the state service does not answer: nothing is stopped that could not be started again")
		}
		return
	}
	meter := c.disruptionMeter(now)
	c.stopEvicted(meter, now)
	orders := c.drainOrders()
	for _, name := range slices.Sorted(maps.Keys(orders)) {
		switch order := orders[name]; {
		case order.Drain:
			c.evictNextStep(name, order, meter, now)
		case order.Return:
			c.addBlocker(name, "the cloud has not confirmed its return yet")
		}
	}
}

// drainOrders are the machines that rollouts want emptied or returned, and those that the leader
// empties because tasks keep failing there.
func (c *ClusterState) drainOrders() map[ids.Machine]rollout.Order {
	orders := maps.Clone(c.drains.orders.Machines)
	for _, machine := range c.machines.Leaving() {
		_, ordered := orders[machine.Name]
		if !ordered && machine.DrainReason != "" && machine.SpotTerminationAt.IsZero() {
			orders[machine.Name] = rollout.Order{Rollout: faulty, Drain: true, Stop: true}
		}
	}
	return orders
}

func (c *ClusterState) addBlocker(machine ids.Machine, why ...string) {
	c.drains.blockers[machine] = append(c.drains.blockers[machine], why...)
}

// disruptionMeter counts what every team has down or interrupted now.
func (c *ClusterState) disruptionMeter(now time.Time) *budget.Meter {
	drains := c.drains
	meter := budget.NewMeter(drains.budgets)
	for id, job := range c.jobs.All() {
		spec := &job.Record.Spec
		switch {
		case !job.Schedulable():
		case spec.Shape == record.Service:
			up := 0
			for _, assignment := range job.Assignments {
				if c.replicaUp(assignment, now) {
					up++
				}
			}
			meter.CountService(spec.Team, id, spec.Tasks, up)
		case len(job.Record.Evictions) > 0:
			meter.CountInterrupted(spec.Team, job.Record.EvictedTasks())
		}
	}
	return meter
}

// replicaUp tells whether a replica counts as up.
func (c *ClusterState) replicaUp(assignment *workload.Assignment, now time.Time) bool {
	return c.drains.readiness.IsReady(c.replica(assignment), now)
}

// replica is what this leader knows of one replica.
func (c *ClusterState) replica(assignment *workload.Assignment) budget.Replica {
	r := budget.Replica{Running: assignment.Confirmed && assignment.Status == worker.StateRunning, RunningSince: assignment.RunningSince, Terminating: assignment.Stopping || assignment.Evicting}
	if machine := c.machines.Machines[assignment.Machine]; machine != nil && machine.HasReported && !machine.Suspect() && machine.Incarnation == assignment.Incarnation {
		r.LastHeartbeat = machine.LastReportAt
	}
	return r
}

// clearFinishedEvictions takes evictions off the records of tasks that run again, or need not any more.
func (c *ClusterState) clearFinishedEvictions(now time.Time) {
	drains := c.drains
	for job := range drains.evicted {
		if !c.jobs.Holds(job) || len(job.Record.Evictions) == 0 {
			delete(drains.evicted, job)
			continue
		}
		if job.Record.RetainEvictions(func(task int, attempt ids.Attempt) bool { return c.stillDown(job, task, attempt, now) }) {
			c.markChanged(job)
		}
	}
}

// stillDown tells whether a task that was evicted under an attempt does not run again yet.
func (c *ClusterState) stillDown(job *workload.Job, task int, attempt ids.Attempt, now time.Time) bool {
	assignment := job.Assignments[task]
	switch {
	case !job.Schedulable() || job.Record.Finished.Contains(task):
		return false
	case assignment == nil || assignment.Attempt == attempt:
		return true
	case job.Record.Spec.Shape == record.Service:
		return !c.replicaUp(assignment, now)
	}
	return !assignment.Confirmed || assignment.Status != worker.StateRunning
}

// withdrawEvictions takes back permits of rollouts that empty nothing any more, where surely no
// stop is under way: this leader sent none, and the machine has seen its token, so that it turns
// away those of earlier leaders.
func (c *ClusterState) withdrawEvictions() {
	drains := c.drains
	for assignment, step := range drains.pending {
		job, machine := assignment.Job, c.machines.Machines[assignment.Machine]
		if job.Assignments[assignment.TaskIndex] != assignment || assignment.Stopping {
			delete(drains.pending, assignment)
			continue
		}
		if c.stillWanted(step, assignment) || machine == nil || !machine.HasReported || machine.FencingToken < c.firstGeneration || !assignment.Confirmed {
			continue
		}
		assignment.Evicting = false
		delete(drains.pending, assignment)
		job.Record.RetainEvictions(func(task int, attempt ids.Attempt) bool {
			return task != assignment.TaskIndex || attempt != assignment.Attempt
		})
		c.markChanged(job)
	}
}

// quotaForRelocated is what a job must leave of its team's limit to tasks that rollouts have stopped and
// that are not placed again: else lesser work that waits would take it, and a replica that was only
// to be moved would stay down.
func (c *ClusterState) quotaForRelocated(job *workload.Job) (kept placement.Resources) {
	drains := c.drains
	if drains == nil {
		return kept
	}
	for moved := range drains.evicted {
		if moved == job || moved.Record.Spec.Team != job.Record.Spec.Team || !moved.Schedulable() || job.EffectivePriority() > moved.EffectivePriority() {
			continue
		}
		for i := range moved.Record.Evictions {
			moved.Record.Evictions[i].Tasks.Each(func(task int) {
				if moved.Assignments[task] == nil && !moved.Record.Finished.Contains(task) {
					kept = kept.Plus(moved.Record.Spec.Resources)
				}
			})
		}
	}
	return kept
}

// stopEvicted stops the tasks whose permits are stored, if the budgets still allow it.
func (c *ClusterState) stopEvicted(meter *budget.Meter, now time.Time) {
	drains := c.drains
	places := slices.SortedFunc(maps.Keys(drains.pending), func(x, y *workload.Assignment) int {
		return cmp.Or(cmp.Compare(x.Job.Record.Spec.ID, y.Job.Record.Spec.ID), cmp.Compare(x.TaskIndex, y.TaskIndex))
	})
	for _, assignment := range places {
		step := drains.pending[assignment]
		if !step.isStored() || !c.stillWanted(step, assignment) || !assignment.Confirmed {
			continue
		}
		if denial := meter.Confirm(c.evictionRequest(assignment.Job, assignment, now)); denial != nil {
			c.addBlocker(assignment.Machine, denial.String())
			continue
		}
		delete(drains.pending, assignment)
		c.stopAssignment(assignment, assignment.CheckpointGrace(), c.evictionReason(step, assignment))
	}
}

// stillWanted tells whether what an eviction was decided for is still wanted.
func (c *ClusterState) stillWanted(step *evictionStep, assignment *workload.Assignment) bool {
	machine := c.machines.Machines[cmp.Or(step.machine, assignment.Machine)]
	switch step.rollout {
	case consolidation:
		return machine != nil && machine.DeleteWhenEmpty
	case faulty:
		return machine != nil && machine.DrainReason != ""
	}
	return c.drains.active(step.rollout)
}

// evictionReason is what the job's trail says of a stop.
func (c *ClusterState) evictionReason(step *evictionStep, assignment *workload.Assignment) string {
	switch step.rollout {
	case consolidation:
		return relocationReason(assignment.Machine)
	case faulty:
		return drainReason(c.machines.Machines[cmp.Or(step.machine, assignment.Machine)])
	}
	return fmt.Sprintf("moved from %s by rollout %s, wave %d", assignment.Machine, step.rollout, step.wave)
}

// isStored tells whether the permits of the whole step are in the store.
func (s *evictionStep) isStored() bool {
	for job, version := range s.stored {
		if job.StoredVersion < version {
			return false
		}
	}
	return true
}

// evictionRequest is what it takes of a team's budget to stop a task, or its whole gang. A pending
// eviction's replica is up for this although it counts as down.
func (c *ClusterState) evictionRequest(job *workload.Job, assignment *workload.Assignment, now time.Time) budget.Request {
	spec := &job.Record.Spec
	request := budget.Request{Team: spec.Team, Job: spec.ID, Service: spec.Shape == record.Service}
	switch spec.Shape {
	case record.Service:
		replica := c.replica(assignment)
		replica.Terminating = false
		request.Ready = c.drains.readiness.IsReady(replica, now)
	case record.Gang:
		request.Tasks = len(job.Assignments)
	default:
		request.Tasks = 1
	}
	return request
}
