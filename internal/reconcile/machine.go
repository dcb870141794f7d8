package reconcile

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/dispatch"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// ensureMachine finds or adds the machine of a report.
func (r *Reconciler) ensureMachine(report *worker.Report, source Source, now time.Time) *worker.Machine {
	known := r.Machines.Machines[report.Machine] != nil
	machine := r.Machines.Ensure(report.Machine, now, source.TrustSilence)
	if !known {
		slog.Info("unexpected machine adopted", "machine", report.Machine, "type", report.Type, "zone", report.Zone)
	}
	return machine
}

// machineBefore is what was known of a machine before its report was taken in.
type machineBefore struct {
	unheard    bool // it has never reported to this leader
	booting    bool
	moved      bool // the report tells of another type, zone or market
	closed     bool // it had reported, and no new tasks went there
	suspect    bool
	longSilent bool
	noticed    bool // the cloud's notice to take it back was known
}

// lostMargin is how much more than two report intervals a machine that is taken for lost is silent.
const lostMargin = time.Second

// stateBefore gathers it.
func (r *Reconciler) stateBefore(machine *worker.Machine, report *worker.Report, now time.Time) machineBefore {
	interval := r.Settings.Params.Workers.ReportS
	return machineBefore{
		unheard:    !machine.HasReported,
		booting:    machine.Booting,
		moved:      machine.Type != report.Type || machine.Zone != report.Zone || machine.Spot != report.Spot,
		closed:     machine.HasReported && !machine.Schedulable(now, interval),
		suspect:    machine.Suspect(),
		longSilent: !machine.HasReported || machine.SilentFor(now) > 2*interval.Duration()+lostMargin,
		noticed:    !machine.SpotTerminationAt.IsZero(),
	}
}

// noteMachine takes in what a report tells of its machine.
func (r *Reconciler) noteMachine(machine *worker.Machine, before machineBefore, restarted bool, now time.Time) {
	if before.booting && before.unheard {
		r.Estimates.RecordBoot(machine, now)
	}
	node := r.Capacity.Ensure(machine.Name)
	if before.unheard || before.moved || restarted {
		r.Capacity.Reindex(node)
		r.cluster.HintChanged(machine)
	}
	if !machine.UnreachableSince.IsZero() && before.longSilent {
		// It was silent for long and is heard again: that calls to it failed meanwhile says nothing of
		// now. It is probed anew before it is judged.
		machine.UnreachableSince, machine.FailedCalls, machine.SuspectSince, machine.LastProbeAt = now, 0, now, time.Time{}
	}
	if before.unheard || restarted || before.suspect {
		r.Commands.Add(node) // what was held back or assigned there before may go out now
	}
	if before.unheard {
		machine.IdleSince = now
	}
	newNotice := !before.noticed && !machine.SpotTerminationAt.IsZero()
	if newNotice {
		r.Machines.MarkLeaving(machine.Name)
		slog.Info("spot termination notice", "machine", machine.Name, "in", machine.SpotTerminationAt.Sub(now))
	}
	if before.closed || before.unheard || newNotice {
		r.cluster.RequestPlan()
	}
}

// mayStart tells whether an assignment's start may go out in the answer to its machine's heartbeat.
func (r *Reconciler) mayStart(assignment *workload.Assignment, machine *worker.Machine, permission dispatch.Permission) bool {
	job := assignment.Job
	if !permission.MayStart(job) || assignment.Confirmed || assignment.FencingToken != permission.FencingToken {
		return false
	}
	if job.StoredVersion < assignment.MarkerVersion || machine.Deleting {
		return false
	}
	return assignment.StartSent || scheduler.GangStartAllowed(assignment, machine, r.Machines)
}

// LeaseMustExpire tells whether a worker's lease must not be renewed: a direct start may still be on its
// way to it, of a task whose job was cancelled longer than a grace period ago, so that the task could be
// there beyond cancel_s. A raised token turns the start away sooner, but to raise it takes the store.
func (r *Reconciler) LeaseMustExpire(report *worker.Report, grace time.Duration, fencingToken ids.Generation) bool {
	machine := r.Machines.Machines[report.Machine]
	if machine == nil || report.Incarnation != machine.Incarnation || len(machine.UnconfirmedStarts) == 0 {
		return false
	}
	for assignment := range r.Capacity.AssignmentsOn(machine.Name) {
		stoppedUnseen := assignment.Stopping && !assignment.Confirmed && time.Since(assignment.StopRequestedAt) > grace
		current := assignment.Incarnation == report.Incarnation && assignment.FencingToken == fencingToken
		if stoppedUnseen && current && assignment.Job.Cancelled() && machine.MayRestart(assignment.Task().String(), assignment.Attempt) {
			return true
		}
	}
	return false
}
