// Package eviction empties machines gracefully: for rollouts, within the teams' disruption budgets and
// with permits that are stored before any stop, and off machines that the cloud takes back, on which
// tasks keep failing, or that are to be consolidated. It takes no lock but in View: internal/clusterstate's
// State guards it.
package eviction

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/budget"
	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/estimate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Cluster is what evictions ask of the cluster state. All of it is called under that one's lock.
type Cluster interface {
	// StoreAvailable tells whether the store has answered just now: while it does not, nothing is
	// stopped that could not be started again.
	StoreAvailable() bool
	// Stop asks for a task to be stopped, with a grace period in which it may save.
	Stop(assignment *workload.Assignment, grace ids.Seconds, reason string)
	// MarkChanged notes that a job's record changed; MarkUrgent that it is to be stored at once.
	MarkChanged(job *workload.Job)
	MarkUrgent(job *workload.Job)
	// Terminated tells that the cloud confirmed a machine's deletion.
	Terminated(machine ids.Machine) bool
	// CloudListConclusive tells that the cloud's list was read so long after the term began that it
	// names every machine.
	CloudListConclusive() bool
}

// State is what evictions read of the shard.
type State struct {
	Settings  *config.Settings
	Jobs      *workload.Queue
	Machines  *worker.Registry
	Capacity  *capacity.Index
	Estimates *estimate.Estimator
	Scheduler *scheduler.Scheduler
	// FirstGeneration is the one that the term began with.
	FirstGeneration ids.Generation
	// Lock is the cluster state's, which View takes.
	Lock sync.Locker
}

// Evictor stops tasks so that machines become empty: for rollouts, within the teams' disruption budgets,
// and off machines that the cloud takes back or on which tasks keep failing. What a team has down is
// worked out anew at each look, from the records and the reports (docs/drains.md).
type Evictor struct {
	State
	cluster Cluster
	// budgets are nil where drains are off.
	budgets   *budget.Budgets
	readiness budget.Readiness
	// orders are nil until the stored rollouts were read.
	orders *rollout.Orders
	// provisioned are the machines rented for requests of replacements.
	provisioned map[ids.ProvisioningRequest][]ids.Machine
	// pending are evictions that were decided and are not stopped yet.
	pending map[*workload.Assignment]*evictionStep
	// evicted are the jobs whose records hold evictions.
	evicted map[*workload.Job]bool
	// blockers are what the machines being emptied wait for, noRoom those whose tasks have no room
	// elsewhere.
	blockers map[ids.Machine][]string
	noRoom   map[ids.Machine]bool
	// lostReplacements are replacements that were given up while they were observed, and why.
	lostReplacements map[ids.Machine]string
	lookedAt         time.Time
	looks            int
	relocatedAt      time.Time // when a replica was last moved to have its machine returned
}

// New makes the evictor of one term.
func New(state State, cluster Cluster) *Evictor {
	e := &Evictor{State: state, cluster: cluster, provisioned: map[ids.ProvisioningRequest][]ids.Machine{},
		pending: map[*workload.Assignment]*evictionStep{}, evicted: map[*workload.Job]bool{},
		blockers: map[ids.Machine][]string{}, noRoom: map[ids.Machine]bool{}, lostReplacements: map[ids.Machine]string{}}
	if state.Settings.DrainsEnabled() && state.Settings.ShardCount() == 1 {
		e.budgets, e.readiness = state.Settings.DisruptionBudgets(), state.Settings.Readiness()
	}
	return e
}

// Enabled tells whether drains are on.
func (e *Evictor) Enabled() bool { return e.budgets != nil }

// Looks counts the looks at the teams' budgets so far.
func (e *Evictor) Looks() int { return e.looks }

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

// Interval spaces the looks at what may be stopped.
const Interval = 200 * time.Millisecond

// AwaitsOrders tells that drains are on and the stored rollouts are not known yet: what is placed
// now might go to a machine that is being emptied.
func (e *Evictor) AwaitsOrders() bool { return e.Enabled() && e.orders == nil }

// active tells whether a rollout empties machines now.
func (e *Evictor) active(name rollout.Name) bool {
	for _, order := range e.orders.Machines {
		if order.Rollout == name && order.Drain {
			return true
		}
	}
	return false
}

// CarryOut replaces what rollouts want; it tells whether a machine was closed to new work or opened.
func (e *Evictor) CarryOut(orders *rollout.Orders) (changed bool) {
	if !e.Enabled() {
		return false
	}
	changed = e.orders == nil
	if !changed {
		for name := range e.orders.Machines {
			if _, still := orders.Machines[name]; !still {
				changed = e.setCordoned(name, false) || changed
			}
		}
	}
	for name := range orders.Machines {
		changed = e.setCordoned(name, true) || changed
	}
	e.orders = orders
	return changed
}

