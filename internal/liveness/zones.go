package liveness

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// Zones remembers which zones were unreachable at the last look. Work in a zone that is only cut off
// goes on, and a third of the fleet is not rented anew for that: its machines are left until their
// leases have surely expired. Nothing is rented there meanwhile.
type Zones struct{ unreachable map[string]bool }

// NewZones begins with all zones reachable.
func NewZones() *Zones { return &Zones{unreachable: map[string]bool{}} }

// Unreachable tells whether a zone was unreachable at the last look.
func (z *Zones) Unreachable(name string) bool { return z.unreachable[name] }

// Update measures the fleet. Where a zone is heard from again, its machines are judged anew and the
// fleet is measured once more.
func (z *Zones) Update(machines *worker.Registry, storeAvailable bool) *Fleet {
	fleet := Measure(machines, storeAvailable)
	recovered := false
	for name, zone := range fleet.zones {
		if z.unreachable[name] && !zone.unreachable {
			recovered = true
			resetZone(machines, name)
		}
		z.unreachable[name] = zone.unreachable
	}
	if recovered {
		fleet = Measure(machines, storeAvailable)
	}
	return fleet
}

// resetZone begins to judge a zone's machines anew: somebody there is heard again, so the others get the
// time to be heard too.
func resetZone(machines *worker.Registry, name string) {
	now := time.Now()
	slog.Info("zone reachable again", "zone", name)
	for _, machine := range machines.Machines {
		if machine.Zone == name && machine.Suspect() {
			resetProbes(machine, now)
			machine.DiscoveredAt = now
		}
	}
}

// Reset gives every machine that reported the time to be heard again.
func Reset(machines *worker.Registry, now time.Time) {
	for _, machine := range machines.Machines {
		if machine.HasReported {
			resetProbes(machine, now)
		}
	}
}

// resetProbes forgets the probes and calls that a machine left unanswered.
func resetProbes(machine *worker.Machine, now time.Time) {
	machine.UnansweredProbes, machine.FailedCalls = 0, 0
	machine.UnreachableSince, machine.LastProbeAt = time.Time{}, time.Time{}
	machine.SuspectSince = now
}
