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

// BootStatus classifies how late a provisioned machine is that has not reported yet.
type BootStatus int

const (
	// NotLate is the status of a machine that has reported or is expected to report in time.
	NotLate BootStatus = iota
	// Late is the status of a machine for which a replacement may be provisioned while it boots.
	Late
	// BootTimedOut is the status of a machine that is terminated even if it is needed.
	BootTimedOut
)

// bootTimeoutFactor is multiplied by the age at which a booting machine is late. The product is the age at
// which its boot has timed out.
const bootTimeoutFactor = 4

// replacementDelay is the longest expected time from a machine becoming late to the provisioning of its
// replacement.
const replacementDelay = 10 * time.Second

// bootTracker determines which booting machines are late and which of them are replaced.
type bootTracker struct{ *State }

// bootStatus implements Planner.BootStatus.
func (b *bootTracker) bootStatus(machine *worker.Machine, now time.Time) BootStatus {
	offer := b.Capacity.Type(machine.Type)
	if machine.HasReported || !machine.Booting || offer == nil {
		return NotLate
	}
	due := time.Duration(b.Settings.Operator.StuckBootFactor * float64(b.Estimates.BootTime(offer)))
	return bootStatusAt(now.Sub(machine.ProvisionedAt), due)
}

// bootStatusAt returns the status of a machine of the given age, which is late if it is older than due.
func bootStatusAt(age, due time.Duration) BootStatus {
	switch {
	case age > bootTimeoutFactor*due:
		return BootTimedOut
	case age > due:
		return Late
	}
	return NotLate
}

// becameLateRecently reports whether a machine became late so recently that its replacement may not have
// been provisioned yet.
func (b *bootTracker) becameLateRecently(machine *worker.Machine, now time.Time) bool {
	return b.bootStatus(machine, now.Add(-replacementDelay)) == NotLate
}

// replaced returns the late machines for which replacements are provisioned. These are all late machines
// that were overtaken by machines provisioned after them, and the oldest of the rest until their price
// reaches the configured share (BurstCostShare) of the fleet's price, but at least one of each type. The
// other late machines count as expected: while all boots are slow, additional machines would be as slow.
// Therefore no demand is provisioned more than twice until the first late machines are abandoned, however
// many boots fail.
func (b *bootTracker) replaced(now time.Time) map[ids.Machine]bool {
	late, fleetPrice := b.late(now)
	if len(late) == 0 {
		return nil
	}
	replaced, replacedOfType, price := map[ids.Machine]bool{}, map[string]int{}, 0.0
	for _, machine := range late {
		if b.Estimates.LaterMachineBooted(machine) {
			replaced[machine.Name] = true
			continue
		}
		machinePrice := b.machinePrice(machine)
		if replacedOfType[machine.Type] > 0 && price+machinePrice > b.Settings.Operator.BurstCostShare*fleetPrice {
			continue
		}
		replaced[machine.Name] = true
		price += machinePrice
		replacedOfType[machine.Type]++
	}
	return replaced
}

// late returns the late machines, oldest first, and the hourly price of the fleet.
func (b *bootTracker) late(now time.Time) (late []*worker.Machine, fleetPrice float64) {
	for _, machine := range b.Machines.Machines {
		if machine.Deleting {
			continue
		}
		if !machine.Failed {
			fleetPrice += b.machinePrice(machine)
		}
		if b.bootStatus(machine, now) != NotLate {
			late = append(late, machine)
		}
	}
	slices.SortFunc(late, func(x, y *worker.Machine) int {
		return cmp.Or(x.ProvisionedAt.Compare(y.ProvisionedAt), cmp.Compare(x.Name, y.Name))
	})
	return late, fleetPrice
}

// countExpected returns, by type, the number of booting machines for which no replacement is provisioned.
func (b *bootTracker) countExpected(now time.Time) map[string]int {
	count := map[string]int{}
	replaced := b.replaced(now)
	for _, machine := range b.Machines.Machines {
		if isBooting(machine) && !replaced[machine.Name] {
			count[machine.Type]++
		}
	}
	return count
}

// isBooting reports whether a provisioned machine has not reported yet and is still expected to.
func isBooting(machine *worker.Machine) bool {
	return !machine.HasReported && machine.Booting && !machine.Deleting && !machine.Failed
}

// reasonToAbandon returns the reason to terminate a booting machine, or "" to keep waiting for it. A late
// machine is kept while it is needed, or while its replacement is itself booting, so that whichever is up
// first is used. expected is the result of countExpected.
func (b *bootTracker) reasonToAbandon(machine *worker.Machine, needed bool, expected map[string]int, now time.Time) string {
	switch b.bootStatus(machine, now) {
	case BootTimedOut:
		return "it does not come up"
	case Late:
		if !needed && expected[machine.Type] == 0 && !b.becameLateRecently(machine, now) {
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
		if b.bootStatus(machine, now) != NotLate {
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
