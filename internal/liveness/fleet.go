// Package liveness distinguishes failed machines from network partitions by comparing which machines report
// and which are silent. A single silent machine among many that report has failed; if many machines are
// silent, they or this controller may be cut off from the network.
//
// The package has no lock: the lock of the cluster state that the machines and a Zones belong to guards
// them.
package liveness

import (
	"slices"
	"sort"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// ProbeTimeout is how long a health probe may go unanswered before it counts as failed.
const ProbeTimeout = 800 * time.Millisecond

// Fleet contains the numbers of reporting and of silent machines at one moment, which are used to judge each
// machine.
type Fleet struct {
	storeAvailable bool
	zones          map[string]*zone
	total, silent  int
	lastReports    reportTimes // of the machines that are not silent
}

// zone contains the counts of one zone's machines. The zone is unreachable if half of its machines have
// left probes unanswered and no machine in the zone has reported since. A smaller number of machines may
// have failed independently at the same time, and in a small zone the reports of the others may be more
// than a second apart.
type zone struct {
	total       int
	lastReports reportTimes
	unanswered  int
	unreachable bool
}

// minUnanswered is the minimum number of machines with unanswered probes for a zone to be unreachable.
const minUnanswered = 3

// Measure counts the machines that report and those that are silent. While the state service is not
// available, no machine counts as failed, since its tasks could not be started elsewhere.
func Measure(machines *worker.Registry, storeAvailable bool) *Fleet {
	fleet := &Fleet{storeAvailable: storeAvailable, zones: map[string]*zone{}}
	var silent []*worker.Machine
	for _, machine := range machines.Machines {
		if machine.Booting || machine.Deleting || machine.Failed || !machine.HasReported && machine.UnansweredProbes == 0 {
			continue
		}
		zone := fleet.ensureZone(machine.Zone)
		fleet.total++
		zone.total++
		if machine.HasReported && !machine.IsSuspect() {
			fleet.lastReports.add(machine.LastReportAt)
			zone.lastReports.add(machine.LastReportAt)
		} else {
			silent = append(silent, machine)
		}
	}
	fleet.silent = len(silent)
	for _, machine := range silent {
		if zone := fleet.zones[machine.Zone]; machine.UnansweredProbes > 0 && zone.lastReports.countAfter(machine.SuspectSince) == 0 {
			zone.unanswered++
		}
	}
	for _, zone := range fleet.zones {
		zone.unreachable = zone.unanswered >= max(minUnanswered, zone.total/2)
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

// UnreachableZones returns the set of unreachable zones.
func (f *Fleet) UnreachableZones() map[string]bool {
	unreachable := map[string]bool{}
	for name, zone := range f.zones {
		if zone.unreachable {
			unreachable[name] = true
		}
	}
	return unreachable
}

// ZoneReachable reports whether a zone has machines and is not unreachable.
func (f *Fleet) ZoneReachable(name string) bool {
	zone := f.zones[name]
	return zone != nil && !zone.unreachable
}

// OnlyZoneUnreachable reports whether a zone is unreachable while most of the fleet is not silent.
func (f *Fleet) OnlyZoneUnreachable(name string) bool {
	zone := f.zones[name]
	return f.storeAvailable && zone != nil && zone.unreachable && f.silent <= f.total*2/5
}

// smallZone is the largest number of machines in a zone whose share of reporting machines is not meaningful,
// because the zone is too small.
const smallZone = 3

// IsIsolatedFailure reports whether a machine alone has failed: most other machines have reported since
// the first probe that the machine left unanswered, and few others are silent. Reports are seconds apart, so
// right after this controller is cut off, only a few machines seem silent; the number of machines that have
// reported since that probe is therefore decisive. The same applies to the machine's zone: machines with
// replicas are probed sooner than others, so they are the first to seem silent in a zone that is cut off.
func (f *Fleet) IsIsolatedFailure(machine *worker.Machine) bool {
	// While the state service is not available, the machine's tasks could not be started elsewhere. If a whole
	// zone is cut off or down, its machines are lost only when their leases expire.
	if !f.storeAvailable {
		return false
	}
	if zone := f.zones[machine.Zone]; zone != nil {
		reportedSince := func() int { return zone.lastReports.countAfter(machine.SuspectSince.Add(ProbeTimeout)) }
		if zone.unreachable || zone.total > smallZone && reportedSince() < max(1, zone.total/4) {
			return false
		}
	}
	reported := f.lastReports.countAfter(machine.SuspectSince)
	return f.silent <= max(1, f.total*2/5) && reported >= (f.total-f.silent+1)/2 && reported > 0
}

// reportWindow is the time within which at least one machine of a reachable fleet always reports.
const reportWindow = 2 * time.Second

// LostContact reports whether hardly any machine reports or answers probes while the state service is
// available.
func (f *Fleet) LostContact(now time.Time) bool {
	return f.storeAvailable && f.silent >= 2 && 4*f.silent >= 3*f.total && f.lastReports.countAfter(now.Add(-reportWindow)) == 0
}

// reportTimes contains the times of machines' last reports. The times are sorted only at the first query,
// since they are never queried if no machine is silent, which is the usual case.
type reportTimes struct {
	times  []time.Time
	sorted bool
}

func (r *reportTimes) add(at time.Time) { r.times, r.sorted = append(r.times, at), false }

// countAfter returns the number of reports after a moment.
func (r *reportTimes) countAfter(moment time.Time) int {
	if !r.sorted {
		slices.SortFunc(r.times, time.Time.Compare)
		r.sorted = true
	}
	return len(r.times) - sort.Search(len(r.times), func(i int) bool { return r.times[i].After(moment) })
}
