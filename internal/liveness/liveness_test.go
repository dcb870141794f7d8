package liveness

import (
	"fmt"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

var now = time.Now()

// fleetOf returns a registry with machines that have just reported: perZone machines in each of the zones
// north, south and west, named after their zone and number.
func fleetOf(perZone int) *worker.Registry {
	machines := worker.NewRegistry(20)
	for _, zone := range []string{"north", "south", "west"} {
		for i := range perZone {
			machine := machines.Ensure(ids.Machine(fmt.Sprintf("%s%d", zone, i)), now, now)
			machine.Zone, machine.HasReported = zone, true
		}
	}
	return machines
}

// silence makes the first count machines of a zone silent for ten seconds, with unanswered probes.
func silence(machines *worker.Registry, zone string, count int) {
	for i := range count {
		machine := machines.Machines[ids.Machine(fmt.Sprintf("%s%d", zone, i))]
		machine.LastReportAt, machine.SuspectSince, machine.UnansweredProbes = now.Add(-10*time.Second), now.Add(-8*time.Second), 2
	}
}

func TestFailedMachinesAreDistinguishedFromPartitions(t *testing.T) {
	for _, c := range []struct {
		name                string
		perZone             int
		silent              map[string]int
		storeDown           bool
		isolated            bool // only north0 has failed
		zoneUnreachable     bool // north is unreachable
		onlyZoneUnreachable bool
		lostContact         bool
	}{
		{name: "one of many", perZone: 6, silent: map[string]int{"north": 1}, isolated: true},
		{name: "one, while nothing can be stored", perZone: 6, silent: map[string]int{"north": 1}, storeDown: true},
		{name: "half of a zone, while the rest reports", perZone: 6, silent: map[string]int{"north": 3}, isolated: true},
		{name: "a whole zone", perZone: 6, silent: map[string]int{"north": 6}, zoneUnreachable: true, onlyZoneUnreachable: true},
		{name: "a whole small zone", perZone: 2, silent: map[string]int{"north": 2}, isolated: true},
		{name: "two zones", perZone: 6, silent: map[string]int{"north": 6, "south": 6}, zoneUnreachable: true},
		{name: "all", perZone: 6, silent: map[string]int{"north": 6, "south": 6, "west": 6}, zoneUnreachable: true, lostContact: true},
		{name: "all, while nothing can be stored", perZone: 6, silent: map[string]int{"north": 6, "south": 6, "west": 6}, storeDown: true, zoneUnreachable: true},
	} {
		machines := fleetOf(c.perZone)
		for zone, count := range c.silent {
			silence(machines, zone, count)
		}
		fleet := Measure(machines, !c.storeDown)
		if got := fleet.IsIsolatedFailure(machines.Machines["north0"]); got != c.isolated {
			t.Errorf("%s: isolated failure %v", c.name, got)
		}
		if got := fleet.UnreachableZones()["north"]; got != c.zoneUnreachable || fleet.ZoneReachable("north") == got {
			t.Errorf("%s: zone unreachable %v, reachable %v", c.name, got, fleet.ZoneReachable("north"))
		}
		if got := fleet.OnlyZoneUnreachable("north"); got != c.onlyZoneUnreachable {
			t.Errorf("%s: only zone north unreachable %v", c.name, got)
		}
		if got := fleet.LostContact(now); got != c.lostContact {
			t.Errorf("%s: contact with the machines lost %v", c.name, got)
		}
	}
}

func TestReportsDuringTheSilenceDecideWhatHasFailed(t *testing.T) {
	for _, c := range []struct {
		name            string
		perZone         int
		silent          int             // number of silent machines in zone north
		overdue         map[string]bool // zones whose other machines last reported before the silence
		isolated        bool
		zoneUnreachable bool
	}{
		{name: "all have", perZone: 6, silent: 3, isolated: true},
		{name: "nobody in the zone", perZone: 6, silent: 3, overdue: map[string]bool{"north": true}, zoneUnreachable: true},
		{name: "nobody in the zone, too few silent", perZone: 6, silent: 2, overdue: map[string]bool{"north": true}},
		{name: "few in all", perZone: 3, silent: 1, overdue: map[string]bool{"north": true, "south": true}},
	} {
		machines := fleetOf(c.perZone)
		for _, machine := range machines.Machines {
			if c.overdue[machine.Zone] {
				machine.LastReportAt = now.Add(-9 * time.Second)
			}
		}
		silence(machines, "north", c.silent)
		fleet := Measure(machines, true)
		isolated, zoneUnreachable := fleet.IsIsolatedFailure(machines.Machines["north0"]), fleet.UnreachableZones()["north"]
		if isolated != c.isolated || zoneUnreachable != c.zoneUnreachable {
			t.Errorf("%s: isolated failure %v, zone unreachable %v", c.name, isolated, zoneUnreachable)
		}
	}
}

func TestRecoveredZoneResetsTheProbesOfItsMachines(t *testing.T) {
	machines, zones := fleetOf(6), NewZones()
	silence(machines, "north", 6)
	zones.Update(machines, true)
	if !zones.Unreachable("north") || zones.Unreachable("south") {
		t.Fatal("the silent zone is not the only unreachable zone")
	}
	first := machines.Machines["north0"]
	first.LastReportAt, first.UnansweredProbes = now, 0
	fleet := zones.Update(machines, true)
	other := machines.Machines["north1"]
	if zones.Unreachable("north") || other.UnansweredProbes != 0 || fleet.silent != 0 {
		t.Errorf("after a report from the zone: unreachable %v, %d probes unanswered, %d machines silent", zones.Unreachable("north"), other.UnansweredProbes, fleet.silent)
	}
}

func TestLeaderIsIsolatedIfOthersReachMoreWorkers(t *testing.T) {
	for _, c := range []struct {
		name       string
		silent     int // of six machines
		redirected int // number of the silent machines that other controllers redirected
		ago        time.Duration
		want       bool
	}{
		{name: "most redirected and silent", silent: 5, redirected: 4, ago: 2 * time.Second, want: true},
		{name: "silent, but not seen by others", silent: 5, redirected: 0},
		{name: "more of them report", silent: 3, redirected: 3, ago: 2 * time.Second},
		{name: "silent no longer than the redirection is old", silent: 5, redirected: 4, ago: 9500 * time.Millisecond},
		{name: "only one", silent: 6, redirected: 1, ago: 2 * time.Second},
	} {
		machines := fleetOf(2)
		var redirected []RedirectedWorker
		for i, machine := range machines.Sorted() {
			if i < c.silent {
				machine.LastReportAt = now.Add(-10 * time.Second)
			}
			if i < c.redirected {
				redirected = append(redirected, RedirectedWorker{Machine: machine.Name, Ago: c.ago})
			}
		}
		if got := IsolatedFromWorkers(machines, redirected, 2, now); got != c.want {
			t.Errorf("%s: leader isolated from workers %v", c.name, got)
		}
	}
}
