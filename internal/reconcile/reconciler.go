// Package reconcile reconciles the reports of workers with the leader's state: running tasks, outcomes of
// attempts, orphaned tasks that match no assignment, and tasks that are proven lost.
//
// Reconciler is the entry point. It delegates to machineTracker for the state of the machine,
// taskReconciler for the tasks in a report, orphanReconciler for tasks that match no assignment,
// outcomeRecorder for the outcomes of attempts, failureTracker for backoff and for machines on which tasks
// keep failing, lossRecorder for lost tasks, responseBuilder for the commands in the response to a
// heartbeat, and fencer for the fencing token of that response.
//
// The package has no lock of its own. Every method is called with the lock of the cluster state held, and
// so are the methods of Cluster.
package reconcile

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/costs"
	"github.com/pebbletrail/pebbletrail/internal/dispatch"
	"github.com/pebbletrail/pebbletrail/internal/estimate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Cluster provides the operations on the cluster state that reconciliation needs. Every method is called
// with that state's lock held.
type Cluster interface {
	// Assign adds an assignment; RemoveAssignment removes one whose task is proven not to be on its
	// machine.
	Assign(assignment *workload.Assignment)
	RemoveAssignment(assignment *workload.Assignment)
	// Stop requests that a task be stopped, with a grace period for saving a checkpoint.
	Stop(assignment *workload.Assignment, grace ids.Seconds, reason string)
	// NoDirectStartOutstanding reports whether the outcome of every start sent directly to the assignment's
	// machine is known.
	NoDirectStartOutstanding(assignment *workload.Assignment) bool
	// MarkChanged records that a job's record changed; MarkUrgent records that it must be stored at once.
	MarkChanged(job *workload.Job)
	MarkUrgent(job *workload.Job)
	// FinishIfComplete sets the final status of a job that has no work left.
	FinishIfComplete(job *workload.Job)
	// RecordEvent adds an event to a job's record.
	RecordEvent(job *workload.Job, format string, args ...any)
	// HintChanged records that the hints which other controllers receive about a machine have changed.
	HintChanged(machine *worker.Machine)
	// RequestPlan requests a planning pass.
	RequestPlan()
	// ReserveTokens requests that the leader reserve further fencing tokens.
	ReserveTokens()
}

// State is the part of the shard's state that reconciliation reads and changes.
type State struct {
	Settings  *config.Settings
	Jobs      *workload.Queue
	Machines  *worker.Registry
	Capacity  *capacity.Index
	Estimates *estimate.Estimator
	Commands  *dispatch.Queue
	Costs     *costs.Account
	// FirstToken is the first fencing token of the term.
	FirstToken ids.Generation
}

// Reconciler reconciles the reports that a leader receives in one term.
type Reconciler struct {
	*State
	cluster   Cluster
	machines  *machineTracker
	tasks     *taskReconciler
	losses    *lossRecorder
	responses *responseBuilder
	fencing   *fencer
}

// New returns the Reconciler of one term.
func New(state State, cluster Cluster) *Reconciler {
	shared := &state
	failures := &failureTracker{State: shared, cluster: cluster}
	outcomes := &outcomeRecorder{State: shared, cluster: cluster, failures: failures}
	orphans := &orphanReconciler{cluster: cluster, outcomes: outcomes}
	return &Reconciler{
		State:     shared,
		cluster:   cluster,
		machines:  &machineTracker{State: shared, cluster: cluster},
		tasks:     &taskReconciler{State: shared, cluster: cluster, outcomes: outcomes, failures: failures, orphans: orphans},
		losses:    &lossRecorder{State: shared, cluster: cluster},
		responses: &responseBuilder{shared},
		fencing:   &fencer{cluster},
	}
}

// Source describes how a report arrived and how its worker is answered.
type Source struct {
	// Heartbeat is true for a heartbeat, whose response renews the worker's lease, and false for the
	// response to a direct command or a probe.
	Heartbeat bool
	// EarliestLeaseExpiry is the earliest time at which the lease of a machine that never reported to this leader
	// can be assumed to have expired.
	EarliestLeaseExpiry time.Time
}

// maxCommandsPerResponse limits the commands in one response: a line of the response must stay below 64
// KiB. The other commands are sent after the next report.
const maxCommandsPerResponse = 400

