package claim

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// markLost requeues a task proven not to be on its machine any more.
func (c *ClusterState) markLost(assignment *workload.Assignment, why string) {
	job := assignment.Job
	if machine := c.machines.Machines[assignment.Machine]; machine != nil {
		// By what evidence, should it turn out to be wrong.
		slog.Info("task gone", "task", assignment.Task(), "machine", assignment.Machine, "why", why, "attempt", assignment.Attempt, "token", assignment.FencingToken, "session", assignment.Incarnation,
			"seen", assignment.Confirmed, "heard", machine.HasReported, "reportToken", machine.FencingToken, "reportSession", machine.Incarnation, "reportTick", machine.Sequence)
	}
	if !job.Ended {
		c.recordLoss(assignment, why)
	}
	c.removeAssignment(assignment)
	if job.Ended {
		return
	}
	if !job.Cancelled() {
		c.costs.AddRepeated(assignment, "machine lost", time.Now())
	}
	c.markChanged(job)
	// The evidence may be the cloud's word to this process alone: stored late,
	// a successor would have to wait for it anew before it starts the task.
	c.markUrgent(job)
	c.finishIfComplete(job)
}

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
			c.markLost(assignment, "silent until its worker's lease had surely lapsed")
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
		c.markLost(assignment, why)
	}
	c.removeMachine(name)
	if len(c.terminated) > 20000 {
		clear(c.terminated) // late news of machines that old is not expected
	}
	c.terminated[name] = true
	c.scheduler.Reservations.Remove(name)
	wait.Signal(c.planSignal)
}
