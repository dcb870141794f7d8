// Package reconcile reconciles what workers report with what the leader knows: running tasks, outcomes,
// orphaned tasks that no assignment accounts for, and tasks that are proven lost.
//
// Reconciler is the entry point. Each part has an owner of its own: machineTracker for what a report tells of
// its machine, taskReconciler for the tasks it lists, orphanReconciler for those that no assignment accounts
// for, outcomeRecorder for how attempts ended, failureTracker for backoff and for machines on which tasks keep
// failing, lossRecorder for lost tasks, and answerer for the commands in a heartbeat's answer.
//
// The package has no lock: the lock of the cluster state that a Reconciler belongs to guards all of it. Every
// method is called under that lock, and so are the methods of Cluster.
package reconcile

import (
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

// Cluster is what reconciling asks of the cluster state. Every method is called under that state's lock.
type Cluster interface {
	// Assign adds an assignment; RemoveAssignment removes one, whose task is proven not to be there.
	Assign(assignment *workload.Assignment)
	RemoveAssignment(assignment *workload.Assignment)
	// Stop requests that a task be stopped, with a grace period in which it may save a checkpoint.
	Stop(assignment *workload.Assignment, grace ids.Seconds, reason string)
	// NoDirectStartOutstanding reports whether every start sent straight to the machine is accounted for.
	NoDirectStartOutstanding(assignment *workload.Assignment) bool
	// MarkChanged records that a job's record changed; MarkUrgent that it must be stored at once.
	MarkChanged(job *workload.Job)
	MarkUrgent(job *workload.Job)
	// FinishIfComplete moves a job to its final status when nothing is left of it.
	FinishIfComplete(job *workload.Job)
	// RecordEvent adds a line to a job's events.
	RecordEvent(job *workload.Job, format string, args ...any)
	// HintChanged records that what the other controllers should know of a machine changed.
	HintChanged(machine *worker.Machine)
	// RequestPlan requests a planning pass.
	RequestPlan()
}

// State is what reconciling reads and changes of the shard.
type State struct {
	Settings  *config.Settings
	Jobs      *workload.Queue
	Machines  *worker.Registry
	Capacity  *capacity.Index
	Estimates *estimate.Estimator
	Commands  *dispatch.Queue
	Costs     *costs.Account
	// FirstGeneration is the fencing token that the term began with.
	FirstGeneration ids.Generation
}

// Reconciler reconciles the reports of one term.
type Reconciler struct {
	*State
	cluster  Cluster
	machines *machineTracker
	tasks    *taskReconciler
	losses   *lossRecorder
	answers  *answerer
}

// New returns the reconciler of one term.
func New(state State, cluster Cluster) *Reconciler {
	shared := &state
	failures := &failureTracker{State: shared, cluster: cluster}
	outcomes := &outcomeRecorder{State: shared, cluster: cluster, failures: failures}
	orphans := &orphanReconciler{cluster: cluster, outcomes: outcomes}
	return &Reconciler{
		State:    shared,
		cluster:  cluster,
		machines: &machineTracker{State: shared, cluster: cluster},
		tasks:    &taskReconciler{State: shared, cluster: cluster, outcomes: outcomes, failures: failures, orphans: orphans},
		losses:   &lossRecorder{State: shared, cluster: cluster},
		answers:  &answerer{shared},
	}
}

// Source tells how a report came and what its worker is answered.
type Source struct {
	// Heartbeat tells a heartbeat from the answer to a direct command.
	Heartbeat bool
	// Answered tells that the worker gets an answer which renews its lease.
	Answered bool
	// TrustSilence is the time from which the silence of a machine that never reported to this leader counts.
	TrustSilence time.Time
}

// maxCommandsPerAnswer bounds an answer's commands: one line of it must stay below 64 KiB, and the rest
// follows with the next report.
const maxCommandsPerAnswer = 400

// Report reconciles a worker's report and returns the commands that its machine should get in answer to a
// heartbeat.
func (r *Reconciler) Report(report *worker.Report, source Source, permission dispatch.Permission, now time.Time) []worker.Command {
	machine := r.machines.ensure(report, source, now)
	before := r.machines.stateBefore(machine, report, now)
	result := r.Machines.RecordReport(machine, report, now, source.Answered, permission.FencingToken)
	if !result.Fresh {
		if report.Incarnation != machine.Incarnation {
			return nil
		}
		// A command's answer may overtake a heartbeat that was sent before it. The heartbeat's answer
		// renews the lease all the same, so it must not come without the stops.
		permission.Starts = false
		return r.answers.commands(machine, source, permission, now)
	}
	r.machines.record(machine, before, result.Restarted, now)
	r.dropEarlierIncarnations(machine, report)
	listed := make(map[workload.TaskAttempt]bool, len(report.Tasks))
	commands := r.tasks.reconcile(machine, report, listed, permission.FencingToken, now)
	r.reconcileMissing(machine, report, source, listed)
	r.queueUnsentStarts(machine)
	commands = append(commands, r.answers.commands(machine, source, permission, now)...)
	return commands[:min(len(commands), maxCommandsPerAnswer)]
}

// dropEarlierIncarnations removes what was assigned to an earlier incarnation of a worker: the worker dropped
// all of it when its lease expired.
func (r *Reconciler) dropEarlierIncarnations(machine *worker.Machine, report *worker.Report) {
	for assignment := range r.Capacity.AssignmentsOn(machine.Name) {
		switch {
		case assignment.Incarnation >= report.Incarnation:
		case assignment.StartSent:
			r.MarkLost(assignment, "its worker's lease lapsed")
		default:
			// Only marked, for an incarnation that is over: its start would never be sent, and nobody
			// would ever report it.
			r.cluster.RemoveAssignment(assignment)
			r.cluster.MarkChanged(assignment.Job)
		}
	}
}

// reconcileMissing marks tasks lost that are assigned to a machine, were not reported, and can't start any
// more.
func (r *Reconciler) reconcileMissing(
	machine *worker.Machine, report *worker.Report, source Source, listed map[workload.TaskAttempt]bool,
) {
	for assignment := range r.Capacity.AssignmentsOn(machine.Name) {
		if listed[assignment.Key()] || !assignment.StartSent || assignment.Incarnation != report.Incarnation {
			continue
		}
		offeredBefore := source.Heartbeat && report.Sequence > assignment.OfferedAt
		switch {
		case assignment.Confirmed:
			r.MarkLost(assignment, "its worker reports it no longer")
		case assignment.FencingToken < report.FencingToken:
			// The worker has seen a higher token than the start carries, so the start was never carried
			// out and never will be.
			r.MarkLost(assignment, "its start was turned away")
		case assignment.Stopping && offeredBefore && r.cluster.NoDirectStartOutstanding(assignment):
			// Starts in answers to heartbeats are carried out at once or never.
			r.MarkLost(assignment, "its start was dropped")
		}
	}
}

// queueUnsentStarts has the starts sent that may have waited for this report.
func (r *Reconciler) queueUnsentStarts(machine *worker.Machine) {
	for assignment := range r.Capacity.AssignmentsOn(machine.Name) {
		if !assignment.StartSent {
			r.Commands.AddFor(assignment)
			return
		}
	}
}

// LeaseMustExpire reports whether a worker's lease must not be renewed: a direct start may still be on its way
// to it, of a task whose job was cancelled longer than a grace period ago, so that the task could be there
// beyond cancel_s. A raised fencing token rejects the start sooner, but to raise it takes the store.
func (r *Reconciler) LeaseMustExpire(report *worker.Report, grace time.Duration, fencingToken ids.Generation) bool {
	return r.answers.leaseMustExpire(report, grace, fencingToken)
}

// MarkLost removes the assignment of a task that is proven not to be on its machine any more, so that it is
// queued again.
func (r *Reconciler) MarkLost(assignment *workload.Assignment, reason string) {
	r.losses.markLost(assignment, reason)
}

// ZoneOf returns a machine's zone for a text.
func (r *Reconciler) ZoneOf(name ids.Machine) string { return r.losses.zoneOf(name) }

// RecordRestarts records in a job's events where tasks lost before were assigned again.
func (r *Reconciler) RecordRestarts(job *workload.Job, assigned []*workload.Assignment) {
	r.losses.recordRestarts(job, assigned)
}
