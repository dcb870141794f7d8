package provisioning

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/liveness"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// terminator decides which machines to delete: failed, silent, abandoned, emptied and idle ones.
type terminator struct {
	*State
	cloudList    *cloudList
	boots        *bootTracker
	consolidator *consolidator
	shortage     *shortageTracker
}

// fleetView is what all machines are judged by in one call.
type fleetView struct {
	now    time.Time
	needed map[ids.Machine]bool
	fleet  *liveness.Fleet
	// coming counts, by type, the booting machines that no other is provisioned in place of.
	coming map[string]int
	// silentAfter is the silence that makes a machine count as silent without any probe.
	silentAfter time.Duration
}

// machinesToTerminate implements Planner.MachinesToTerminate.
func (t *terminator) machinesToTerminate(now time.Time, needed map[ids.Machine]bool) []ids.Machine {
	view := &fleetView{now: now, needed: needed, fleet: t.Zones.Update(t.Machines, t.StoreAvailable()), coming: t.boots.countComing(now),
		silentAfter: 3*t.reportInterval().Duration() + 4*time.Second}
	var names []ids.Machine
	for _, machine := range t.Machines.Machines {
		t.updateNeed(machine, view)
		if !machine.Deleting {
			if reason := t.reason(machine, view); reason != "" {
				slog.Info("machine terminated", "machine", machine.Name, "type", machine.Type, "spot", machine.Spot, "why", reason)
				machine.Deleting, machine.DeleteReason = true, reason
			}
		}
		if machine.Deleting {
			names = append(names, machine.Name)
		}
	}
	slices.Sort(names)
	return names
}

// updateNeed records when a machine was last needed, and whether to delete it once it is empty. Machines
// with accelerators that are not needed are to be emptied: cheap work that could run elsewhere must not
// keep them.
func (t *terminator) updateNeed(machine *worker.Machine, view *fleetView) {
	if !machine.HasReported || t.isKept(machine, view) {
		machine.LastNeededAt = view.now
	}
	offer := t.Capacity.Type(machine.Type)
	hasAccelerators := offer != nil && offer.Accels > 0
	machine.DeleteWhenEmpty = t.consolidator.isEmptying(machine.Name) || hasAccelerators && t.idleReturnPassed(machine.LastNeededAt, view.now)
	if machine.DeleteWhenEmpty {
		t.Machines.MarkLeaving(machine.Name)
	}
}

// isKept reports whether the plan of the fleet or a rollout keeps a machine.
func (t *terminator) isKept(machine *worker.Machine, view *fleetView) bool {
	return view.needed[machine.Name] || t.Rollouts.Keeps(machine.Name)
}

// idleReturnPassed reports whether the time after which idle machines are returned has passed since a
// moment.
func (t *terminator) idleReturnPassed(moment, now time.Time) bool {
	return now.Sub(moment).Seconds() > t.Settings.Operator.IdleReturnS
}

// reason returns why a machine is to be deleted; it is empty if the machine stays.
func (t *terminator) reason(machine *worker.Machine, view *fleetView) string {
	empty := len(t.Capacity.AssignmentsOn(machine.Name)) == 0
	if reason := t.endReason(machine, empty, view.now); reason != "" {
		return reason
	}
	if machine.HasReported {
		if reason := t.silenceReason(machine, view); reason != "" {
			return reason
		}
	} else if reason, decided := t.neverReportedReason(machine, empty, view); decided {
		return reason
	}
	if order, _ := t.Rollouts.OrderFor(machine.Name); order.Return && empty {
		return fmt.Sprintf("rollout %s has emptied it", order.Rollout)
	}
	if machine.HasReported && empty {
		return t.idleReason(machine, view)
	}
	return ""
}

// endReason returns why a machine has ended by itself or has been emptied on purpose; empty if it has
// not.
func (t *terminator) endReason(machine *worker.Machine, empty bool, now time.Time) string {
	switch {
	case machine.Failed:
		return "it stopped by itself"
	case t.cloudList.misses(machine):
		return "the cloud does not list it"
	case !machine.SpotTerminationAt.IsZero() && (now.After(machine.SpotTerminationAt) || empty):
		return "the cloud takes it back"
	case machine.DrainReason != "" && empty:
		return machine.DrainReason
	case t.consolidator.isEmptying(machine.Name) && empty:
		return "its work was moved together with other work"
	}
	return ""
}

