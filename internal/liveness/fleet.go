// Package liveness judges which machines, and which zones, are heard from. One silent machine has
// failed; many silent ones may be cut off, or this controller may be. It takes no lock: internal/clusterstate's
// ClusterState guards the machines.
package liveness

import (
	"slices"
	"sort"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// ProbeTimeout is how long a probe may take to be answered.
const ProbeTimeout = 800 * time.Millisecond

// Fleet is who is heard from and who is not, counted once for all machines that are judged by it.
type Fleet struct {
	storeAvailable bool
	zones          map[string]*zone
	all, silent    int
	lastHeard      heardTimes // of those heard
}

// zone is the same of one zone. It is unreachable when half of its machines were probed in vain since
// anyone there was last heard. Fewer may be lost at once, and in a small zone a second or more goes by
// between the reports of the others.
type zone struct {
	all         int
	lastHeard   heardTimes
	unanswered  int
	unreachable bool
}

// minUnanswered is of how many machines at least a zone's probes are unanswered if it is unreachable.
const minUnanswered = 3

// Measure looks at who is heard from. While the store is not available nobody is judged: what ran on a
// machine could not be started elsewhere.
func Measure(machines *worker.Registry, storeAvailable bool) *Fleet {
	fleet := &Fleet{storeAvailable: storeAvailable, zones: map[string]*zone{}}
	var silent []*worker.Machine
	for _, machine := range machines.Machines {
		if machine.Booting || machine.Deleting || machine.Failed || !machine.HasReported && machine.UnansweredProbes == 0 {
			continue
		}
		zone := fleet.ensureZone(machine.Zone)
		fleet.all++
		zone.all++
		if machine.HasReported && !machine.Suspect() {
			fleet.lastHeard.add(machine.LastReportAt)
			zone.lastHeard.add(machine.LastReportAt)
		} else {
			silent = append(silent, machine)
		}
	}
	fleet.silent = len(silent)
	for _, machine := range silent {
		if zone := fleet.zones[machine.Zone]; machine.UnansweredProbes > 0 && zone.lastHeard.after(machine.SuspectSince) == 0 {
			zone.unanswered++
		}
	}
	for _, zone := range fleet.zones {
		zone.unreachable = zone.unanswered >= max(minUnanswered, zone.all/2)
	}
	return fleet
}

func (f *Fleet) ensureZone(name string) *zone {
	found := f.zones[name]
	if found == nil {
		found = &zone{}
		f.zones[name] = found
	}
	return found
}

// UnreachableZones are the zones of which nothing is heard any more.
func (f *Fleet) UnreachableZones() map[string]bool {
	unreachable := map[string]bool{}
	for name, zone := range f.zones {
		if zone.unreachable {
			unreachable[name] = true
		}
	}
	return unreachable
}

// ZoneReachable tells whether a zone has machines and is heard from.
func (f *Fleet) ZoneReachable(name string) bool {
	zone := f.zones[name]
	return zone != nil && !zone.unreachable
}

// OnlyZoneUnreachable tells whether a zone, and not most of the fleet, is silent.
func (f *Fleet) OnlyZoneUnreachable(name string) bool {
	zone := f.zones[name]
	return f.storeAvailable && zone != nil && zone.unreachable && f.silent <= f.all*2/5
}

// smallZone is up to how many machines of a zone nothing follows from how many of them are heard.
const smallZone = 3

// IsIsolatedFailure tells whether a machine's silence is its own: since it was first probed in vain most
// others have been heard, and not many more are silent. Reports come seconds apart, so right after this
// controller is cut off only the first few machines look silent; what counts is who was heard after. The
// same goes for its zone: where machines with replicas are probed sooner than others, they are the first
// to look silent of a zone that is cut off.
func (f *Fleet) IsIsolatedFailure(machine *worker.Machine) bool {
	// While nothing can be stored, what ran there could not be started elsewhere; if all of a zone is
	// cut off or down, the leases decide.
	if !f.storeAvailable {
		return false
	}
	if zone := f.zones[machine.Zone]; zone != nil {
		heardSince := func() int { return zone.lastHeard.after(machine.SuspectSince.Add(ProbeTimeout)) }
		if zone.unreachable || zone.all > smallZone && heardSince() < max(1, zone.all/4) {
			return false
		}
	}
	heard := f.lastHeard.after(machine.SuspectSince)
	return f.silent <= max(1, f.all*2/5) && heard >= (f.all-f.silent+1)/2 && heard > 0
}

// hearingWindow is within which time somebody must have been heard.
const hearingWindow = 2 * time.Second

// HearsNone tells whether next to no machine is heard or answers.
func (f *Fleet) HearsNone(now time.Time) bool {
	return f.storeAvailable && f.silent >= 2 && 4*f.silent >= 3*f.all && f.lastHeard.after(now.Add(-hearingWindow)) == 0
}

// heardTimes are when machines were last heard. Most looks at the fleet find no machine silent and never
// ask, so the times are put in order only for the first question.
type heardTimes struct {
	times   []time.Time
	ordered bool
}

func (h *heardTimes) add(at time.Time) { h.times, h.ordered = append(h.times, at), false }

// after counts the times after one.
func (h *heardTimes) after(at time.Time) int {
	if !h.ordered {
		slices.SortFunc(h.times, time.Time.Compare)
		h.ordered = true
	}
	return len(h.times) - sort.Search(len(h.times), func(k int) bool { return h.times[k].After(at) })
}
