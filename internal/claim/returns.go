package claim

import (
	"fmt"
	"log/slog"
	"slices"
	"sort"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// MachinesToTerminate picks the machines to delete now, and marks them so that nothing
// more is placed there.
func (c *ClusterState) MachinesToTerminate(now time.Time, needed map[ids.Machine]bool) []ids.Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	silentAfter := 3*c.settings.Params.Workers.ReportS.Duration() + 4*time.Second
	var out []ids.Machine
	liveness := c.updateZoneLiveness()
	liveness.booting, _ = c.countBooting(now)
	for _, machine := range c.machines.Machines {
		if needed[machine.Name] || !machine.HasReported || c.keptByRollout(machine.Name) {
			machine.LastNeededAt = now
		}
		// Dear machines are not kept by cheap work that could run elsewhere.
		machineType := c.capacity.Type(machine.Type)
		machine.DeleteWhenEmpty = machine.Name == c.consolidating || machineType != nil && machineType.Accels > 0 && now.Sub(machine.LastNeededAt).Seconds() > c.settings.Operator.IdleReturnS
		if machine.DeleteWhenEmpty {
			c.leaving[machine.Name] = true
		}
		if why := c.terminationReason(machine, now, silentAfter, needed, liveness); why != "" || machine.Deleting {
			if !machine.Deleting {
				slog.Info("machine returned", "machine", machine.Name, "type", machine.Type, "spot", machine.Spot, "why", why)
				machine.Deleting, machine.DeleteReason = true, why
			}
			out = append(out, machine.Name)
		}
	}
	sort.Slice(out, func(x, y int) bool { return out[x] < out[y] })
	return out
}

// keptByRollout tells that a machine replaces another one and is still observed.
func (c *ClusterState) keptByRollout(name ids.Machine) bool {
	return c.drains != nil && c.drains.orders != nil && c.drains.orders.Keep[name]
}

func (c *ClusterState) terminationReason(machine *worker.Machine, now time.Time, silentAfter time.Duration, needed map[ids.Machine]bool, liveness *fleetLiveness) string {
	empty := len(c.capacity.AssignmentsOn(machine.Name)) == 0
	order, _ := c.drains.orderFor(machine.Name)
	kept := needed[machine.Name] || c.keptByRollout(machine.Name)
	switch {
	case machine.Failed:
		return "it stopped by itself"
	case c.missingFromCloud(machine):
		return "the cloud does not list it"
	case !machine.SpotTerminationAt.IsZero() && (now.After(machine.SpotTerminationAt) || empty):
		return "the cloud takes it back"
	case machine.DrainReason != "" && empty:
		return machine.DrainReason
	case machine.Name == c.consolidating && empty:
		return "its work was moved together with other work"
	case machine.HasReported && (machine.SilentFor(now) > silentAfter || machine.UnansweredProbes >= 2 && machine.SilentFor(now) > c.silenceLimit(machine)) && liveness.isolatedFailure(machine):
		return "silent"
	case machine.HasReported && machine.FailedCalls >= 3 && now.Sub(machine.UnreachableSince) > c.silenceLimit(machine) && liveness.isolatedFailure(machine):
		return "nothing reaches it"
	case !machine.HasReported && machine.Booting:
		return c.reasonToAbandonBoot(machine, kept, liveness.booting, now)
	case !machine.HasReported && !machine.Booting && liveness.isolatedFailure(machine) && (now.Sub(machine.DiscoveredAt) > 2*silentAfter || !empty && (machine.UnansweredProbes >= 4 || machine.Addr == "" && now.Sub(machine.DiscoveredAt) > silentAfter)):
		// It held tasks for an earlier leader and neither answers nor is
		// listed: returning it proves its tasks gone.
		return "up but never heard"
	case !machine.HasReported && !machine.Booting && liveness.zoneUnreachable(machine.Zone) && c.trustSilence.Sub(now) < c.settings.Params.Workers.LeaseS.Duration()*2/3 && c.hasRestartableReplica(machine, liveness):
		return "its zone is dark, and its replicas can start elsewhere"
	case order.Return && empty:
		return fmt.Sprintf("rollout %s has emptied it", order.Rollout)
	case machine.HasReported && empty && !kept && c.otherShardsShort:
		return releasedForOtherShard
	case machine.HasReported && empty && !kept && now.Sub(machine.IdleSince).Seconds() > c.settings.Operator.IdleReturnS && now.Sub(machine.ProvisionedAt) > time.Minute:
		return "idle"
	}
	return ""
}

