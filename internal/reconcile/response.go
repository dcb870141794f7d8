package reconcile

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/dispatch"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// responseBuilder builds the commands in the response to a heartbeat and decides whether the response may
// renew the lease.
type responseBuilder struct{ *State }

// commands returns the commands that the machine still has to execute, for the response to its heartbeat.
// Commands are idempotent: a start is identified by task and attempt, so it takes effect once even if it is
// repeated.
func (b *responseBuilder) commands(
	machine *worker.Machine, source Source, permission dispatch.Permission, now time.Time,
) (commands []worker.Command) {
	if !source.Heartbeat {
		return nil
	}
	for assignment := range b.Capacity.AssignmentsOn(machine.Name) {
		if assignment.Incarnation != machine.Incarnation {
			continue
		}
		if assignment.Stopping {
			if assignment.Confirmed && assignment.Status != worker.StateExited {
				task := assignment.Task().String()
				commands = append(commands, worker.StopCommand(task, assignment.Attempt, assignment.RemainingGrace(now)))
			}
			continue
		}
		if b.mayStart(assignment, machine, permission) {
			assignment.StartSent, assignment.OfferedInHeartbeat, assignment.OfferedAt = true, true, machine.Sequence
			commands = append(commands, worker.StartCommand(assignment.Task(), assignment.Attempt))
		}
	}
	return commands
}

// mayStart reports whether the start of an assignment may be sent in the response to its machine's
// heartbeat.
func (b *responseBuilder) mayStart(assignment *workload.Assignment, machine *worker.Machine, permission dispatch.Permission) bool {
	job := assignment.Job
	if !permission.MayStart(job) || assignment.Confirmed || assignment.FencingToken != permission.Tokens.Last {
		return false
	}
	if job.StoredVersion < assignment.MarkerVersion || machine.Deleting {
		return false
	}
	return assignment.StartSent || scheduler.GangStartAllowed(assignment, machine, b.Machines)
}

// leaseMustExpire reports whether a direct start may still reach the worker for a task whose job was
// cancelled more than a grace period ago.
func (b *responseBuilder) leaseMustExpire(report *worker.Report, grace time.Duration, fencingToken ids.Generation) bool {
	machine := b.Machines.Machines[report.Machine]
	if machine == nil || report.Incarnation != machine.Incarnation || len(machine.UnconfirmedStarts) == 0 {
		return false
	}
	for assignment := range b.Capacity.AssignmentsOn(machine.Name) {
		stopOverdue := assignment.Stopping && !assignment.Confirmed && time.Since(assignment.StopRequestedAt) > grace
		current := assignment.Incarnation == report.Incarnation && assignment.FencingToken == fencingToken
		mayStart := stopOverdue && current && assignment.Job.Cancelled()
		if mayStart && machine.MayRestart(assignment.Task().String(), assignment.Attempt) {
			return true
		}
	}
	return false
}
