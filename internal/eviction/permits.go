package eviction

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/budget"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// evictionUnit is a task, or a gang whose tasks are stopped together.
type evictionUnit struct {
	job         *workload.Job
	assignments []*workload.Assignment
}

func (u *evictionUnit) team() string { return u.job.Record.Spec.Team }

// evictionStep is a set of evictions whose permits were granted together. No task is stopped before all
// these permits are stored.
type evictionStep struct {
	rollout rollout.Name
	wave    int
	// machine is the machine that is drained; other tasks of a gang may be on other machines. It is empty
	// for evictions loaded after a failover and for relocated replicas, where the assignment's machine is
	// the drained one.
	machine        ids.Machine
	permitVersions map[*workload.Job]uint64 // by job, the version of the record that contains its permits
}

// isStored reports whether all permits of the step are stored.
func (s *evictionStep) isStored() bool {
	for job, version := range s.permitVersions {
		if job.StoredVersion < version {
			return false
		}
	}
	return true
}

// permitTracker tracks evictions in progress, from the permit through the stop until the task runs again.
type permitTracker struct {
	*State
	cluster    Cluster
	orders     *orderSet
	disruption *disruptionCounter
	blockers   *blockerList
	// pending contains the evictions that have a permit and whose tasks are not stopped yet.
	pending map[*workload.Assignment]*evictionStep
	// evicted contains the jobs whose records contain evictions.
	evicted map[*workload.Job]bool
}

// grant records permits in the jobs' records. The tasks are stopped after all these permits are stored.
func (p *permitTracker) grant(units []evictionUnit, step *evictionStep) {
	measure.Default.Count(rollout.CounterPermitsGranted, len(units))
	for _, unit := range units {
		job := unit.job
		for _, assignment := range unit.assignments {
			assignment.Evicting = true
			p.pending[assignment] = step
			job.Record.AddEviction(assignment.TaskIndex, assignment.Attempt, string(step.rollout), step.wave)
		}
		p.evicted[job] = true
		p.cluster.MarkChanged(job)
		p.cluster.MarkUrgent(job)
		step.permitVersions[job] = job.Version
	}
}

// load loads the permits in a record that was just read.
func (p *permitTracker) load(job *workload.Job) {
	p.evicted[job] = true
	for i := range job.Record.Evictions {
		stored := &job.Record.Evictions[i]
		step := &evictionStep{rollout: rollout.Name(stored.Rollout), wave: stored.Wave}
		stored.Tasks.Each(func(task int) {
			if assignment := job.Assignments[task]; assignment != nil && assignment.Attempt == stored.Attempt {
				assignment.Evicting = true
				p.pending[assignment] = step
			}
		})
	}
}

// removeFinished removes evictions from the records once their tasks run again or need not run any more.
func (p *permitTracker) removeFinished(now time.Time) {
	for job := range p.evicted {
		if !p.Jobs.Contains(job) || len(job.Record.Evictions) == 0 {
			delete(p.evicted, job)
			continue
		}
		stillDown := func(task int, attempt ids.Attempt) bool { return p.stillDown(job, task, attempt, now) }
		if job.Record.RetainEvictions(stillDown) {
			p.cluster.MarkChanged(job)
		}
	}
}

// stillDown reports whether a task that was evicted under an attempt is not running again yet.
func (p *permitTracker) stillDown(job *workload.Job, task int, attempt ids.Attempt, now time.Time) bool {
	assignment := job.Assignments[task]
	switch {
	case !job.Schedulable() || job.Record.Finished.Contains(task):
		return false
	case assignment == nil || assignment.Attempt == attempt:
		return true
	case job.Record.Spec.JobType == record.Service:
		return !p.disruption.replicaReady(assignment, now)
	}
	return !assignment.Confirmed || assignment.Status != worker.StateRunning
}

