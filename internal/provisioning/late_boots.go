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

// Lateness is how a rented machine stands that was not heard from yet.
type Lateness int

const (
	// NotLate tells that it may well come up, or has.
	NotLate Lateness = iota
	// Late tells that it takes so long that another is rented in its place.
	Late
	// Hopeless tells that it is not waited for in any case.
	Hopeless
)

// hopelessFactor is after how many times what makes it late a machine is not waited for any more.
const hopelessFactor = 4

// LatenessOf tells how a rented machine stands.
func (p *Planner) LatenessOf(machine *worker.Machine, now time.Time) Lateness {
	offer := p.Capacity.Type(machine.Type)
	if machine.HasReported || !machine.Booting || offer == nil {
		return NotLate
	}
	due := time.Duration(p.Settings.Operator.StuckBootFactor * float64(p.Estimates.BootTime(offer)))
	switch age := now.Sub(machine.ProvisionedAt); {
	case age > hopelessFactor*due:
		return Hopeless
	case age > due:
		return Late
	}
	return NotLate
}

// replacementDelay is how long it may take until what is rented in place of a late machine is on its
// way.
const replacementDelay = 10 * time.Second

// becameLateRecently tells that a machine is late only since a moment ago: what is rented in its place
// is not on its way yet.
func (p *Planner) becameLateRecently(machine *worker.Machine, now time.Time) bool {
	return p.LatenessOf(machine, now.Add(-replacementDelay)) == NotLate
}

// replacedBoots are the machines that others are rented in place of: those overtaken by others, and of
// the rest those longest on their way until they cost a small share of the fleet's price, one of a type
// at the least. What is left counts as coming: while all boots are slow, more would only be as slow. So a
// need is rented for twice at most, however many boots go wrong, until the first are given up.
func (p *Planner) replacedBoots(now time.Time) map[ids.Machine]bool {
	late, fleetPrice := p.lateMachines(now)
	if len(late) == 0 {
		return nil
	}
	replaced, ofType, price := map[ids.Machine]bool{}, map[string]int{}, 0.0
	for _, machine := range late {
		if p.Estimates.Overtaken(machine) {
			replaced[machine.Name] = true
			continue
		}
		machinePrice := p.machinePrice(machine)
		if ofType[machine.Type] > 0 && price+machinePrice > p.Settings.Operator.BurstCostShare*fleetPrice {
			continue
		}
		replaced[machine.Name] = true
		price += machinePrice
		ofType[machine.Type]++
	}
	return replaced
}

// lateMachines are the machines that are late, longest on their way first, and what the fleet costs an
// hour.
func (p *Planner) lateMachines(now time.Time) (late []*worker.Machine, fleetPrice float64) {
	for _, machine := range p.Machines.Machines {
		if machine.Deleting {
			continue
		}
		if !machine.Failed {
			fleetPrice += p.machinePrice(machine)
		}
		if p.LatenessOf(machine, now) != NotLate {
			late = append(late, machine)
		}
	}
	slices.SortFunc(late, func(x, y *worker.Machine) int {
		return cmp.Or(x.ProvisionedAt.Compare(y.ProvisionedAt), cmp.Compare(x.Name, y.Name))
	})
	return late, fleetPrice
}

// countBooting counts, by type, the machines on their way that cover a need.
func (p *Planner) countBooting(now time.Time) map[string]int {
	count := map[string]int{}
	replaced := p.replacedBoots(now)
	for _, machine := range p.Machines.Machines {
		if isBooting(machine) && !replaced[machine.Name] {
			count[machine.Type]++
		}
	}
	return count
}

// isBooting tells whether a machine was rented and is waited for.
func isBooting(machine *worker.Machine) bool {
	return !machine.HasReported && machine.Booting && !machine.Deleting && !machine.Failed
}

// reasonToAbandonBoot tells why a rented machine that was not heard from yet is given up; empty while it
// is waited for. One that is late is waited for as long as it is needed or what was rented in its place
// is itself on its way: whichever is up first is used.
func (p *Planner) reasonToAbandonBoot(machine *worker.Machine, needed bool, booting map[string]int, now time.Time) string {
	switch p.LatenessOf(machine, now) {
	case Hopeless:
		return "it does not come up"
	case Late:
		if !needed && booting[machine.Type] == 0 && !p.becameLateRecently(machine, now) {
			return "it is late, and no longer needed"
		}
	}
	return ""
}

// DescribeBooting tells of the machines on their way that a waiting job could use, one line or none.
func (p *Planner) DescribeBooting(job *workload.Job, now time.Time) []string {
	request := job.Record.Spec.PlacementRequest()
	booting, late, longest := 0, 0, time.Duration(0)
	for _, machine := range p.Machines.Machines {
		offer := p.Capacity.Type(machine.Type)
		if !isBooting(machine) || offer == nil || !offer.Capacity().Holds(request.Resources) ||
			!request.Allows(machine.Type, machine.Zone, machine.Spot) {
			continue
		}
		booting++
		if p.LatenessOf(machine, now) != NotLate {
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
