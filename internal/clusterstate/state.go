// Package clusterstate implements the in-memory state of a shard's leader: jobs, assignments and machines,
// under one lock. Each exported method of State takes the lock and calls one of the packages that make the
// decisions (scheduler, provisioning, eviction, reconcile, dispatch, quota), which change the state through
// the operations passed to them; see docs/architecture.md.
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

// State is the in-memory state of a shard's leader during one term: jobs, assignments and machines.
//
// Its lock guards every field but the constant ones. The lock is held only briefly: never during a call to
// the store, the cloud or a worker, and planning yields it between jobs. The package comment of
// internal/election gives the order in which it is taken with other locks.
type State struct {
	mu sync.Mutex

	// These fields are constant during the term.
	settings   *config.Settings
	shard      ids.Shard
	keys       record.ShardKeys
	writer     string         // identifies this leader in the records that it writes
	firstToken ids.Generation // the first fencing token of the term
	termBegan  time.Time

	// These are updated with each change, so that planning, sending and storing never iterate over the
	// whole fleet or all jobs.
	jobs      *workload.Queue
	machines  *worker.Registry
	capacity  *capacity.Index // assignments by machine, free capacity by instance type, images
	estimates *estimate.Estimator
	quota     *quota.Tracker // what each team uses and has left of its quota
	zones     *liveness.Zones
	costs     costs.Account
	// changes holds the jobs whose records are to be stored.
	changes *workload.Changes
	// cancellations holds the revisions of the cancellations that are stored apart from their jobs'
	// records.
	cancellations map[ids.Job]ids.Revision
	dependencies  *dependencyTracker
	// terminated holds the machines whose deletion the cloud confirmed.
	terminated map[ids.Machine]bool

	// These components make the decisions.
	scheduler  *scheduler.Scheduler
	planner    *provisioning.Planner
	evictor    *eviction.Evictor
	reconciler *reconcile.Reconciler
	commands   *dispatch.Queue
	prober     *dispatch.Prober

	// tokens are the fencing tokens that commands may carry now. raisePending is set if others should be
	// reserved, so that workers reject late starts.
	tokens       ids.TokenRange
	raisePending bool
	// earliestLeaseExpiry is the earliest time at which the lease of a machine that has not reported counts
	// as expired: an earlier leader may have gone on answering the worker until that leader's grace period
	// ended.
	earliestLeaseExpiry time.Time
	leasesCheckedAt     time.Time
	hintSequence        uint64 // counts the changes of hints
	closed              bool
	loaded              bool         // all records were loaded after the takeover
	machineCount        atomic.Int64 // number of machines when last counted

	// StatusInOtherShard returns the status of a live job of another shard, according to this node's copy
	// of the records; live is false if there is none. It and the two functions below are set before the
	// term begins.
	StatusInOtherShard func(id ids.Job) (status record.Status, live bool)
	// StoreAvailable reports whether the store has answered recently. While the store does not answer, a
	// stopped task could not be started again, so no task is stopped that could continue.
	StoreAvailable func() bool
	// StartsAllowed reports whether starts may be sent, and the time of the last complete read of the
	// records: another node may have confirmed since, unknown to this one, that a job is cancelled. It is
	// called without the lock.
	StartsAllowed func() (ok bool, read time.Time)

	commitSignal, planSignal chan struct{}
}

// New returns the cluster state of one term of leading the first shard; firstToken is the first of its fencing
// tokens.
func New(settings *config.Settings, writer string, firstToken ids.Generation, earliestLeaseExpiry time.Time) *State {
	return NewShard(settings, writer, ids.ReserveTokens(firstToken-1), earliestLeaseExpiry, 0)
}

