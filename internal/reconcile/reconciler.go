// Package reconcile squares what workers report with what the leader knows: tasks that run, outcomes,
// orphans that no assignment accounts for, and tasks that are proven lost. It takes no lock:
// internal/clusterstate's State guards what it works on and calls it under its own.
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

// Cluster is what reconciling asks of the cluster state. All of it is called under that one's lock.
type Cluster interface {
	// Assign puts an assignment on the books, RemoveAssignment takes one off: its task is proven not to
	// be there.
	Assign(assignment *workload.Assignment)
	RemoveAssignment(assignment *workload.Assignment)
	// Stop asks for a task to be stopped, with a grace period in which it may save.
	Stop(assignment *workload.Assignment, grace ids.Seconds, reason string)
	// NoDirectStartOutstanding tells that every start sent straight to the machine is accounted for.
	NoDirectStartOutstanding(assignment *workload.Assignment) bool
	// MarkChanged notes that a job's record changed; MarkUrgent that it is to be stored at once.
	MarkChanged(job *workload.Job)
	MarkUrgent(job *workload.Job)
	// FinishIfComplete moves a job to its final status when nothing is left of it.
	FinishIfComplete(job *workload.Job)
	// RecordEvent adds a line to a job's trail.
	RecordEvent(job *workload.Job, format string, args ...any)
	// HintChanged notes that what the other controllers should know of a machine changed.
	HintChanged(machine *worker.Machine)
	// RequestPlan has planning look again.
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
	// FirstGeneration is the one that the term began with.
	FirstGeneration ids.Generation
}

// Reconciler reconciles the reports of one term.
type Reconciler struct {
	State
	cluster Cluster
}

// New makes the reconciler of one term.
func New(state State, cluster Cluster) *Reconciler {
	return &Reconciler{State: state, cluster: cluster}
}

// Source tells how a report came and what its worker is answered.
type Source struct {
	// Heartbeat tells a heartbeat from the answer to a direct command.
	Heartbeat bool
	// Answered tells that the worker gets an answer which renews its lease.
	Answered bool
	// TrustSilence is from when on the silence of a machine that never reported to this leader counts.
	TrustSilence time.Time
}

// maxCommandsPerAnswer bounds an answer's commands: one line of it must stay below 64 KiB, and the rest
// follows with the next report.
const maxCommandsPerAnswer = 400

// Report reconciles a worker's report and returns the commands that its machine should get in answer to a
// heartbeat.
func (r *Reconciler) Report(report *worker.Report, source Source, permission dispatch.Permission, now time.Time) []worker.Command {
	machine := r.ensureMachine(report, source, now)
	before := r.stateBefore(machine, report, now)
	result := r.Machines.RecordReport(machine, report, now, source.Answered, permission.FencingToken)
	if !result.Fresh {
		if report.Incarnation != machine.Incarnation {
			return nil
		}
		// A command's answer may overtake a heartbeat that was sent before it. The heartbeat's answer
		// renews the lease all the same, so it must not come without the stops.
		permission.Starts = false
		return r.commandsFor(machine, source, permission, now)
	}
	r.noteMachine(machine, before, result.Restarted, now)
	r.dropEarlierIncarnations(machine, report)
	listed, commands := r.reconcileTasks(machine, report, permission.FencingToken, now)
	r.reconcileMissing(machine, report, source, listed)
	r.queueUnsentStarts(machine)
	commands = append(commands, r.commandsFor(machine, source, permission, now)...)
	return commands[:min(len(commands), maxCommandsPerAnswer)]
}

// dropEarlierIncarnations deals with what was assigned to an earlier incarnation of a worker: all of it is
// gone, as the worker forgot it when its lease expired.
func (r *Reconciler) dropEarlierIncarnations(machine *worker.Machine, report *worker.Report) {
	for assignment := range r.Capacity.AssignmentsOn(machine.Name) {
		switch {
		case assignment.Incarnation >= report.Incarnation:
		case assignment.StartSent:
			r.MarkLost(assignment, "its worker's lease lapsed")
		default:
			// Only marked, for an incarnation that is over: its start would never go out, and nobody
			// would ever report it.
			r.cluster.RemoveAssignment(assignment)
			r.cluster.MarkChanged(assignment.Job)
		}
	}
}

// reconcileMissing deals with what is assigned to a machine and was not reported.
func (r *Reconciler) reconcileMissing(machine *worker.Machine, report *worker.Report, source Source, listed map[workload.TaskAttempt]bool) {
	for assignment := range r.Capacity.AssignmentsOn(machine.Name) {
		if listed[assignment.Key()] || !assignment.StartSent || assignment.Incarnation != report.Incarnation {
			continue
		}
		switch {
		case assignment.Confirmed:
			r.MarkLost(assignment, "its worker reports it no longer")
		case assignment.FencingToken < report.FencingToken:
			// The worker has seen a higher token than the start carries, so the start was never carried
			// out and never will be.
			r.MarkLost(assignment, "its start was turned away")
		case assignment.Stopping && source.Heartbeat && report.Sequence > assignment.OfferedAt && r.cluster.NoDirectStartOutstanding(assignment):
			// Starts in answers to heartbeats are carried out at once or never.
			r.MarkLost(assignment, "its start was dropped")
		}
	}
}

// queueUnsentStarts has the starts that may have waited for this report sent.
func (r *Reconciler) queueUnsentStarts(machine *worker.Machine) {
	for assignment := range r.Capacity.AssignmentsOn(machine.Name) {
		if !assignment.StartSent {
			r.Commands.AddFor(assignment)
			return
		}
	}
}

// commandsFor repeats, in a heartbeat's answer, what the machine still has to do. Every command may be
// repeated; a start is named by task and attempt, so it takes effect once.
func (r *Reconciler) commandsFor(machine *worker.Machine, source Source, permission dispatch.Permission, now time.Time) (commands []worker.Command) {
	if !source.Heartbeat {
		return nil
	}
	for assignment := range r.Capacity.AssignmentsOn(machine.Name) {
		if assignment.Incarnation != machine.Incarnation {
			continue
		}
		if assignment.Stopping {
			if assignment.Confirmed && assignment.Status != worker.StateExited {
				commands = append(commands, worker.StopCommand(assignment.Task().String(), assignment.Attempt, assignment.RemainingGrace(now)))
			}
			continue
		}
		if r.mayStart(assignment, machine, permission) {
			assignment.StartSent, assignment.OfferedInHeartbeat, assignment.OfferedAt = true, true, machine.Sequence
			commands = append(commands, worker.StartCommand(assignment.Task(), assignment.Attempt))
		}
	}
	return commands
}
