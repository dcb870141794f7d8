package eviction

import (
	"maps"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// Rollout names of the drains that the leader starts itself; no real rollout can have such a name.
// consolidationRollout is used to move replicas off machines that are to be returned, and faultyRollout to
// drain machines on which tasks keep failing.
const (
	consolidationRollout rollout.Name = "~consolidation"
	faultyRollout        rollout.Name = "~faulty"
)

// orderSet contains the orders of rollouts for machines and cordons these machines.
type orderSet struct {
	machines *worker.Registry
	current  *rollout.Orders // nil until the stored rollouts are read
}

// known reports whether the stored rollouts are read.
func (o *orderSet) known() bool { return o.current != nil }

// empty reports whether the orders are known and contain no machine.
func (o *orderSet) empty() bool { return o.known() && len(o.current.Machines) == 0 }

// replace replaces the orders. It reports whether a machine was cordoned or uncordoned, or the orders are
// the first.
func (o *orderSet) replace(orders *rollout.Orders) (changed bool) {
	changed = !o.known()
	if !changed {
		for name := range o.current.Machines {
			if _, still := orders.Machines[name]; !still {
				changed = o.setCordoned(name, false) || changed
			}
		}
	}
	for name := range orders.Machines {
		changed = o.setCordoned(name, true) || changed
	}
	o.current = orders
	return changed
}

// setCordoned cordons or uncordons a machine, and reports whether this changed it.
func (o *orderSet) setCordoned(name ids.Machine, cordoned bool) bool {
	machine := o.machines.Machines[name]
	if machine == nil || machine.Cordoned == cordoned {
		return false
	}
	machine.Cordoned = cordoned
	return true
}

// isDraining reports whether a rollout is draining any machine now. The orders must be known.
func (o *orderSet) isDraining(name rollout.Name) bool {
	for _, order := range o.current.Machines {
		if order.Rollout == name && order.Drain {
			return true
		}
	}
	return false
}

// orderFor returns the order for a machine, if there is one.
func (o *orderSet) orderFor(name ids.Machine) (order rollout.Order, ok bool) {
	if !o.known() {
		return order, false
	}
	order, ok = o.current.Machines[name]
	return order, ok
}

// observes reports whether a machine is a replacement that is still observed.
func (o *orderSet) observes(name ids.Machine) bool { return o.known() && o.current.Keep[name] }

// closedZones returns the zones that rollouts are draining permanently.
func (o *orderSet) closedZones() map[string]rollout.Name {
	if !o.known() {
		return nil
	}
	return maps.Clone(o.current.ClosedZones)
}
