package eviction

import (
	"maps"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// What the leader drains by itself stands as a rollout of a name that none has: replicas moved off machines
// that are to be returned, and machines on which tasks keep failing.
const (
	consolidation rollout.Name = "~consolidation"
	faulty        rollout.Name = "~faulty"
)

// orderBook holds what rollouts want of the machines, and cordons these.
type orderBook struct {
	machines *worker.Registry
	current  *rollout.Orders // nil until the stored rollouts are read
}

// known reports whether the stored rollouts are read.
func (o *orderBook) known() bool { return o.current != nil }

// none reports whether it is known that no rollout wants anything of a machine.
func (o *orderBook) none() bool { return o.known() && len(o.current.Machines) == 0 }

// replace replaces what rollouts want. It reports whether a machine was cordoned or uncordoned, or the orders
// are the first.
func (o *orderBook) replace(orders *rollout.Orders) (changed bool) {
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

// setCordoned cordons or uncordons a machine; it reports whether that is a change.
func (o *orderBook) setCordoned(name ids.Machine, cordoned bool) bool {
	machine := o.machines.Machines[name]
	if machine == nil || machine.Cordoned == cordoned {
		return false
	}
	machine.Cordoned = cordoned
	return true
}

// draining reports whether a rollout drains machines now. The orders must be known.
func (o *orderBook) draining(name rollout.Name) bool {
	for _, order := range o.current.Machines {
		if order.Rollout == name && order.Drain {
			return true
		}
	}
	return false
}

// of returns what rollouts want with a machine, if anything.
func (o *orderBook) of(name ids.Machine) (order rollout.Order, ok bool) {
	if !o.known() {
		return order, false
	}
	order, ok = o.current.Machines[name]
	return order, ok
}

// keeps reports whether a machine replaces another one and is still observed.
func (o *orderBook) keeps(name ids.Machine) bool { return o.known() && o.current.Keep[name] }

// closedZones returns the zones that rollouts give up.
func (o *orderBook) closedZones() map[string]rollout.Name {
	if !o.known() {
		return nil
	}
	return maps.Clone(o.current.ClosedZones)
}
