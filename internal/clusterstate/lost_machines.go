package clusterstate

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// leaseCheckInterval is the least time between two checks of the leases.
const leaseCheckInterval = 200 * time.Millisecond

// maxTerminatedMachines bounds how many terminated machines are remembered: late reports of older ones are
// not expected.
const maxTerminatedMachines = 20000

// ExpireLeases requeues the tasks on machines whose workers' leases have certainly expired.
func (c *State) ExpireLeases(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.leasesCheckedAt) < leaseCheckInterval {
		return
	}
	c.leasesCheckedAt = now
	c.machineCount.Store(int64(len(c.machines.Machines)))
	for name, node := range c.capacity.Nodes() {
		if len(node.Assignments) == 0 {
			continue
		}
		machine := c.machines.Ensure(name, now, c.earliestLeaseExpiry)
		if now.Before(machine.LeaseExpiresAt) {
			continue
		}
		for assignment := range node.Assignments {
			// A start sent after the last answer is meant for the same incarnation, which has expired and
			// rejects the start from now on.
			c.reconciler.MarkLost(assignment, "silent until its worker's lease had surely lapsed")
		}
	}
}

// MachineTerminated requeues the tasks on a machine whose deletion the cloud has confirmed, and removes the
// machine.
func (c *State) MachineTerminated(name ids.Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reason := "its machine was returned to the cloud"
	if machine := c.machines.Machines[name]; machine != nil && machine.DeleteReason != "" {
		reason += ": " + machine.DeleteReason
		c.evictor.ReplacementLost(name, machine.DeleteReason)
	}
	for assignment := range c.capacity.AssignmentsOn(name) {
		c.reconciler.MarkLost(assignment, reason)
	}
	c.removeMachine(name)
	if len(c.terminated) > maxTerminatedMachines {
		clear(c.terminated)
	}
	c.terminated[name] = true
	c.scheduler.Reservations.Remove(name)
	wait.Signal(c.planSignal)
}

// removeMachine removes a machine that is gone from the registry and the indexes.
func (c *State) removeMachine(name ids.Machine) {
	if node := c.capacity.Remove(name); node != nil {
		c.commands.Remove(node)
	}
}
