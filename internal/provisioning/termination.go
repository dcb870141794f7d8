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

// terminationView is what machines are judged by, gathered once for all of them.
type terminationView struct {
	now         time.Time
	needed      map[ids.Machine]bool
	fleet       *liveness.Fleet
	booting     map[string]int // on their way and covering a need, by type
	silentAfter time.Duration  // silence that needs no probe to be believed
}

// MachinesToTerminate picks the machines to delete now, by name, and marks them so that nothing more is
// assigned there. Needed are those that a plan of the whole fleet keeps.
func (p *Planner) MachinesToTerminate(now time.Time, needed map[ids.Machine]bool) []ids.Machine {
	view := &terminationView{now: now, needed: needed, fleet: p.Zones.Update(p.Machines, p.StoreAvailable()), booting: p.countBooting(now),
		silentAfter: 3*p.reportInterval().Duration() + 4*time.Second}
	var names []ids.Machine
	for _, machine := range p.Machines.Machines {
		p.noteNeed(machine, view)
		if !machine.Deleting {
			if reason := p.terminationReason(machine, view); reason != "" {
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

// noteNeed notes whether a machine is needed, and whether it is to be deleted once it is empty: dear
// machines are not kept by cheap work that could run elsewhere.
func (p *Planner) noteNeed(machine *worker.Machine, view *terminationView) {
	if view.needed[machine.Name] || !machine.HasReported || p.Rollouts.Keeps(machine.Name) {
		machine.LastNeededAt = view.now
	}
	offer := p.Capacity.Type(machine.Type)
	dear := offer != nil && offer.Accels > 0
	machine.DeleteWhenEmpty = machine.Name == p.consolidation.machine || dear && p.isIdleSince(machine.LastNeededAt, view.now)
	if machine.DeleteWhenEmpty {
		p.Machines.MarkLeaving(machine.Name)
	}
}

// isIdleSince tells whether the time after which idle machines go back has passed since a moment.
func (p *Planner) isIdleSince(moment, now time.Time) bool {
	return now.Sub(moment).Seconds() > p.Settings.Operator.IdleReturnS
}

// terminationReason tells why a machine is to be deleted; empty: it stays.
func (p *Planner) terminationReason(machine *worker.Machine, view *terminationView) string {
	empty := len(p.Capacity.AssignmentsOn(machine.Name)) == 0
	if reason := p.endReason(machine, empty, view); reason != "" {
		return reason
	}
	if machine.HasReported {
		if reason := p.silenceReason(machine, view); reason != "" {
			return reason
		}
	} else if reason, decided := p.unheardReason(machine, empty, view); decided {
		return reason
	}
	if order, _ := p.Rollouts.OrderFor(machine.Name); order.Return && empty {
		return fmt.Sprintf("rollout %s has emptied it", order.Rollout)
	}
	if machine.HasReported && empty {
		return p.idleReason(machine, view)
	}
	return ""
}

// endReason tells why a machine is over, or has been emptied on purpose.
func (p *Planner) endReason(machine *worker.Machine, empty bool, view *terminationView) string {
	switch {
	case machine.Failed:
		return "it stopped by itself"
	case p.missingFromCloud(machine):
		return "the cloud does not list it"
	case !machine.SpotTerminationAt.IsZero() && (view.now.After(machine.SpotTerminationAt) || empty):
		return "the cloud takes it back"
	case machine.DrainReason != "" && empty:
		return machine.DrainReason
	case machine.Name == p.consolidation.machine && empty:
		return "its work was moved together with other work"
	}
	return ""
}

const (
	// unansweredProbesBelieved is how many probes in vain make a short silence believed.
	unansweredProbesBelieved = 2
	// failedCallsBelieved is how many calls in vain tell that nothing reaches a machine.
	failedCallsBelieved = 3
	// unansweredProbesUnheard is how many probes in vain tell that a machine which held tasks for an
	// earlier leader is gone.
	unansweredProbesUnheard = 4
)

// silenceReason tells why a machine that reported counts as failed; empty: it does not.
func (p *Planner) silenceReason(machine *worker.Machine, view *terminationView) string {
	silence, limit := machine.SilentFor(view.now), p.silenceLimit(machine)
	silent := silence > view.silentAfter || machine.UnansweredProbes >= unansweredProbesBelieved && silence > limit
	unreached := machine.FailedCalls >= failedCallsBelieved && view.now.Sub(machine.UnreachableSince) > limit
	switch {
	case silent && view.fleet.IsIsolatedFailure(machine):
		return "silent"
	case unreached && view.fleet.IsIsolatedFailure(machine):
		return "nothing reaches it"
	}
	return ""
}

// unheardReason tells why a machine that never reported to this leader is given up; decided tells that
// no other reason is to be looked for.
func (p *Planner) unheardReason(machine *worker.Machine, empty bool, view *terminationView) (reason string, decided bool) {
	if machine.Booting {
		kept := view.needed[machine.Name] || p.Rollouts.Keeps(machine.Name)
		return p.reasonToAbandonBoot(machine, kept, view.booting, view.now), true
	}
	known := view.now.Sub(machine.DiscoveredAt)
	unreachable := machine.UnansweredProbes >= unansweredProbesUnheard || machine.Addr == "" && known > view.silentAfter
	switch {
	case (known > 2*view.silentAfter || !empty && unreachable) && view.fleet.IsIsolatedFailure(machine):
		// It held tasks for an earlier leader and neither answers nor is listed: deleting it proves its
		// tasks gone.
		return "up but never heard", true
	case view.fleet.OnlyZoneUnreachable(machine.Zone) && p.leasesExpireSoon(view.now) && p.hasRestartableReplica(machine, view.fleet):
		return "its zone is dark, and its replicas can start elsewhere", true
	}
	return "", false
}

// leasesExpireSoon tells that silence is trusted in less than two thirds of a lease.
func (p *Planner) leasesExpireSoon(now time.Time) bool {
	return p.TrustSilence().Sub(now) < p.Settings.Params.Workers.LeaseS.Duration()*2/3
}

// idleReason tells why a machine that has no task goes back; empty: it stays.
func (p *Planner) idleReason(machine *worker.Machine, view *terminationView) string {
	switch kept := view.needed[machine.Name] || p.Rollouts.Keeps(machine.Name); {
	case kept:
	case p.shortage.ofOthers:
		return releasedForOtherShard
	case p.isIdleSince(machine.IdleSince, view.now) && view.now.Sub(machine.ProvisionedAt) > minConsolidatedAge:
		return "idle"
	}
	return ""
}

// hasRestartableReplica tells whether a machine has a replica that may start in a zone that is heard
// from. A leader knows when the leases of an unreachable zone's machines expire only if it answered them
// itself. After a takeover it would trust that only long after most of the replicas have ended, while
// the cloud's word on a machine deleted is proof at once. Two thirds of a lease before that time the
// first end, if the partition is older than the takeover: not earlier, since it may be over before.
func (p *Planner) hasRestartableReplica(machine *worker.Machine, fleet *liveness.Fleet) bool {
	for assignment := range p.Capacity.AssignmentsOn(machine.Name) {
		if spec := &assignment.Job.Record.Spec; spec.Shape != record.Service || spec.Zone != "" || !assignment.Job.Schedulable() {
			continue
		}
		spread := scheduler.ZoneSpreadOf(assignment.Job, p.Machines)
		for _, zone := range p.Settings.Params.Zones {
			if fleet.ZoneReachable(zone) && spread.Allowed(zone, 1) > 0 {
				return true
			}
		}
	}
	return false
}

// MaxReplicaSilence is the silence, with probes left unanswered in it, after which a machine with
// replicas is given up at the latest.
const MaxReplicaSilence = 4 * time.Second

// silenceLimit is how long a machine that leaves probes unanswered is given. Its replicas are down
// meanwhile, so it is short; a controller that is itself cut off sees many such machines and then
// deletes none.
func (p *Planner) silenceLimit(machine *worker.Machine) time.Duration {
	limit := p.reportInterval().Duration()
	if node := p.Capacity.Node(machine.Name); node != nil && node.Replicas > 0 {
		limit = min(limit, MaxReplicaSilence)
	}
	return limit
}