// Report reconciles a worker's report and returns the response to send if the report is a heartbeat.
func (r *Reconciler) Report(report *worker.Report, source Source, permission dispatch.Permission, now time.Time) worker.CommandBatch {
	machine := r.machines.ensure(report, source, now)
	before := r.machines.snapshot(machine, report, now)
	result := r.Machines.RecordReport(machine, report, now, source.Heartbeat, r.FirstToken)
	if !result.Fresh {
		if report.Incarnation != machine.Incarnation {
			return worker.CommandBatch{FencingToken: machine.CommandToken(permission.Tokens)}
		}
		// The response to a command may arrive before a heartbeat that was sent earlier. The response to
		// that heartbeat still renews the lease, so it must contain the stops.
		permission.Starts = false
		commands := r.responses.commands(machine, source, permission, now)
		return worker.CommandBatch{FencingToken: machine.CommandToken(permission.Tokens), Commands: commands}
	}
	r.machines.applyReport(machine, before, result.Restarted, now)
	r.dropEarlierIncarnations(machine, report)
	listed := make(map[workload.TaskAttempt]bool, len(report.Tasks))
	commands := r.tasks.reconcile(machine, report, listed, permission.Tokens.Last, now)
	unproven := r.reconcileMissing(machine, report, source, listed)
	r.queueUnsentStarts(machine)
	commands = append(commands, r.responses.commands(machine, source, permission, now)...)
	commands = commands[:min(len(commands), maxCommandsPerResponse)]
	if source.Heartbeat {
		commands = r.fencing.fence(machine, commands, unproven, permission.Tokens)
	}
	token := machine.CommandToken(permission.Tokens)
	if source.Heartbeat && len(commands) > 0 {
		slog.Debug("heartbeat answered with commands", "machine", machine.Name, "token", token, "incarnation", report.Incarnation,
			"sequence", report.Sequence, "reportToken", report.FencingToken, "commands", commands)
	}
	return worker.CommandBatch{FencingToken: token, Commands: commands}
}

// dropEarlierIncarnations removes the assignments to earlier incarnations of a worker. The worker dropped
// their tasks when its lease expired.
func (r *Reconciler) dropEarlierIncarnations(machine *worker.Machine, report *worker.Report) {
	for assignment := range r.Capacity.AssignmentsOn(machine.Name) {
		switch {
		case assignment.Incarnation >= report.Incarnation:
		case assignment.StartSent:
			r.MarkLost(assignment, "its worker's lease lapsed")
		default:
			// The start was never sent and never will be, because the incarnation has ended. No report will
			// mention the task.
			r.cluster.RemoveAssignment(assignment)
			r.cluster.MarkChanged(assignment.Job)
		}
	}
}

// reconcileMissing marks a task as lost if it is assigned to a machine, is missing from the machine's
// report and can no longer start. It reports whether a missing task could still be started by a copy of a
// direct command.
func (r *Reconciler) reconcileMissing(
	machine *worker.Machine, report *worker.Report, source Source, listed map[workload.TaskAttempt]bool,
) (unproven bool) {
	rejectsCopies := report.FencingToken >= r.FirstToken && machine.RejectsDirectCommands(report.FencingToken)
	for assignment := range r.Capacity.AssignmentsOn(machine.Name) {
		if listed[assignment.Key()] || !assignment.StartSent || assignment.Incarnation != report.Incarnation {
			continue
		}
		offeredBefore := source.Heartbeat && report.Sequence > assignment.OfferedAt
		switch {
		case assignment.Confirmed && !rejectsCopies:
			unproven = true
		case assignment.Confirmed:
			r.MarkLost(assignment, "its worker reports it no longer")
		case assignment.FencingToken < report.FencingToken:
			// The worker has seen a higher fencing token than the start carries. It has not executed the
			// start and never will.
			r.MarkLost(assignment, "its start was turned away")
		case assignment.Stopping && offeredBefore && r.cluster.NoDirectStartOutstanding(assignment):
			// Starts in responses to heartbeats are executed at once or never.
			r.MarkLost(assignment, "its start was dropped")
		}
	}
	return unproven
}

// queueUnsentStarts queues the starts on a machine that may have waited for this report.
func (r *Reconciler) queueUnsentStarts(machine *worker.Machine) {
	for assignment := range r.Capacity.AssignmentsOn(machine.Name) {
		if !assignment.StartSent {
			r.Commands.AddFor(assignment)
			return
		}
	}
}

// LeaseMustExpire reports whether a worker's lease must not be renewed, because a direct start may still
// reach it for a task whose job was cancelled more than a grace period ago. The task could then run beyond
// cancel_s. A raised fencing token rejects the start sooner, but raising it requires the store.
func (r *Reconciler) LeaseMustExpire(report *worker.Report, grace time.Duration, fencingToken ids.Generation) bool {
	return r.responses.leaseMustExpire(report, grace, fencingToken)
}

// MarkLost removes the assignment of a task that is proven not to be on its machine any more, so that the
// task is queued again.
func (r *Reconciler) MarkLost(assignment *workload.Assignment, reason string) {
	r.losses.markLost(assignment, reason)
}

// ZoneOf returns a machine's zone for use in event texts.
func (r *Reconciler) ZoneOf(name ids.Machine) string { return r.losses.zoneOf(name) }

// RecordRestarts records in a job's events the zones in which lost tasks were assigned again.
func (r *Reconciler) RecordRestarts(job *workload.Job, assigned []*workload.Assignment) {
	r.losses.recordRestarts(job, assigned)
}
