package clusterstate

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

func (c *State) addAssignment(assignment *workload.Assignment) {
	assignment.Job.Assignments[assignment.TaskIndex] = assignment
	if assignment.Job.Record.Finished.Contains(assignment.TaskIndex) {
		assignment.Job.FinishedMayBeAssigned = true
	}
	c.capacity.Allocate(c.capacity.Ensure(assignment.Machine), assignment)
	c.quota.AddUsage(assignment.Job.Record.Spec.Team, assignment.Job.Record.Spec.Resources)
}

// removeAssignment removes an assignment whose task is proven not to be on the machine.
func (c *State) removeAssignment(assignment *workload.Assignment) {
	delete(assignment.Job.Assignments, assignment.TaskIndex)
	assignment.Job.StartLasted = assignment.Job.StartLasted || time.Since(assignment.AssignedAt) >= workload.StartProtectionTime
	if len(assignment.Job.Assignments) == 0 {
		assignment.Job.UnassignedSince = time.Now()
	}
	if node := c.capacity.Node(assignment.Machine); node != nil {
		c.capacity.Release(node, assignment)
		if machine := c.machines.Machines[assignment.Machine]; machine != nil && len(node.Assignments) == 0 {
			machine.IdleSince = time.Now()
		}
	}
	c.quota.RemoveUsage(assignment.Job.Record.Spec.Team, assignment.Job.Record.Spec.Resources)
	if assignment.Job.Ended && len(assignment.Job.Assignments) == 0 {
		c.removeJob(assignment.Job)
	}
	wait.Signal(c.planSignal)
}

// stopAssignment requests that a task be stopped, or removes its assignment if its start was never sent.
func (c *State) stopAssignment(assignment *workload.Assignment, grace ids.Seconds, reason string) {
	if !assignment.StartSent {
		c.removeAssignment(assignment)
		c.markChanged(assignment.Job)
		return
	}
	if assignment.Stopping && grace >= assignment.StopGrace {
		return
	}
	assignment.Stopping, assignment.StopGrace, assignment.StopReason, assignment.StopRequestedAt = true, grace, reason, time.Now()
	c.commands.AddFor(assignment)
	if !assignment.Confirmed && !c.noDirectStartOutstanding(assignment) && c.underCurrentGeneration(assignment) {
		// A start that is still in flight could begin the task: raise the fencing token, so that the worker
		// rejects the start once it has seen the token.
		c.reserveTokens()
	}
	wait.Signal(c.planSignal)
}

// reserveTokens requests that the generation be raised, which reserves fencing tokens higher than all that
// were used before.
func (c *State) reserveTokens() {
	c.raisePending = true
	wait.Signal(c.commitSignal)
}

// underCurrentGeneration reports whether the assignment carries the current generation as its fencing
// token.
func (c *State) underCurrentGeneration(assignment *workload.Assignment) bool {
	return assignment.FencingToken == c.generation()
}

// noDirectStartOutstanding reports whether every start of the assignment that was sent directly to the
// machine is accounted for.
func (c *State) noDirectStartOutstanding(assignment *workload.Assignment) bool {
	machine := c.machines.Machines[assignment.Machine]
	return machine != nil && c.underCurrentGeneration(assignment) && !machine.MayRestart(assignment.Task().String(), assignment.Attempt)
}
