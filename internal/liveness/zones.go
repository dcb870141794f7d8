package liveness

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// Zones records which zones were unreachable at the last update. Tasks in a zone that is only cut off keep
// running, so the zone's machines are not replaced until their leases have certainly expired; replacing them
// at once would provision a third of the fleet again. Nothing is provisioned in an unreachable zone.
type Zones struct{ unreachable map[string]bool }

// NewZones returns a Zones in which all zones are reachable.
func NewZones() *Zones { return &Zones{unreachable: map[string]bool{}} }

// Unreachable reports whether a zone was unreachable at the last update.
func (z *Zones) Unreachable(name string) bool { return z.unreachable[name] }

// Update measures the fleet. If a zone has become reachable again, it resets the probes of the zone's
// silent machines and measures the fleet once more.
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

// resetZone resets the probes of a zone's silent machines: a machine of the zone has reported again, so the
// others are given time to report too.
func resetZone(machines *worker.Registry, name string) {
	now := time.Now()
	slog.Info("zone reachable again", "zone", name)
	for _, machine := range machines.Machines {
		if machine.Zone == name && machine.IsSuspect() {
			resetProbes(machine, now)
			machine.DiscoveredAt = now
		}
	}
}

// Reset resets the probes of all machines that have ever reported, so that each has time to report again.
func Reset(machines *worker.Registry, now time.Time) {
	for _, machine := range machines.Machines {
		if machine.HasReported {
			resetProbes(machine, now)
		}
	}
}

// resetProbes clears the counts of probes and calls that a machine left unanswered.
func resetProbes(machine *worker.Machine, now time.Time) {
	machine.UnansweredProbes, machine.FailedCalls = 0, 0
	machine.UnreachableSince, machine.LastProbeAt = time.Time{}, time.Time{}
	machine.SuspectSince = now
}
