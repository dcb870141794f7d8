// Package claim owns the claim on the machine pool and what the leader does with it: claiming
// jobs, marking batches before their starts, and settling outcomes from reports.
package claim

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

// ClusterState is everything the leader knows: jobs, places and machines, under
// one lock that is never held over a call.
type ClusterState struct {
	mu         sync.Mutex
	settings   *config.Settings
	writer     string
	generation ids.Generation
	jobs       *workload.Queue
	machines   *worker.Registry
	// What follows is kept up to date change by change, so that planning,
	// sending and storing never walk the whole fleet or all jobs.
	capacity        *capacity.Index // assignments by machine, free capacity by instance class, images
	estimates       *estimate.Estimator
	commands        *dispatch.Queue // machines to which commands are to be sent
	prober          *dispatch.Prober
	changes         *workload.Changes // of jobs, not stored yet
	leasesCheckedAt time.Time         // when lapses were last looked for
	hintSequence    uint64            // counts what the others should know
	firstGeneration ids.Generation    // the term's first generation

	evictor   *eviction.Evictor // empties machines
	termBegan time.Time         // the term

	quota *quota.Tracker // what each team uses and may still have

	shard ids.Shard
	keys  record.ShardKeys
	// StatusInOtherShard is how a live job of another shard stands, by this node's copy of the
	// records; live is false if there is none.
	StatusInOtherShard func(id ids.Job) (how record.Status, live bool)
	// trustSilence is the earliest that an unheard machine's lapse counts: a
	// predecessor may have gone on answering its worker until its own grace
	// ended.
	trustSilence time.Time
	raiseWanted  bool // the generation should rise to turn late starts away
	scheduler    *scheduler.Scheduler
	planner      *provisioning.Planner
	reconciler   *reconcile.Reconciler
	zones        *liveness.Zones
	closed       bool
	loaded       bool // all records were read after the takeover
	costs        costs.Account
	terminated   map[ids.Machine]bool // deletions the cloud confirmed
	machineCount atomic.Int64         // machines, as last counted
	dependencies dependencyState
	// cancellations are the revisions of those stored apart from their jobs' records.
	cancellations map[ids.Job]ids.Revision

	// StoreAvailable tells whether the state service has answered just now. While it
	// does not, nothing that is stopped could be started again, so nothing is
	// stopped that could go on.
	StoreAvailable func() bool
	// StartsAllowed tells whether starts may go out, and of when what was read of the
	// records is: another node may have confirmed since, unknown to this one, that a
	// job is cancelled. It is asked outside the cluster state's lock.
	StartsAllowed func() (ok bool, read time.Time)

	commitSignal, planSignal chan struct{}
}

// NewClusterState makes the cluster state of one term of leading the first shard.
func NewClusterState(settings *config.Settings, writer string, generation ids.Generation, trustSilence time.Time) *ClusterState {
	return NewShardState(settings, writer, generation, trustSilence, 0)
}

// NewShardState makes the cluster state of one term of leading a shard.
func NewShardState(settings *config.Settings, writer string, generation ids.Generation, trustSilence time.Time, shard ids.Shard) *ClusterState {
	machines := worker.NewRegistry(settings.Params.Workers.LeaseS)
	index := capacity.NewIndex(machines)
	c := &ClusterState{
		machines: machines, capacity: index, estimates: estimate.New(settings, index),
		termBegan: time.Now(),
		shard:     shard, keys: record.KeysOf(shard, settings.ShardCount()),
		StatusInOtherShard: func(ids.Job) (record.Status, bool) { return "", false },
		settings:           settings, writer: writer, generation: generation, firstGeneration: generation,
		jobs: workload.NewQueue(), changes: workload.NewChanges(),
		quota:          quota.NewTracker(shard, settings.ShardCount(), teamLimits(settings), processStart),
		trustSilence:   trustSilence,
		zones:          liveness.NewZones(),
		terminated:     map[ids.Machine]bool{},
		dependencies:   newDependencyState(),
		cancellations:  map[ids.Job]ids.Revision{},
		StoreAvailable: func() bool { return true },
		StartsAllowed:  func() (bool, time.Time) { return true, time.Now() },
		commitSignal:   make(chan struct{}, 1), planSignal: make(chan struct{}, 1),
	}
	c.commands = dispatch.NewQueue(machines, index, books{c})
	c.prober = dispatch.NewProber(settings, machines, index)
	c.scheduler = newScheduler(c)
	c.evictor = newEvictor(c)
	c.planner = newPlanner(c)
	c.reconciler = newReconciler(c)
	return c
}

// PlanWanted is ready to be read once something changed that planning should look at.
func (c *ClusterState) PlanWanted() <-chan struct{} { return c.planSignal }

// recordEvent appends to the job's trail, bounded.
func (c *ClusterState) recordEvent(job *workload.Job, format string, args ...any) {
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
func (c *ClusterState) markChanged(job *workload.Job) {
	job.Version++
	if c.jobs.Holds(job) && !job.Ended {
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
func (c *ClusterState) markUrgent(job *workload.Job) {
	job.Urgent = true
	wait.Signal(c.commitSignal)
}

// removeJob takes a job out of the cluster state.
func (c *ClusterState) removeJob(job *workload.Job) {
	c.jobs.Remove(job)
	c.changes.Remove(job)
}

// cancelJob stops everything of a job whose user was, or is about to be, told.
func (c *ClusterState) cancelJob(job *workload.Job) {
	if job.Cancelled() || job.Record.Status == record.Done {
		return
	}
	job.Record.Status = record.Cancelling
	c.recordEvent(job, "cancelled by its user; %d tasks to stop", len(job.Assignments))
	for _, i := range workload.SortedTasks(job.Assignments) {
		c.stopAssignment(job.Assignments[i], 0, "cancelled")
	}
	c.cancelDependents(job.Record.Spec.ID)
	c.finishIfComplete(job)
}

// finishIfComplete moves a job to its final status when nothing is left of it.
func (c *ClusterState) finishIfComplete(job *workload.Job) {
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
func (c *ClusterState) SetMachineTypes(types []placement.InstanceType) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity.SetTypes(types)
	c.refreshDurations()
}

// Generation is the token that this leader's commands carry now.
func (c *ClusterState) Generation() ids.Generation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation
}

// Close ends the cluster state: nothing more is planned or sent from it.
func (c *ClusterState) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// TrustSilenceFrom moves the time from which silent workers' lapses count forward, once
// no other controller can be answering them any more.
func (c *ClusterState) TrustSilenceFrom(at time.Time) {
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
func (c *ClusterState) MachineCount() int { return int(c.machineCount.Load()) }
