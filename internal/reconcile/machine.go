package reconcile

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// machineTracker updates the state of machines from their reports.
type machineTracker struct {
	*State
	cluster Cluster
}

// ensure returns the machine that sent a report, and adds it if the leader does not know it.
func (t *machineTracker) ensure(report *worker.Report, source Source, now time.Time) *worker.Machine {
	known := t.Machines.Machines[report.Machine] != nil
	machine := t.Machines.Ensure(report.Machine, now, source.EarliestLeaseExpiry)
	if !known {
		slog.Info("added unknown machine that sent a report", "machine", report.Machine, "type", report.Type, "zone", report.Zone)
	}
	return machine
}

// machineSnapshot is the state of a machine before its report is processed.
type machineSnapshot struct {
	neverReported    bool // it has not reported to this leader
	booting          bool
	classChanged     bool // the report shows another type, zone or market
	unschedulable    bool // it had reported, and new tasks could not be assigned to it
	suspect          bool
	longSilent       bool
	terminationKnown bool // the cloud's termination notice was known
}

// longSilenceMargin is added to two report intervals to obtain the silence after which a machine counts as
// silent for long.
const longSilenceMargin = time.Second

// snapshot returns the state of a machine before its report is processed.
func (t *machineTracker) snapshot(machine *worker.Machine, report *worker.Report, now time.Time) machineSnapshot {
	interval := t.Settings.Params.Workers.ReportS
	return machineSnapshot{
		neverReported:    !machine.HasReported,
		booting:          machine.Booting,
		classChanged:     machine.Type != report.Type || machine.Zone != report.Zone || machine.Spot != report.Spot,
		unschedulable:    machine.HasReported && !machine.Schedulable(now, interval),
		suspect:          machine.IsSuspect(),
		longSilent:       !machine.HasReported || machine.SilentFor(now) > 2*interval.Duration()+longSilenceMargin,
		terminationKnown: !machine.SpotTerminationAt.IsZero(),
	}
}

// applyReport updates the estimates, the capacity index, the command queue and the plan after a machine's
// report.
func (t *machineTracker) applyReport(machine *worker.Machine, before machineSnapshot, restarted bool, now time.Time) {
	if before.booting && before.neverReported {
		t.Estimates.RecordBoot(machine, now)
	}
	node := t.Capacity.Ensure(machine.Name)
	if before.neverReported || before.classChanged || restarted {
		t.Capacity.Reindex(node)
		t.cluster.HintChanged(machine)
	}
	if !machine.UnreachableSince.IsZero() && before.longSilent {
		// The machine was silent for long and reports again. Calls that failed meanwhile say nothing about
		// its present state, so it is probed again before it is treated as unreachable.
		machine.UnreachableSince, machine.FailedCalls = now, 0
		machine.SuspectSince, machine.LastProbeAt = now, time.Time{}
	}
	if before.neverReported || restarted || before.suspect {
		t.Commands.Add(node) // commands that were held back or assigned before may be sent now
	}
	if before.neverReported {
		machine.IdleSince = now
	}
	newNotice := !before.terminationKnown && !machine.SpotTerminationAt.IsZero()
	if newNotice {
		t.Machines.MarkLeaving(machine.Name)
		slog.Info("machine received a spot termination notice", "machine", machine.Name, "in", machine.SpotTerminationAt.Sub(now))
	}
	if before.unschedulable || before.neverReported || newNotice {
		t.cluster.RequestPlan()
	}
}