// withdraw withdraws permits that are no longer wanted, if no stop of their tasks can be in flight.
func (p *permitTracker) withdraw() {
	for assignment, step := range p.pending {
		job := assignment.Job
		if job.Assignments[assignment.TaskIndex] != assignment || assignment.Stopping {
			delete(p.pending, assignment)
			continue
		}
		if p.reasonRemains(step, assignment) || p.earlierStopPossible(assignment) {
			continue
		}
		assignment.Evicting = false
		delete(p.pending, assignment)
		job.Record.RetainEvictions(func(task int, attempt ids.Attempt) bool {
			return task != assignment.TaskIndex || attempt != assignment.Attempt
		})
		p.cluster.MarkChanged(job)
	}
}

// earlierStopPossible reports whether a stop of an earlier leader may still take effect. This leader has
// sent none; stops of earlier leaders are rejected once the machine has seen this term's fencing token.
func (p *permitTracker) earlierStopPossible(assignment *workload.Assignment) bool {
	machine := p.Machines.Machines[assignment.Machine]
	return machine == nil || !machine.HasReported || machine.FencingToken < p.FirstToken || !assignment.Confirmed
}

// stopStored stops the tasks whose permits are stored, if the budgets still allow it.
func (p *permitTracker) stopStored(meter *budget.Meter, now time.Time) {
	pending := slices.SortedFunc(maps.Keys(p.pending), compareTasks)
	for _, assignment := range pending {
		step := p.pending[assignment]
		if !step.isStored() || !p.reasonRemains(step, assignment) || !assignment.Confirmed {
			continue
		}
		if denial := meter.Confirm(p.disruption.request(assignment.Job, assignment, now)); denial != nil {
			p.blockers.add(assignment.Machine, denial.String())
			continue
		}
		delete(p.pending, assignment)
		p.cluster.Stop(assignment, assignment.CheckpointGrace(), p.stopReason(step, assignment))
	}
}

// compareTasks orders assignments by job and task.
func compareTasks(x, y *workload.Assignment) int {
	return cmp.Or(cmp.Compare(x.Job.Record.Spec.ID, y.Job.Record.Spec.ID), cmp.Compare(x.TaskIndex, y.TaskIndex))
}

// reasonRemains reports whether the reason for an eviction still exists.
func (p *permitTracker) reasonRemains(step *evictionStep, assignment *workload.Assignment) bool {
	machine := p.drainedMachine(step, assignment)
	switch step.rollout {
	case consolidationRollout:
		return machine != nil && machine.DeleteWhenEmpty
	case faultyRollout:
		return machine != nil && machine.DrainReason != ""
	}
	return p.orders.isDraining(step.rollout)
}

// drainedMachine returns the machine whose drain evicts a task; nil if the machine is not known any more.
func (p *permitTracker) drainedMachine(step *evictionStep, assignment *workload.Assignment) *worker.Machine {
	return p.Machines.Machines[cmp.Or(step.machine, assignment.Machine)]
}

// stopReason returns the reason for a stop, as recorded in the job's events.
func (p *permitTracker) stopReason(step *evictionStep, assignment *workload.Assignment) string {
	switch step.rollout {
	case consolidationRollout:
		return relocationReason(assignment.Machine)
	case faultyRollout:
		return drainReason(p.drainedMachine(step, assignment))
	}
	return fmt.Sprintf("moved from %s by rollout %s, wave %d", assignment.Machine, step.rollout, step.wave)
}

// quotaForRelocated returns the quota needed by evicted tasks of the job's team that are not assigned
// again, without those of less important jobs.
func (p *permitTracker) quotaForRelocated(job *workload.Job) (kept placement.Resources) {
	for evictedJob := range p.evicted {
		if evictedJob == job || evictedJob.Record.Spec.Team != job.Record.Spec.Team || !evictedJob.Schedulable() ||
			job.EffectivePriority() > evictedJob.EffectivePriority() {
			continue
		}
		for i := range evictedJob.Record.Evictions {
			evictedJob.Record.Evictions[i].Tasks.Each(func(task int) {
				if evictedJob.Assignments[task] == nil && !evictedJob.Record.Finished.Contains(task) {
					kept = kept.Plus(evictedJob.Record.Spec.Resources)
				}
			})
		}
	}
	return kept
}
