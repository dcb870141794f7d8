package claim

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/dispatch"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/reconcile"
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// newReconciler makes the reconciler of a term.
func newReconciler(c *ClusterState) *reconcile.Reconciler {
	return reconcile.New(reconcile.State{Settings: c.settings, Jobs: c.jobs, Machines: c.machines, Capacity: c.capacity,
		Estimates: c.estimates, Commands: c.commands, Costs: &c.costs, FirstGeneration: c.firstGeneration}, reconcileCluster{schedulerCluster{c}})
}

// reconcileCluster carries out what the reconciler decides. It is called under the cluster state's lock.
type reconcileCluster struct{ schedulerCluster }

// RemoveAssignment takes an assignment off the books.
func (c reconcileCluster) RemoveAssignment(assignment *workload.Assignment) {
	c.removeAssignment(assignment)
}

// NoDirectStartOutstanding tells that every start sent straight to the machine is accounted for.
func (c reconcileCluster) NoDirectStartOutstanding(assignment *workload.Assignment) bool {
	return c.noDirectStartOutstanding(assignment)
}

// MarkChanged notes that a job's record changed.
func (c reconcileCluster) MarkChanged(job *workload.Job) { c.markChanged(job) }

// MarkUrgent has a job's record stored at once.
func (c reconcileCluster) MarkUrgent(job *workload.Job) { c.markUrgent(job) }

// FinishIfComplete moves a job to its final status when nothing is left of it.
func (c reconcileCluster) FinishIfComplete(job *workload.Job) { c.finishIfComplete(job) }

// HintChanged notes that what the other controllers should know of a machine changed.
func (c reconcileCluster) HintChanged(machine *worker.Machine) { c.markHintChanged(machine) }

// RequestPlan has planning look again.
func (c reconcileCluster) RequestPlan() { wait.Signal(c.planSignal) }

// ReconcileHeartbeat reconciles a worker's report and returns the commands that its machine should get.
// answered tells that the worker gets a 200 for this report; heartbeat tells a heartbeat from the answer to
// direct commands.
func (c *ClusterState) ReconcileHeartbeat(report *worker.Report, answered, heartbeat bool) []worker.Command {
	starts, recordsRead := c.StartsAllowed()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	defer measure.Process.Took("report", now)
	if c.terminated[report.Machine] {
		return nil // held back on its way: the machine is gone
	}
	source := reconcile.Source{Heartbeat: heartbeat, Answered: answered, TrustSilence: c.trustSilence}
	permission := dispatch.Permission{FencingToken: c.generation, Starts: starts, RecordsRead: recordsRead}
	return c.reconciler.Report(report, source, permission, now)
}

// LeaseMustExpire tells whether a worker's lease must not be renewed; see reconcile.Reconciler.
func (c *ClusterState) LeaseMustExpire(report *worker.Report, grace time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reconciler.LeaseMustExpire(report, grace, c.generation)
}
