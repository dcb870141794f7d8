package reconcile

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// machineTracker takes in what reports tell of their machines.
type machineTracker struct {
	*State
	cluster Cluster
}

// ensure finds or adds the machine of a report.
func (t *machineTracker) ensure(report *worker.Report, source Source, now time.Time) *worker.Machine {
	known := t.Machines.Machines[report.Machine] != nil
	machine := t.Machines.Ensure(report.Machine, now, source.TrustSilence)
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
	closed     bool // it had reported, and no new tasks were assigned to it
	suspect    bool
	longSilent bool
	noticed    bool // the cloud's termination notice was known
}

// longSilenceMargin is how much more than two report intervals a machine counts as silent for long after.
const longSilenceMargin = time.Second

// stateBefore returns what is known of a machine before its report is taken in.
func (t *machineTracker) stateBefore(machine *worker.Machine, report *worker.Report, now time.Time) machineBefore {
	interval := t.Settings.Params.Workers.ReportS
	return machineBefore{
		unheard:    !machine.HasReported,
		booting:    machine.Booting,
		moved:      machine.Type != report.Type || machine.Zone != report.Zone || machine.Spot != report.Spot,
		closed:     machine.HasReported && !machine.Schedulable(now, interval),
		suspect:    machine.Suspect(),
		longSilent: !machine.HasReported || machine.SilentFor(now) > 2*interval.Duration()+longSilenceMargin,
		noticed:    !machine.SpotTerminationAt.IsZero(),
	}
}

// record takes in what a report tells of its machine.
func (t *machineTracker) record(machine *worker.Machine, before machineBefore, restarted bool, now time.Time) {
	if before.booting && before.unheard {
		t.Estimates.RecordBoot(machine, now)
	}
	node := t.Capacity.Ensure(machine.Name)
	if before.unheard || before.moved || restarted {
		t.Capacity.Reindex(node)
		t.cluster.HintChanged(machine)
	}
	if !machine.UnreachableSince.IsZero() && before.longSilent {
		// It was silent for long and is heard again: that calls to it failed meanwhile says nothing of
		// now. It is probed anew before it is judged.
		machine.UnreachableSince, machine.FailedCalls = now, 0
		machine.SuspectSince, machine.LastProbeAt = now, time.Time{}
	}
	if before.unheard || restarted || before.suspect {
		t.Commands.Add(node) // what was held back or assigned there before may be sent now
	}
	if before.unheard {
		machine.IdleSince = now
	}
	newNotice := !before.noticed && !machine.SpotTerminationAt.IsZero()
	if newNotice {
		t.Machines.MarkLeaving(machine.Name)
		slog.Info("spot termination notice", "machine", machine.Name, "in", machine.SpotTerminationAt.Sub(now))
	}
	if before.closed || before.unheard || newNotice {
		t.cluster.RequestPlan()
	}
}
