package claim

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// ExpireLeases requeues what was on machines whose workers' leases have surely run
// out, and returns whether anything did.
func (c *ClusterState) ExpireLeases(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.leasesCheckedAt) < 200*time.Millisecond {
		return
	}
	c.leasesCheckedAt = now
	c.machineCount.Store(int64(len(c.machines.Machines)))
	for name, node := range c.capacity.Nodes() {
		if len(node.Assignments) == 0 {
			continue
		}
		machine := c.machines.Ensure(name, now, c.trustSilence)
		if now.Before(machine.LeaseExpiresAt) {
			continue
		}
		for assignment := range node.Assignments {
			// A start sent after the last answer belongs to the same lapsed
			// session, which turns it away from here on.
			c.reconciler.MarkLost(assignment, "silent until its worker's lease had surely lapsed")
		}
	}
}

// MachineTerminated requeues everything on a machine that the cloud has confirmed
// deleted, and forgets it.
func (c *ClusterState) MachineTerminated(name ids.Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	why := "its machine was returned to the cloud"
	if machine := c.machines.Machines[name]; machine != nil && machine.DeleteReason != "" {
		why += ": " + machine.DeleteReason
		c.evictor.ReplacementLost(name, machine.DeleteReason)
	}
	for assignment := range c.capacity.AssignmentsOn(name) {
		c.reconciler.MarkLost(assignment, why)
	}
	c.removeMachine(name)
	if len(c.terminated) > 20000 {
		clear(c.terminated) // late news of machines that old is not expected
	}
	c.terminated[name] = true
	c.scheduler.Reservations.Remove(name)
	wait.Signal(c.planSignal)
}