// setCordoned marks a machine as closed to new work, or opens it; it tells whether that is a change.
func (e *Evictor) setCordoned(name ids.Machine, cordoned bool) bool {
	machine := e.Machines.Machines[name]
	if machine == nil || machine.Cordoned == cordoned {
		return false
	}
	machine.Cordoned = cordoned
	return true
}

// Load takes in the evictions of a record just read: their permits were given, and whether the stops went
// out is not known.
func (e *Evictor) Load(job *workload.Job) {
	if !e.Enabled() || len(job.Record.Evictions) == 0 {
		return
	}
	e.evicted[job] = true
	for i := range job.Record.Evictions {
		stored := &job.Record.Evictions[i]
		step := &evictionStep{rollout: rollout.Name(stored.Rollout), wave: stored.Wave}
		stored.Tasks.Each(func(task int) {
			if assignment := job.Assignments[task]; assignment != nil && assignment.Attempt == stored.Attempt {
				assignment.Evicting = true
				e.pending[assignment] = step
			}
		})
	}
}

// Run looks at what may be stopped, if the last look was Interval ago.
func (e *Evictor) Run(now time.Time) {
	if e.Enabled() && now.Sub(e.lookedAt) >= Interval {
		e.Look(now)
	}
}

// Look looks at what may be stopped for rollouts, and off machines on which tasks keep failing, and has
// it stopped. It does nothing where no machine is to be emptied and no eviction is under way. Drains must
// be on and the orders known.
func (e *Evictor) Look(now time.Time) {
	if len(e.orders.Machines) == 0 && len(e.evicted) == 0 && !e.Machines.AnyLeaving() {
		return
	}
	e.lookedAt = now
	e.looks++
	e.clearFinishedEvictions(now)
	e.withdrawEvictions()
	clear(e.blockers)
	clear(e.noRoom)
	if !e.cluster.StoreAvailable() {
		for name := range e.orders.Machines {
			e.addBlocker(name, "the state service does not answer: nothing is stopped that could not be started again")
		}
		return
	}
	meter := e.disruptionMeter(now)
	e.stopEvicted(meter, now)
	orders := e.drainOrders()
	for _, name := range slices.Sorted(maps.Keys(orders)) {
		switch order := orders[name]; {
		case order.Drain:
			e.evictNextStep(name, order, meter, now)
		case order.Return:
			e.addBlocker(name, "the cloud has not confirmed its return yet")
		}
	}
}

// drainOrders are the machines that rollouts want emptied or returned, and those that the leader
// empties because tasks keep failing there.
func (e *Evictor) drainOrders() map[ids.Machine]rollout.Order {
	orders := maps.Clone(e.orders.Machines)
	for _, machine := range e.Machines.Leaving() {
		_, ordered := orders[machine.Name]
		if !ordered && machine.DrainReason != "" && machine.SpotTerminationAt.IsZero() {
			orders[machine.Name] = rollout.Order{Rollout: faulty, Drain: true, Stop: true}
		}
	}
	return orders
}

func (e *Evictor) addBlocker(machine ids.Machine, why ...string) {
	e.blockers[machine] = append(e.blockers[machine], why...)
}