const (
	// silentProbes is how many unanswered probes make a short silence count as a failure.
	silentProbes = 2
	// unreachableCalls is how many unanswered calls show that nothing reaches a machine.
	unreachableCalls = 3
	// neverReportedProbes is how many unanswered probes show that a machine is gone which has tasks of an
	// earlier leader and has never reported to this one.
	neverReportedProbes = 4
)

// silenceReason returns why a machine that has reported counts as failed; empty if it does not.
func (t *terminator) silenceReason(machine *worker.Machine, view *fleetView) string {
	silence, limit := machine.SilentFor(view.now), t.silenceLimit(machine)
	silent := silence > view.silentAfter || machine.UnansweredProbes >= silentProbes && silence > limit
	unreachable := machine.FailedCalls >= unreachableCalls && view.now.Sub(machine.UnreachableSince) > limit
	switch {
	case silent && view.fleet.IsIsolatedFailure(machine):
		return "silent"
	case unreachable && view.fleet.IsIsolatedFailure(machine):
		return "nothing reaches it"
	}
	return ""
}

// neverReportedReason returns why a machine that has never reported to this leader is given up. decided
// reports whether the answer is final, so that no other reason applies.
func (t *terminator) neverReportedReason(machine *worker.Machine, empty bool, view *fleetView) (reason string, decided bool) {
	if machine.Booting {
		return t.boots.reasonToAbandon(machine, t.isKept(machine, view), view.coming, view.now), true
	}
	known := view.now.Sub(machine.DiscoveredAt)
	unreachable := machine.UnansweredProbes >= neverReportedProbes || machine.Addr == "" && known > view.silentAfter
	switch {
	case (known > 2*view.silentAfter || !empty && unreachable) && view.fleet.IsIsolatedFailure(machine):
		// It had tasks of an earlier leader and neither answers nor is listed: deleting it proves that its
		// tasks are gone.
		return "up but never heard", true
	case view.fleet.OnlyZoneUnreachable(machine.Zone) && t.leasesExpireSoon(view.now) && t.hasRestartableReplica(machine, view.fleet):
		return "its zone is dark, and its replicas can start elsewhere", true
	}
	return "", false
}

// leasesExpireSoon reports whether silence counts in less than two thirds of a lease.
func (t *terminator) leasesExpireSoon(now time.Time) bool {
	return t.TrustSilence().Sub(now) < t.Settings.Params.Workers.LeaseS.Duration()*2/3
}

// idleReason returns why a machine without tasks is returned; empty if it stays.
func (t *terminator) idleReason(machine *worker.Machine, view *fleetView) string {
	switch {
	case t.isKept(machine, view):
	case t.shortage.ofOthers:
		return releasedForOtherShard
	case t.idleReturnPassed(machine.IdleSince, view.now) && view.now.Sub(machine.ProvisionedAt) > minConsolidatedAge:
		return "idle"
	}
	return ""
}

// hasRestartableReplica reports whether a machine has a replica that may start in a zone that is
// reachable. A leader knows when the leases of an unreachable zone's machines expire only if it has
// answered them itself. After a takeover it would have to wait long after most of the replicas have
// ended, while the cloud's word that a machine is deleted is proof at once. If the partition is older
// than the takeover, the first replicas end two thirds of a lease before silence counts. Nothing is
// deleted earlier than that, since the partition may end first.
func (t *terminator) hasRestartableReplica(machine *worker.Machine, fleet *liveness.Fleet) bool {
	for assignment := range t.Capacity.AssignmentsOn(machine.Name) {
		if spec := &assignment.Job.Record.Spec; spec.Shape != record.Service || spec.Zone != "" || !assignment.Job.Schedulable() {
			continue
		}
		spread := scheduler.ZoneSpreadOf(assignment.Job, t.Machines)
		for _, zone := range t.Settings.Params.Zones {
			if fleet.ZoneReachable(zone) && spread.Allowed(zone, 1) > 0 {
				return true
			}
		}
	}
	return false
}

// MaxReplicaSilence is the longest silence, with unanswered probes, before a machine with replicas is
// given up.
const MaxReplicaSilence = 4 * time.Second

// silenceLimit returns how long a machine may be silent that leaves probes unanswered. It is short, since
// its replicas are down meanwhile. A controller that is itself cut off sees many such machines and then
// deletes none.
func (t *terminator) silenceLimit(machine *worker.Machine) time.Duration {
	limit := t.reportInterval().Duration()
	if node := t.Capacity.Node(machine.Name); node != nil && node.Replicas > 0 {
		limit = min(limit, MaxReplicaSilence)
	}
	return limit
}