// zoneUnreachable tells whether a zone, and not most of the fleet, is silent.
func (l *fleetLiveness) zoneUnreachable(zone string) bool {
	zoneState := l.zones[zone]
	return l.storeAvailable && zoneState != nil && zoneState.unreachable && l.silent <= l.all*2/5
}

// hasRestartableReplica tells whether a machine has a replica that may start in a zone that is
// not dark. A leader knows when the leases of a dark zone's machines lapse only
// if it answered them itself. After a takeover it would trust that only long
// after most of the replicas have ended, while the cloud's word on a machine
// returned is proof at once. Two thirds of a lease before that time the first
// end, if the cut is older than the takeover: not earlier, since it may be over
// before.
func (c *ClusterState) hasRestartableReplica(machine *worker.Machine, liveness *fleetLiveness) bool {
	for assignment := range c.capacity.AssignmentsOn(machine.Name) {
		if spec := &assignment.Job.Record.Spec; spec.Shape != record.Service || spec.Zone != "" || !assignment.Job.Schedulable() {
			continue
		}
		spread := scheduler.ZoneSpreadOf(assignment.Job, c.machines)
		for _, zone := range c.settings.Params.Zones {
			if zoneState := liveness.zones[zone]; zoneState != nil && !zoneState.unreachable && spread.Allowed(zone, 1) > 0 {
				return true
			}
		}
	}
	return false
}

// maxReplicaSilence is the silence, with questions left unanswered in it, after which a
// machine with replicas is given up at the latest.
const maxReplicaSilence = 4 * time.Second

// silenceLimit is how long a machine that leaves questions unanswered is given.
// Its replicas are down meanwhile, so it is short; a node that is itself cut
// off sees many such machines and then returns none.
func (c *ClusterState) silenceLimit(machine *worker.Machine) time.Duration {
	d := c.settings.Params.Workers.ReportS.Duration()
	if node := c.capacity.Node(machine.Name); node != nil && node.Replicas > 0 {
		d = min(d, maxReplicaSilence)
	}
	return d
}

// fleetLiveness is who is heard and who is not, counted once for all machines that
// are judged by it.
type fleetLiveness struct {
	storeAvailable bool
	zones          map[string]*zoneLiveness
	all, silent    int
	lastHeard      heardTimes     // of those heard
	booting        map[string]int // on their way and covering a need, by type
}

// zoneLiveness is the same of one zone. It is dark when half of its machines were
// asked in vain since anyone there was last heard. Fewer may be lost at once, and
// in a small zone a second or more goes by between the reports of the others.
type zoneLiveness struct {
	all         int
	lastHeard   heardTimes
	unanswered  int
	unreachable bool
}

func (c *ClusterState) updateZoneLiveness() *fleetLiveness {
	liveness := c.measureLiveness()
	lit := false
	for name, zoneState := range liveness.zones {
		if c.unreachableZones[name] && !zoneState.unreachable {
			lit = true
			c.resetZone(name)
		}
		c.unreachableZones[name] = zoneState.unreachable
	}
	if lit {
		liveness = c.measureLiveness()
	}
	return liveness
}

