package clusterstate

import (
	"runtime"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// operations implements the interfaces through which the packages that make decisions use the cluster
// state: scheduler, eviction, reconcile, dispatch and the dependency tracker each define an interface with
// the methods that they need. The methods are called with the cluster state's lock held.
type operations struct{ cluster *State }

// StoreAvailable reports whether the store has answered recently.
func (o operations) StoreAvailable() bool { return o.cluster.StoreAvailable() }

// FencingToken returns the highest fencing token that starts may carry now.
func (o operations) FencingToken() ids.Generation { return o.cluster.generation() }

// ReserveTokens requests that the leader reserve further fencing tokens.
func (o operations) ReserveTokens() { o.cluster.reserveTokens() }

// Assign adds an assignment.
func (o operations) Assign(assignment *workload.Assignment) { o.cluster.addAssignment(assignment) }

// RemoveAssignment removes an assignment whose task is proven not to be on the machine.
func (o operations) RemoveAssignment(assignment *workload.Assignment) {
	o.cluster.removeAssignment(assignment)
}

// MarkersPending requests that the markers of a job's new assignments be stored at once. A marker is an
// assignment in the stored record of its job; the task's start is sent only after its marker is stored.
func (o operations) MarkersPending(job *workload.Job) {
	o.cluster.markChanged(job)
	o.cluster.markUrgent(job)
}

// RecordSize returns the least size in bytes of a job's record with planned assignments.
func (o operations) RecordSize(job *workload.Job, planned []record.TaskAssignment) (int, error) {
	return o.cluster.recordSize(job, planned)
}

// ShrinkRecord makes room in a record that can't hold a single assignment.
func (o operations) ShrinkRecord(job *workload.Job) { o.cluster.dropScatteredFinishedTasks(job) }

// RecordRestarts records in a job's events which lost tasks were assigned again.
func (o operations) RecordRestarts(job *workload.Job, assigned []*workload.Assignment) {
	o.cluster.reconciler.RecordRestarts(job, assigned)
}

// Stop requests that a task be stopped.
func (o operations) Stop(assignment *workload.Assignment, grace ids.Seconds, reason string) {
	o.cluster.stopAssignment(assignment, grace, reason)
}

// NoDirectStartOutstanding reports whether every start that was sent directly to the machine is accounted
// for.
func (o operations) NoDirectStartOutstanding(assignment *workload.Assignment) bool {
	return o.cluster.noDirectStartOutstanding(assignment)
}

// MarkChanged records that a job's record changed.
func (o operations) MarkChanged(job *workload.Job) { o.cluster.markChanged(job) }

// MarkUrgent requests that a job's record be stored at once.
func (o operations) MarkUrgent(job *workload.Job) { o.cluster.markUrgent(job) }

// FinishIfComplete ends a job whose tasks are all finished, or a cancelled job without assignments.
func (o operations) FinishIfComplete(job *workload.Job) { o.cluster.finishIfComplete(job) }

// RecordEvent adds an event to a job.
func (o operations) RecordEvent(job *workload.Job, format string, args ...any) {
	o.cluster.recordEvent(job, format, args...)
}

// HintChanged records that the hint of a machine changed.
func (o operations) HintChanged(machine *worker.Machine) { o.cluster.markHintChanged(machine) }

// RequestPlan requests a planning pass.
func (o operations) RequestPlan() { wait.Signal(o.cluster.planSignal) }

// RequestCommit requests that changes be stored at once.
func (o operations) RequestCommit() { wait.Signal(o.cluster.commitSignal) }

// AddJob adds a job that became schedulable.
func (o operations) AddJob(stored *record.Record, revision ids.Revision, now time.Time) {
	o.cluster.addJob(stored, revision, now)
}

// StatusInOtherShard returns the status of a live job of another shard.
func (o operations) StatusInOtherShard(id ids.Job) (status record.Status, live bool) {
	return o.cluster.StatusInOtherShard(id)
}

// Terminated reports whether the cloud confirmed a machine's deletion.
func (o operations) Terminated(machine ids.Machine) bool { return o.cluster.terminated[machine] }

// CloudListConclusive reports whether a machine that this leader does not know certainly does not exist:
// the cloud's list was read to its end so long after the takeover that it would name the machine.
func (o operations) CloudListConclusive() bool {
	planner := o.cluster.planner
	return planner.CloudListSince(o.cluster.termBegan) > planner.CloudListLag()
}

// QuotaForRelocated returns how much of its team's quota a job must leave to tasks that rollouts move.
func (o operations) QuotaForRelocated(job *workload.Job) placement.Resources {
	return o.cluster.evictor.QuotaForRelocated(job)
}

// YieldLock releases the lock for a moment, so that heartbeats and commits can take it, and reports whether
// planning may go on.
func (o operations) YieldLock() bool {
	o.cluster.mu.Unlock()
	runtime.Gosched()
	o.cluster.mu.Lock()
	return !o.cluster.closed
}