// disruptionMeter counts what every team has down or interrupted now.
func (e *Evictor) disruptionMeter(now time.Time) *budget.Meter {
	meter := budget.NewMeter(e.budgets)
	for id, job := range e.Jobs.All() {
		spec := &job.Record.Spec
		switch {
		case !job.Schedulable():
		case spec.Shape == record.Service:
			up := 0
			for _, assignment := range job.Assignments {
				if e.replicaUp(assignment, now) {
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
func (e *Evictor) replicaUp(assignment *workload.Assignment, now time.Time) bool {
	return e.readiness.IsReady(e.replica(assignment), now)
}

// replica is what this leader knows of one replica.
func (e *Evictor) replica(assignment *workload.Assignment) budget.Replica {
	r := budget.Replica{Running: assignment.Confirmed && assignment.Status == worker.StateRunning, RunningSince: assignment.RunningSince, Terminating: assignment.Stopping || assignment.Evicting}
	if machine := e.Machines.Machines[assignment.Machine]; machine != nil && machine.HasReported && !machine.Suspect() && machine.Incarnation == assignment.Incarnation {
		r.LastHeartbeat = machine.LastReportAt
	}
	return r
}

// clearFinishedEvictions takes evictions off the records of tasks that run again, or need not any more.
func (e *Evictor) clearFinishedEvictions(now time.Time) {
	for job := range e.evicted {
		if !e.Jobs.Contains(job) || len(job.Record.Evictions) == 0 {
			delete(e.evicted, job)
			continue
		}
		if job.Record.RetainEvictions(func(task int, attempt ids.Attempt) bool { return e.stillDown(job, task, attempt, now) }) {
			e.cluster.MarkChanged(job)
		}
	}
}

// stillDown tells whether a task that was evicted under an attempt does not run again yet.
func (e *Evictor) stillDown(job *workload.Job, task int, attempt ids.Attempt, now time.Time) bool {
	assignment := job.Assignments[task]
	switch {
	case !job.Schedulable() || job.Record.Finished.Contains(task):
		return false
	case assignment == nil || assignment.Attempt == attempt:
		return true
	case job.Record.Spec.Shape == record.Service:
		return !e.replicaUp(assignment, now)
	}
	return !assignment.Confirmed || assignment.Status != worker.StateRunning
}

// withdrawEvictions takes back permits of rollouts that empty nothing any more, where surely no
// stop is under way: this leader sent none, and the machine has seen its token, so that it turns
// away those of earlier leaders.
func (e *Evictor) withdrawEvictions() {
	for assignment, step := range e.pending {
		job, machine := assignment.Job, e.Machines.Machines[assignment.Machine]
		if job.Assignments[assignment.TaskIndex] != assignment || assignment.Stopping {
			delete(e.pending, assignment)
			continue
		}
		if e.stillWanted(step, assignment) || machine == nil || !machine.HasReported || machine.FencingToken < e.FirstGeneration || !assignment.Confirmed {
			continue
		}
		assignment.Evicting = false
		delete(e.pending, assignment)
		job.Record.RetainEvictions(func(task int, attempt ids.Attempt) bool {
			return task != assignment.TaskIndex || attempt != assignment.Attempt
		})
		e.cluster.MarkChanged(job)
	}
}

// QuotaForRelocated is what a job must leave of its team's limit to tasks that rollouts have stopped and
// that are not placed again: else lesser work that waits would take it, and a replica that was only
// to be moved would stay down.
func (e *Evictor) QuotaForRelocated(job *workload.Job) (kept placement.Resources) {
	if !e.Enabled() {
		return kept
	}
	for moved := range e.evicted {
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
func (e *Evictor) stopEvicted(meter *budget.Meter, now time.Time) {
	places := slices.SortedFunc(maps.Keys(e.pending), func(x, y *workload.Assignment) int {
		return cmp.Or(cmp.Compare(x.Job.Record.Spec.ID, y.Job.Record.Spec.ID), cmp.Compare(x.TaskIndex, y.TaskIndex))
	})
	for _, assignment := range places {
		step := e.pending[assignment]
		if !step.isStored() || !e.stillWanted(step, assignment) || !assignment.Confirmed {
			continue
		}
		if denial := meter.Confirm(e.evictionRequest(assignment.Job, assignment, now)); denial != nil {
			e.addBlocker(assignment.Machine, denial.String())
			continue
		}
		delete(e.pending, assignment)
		e.cluster.Stop(assignment, assignment.CheckpointGrace(), e.evictionReason(step, assignment))
	}
}

// stillWanted tells whether what an eviction was decided for is still wanted.
func (e *Evictor) stillWanted(step *evictionStep, assignment *workload.Assignment) bool {
	machine := e.Machines.Machines[cmp.Or(step.machine, assignment.Machine)]
	switch step.rollout {
	case consolidation:
		return machine != nil && machine.DeleteWhenEmpty
	case faulty:
		return machine != nil && machine.DrainReason != ""
	}
	return e.active(step.rollout)
}

// evictionReason is what the job's trail says of a stop.
func (e *Evictor) evictionReason(step *evictionStep, assignment *workload.Assignment) string {
	switch step.rollout {
	case consolidation:
		return relocationReason(assignment.Machine)
	case faulty:
		return drainReason(e.Machines.Machines[cmp.Or(step.machine, assignment.Machine)])
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
func (e *Evictor) evictionRequest(job *workload.Job, assignment *workload.Assignment, now time.Time) budget.Request {
	spec := &job.Record.Spec
	request := budget.Request{Team: spec.Team, Job: spec.ID, Service: spec.Shape == record.Service}
	switch spec.Shape {
	case record.Service:
		replica := e.replica(assignment)
		replica.Terminating = false
		request.Ready = e.readiness.IsReady(replica, now)
	case record.Gang:
		request.Tasks = len(job.Assignments)
	default:
		request.Tasks = 1
	}
	return request
}
