// Package clusterstate holds what the leader of a shard knows: jobs, assignments and machines, under one
// lock. Each of its methods takes the lock, calls one of the packages that decide (scheduler, provisioning,
// eviction, reconcile, dispatch, quota) and gives them what they may change; see docs/architecture.md.
package clusterstate

import (
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/costs"
	"github.com/pebbletrail/pebbletrail/internal/dispatch"
	"github.com/pebbletrail/pebbletrail/internal/estimate"
	"github.com/pebbletrail/pebbletrail/internal/eviction"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/liveness"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/provisioning"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/reconcile"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// State is what the leader of a shard knows in one term: jobs, assignments and machines.
//
// Its lock guards every field but the constant ones. The lock is held for a moment only: never over a call
// to the store, the cloud or a worker, and planning yields it between jobs. What comes before and after it
// in the order of locks is told in internal/election's package comment.
type State struct {
	mu sync.Mutex

	// What stays as it is for the whole term.
	settings        *config.Settings
	shard           ids.Shard
	keys            record.ShardKeys
	writer          string         // names this leader in what it writes
	firstGeneration ids.Generation // the one that the term began with
	termBegan       time.Time

	// What follows is kept up to date change by change, so that planning, sending and storing never walk the
	// whole fleet or all jobs.
	jobs      *workload.Queue
	machines  *worker.Registry
	capacity  *capacity.Index // assignments by machine, free capacity by instance type, images
	estimates *estimate.Estimator
	quota     *quota.Tracker // what each team uses and may still have
	zones     *liveness.Zones
	costs     costs.Account
	// changes are the jobs whose records are to be stored.
	changes *workload.Changes
	// cancellations are the revisions of those stored apart from their jobs' records.
	cancellations map[ids.Job]ids.Revision
	dependencies  *dependencyTracker
	// terminated are the machines whose deletion the cloud confirmed.
	terminated map[ids.Machine]bool

	// Who decides.
	scheduler  *scheduler.Scheduler
	planner    *provisioning.Planner
	evictor    *eviction.Evictor
	reconciler *reconcile.Reconciler
	commands   *dispatch.Queue
	prober     *dispatch.Prober

	// generation is the fencing token that commands carry now. raiseWanted tells that it should rise, to turn
	// late starts away.
	generation   ids.Generation
	raisePending bool
	// trustSilence is the earliest that the lease of an unheard machine counts as expired: an earlier leader
	// may have gone on answering its worker until its own grace period ended.
	trustSilence    time.Time
	leasesCheckedAt time.Time
	hintSequence    uint64 // counts changes of what the other controllers should know
	closed          bool
	loaded          bool         // all records were read after the takeover
	machineCount    atomic.Int64 // machines, as last counted

	// StatusInOtherShard is the status of a live job of another shard, by this node's copy of the records;
	// live is false if there is none. It and the two functions below are set before the term begins.
	StatusInOtherShard func(id ids.Job) (status record.Status, live bool)
	// StoreAvailable tells whether the store has answered just now. While it does not, nothing that is
	// stopped could be started again, so nothing is stopped that could go on.
	StoreAvailable func() bool
	// StartsAllowed tells whether starts may go out, and of when what was read of the records is: another
	// node may have confirmed since, unknown to this one, that a job is cancelled. It is called without the
	// lock.
	StartsAllowed func() (ok bool, read time.Time)

	commitSignal, planSignal chan struct{}
}

// New makes the cluster state of one term of leading the first shard.
func New(settings *config.Settings, writer string, generation ids.Generation, trustSilence time.Time) *State {
	return NewShard(settings, writer, generation, trustSilence, 0)
}

// NewShard makes the cluster state of one term of leading a shard.
func NewShard(settings *config.Settings, writer string, generation ids.Generation, trustSilence time.Time, shard ids.Shard) *State {
	machines := worker.NewRegistry(settings.Params.Workers.LeaseS)
	index := capacity.NewIndex(machines)
	c := &State{
		settings:           settings,
		shard:              shard,
		keys:               record.KeysOf(shard, settings.ShardCount()),
		writer:             writer,
		firstGeneration:    generation,
		termBegan:          time.Now(),
		jobs:               workload.NewQueue(),
		machines:           machines,
		capacity:           index,
		estimates:          estimate.New(settings, index),
		quota:              quota.NewTracker(shard, settings.ShardCount(), teamLimits(settings), processStart),
		zones:              liveness.NewZones(),
		changes:            workload.NewChanges(),
		cancellations:      map[ids.Job]ids.Revision{},
		terminated:         map[ids.Machine]bool{},
		generation:         generation,
		trustSilence:       trustSilence,
		StatusInOtherShard: func(ids.Job) (record.Status, bool) { return "", false },
		StoreAvailable:     func() bool { return true },
		StartsAllowed:      func() (bool, time.Time) { return true, time.Now() },
		commitSignal:       make(chan struct{}, 1),
		planSignal:         make(chan struct{}, 1),
	}
	c.dependencies = newDependencyTracker(c)
	c.commands = dispatch.NewQueue(machines, index, operations{c})
	c.prober = dispatch.NewProber(settings, machines, index)
	c.scheduler = newScheduler(c)
	c.evictor = newEvictor(c)
	c.planner = newPlanner(c)
	c.reconciler = newReconciler(c)
	return c
}

// PlanWanted is ready to be read once something changed that planning should look at.
func (c *State) PlanWanted() <-chan struct{} { return c.planSignal }

// recordEvent appends to the job's events, whose number is bounded.
func (c *State) recordEvent(job *workload.Job, format string, args ...any) {
	limit := int(c.settings.Operator.TrailEvents)
	what := fmt.Sprintf(format, args...)
	slog.Debug("job", "id", job.Record.Spec.ID, "what", what)
	if n := len(job.Record.Events); n > 0 && job.Record.Events[n-1].Message == what {
		job.Record.Events[n-1].At = ids.TimestampOf(time.Now())
		return
	}
	job.Record.Events = append(job.Record.Events, record.Event{At: ids.TimestampOf(time.Now()), Message: what})
	if len(job.Record.Events) > limit {
		job.Record.Events = append([]record.Event(nil), job.Record.Events[len(job.Record.Events)-limit:]...)
	}
}

// markChanged marks a job as changed.
func (c *State) markChanged(job *workload.Job) {
	job.Version++
	if c.jobs.Contains(job) && !job.Ended {
		c.changes.Add(job)
		if job.Record.Status.IsTerminal() {
			job.Urgent = true
		}
	}
	if !job.Record.Status.IsTerminal() && job.Record.Status != record.Cancelling {
		if len(job.Assignments) > 0 {
			job.Record.Status = record.Claimed
		} else {
			job.Record.Status = record.Queued
		}
	}
	if job.Urgent {
		wait.Signal(c.commitSignal)
	}
}

// markUrgent marks a job's change as one that others wait for: a marker before
// starts, or an end.
func (c *State) markUrgent(job *workload.Job) {
	job.Urgent = true
	wait.Signal(c.commitSignal)
}

// removeJob takes a job out of the cluster state.
func (c *State) removeJob(job *workload.Job) {
	c.jobs.Remove(job)
	c.changes.Remove(job)
}

// cancelJob stops everything of a job whose user was, or is about to be, told.
func (c *State) cancelJob(job *workload.Job) {
	if job.Cancelled() || job.Record.Status == record.Done {
		return
	}
	job.Record.Status = record.Cancelling
	c.recordEvent(job, "cancelled by its user; %d tasks to stop", len(job.Assignments))
	for _, i := range workload.SortedTasks(job.Assignments) {
		c.stopAssignment(job.Assignments[i], 0, "cancelled")
	}
	c.dependencies.cancelDependents(job.Record.Spec.ID)
	c.finishIfComplete(job)
}

// finishIfComplete moves a job to its final status when nothing is left of it.
func (c *State) finishIfComplete(job *workload.Job) {
	switch {
	case job.Record.Status.IsTerminal():
	case job.Unfinished() == 0 && job.Record.Status != record.Cancelling:
		job.Record.Status = record.Done
		c.recordEvent(job, "done")
		for _, i := range workload.SortedTasks(job.Assignments) {
			if assignment := job.Assignments[i]; assignment.StartSent {
				assignment.Stopping, assignment.StopReason, assignment.StopRequestedAt = true, "job done", time.Now()
				c.commands.AddFor(assignment)
			} else {
				c.removeAssignment(assignment)
			}
		}
		c.markChanged(job)
	case job.Record.Status == record.Cancelling && len(job.Assignments) == 0:
		job.Record.Status = record.Cancelled
		c.recordEvent(job, "all tasks gone")
		c.markChanged(job)
	}
}

// SetMachineTypes stores the cloud's offer.
func (c *State) SetMachineTypes(types []placement.InstanceType) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity.SetTypes(types)
	c.dependencies.refreshDurations()
}

// Generation is the token that this leader's commands carry now.
func (c *State) Generation() ids.Generation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation
}

// Close ends the cluster state: nothing more is planned or sent from it.
func (c *State) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// TrustSilenceFrom moves the time from which silent workers' leases count as expired forward, once
// no other controller can be answering them any more.
func (c *State) TrustSilenceFrom(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !at.Before(c.trustSilence) {
		return
	}
	for _, machine := range c.machines.Machines {
		if !machine.HasReported && machine.LeaseExpiresAt.Equal(c.trustSilence) {
			machine.LeaseExpiresAt = at
		}
	}
	c.trustSilence = at
}

// MachineCount is how many machines there are, as far as this leader knows. It takes
// no lock: every user's call asks.
func (c *State) MachineCount() int { return int(c.machineCount.Load()) }
