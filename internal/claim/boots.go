package claim

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// bootIsLate tells whether a rented machine takes so long that another is rented in
// its place, and hopeless that it is not waited for in any case.
func (c *ClusterState) bootIsLate(machine *worker.Machine, now time.Time) (late, hopeless bool) {
	machineType := c.capacity.Type(machine.Type)
	if machine.HasReported || !machine.Booting || machineType == nil {
		return false, false
	}
	due := time.Duration(c.settings.Operator.StuckBootFactor * float64(c.estimates.BootTime(machineType)))
	age := now.Sub(machine.ProvisionedAt)
	return age > due, age > 4*due
}

// becameLateRecently tells that a machine is late only since a moment ago: what is rented in
// its place is not on its way yet.
func (c *ClusterState) becameLateRecently(machine *worker.Machine, now time.Time) bool {
	was, _ := c.bootIsLate(machine, now.Add(-10*time.Second))
	return !was
}

// replacedBoots are the machines that others are rented in place of: those overtaken
// by others, and of the rest those longest on their way until they cost a small
// share of the fleet's price, one of a type at the least. What is left counts as
// coming: while all boots are slow, more would only be as slow. So a need is
// rented for twice at most, however many boots go wrong, until the first are given up.
func (c *ClusterState) replacedBoots(now time.Time) map[ids.Machine]bool {
	var late []*worker.Machine
	fleet := 0.0
	for _, machine := range c.machines.Machines {
		if machineType := c.capacity.Type(machine.Type); machineType != nil && !machine.Failed && !machine.Deleting {
			fleet += machineType.HourlyPrice(machine.Spot)
		}
		if l, _ := c.bootIsLate(machine, now); l && !machine.Deleting {
			late = append(late, machine)
		}
	}
	if len(late) == 0 {
		return nil
	}
	slices.SortFunc(late, func(x, y *worker.Machine) int {
		if order := x.ProvisionedAt.Compare(y.ProvisionedAt); order != 0 {
			return order
		}
		return cmp.Compare(x.Name, y.Name)
	})
	out, of, cost := map[ids.Machine]bool{}, map[string]int{}, 0.0
	for _, machine := range late {
		if c.estimates.Overtaken(machine) {
			out[machine.Name] = true
			continue
		}
		p := c.capacity.Type(machine.Type).HourlyPrice(machine.Spot)
		if of[machine.Type] > 0 && cost+p > c.settings.Operator.BurstCostShare*fleet {
			continue
		}
		out[machine.Name], cost = true, cost+p
		of[machine.Type]++
	}
	return out
}

// countBooting counts, by type, the machines on their way that cover a need, and all that
// are late.
func (c *ClusterState) countBooting(now time.Time) (on, late map[string]int) {
	on, late = map[string]int{}, map[string]int{}
	replaced := c.replacedBoots(now)
	for _, machine := range c.machines.Machines {
		if machine.HasReported || !machine.Booting || machine.Deleting || machine.Failed {
			continue
		}
		if l, _ := c.bootIsLate(machine, now); l {
			late[machine.Type]++
		}
		if !replaced[machine.Name] {
			on[machine.Type]++
		}
	}
	return on, late
}

// reasonToAbandonBoot tells why a rented machine that is not heard yet is given up; empty
// while it is waited for. One that is late is waited for as long as it is needed or
// what was rented in its place is itself on its way: whichever is up first is used.
func (c *ClusterState) reasonToAbandonBoot(machine *worker.Machine, needed bool, on map[string]int, now time.Time) string {
	switch late, hopeless := c.bootIsLate(machine, now); {
	case hopeless:
		return "it does not come up"
	case late && !needed && on[machine.Type] == 0 && !c.becameLateRecently(machine, now):
		return "it is late, and no longer needed"
	}
	return ""
}

// describeBooting tells of the machines on their way that a waiting job could use.
func (c *ClusterState) describeBooting(job *workload.Job, now time.Time) []string {
	request := job.Record.Spec.PlacementRequest()
	n, lates, longest := 0, 0, time.Duration(0)
	for _, machine := range c.machines.Machines {
		machineType := c.capacity.Type(machine.Type)
		if machine.HasReported || !machine.Booting || machine.Deleting || machine.Failed || machineType == nil || !machineType.Capacity().Holds(request.Resources) || !request.Allows(machine.Type, machine.Zone, machine.Spot) {
			continue
		}
		n++
		if l, _ := c.bootIsLate(machine, now); l {
			lates++
			longest = max(longest, now.Sub(machine.ProvisionedAt))
		}
	}
	switch {
	case n == 0:
		return nil
	case lates == 0:
		return []string{fmt.Sprintf("%d machines it could use are booting", n)}
	}
	return []string{fmt.Sprintf("%d machines it could use are booting, %d of them late, the longest for %.0fs", n, lates, longest.Seconds())}
}
