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

// terminator decides which machines to delete: those that failed, are silent, were abandoned while booting,
// were emptied or are idle.
type terminator struct {
	*State
	cloudList    *cloudList
	boots        *bootTracker
	consolidator *consolidator
	shortage     *shortageTracker
}

// terminationInputs holds the inputs that are the same for all machines in one call of machinesToTerminate.
type terminationInputs struct {
	now    time.Time
	needed map[ids.Machine]bool
	fleet  *liveness.Fleet
	// expected is the number, by type, of booting machines for which no replacement is provisioned.
	expected map[string]int
	// silentAfter is the duration of silence from which a machine counts as silent without any probe.
	silentAfter time.Duration
}

// machinesToTerminate implements Planner.MachinesToTerminate.
func (t *terminator) machinesToTerminate(now time.Time, needed map[ids.Machine]bool) []ids.Machine {
	inputs := &terminationInputs{now: now, needed: needed, fleet: t.Zones.Update(t.Machines, t.StoreAvailable()), expected: t.boots.countExpected(now),
		silentAfter: 3*t.reportInterval().Duration() + 4*time.Second}
	var names []ids.Machine
	for _, machine := range t.Machines.Machines {
		t.updateNeed(machine, inputs)
		if !machine.Deleting {
			if reason := t.reason(machine, inputs); reason != "" {
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

// updateNeed records the time at which a machine was last needed, and whether to delete it once it is empty.
// A machine with accelerators that has not been needed for the idle return time is to be emptied, so that
// tasks which could run on cheaper machines do not keep it.
func (t *terminator) updateNeed(machine *worker.Machine, inputs *terminationInputs) {
	if !machine.HasReported || t.isKept(machine, inputs) {
		machine.LastNeededAt = inputs.now
	}
	offer := t.Capacity.Type(machine.Type)
	hasAccelerators := offer != nil && offer.Accels > 0
	machine.DeleteWhenEmpty = t.consolidator.isEmptying(machine.Name) || hasAccelerators && t.idleReturnPassed(machine.LastNeededAt, inputs.now)
	if machine.DeleteWhenEmpty {
		t.Machines.MarkLeaving(machine.Name)
	}
}

// isKept reports whether the plan for the fleet or a rollout keeps a machine.
func (t *terminator) isKept(machine *worker.Machine, inputs *terminationInputs) bool {
	return inputs.needed[machine.Name] || t.Rollouts.IsObservedReplacement(machine.Name)
}

// idleReturnPassed reports whether more than the configured idle return time (IdleReturnS) has passed since
// a moment.
func (t *terminator) idleReturnPassed(moment, now time.Time) bool {
	return now.Sub(moment).Seconds() > t.Settings.Operator.IdleReturnS
}

// reason returns the reason to delete a machine, or "" if the machine stays.
func (t *terminator) reason(machine *worker.Machine, inputs *terminationInputs) string {
	empty := len(t.Capacity.AssignmentsOn(machine.Name)) == 0
	if reason := t.endReason(machine, empty, inputs.now); reason != "" {
		return reason
	}
	if machine.HasReported {
		if reason := t.silenceReason(machine, inputs); reason != "" {
			return reason
		}
	} else if reason, decided := t.neverReportedReason(machine, empty, inputs); decided {
		return reason
	}
	if order, _ := t.Rollouts.OrderFor(machine.Name); order.Return && empty {
		return fmt.Sprintf("rollout %s has emptied it", order.Rollout)
	}
	if machine.HasReported && empty {
		return t.idleReason(machine, inputs)
	}
	return ""
}

// endReason returns the reason to delete a machine that failed, is certainly gone from the cloud's list, was
// taken back by the cloud or was emptied on purpose, and "" for other machines.
func (t *terminator) endReason(machine *worker.Machine, empty bool, now time.Time) string {
	switch {
	case machine.Failed:
		return "it stopped by itself"
	case t.cloudList.confirmsGone(machine):
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
	// silentProbes is the number of unanswered probes from which a short silence counts as a failure.
	silentProbes = 2
	// unreachableCalls is the number of failed calls from which a machine counts as unreachable.
	unreachableCalls = 3
	// neverReportedProbes is the number of unanswered probes from which a machine that has tasks of an
	// earlier leader and has never reported to this one counts as gone.
	neverReportedProbes = 4
)

// silenceReason returns the reason to delete a machine that has reported but is now silent or unreachable,
// or "" if it is neither.
func (t *terminator) silenceReason(machine *worker.Machine, inputs *terminationInputs) string {
	silence, limit := machine.SilentFor(inputs.now), t.silenceLimit(machine)
	silent := silence > inputs.silentAfter || machine.UnansweredProbes >= silentProbes && silence > limit
	unreachable := machine.FailedCalls >= unreachableCalls && inputs.now.Sub(machine.UnreachableSince) > limit
	switch {
	case silent && inputs.fleet.IsIsolatedFailure(machine):
		return "silent"
	case unreachable && inputs.fleet.IsIsolatedFailure(machine):
		return "nothing reaches it"
	}
	return ""
}

// neverReportedReason returns the reason to delete a machine that has never reported to this leader, or "".
// decided reports whether the result is final, so that the caller must not check for other reasons.
func (t *terminator) neverReportedReason(machine *worker.Machine, empty bool, inputs *terminationInputs) (reason string, decided bool) {
	if machine.Booting {
		return t.boots.reasonToAbandon(machine, t.isKept(machine, inputs), inputs.expected, inputs.now), true
	}
	knownFor := inputs.now.Sub(machine.DiscoveredAt)
	unreachable := machine.UnansweredProbes >= neverReportedProbes || machine.Addr == "" && knownFor > inputs.silentAfter
	switch {
	case (knownFor > 2*inputs.silentAfter || !empty && unreachable) && inputs.fleet.IsIsolatedFailure(machine):
		// Tasks of an earlier leader may still run on the machine, which does not answer or has no known
		// address. Deleting the machine makes certain that they do not.
		return "up but never heard", true
	case inputs.fleet.OnlyZoneUnreachable(machine.Zone) && t.leasesExpireSoon(inputs.now) && t.hasRestartableReplica(machine, inputs.fleet):
		return "its zone is dark, and its replicas can start elsewhere", true
	}
	return "", false
}

// leasesExpireSoon reports whether less than two thirds of a lease remain until silence counts.
func (t *terminator) leasesExpireSoon(now time.Time) bool {
	return t.EarliestLeaseExpiry().Sub(now) < t.Settings.Params.Workers.LeaseS.Duration()*2/3
}

// idleReason returns the reason to return a machine without tasks, or "" if it stays.
func (t *terminator) idleReason(machine *worker.Machine, inputs *terminationInputs) string {
	switch {
	case t.isKept(machine, inputs):
	case t.shortage.othersHaveShortage:
		return releasedForOtherShard
	case t.idleReturnPassed(machine.IdleSince, inputs.now) && inputs.now.Sub(machine.ProvisionedAt) > minConsolidatedAge:
		return "idle"
	}
	return ""
}

// hasRestartableReplica reports whether a machine has a replica that may be started in a reachable zone. If
// so, deleting a machine of an unreachable zone is better than waiting for its lease to expire. A leader
// knows when such a lease expires only if it has itself answered the machine's reports. After a takeover it
// would have to wait until long after most of the replicas have ended, whereas the cloud's confirmation of a
// deletion proves at once that they have. If the partition began before the takeover, the first replicas end
// two thirds of a lease before silence counts. Nothing is deleted earlier, because the partition may end
// first.
func (t *terminator) hasRestartableReplica(machine *worker.Machine, fleet *liveness.Fleet) bool {
	for assignment := range t.Capacity.AssignmentsOn(machine.Name) {
		if spec := &assignment.Job.Record.Spec; spec.JobType != record.Service || spec.Zone != "" || !assignment.Job.Schedulable() {
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

// MaxReplicaSilence is the longest time for which a machine with replicas may be silent and leave probes
// unanswered before it is deleted.
const MaxReplicaSilence = 4 * time.Second

// silenceLimit returns the time for which a machine may be silent while it leaves probes unanswered. The
// limit is short for a machine with replicas, because they may be down during that time. A controller
// that is itself cut off sees many silent machines and then deletes none.
func (t *terminator) silenceLimit(machine *worker.Machine) time.Duration {
	limit := t.reportInterval().Duration()
	if node := t.Capacity.Node(machine.Name); node != nil && node.Replicas > 0 {
		limit = min(limit, MaxReplicaSilence)
	}
	return limit
}
