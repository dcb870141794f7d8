package clusterstate

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/dispatch"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/reconcile"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// newReconciler returns the reconciler of a term.
func newReconciler(c *State) *reconcile.Reconciler {
	return reconcile.New(reconcile.State{Settings: c.settings, Jobs: c.jobs, Machines: c.machines, Capacity: c.capacity,
		Estimates: c.estimates, Commands: c.commands, Costs: &c.costs, FirstToken: c.firstToken}, operations{c})
}

// ReconcileHeartbeat reconciles a worker's heartbeat, which the caller answers with status 200, and returns the
// response.
func (c *State) ReconcileHeartbeat(report *worker.Report) worker.CommandBatch {
	return c.reconcile(report, true)
}

// ReconcileReport reconciles the report in a worker's response to direct commands or to a probe.
func (c *State) ReconcileReport(report *worker.Report) { c.reconcile(report, false) }

// reconcile reconciles a report and returns the response if the report is a heartbeat.
func (c *State) reconcile(report *worker.Report, heartbeat bool) worker.CommandBatch {
	starts, recordsRead := c.StartsAllowed()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	defer measure.Default.Took("report", now)
	if c.terminated[report.Machine] {
		return worker.CommandBatch{FencingToken: c.tokens.First} // the report was delayed: the machine is gone already
	}
	source := reconcile.Source{Heartbeat: heartbeat, EarliestLeaseExpiry: c.earliestLeaseExpiry}
	permission := dispatch.Permission{Tokens: c.tokens, Starts: starts, RecordsRead: recordsRead}
	return c.reconciler.Report(report, source, permission, now)
}

// LeaseMustExpire reports whether a worker's lease must not be renewed; see
// reconcile.Reconciler.LeaseMustExpire.
func (c *State) LeaseMustExpire(report *worker.Report, grace time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reconciler.LeaseMustExpire(report, grace, c.generation())
}