// NewShard returns the cluster state of one term of leading a shard. Before earliestLeaseExpiry, no lease
// of a machine that has not reported counts as expired.
func NewShard(settings *config.Settings, writer string, tokens ids.TokenRange, earliestLeaseExpiry time.Time, shard ids.Shard) *State {
	machines := worker.NewRegistry(settings.Params.Workers.LeaseS)
	index := capacity.NewIndex(machines)
	c := &State{
		settings:            settings,
		shard:               shard,
		keys:                record.KeysOf(shard, settings.ShardCount()),
		writer:              writer,
		firstToken:          tokens.First,
		termBegan:           time.Now(),
		jobs:                workload.NewQueue(),
		machines:            machines,
		capacity:            index,
		estimates:           estimate.New(settings, index),
		quota:               quota.NewTracker(shard, settings.ShardCount(), teamLimits(settings), processStart),
		zones:               liveness.NewZones(),
		changes:             workload.NewChanges(),
		cancellations:       map[ids.Job]ids.Revision{},
		terminated:          map[ids.Machine]bool{},
		tokens:              tokens,
		earliestLeaseExpiry: earliestLeaseExpiry,
		StatusInOtherShard:  func(ids.Job) (record.Status, bool) { return "", false },
		StoreAvailable:      func() bool { return true },
		StartsAllowed:       func() (bool, time.Time) { return true, time.Now() },
		commitSignal:        make(chan struct{}, 1),
		planSignal:          make(chan struct{}, 1),
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

// PlanRequested returns a channel that is ready to be read once something changed that requires a planning
// pass.
func (c *State) PlanRequested() <-chan struct{} { return c.planSignal }

// recordEvent appends to the job's events and drops the oldest beyond the limit. A repetition of the last
// event only updates its time.
func (c *State) recordEvent(job *workload.Job, format string, args ...any) {
	limit := int(c.settings.Operator.TrailEvents)
	message := fmt.Sprintf(format, args...)
	slog.Debug("job event", "id", job.Record.Spec.ID, "what", message)
	if n := len(job.Record.Events); n > 0 && job.Record.Events[n-1].Message == message {
		job.Record.Events[n-1].At = ids.TimestampOf(time.Now())
		return
	}
	job.Record.Events = append(job.Record.Events, record.Event{At: ids.TimestampOf(time.Now()), Message: message})
	if len(job.Record.Events) > limit {
		job.Record.Events = append([]record.Event(nil), job.Record.Events[len(job.Record.Events)-limit:]...)
	}
}

// markChanged records that a job changed. Unless the job has ended or is being cancelled, it also sets the
// job's status: claimed if the job has assignments, queued otherwise.
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

// markUrgent requests that a job's change be stored at once, because something waits for it: starts wait for
// their markers, and users and dependent jobs wait for the end of a job.
func (c *State) markUrgent(job *workload.Job) {
	job.Urgent = true
	wait.Signal(c.commitSignal)
}

// removeJob removes a job from the cluster state.
func (c *State) removeJob(job *workload.Job) {
	c.jobs.Remove(job)
	c.changes.Remove(job)
}

// cancelJob stops all tasks of a job whose cancellation was confirmed to the user, or is about to be.
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

// finishIfComplete moves a job to its final status: to done once all of its tasks are finished, and stops
// the tasks that are still assigned; or to cancelled once a cancelled job has no assignments left.
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

// SetMachineTypes records the machine types that the cloud offers.
func (c *State) SetMachineTypes(types []placement.InstanceType) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity.SetTypes(types)
	c.dependencies.refreshDurations()
}

// Generation returns this leader's generation, the highest fencing token that its commands may carry now.
func (c *State) Generation() ids.Generation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation()
}

// generation is like Generation. The caller holds the lock.
func (c *State) generation() ids.Generation { return c.tokens.Last }

// Close closes the cluster state: nothing more is planned or sent from it.
func (c *State) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// AdvanceLeaseExpiry lets the leases of workers that have not reported count as expired from an earlier time
// on, once no other controller can be answering them any more.
func (c *State) AdvanceLeaseExpiry(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !at.Before(c.earliestLeaseExpiry) {
		return
	}
	for _, machine := range c.machines.Machines {
		if !machine.HasReported && machine.LeaseExpiresAt.Equal(c.earliestLeaseExpiry) {
			machine.LeaseExpiresAt = at
		}
	}
	c.earliestLeaseExpiry = at
}

// MachineCount returns the number of machines that this leader knew when they were last counted. It takes
// no lock, since every user's request calls it.
func (c *State) MachineCount() int { return int(c.machineCount.Load()) }
