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

// operations carries out what the packages that decide want changed: scheduler, eviction, reconcile and
// dispatch each see the part of it that their Cluster interface names. All of it is called under the cluster
// state's lock.
type operations struct{ cluster *State }

// StoreAvailable tells whether the store has answered just now.
func (o operations) StoreAvailable() bool { return o.cluster.StoreAvailable() }

// FencingToken is what starts go out under now.
func (o operations) FencingToken() ids.Generation { return o.cluster.generation }

// Assign adds an assignment.
func (o operations) Assign(assignment *workload.Assignment) { o.cluster.addAssignment(assignment) }

// RemoveAssignment removes an assignment: its task is proven not to be there.
func (o operations) RemoveAssignment(assignment *workload.Assignment) {
	o.cluster.removeAssignment(assignment)
}

// MarkersPending has a job's new markers stored at once.
func (o operations) MarkersPending(job *workload.Job) {
	o.cluster.markChanged(job)
	o.cluster.markUrgent(job)
}

// RecordRestarts tells in a job's events which lost tasks were assigned anew.
func (o operations) RecordRestarts(job *workload.Job, assigned []*workload.Assignment) {
	o.cluster.reconciler.RecordRestarts(job, assigned)
}

// Stop asks for a task to be stopped.
func (o operations) Stop(assignment *workload.Assignment, grace ids.Seconds, reason string) {
	o.cluster.stopAssignment(assignment, grace, reason)
}

// NoDirectStartOutstanding tells that every start sent straight to the machine is accounted for.
func (o operations) NoDirectStartOutstanding(assignment *workload.Assignment) bool {
	return o.cluster.noDirectStartOutstanding(assignment)
}

// MarkChanged notes that a job's record changed.
func (o operations) MarkChanged(job *workload.Job) { o.cluster.markChanged(job) }

// MarkUrgent has a job's record stored at once.
func (o operations) MarkUrgent(job *workload.Job) { o.cluster.markUrgent(job) }

// FinishIfComplete moves a job to its final status when nothing is left of it.
func (o operations) FinishIfComplete(job *workload.Job) { o.cluster.finishIfComplete(job) }

// RecordEvent adds an event to a job.
func (o operations) RecordEvent(job *workload.Job, format string, args ...any) {
	o.cluster.recordEvent(job, format, args...)
}

// HintChanged notes that what the other controllers should know of a machine changed.
func (o operations) HintChanged(machine *worker.Machine) { o.cluster.markHintChanged(machine) }

// RequestPlan has planning look again.
func (o operations) RequestPlan() { wait.Signal(o.cluster.planSignal) }

// RequestCommit has changes stored at once.
func (o operations) RequestCommit() { wait.Signal(o.cluster.commitSignal) }

// AddJob adds a job that became schedulable.
func (o operations) AddJob(stored *record.Record, revision ids.Revision, now time.Time) {
	o.cluster.addJob(stored, revision, now)
}

// StatusInOtherShard is the status of a live job of another shard.
func (o operations) StatusInOtherShard(id ids.Job) (status record.Status, live bool) {
	return o.cluster.StatusInOtherShard(id)
}

// Terminated tells that the cloud confirmed a machine's deletion.
func (o operations) Terminated(machine ids.Machine) bool { return o.cluster.terminated[machine] }

// CloudListConclusive tells that a machine which this leader does not know is surely none: the cloud's
// list was read to its end so long after the takeover that it would name it.
func (o operations) CloudListConclusive() bool {
	planner := o.cluster.planner
	return planner.CloudListSince(o.cluster.termBegan) > planner.CloudListLag()
}

// QuotaForRelocated is what a job must leave of its team's quota to tasks that rollouts move.
func (o operations) QuotaForRelocated(job *workload.Job) placement.Resources {
	return o.cluster.evictor.QuotaForRelocated(job)
}

// YieldLock lets heartbeats and commits at the cluster state for a moment; it tells whether planning may
// go on.
func (o operations) YieldLock() bool {
	o.cluster.mu.Unlock()
	runtime.Gosched()
	o.cluster.mu.Lock()
	return !o.cluster.closed
}
