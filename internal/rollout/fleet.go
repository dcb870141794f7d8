package rollout

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// MachineInfo is the leader's view of a machine.
type MachineInfo struct {
	Class InstanceClass
	// Known reports whether the leader tracks the machine.
	Known bool
	// Deleted reports whether the machine certainly no longer exists: the cloud confirmed its deletion or no
	// longer lists it.
	Deleted bool
	// Ready reports whether this leader has received heartbeats from the machine and the last one is recent.
	Ready bool
	// Failed is the reason why the machine cannot run tasks; empty if it can.
	Failed string
	// Reclaimed reports whether the cloud has announced that it takes the machine back.
	Reclaimed bool
	// TaskCount is the number of tasks that run or may run on the machine.
	TaskCount int
	// Evicting reports whether evictions of tasks on the machine are stored.
	Evicting bool
	// Unschedulable reports whether the machine is being drained and its tasks fit on no other machine.
	Unschedulable bool
	// ProvisionedAt is the time at which the machine was provisioned, as far as known.
	ProvisionedAt time.Time
}

// DrainCost is the estimated cost of draining a machine in the current state of the fleet.
type DrainCost struct {
	// Steps is the approximate number of steps that the disruption budgets require.
	Steps int
	// Blocked lists the reasons why the machine cannot be drained.
	Blocked []string
}

// FleetView is the leader's view of the fleet.
type FleetView interface {
	// Machine returns the leader's view of one machine.
	Machine(name ids.Machine) MachineInfo
	// DrainCost returns the cost of draining a machine. It evaluates all budgets, so it is called only
	// when machines are selected for a wave.
	DrainCost(name ids.Machine) DrainCost
	// ProvisionedMachines returns the machines provisioned for a replacement request; answered is false
	// until the cloud has answered the request.
	ProvisionedMachines(name ids.ProvisioningRequest) (machines []ids.Machine, answered bool)
}

// Fleet is the interface through which rollouts read and change the leader's cluster.
type Fleet interface {
	// RolloutView returns a view of the current fleet.
	RolloutView() FleetView
	// SetOrders replaces the orders in force. The runner calls it in every pass, also in its first pass
	// after a failover.
	SetOrders(orders *Orders)
}