// measureLiveness looks at who is heard and who is not.
func (c *ClusterState) measureLiveness() *fleetLiveness {
	liveness := &fleetLiveness{storeAvailable: c.StoreAvailable(), zones: map[string]*zoneLiveness{}}
	var silent []*worker.Machine
	for _, other := range c.machines.Machines {
		if other.Booting || other.Deleting || other.Failed || !other.HasReported && other.UnansweredProbes == 0 {
			continue
		}
		zoneState := liveness.zones[other.Zone]
		if zoneState == nil {
			zoneState = &zoneLiveness{}
			liveness.zones[other.Zone] = zoneState
		}
		liveness.all++
		zoneState.all++
		if other.HasReported && !other.Suspect() {
			liveness.lastHeard.add(other.LastReportAt)
			zoneState.lastHeard.add(other.LastReportAt)
		} else {
			silent = append(silent, other)
		}
	}
	liveness.silent = len(silent)
	for _, other := range silent {
		if zoneState := liveness.zones[other.Zone]; other.UnansweredProbes > 0 && zoneState.lastHeard.after(other.SuspectSince) == 0 {
			zoneState.unanswered++
		}
	}
	for _, zoneState := range liveness.zones {
		zoneState.unreachable = zoneState.unanswered >= max(3, zoneState.all/2)
	}
	return liveness
}

// heardTimes are when machines were last heard. Most looks at the fleet find no machine
// silent and never ask, so the times are put in order only for the first question.
type heardTimes struct {
	times   []time.Time
	ordered bool
}

func (h *heardTimes) add(t time.Time) { h.times, h.ordered = append(h.times, t), false }

// after counts the times after t.
func (h *heardTimes) after(t time.Time) int {
	if !h.ordered {
		slices.SortFunc(h.times, time.Time.Compare)
		h.ordered = true
	}
	return len(h.times) - sort.Search(len(h.times), func(k int) bool { return h.times[k].After(t) })
}

// resetZone begins to judge a zone's machines anew: it was dark and somebody
// there is heard again, so the others get the time to be heard too.
func (c *ClusterState) resetZone(zone string) {
	now := time.Now()
	slog.Info("heard from a zone again that was dark", "zone", zone)
	for _, machine := range c.machines.Machines {
		if machine.Zone == zone && machine.Suspect() {
			machine.UnansweredProbes, machine.UnreachableSince, machine.FailedCalls = 0, time.Time{}, 0
			machine.SuspectSince, machine.LastProbeAt, machine.DiscoveredAt = now, time.Time{}, now
		}
	}
}

// isolatedFailure tells whether a machine's silence is its own: since it was first asked
// in vain most others have been heard, and not many more are silent. Reports
// come seconds apart, so that right after this node is cut off only the first
// few machines look silent; what counts is who was heard after. The same goes
// for its zone: where machines with replicas are asked sooner than others, they
// are the first to look silent of a zone that went dark.
func (l *fleetLiveness) isolatedFailure(machine *worker.Machine) bool {
	// While nothing can be stored, what ran there could not be started
	// elsewhere; if all of a zone is cut off or down, the leases decide.
	if !l.storeAvailable {
		return false
	}
	if zoneState := l.zones[machine.Zone]; zoneState != nil && (zoneState.unreachable || zoneState.all > 3 && zoneState.lastHeard.after(machine.SuspectSince.Add(probeTimeout)) < max(1, zoneState.all/4)) {
		return false
	}
	since := l.lastHeard.after(machine.SuspectSince)
	return l.silent <= max(1, l.all*2/5) && since >= (l.all-l.silent+1)/2 && since > 0
}

// UnreachableZones lists the zones of which nothing is heard any more. Work in a zone
// that is only cut off goes on, and a third of the fleet is not rented anew for
// that: its machines are left until their leases have surely lapsed. Nothing is
// rented there meanwhile.
func (c *ClusterState) UnreachableZones() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	dark := map[string]bool{}
	for name, zoneState := range c.updateZoneLiveness().zones {
		if zoneState.unreachable {
			dark[name] = true
		}
	}
	return dark
}
