package provisioning

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Lateness is how late a provisioned machine is that has not reported yet.
type Lateness int

const (
	// NotLate is a machine that has reported or may be expected to soon.
	NotLate Lateness = iota
	// Late is a machine for which a replacement may be provisioned while it boots.
	Late
	// Hopeless is a machine that is given up even if it is needed.
	Hopeless
)

// hopelessFactor is how many times the age that makes it late makes a machine hopeless.
const hopelessFactor = 4

// replacementDelay is how long it may take until the replacement of a late machine is provisioned.
const replacementDelay = 10 * time.Second

// bootTracker judges the machines that are booting.
type bootTracker struct{ *State }

// lateness implements Planner.LatenessOf.
func (b *bootTracker) lateness(machine *worker.Machine, now time.Time) Lateness {
	offer := b.Capacity.Type(machine.Type)
	if machine.HasReported || !machine.Booting || offer == nil {
		return NotLate
	}
	due := time.Duration(b.Settings.Operator.StuckBootFactor * float64(b.Estimates.BootTime(offer)))
	return latenessAt(now.Sub(machine.ProvisionedAt), due)
}

// latenessAt returns how late a machine of an age is that is late once it is older than due.
func latenessAt(age, due time.Duration) Lateness {
	switch {
	case age > hopelessFactor*due:
		return Hopeless
	case age > due:
		return Late
	}
	return NotLate
}

// becameLateRecently reports whether a machine has become late so recently that its replacement may not
// have been provisioned yet.
func (b *bootTracker) becameLateRecently(machine *worker.Machine, now time.Time) bool {
	return b.lateness(machine, now.Add(-replacementDelay)) == NotLate
}

// replaced returns the late machines that others are provisioned in place of: all that were overtaken by
// machines provisioned after them, and the oldest of the rest until their price reaches the operator's
// share of the fleet's, but at least one of each type. The others count as coming: while all boots are
// slow, more machines would only be as slow. So, however many boots fail, no demand is provisioned more
// than twice until the first machines are given up.
func (b *bootTracker) replaced(now time.Time) map[ids.Machine]bool {
	late, fleetPrice := b.late(now)
	if len(late) == 0 {
		return nil
	}
	replaced, ofType, price := map[ids.Machine]bool{}, map[string]int{}, 0.0
	for _, machine := range late {
		if b.Estimates.IsOvertaken(machine) {
			replaced[machine.Name] = true
			continue
		}
		machinePrice := b.machinePrice(machine)
		if ofType[machine.Type] > 0 && price+machinePrice > b.Settings.Operator.BurstCostShare*fleetPrice {
			continue
		}
		replaced[machine.Name] = true
		price += machinePrice
		ofType[machine.Type]++
	}
	return replaced
}

// late returns the late machines, oldest first, and the price of the fleet per hour.
func (b *bootTracker) late(now time.Time) (late []*worker.Machine, fleetPrice float64) {
	for _, machine := range b.Machines.Machines {
		if machine.Deleting {
			continue
		}
		if !machine.Failed {
			fleetPrice += b.machinePrice(machine)
		}
		if b.lateness(machine, now) != NotLate {
			late = append(late, machine)
		}
	}
	slices.SortFunc(late, func(x, y *worker.Machine) int {
		return cmp.Or(x.ProvisionedAt.Compare(y.ProvisionedAt), cmp.Compare(x.Name, y.Name))
	})
	return late, fleetPrice
}

// countComing counts, by type, the booting machines that no other is provisioned in place of.
func (b *bootTracker) countComing(now time.Time) map[string]int {
	count := map[string]int{}
	replaced := b.replaced(now)
	for _, machine := range b.Machines.Machines {
		if isBooting(machine) && !replaced[machine.Name] {
			count[machine.Type]++
		}
	}
	return count
}

// isBooting reports whether a machine was provisioned and is still expected to come up.
func isBooting(machine *worker.Machine) bool {
	return !machine.HasReported && machine.Booting && !machine.Deleting && !machine.Failed
}

// reasonToAbandon returns why a booting machine is given up; it is empty while the machine is waited for.
// A late machine is waited for as long as it is needed or its replacement is itself booting: whichever
// is up first is used. coming counts the machines that are expected, by type.
func (b *bootTracker) reasonToAbandon(machine *worker.Machine, needed bool, coming map[string]int, now time.Time) string {
	switch b.lateness(machine, now) {
	case Hopeless:
		return "it does not come up"
	case Late:
		if !needed && coming[machine.Type] == 0 && !b.becameLateRecently(machine, now) {
			return "it is late, and no longer needed"
		}
	}
	return ""
}

// describe implements Planner.DescribeBooting.
func (b *bootTracker) describe(job *workload.Job, now time.Time) []string {
	request := job.Record.Spec.PlacementRequest()
	booting, late, longest := 0, 0, time.Duration(0)
	for _, machine := range b.Machines.Machines {
		offer := b.Capacity.Type(machine.Type)
		if !isBooting(machine) || offer == nil || !offer.Capacity().Holds(request.Resources) ||
			!request.Allows(machine.Type, machine.Zone, machine.Spot) {
			continue
		}
		booting++
		if b.lateness(machine, now) != NotLate {
			late++
			longest = max(longest, now.Sub(machine.ProvisionedAt))
		}
	}
	switch {
	case booting == 0:
		return nil
	case late == 0:
		return []string{fmt.Sprintf("%d machines it could use are booting", booting)}
	}
	return []string{fmt.Sprintf("%d machines it could use are booting, %d of them late, the longest for %.0fs", booting, late, longest.Seconds())}
}
