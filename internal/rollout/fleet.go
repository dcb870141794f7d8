package rollout

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Machine is what the leader knows of a machine.
type Machine struct {
	Class InstanceClass
	// Known tells that the leader knows the machine.
	Known bool
	// Deleted is proof that there is no such machine any more: the cloud confirmed its deletion, or
	// lists it no longer.
	Deleted bool
	// Ready tells that it has sent this leader a heartbeat, and that its heartbeats are recent.
	Ready bool
	// Failed tells why it can't do its work; empty: it can.
	Failed string
	// Reclaimed tells that the cloud is about to take it back.
	Reclaimed bool
	// Tasks are those that are or may be on it.
	Tasks int
	// Evicting tells that evictions of tasks on it are stored.
	Evicting bool
	// Unschedulable tells that it is being drained and its tasks fit on no other machine.
	Unschedulable bool
	// ProvisionedAt is when it was provisioned, as far as known.
	ProvisionedAt time.Time
}

// DrainCost is what draining a machine takes as things are now.
type DrainCost struct {
	// Steps is about how many steps it takes under the disruption budgets.
	Steps int
	// Blocked are the reasons why it can't be drained.
	Blocked []string
}

// View is what the leader knows of the fleet.
type View interface {
	// Machine looks at one machine.
	Machine(name ids.Machine) Machine
	// DrainCost tells what draining a machine takes. It evaluates all budgets, so it is asked only
	// where machines are chosen.
	DrainCost(name ids.Machine) DrainCost
	// ProvisionedMachines tells what a request for replacements has provisioned, once the cloud has
	// answered it.
	ProvisionedMachines(name ids.ProvisioningRequest) (machines []ids.Machine, answered bool)
}

// Fleet is what the leader's cluster does for rollouts.
type Fleet interface {
	// RolloutView looks at the fleet as it is now.
	RolloutView() View
	// CarryOut replaces the orders that are carried out. It is called again and again, and at
	// once after a failover.
	CarryOut(orders *Orders)
}
