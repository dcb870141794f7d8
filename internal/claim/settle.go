package claim

import (
	"log/slog"
	"math"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// ReconcileHeartbeat settles outcomes from a report and returns the orders its machine
// should get. answered tells that the worker gets a 200 for this report; beat
// tells a beat from the answer to direct commands.
func (c *ClusterState) ReconcileHeartbeat(report *worker.Report, answered, beat bool) []worker.Command {
	starting, read := c.StartsAllowed()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	defer measure.Process.Took("report", now)
	if c.terminated[report.Machine] {
		return nil // held back on its way: the machine is gone
	}
	known := c.machines.Machines[report.Machine] != nil
	machine := c.machines.Ensure(report.Machine, now, c.trustSilence)
	if !known {
		slog.Info("machine reports that nobody expected; adopted", "machine", report.Machine, "type", report.Type, "zone", report.Zone)
	}
	firstHeard := !machine.HasReported
	hadNotice := !machine.SpotTerminationAt.IsZero()
	moved := machine.Type != report.Type || machine.Zone != report.Zone || machine.Spot != report.Spot
	idle := machine.HasReported && !machine.Schedulable(now, c.settings.Params.Workers.ReportS)
	doubted, lost := machine.Suspect(), firstHeard || machine.SilentFor(now) > 2*c.settings.Params.Workers.ReportS.Duration()+time.Second
	booting := machine.Booting
	v := c.machines.RecordReport(machine, report, now, answered, c.generation)
	if !v.Fresh {
		// A command's answer may overtake a beat that was sent before it. The
		// beat's answer renews the lease all the same, so it must not come
		// without the stops.
		if report.Incarnation == machine.Incarnation {
			return c.commandsFor(machine, beat, false, read, now)
		}
		return nil
	}
	if booting && firstHeard {
		c.estimates.RecordBoot(machine, now)
	}
	node := c.capacity.Ensure(machine.Name)
	if firstHeard || moved || v.Restarted {
		c.capacity.Reindex(node)
		c.markHintChanged(machine)
	}
	if !machine.UnreachableSince.IsZero() && lost {
		// It was silent for long and is heard again: that calls to it failed
		// meanwhile says nothing of now. It is asked anew before it is judged.
		machine.UnreachableSince, machine.FailedCalls, machine.SuspectSince, machine.LastProbeAt = now, 0, now, time.Time{}
	}
	if firstHeard || v.Restarted || doubted {
		c.commands.Add(node) // what was held back or placed there before may go out now
	}
	if idle {
		wait.Signal(c.planSignal)
	}
	if firstHeard {
		machine.IdleSince = now
		wait.Signal(c.planSignal)
	}
	if !hadNotice && !machine.SpotTerminationAt.IsZero() {
		c.machines.MarkLeaving(machine.Name)
		slog.Info("spot notice", "machine", machine.Name, "in", machine.SpotTerminationAt.Sub(now))
		wait.Signal(c.planSignal)
	}
	// Everything of an earlier session is gone, as the worker forgot it when
	// its lease lapsed.
	for assignment := range c.capacity.AssignmentsOn(machine.Name) {
		switch {
		case assignment.Incarnation >= report.Incarnation:
		case assignment.StartSent:
			c.markLost(assignment, "its worker's lease lapsed")
		default:
			// Only marked, for a session that is over: its start would never go
			// out, and nobody would ever report it.
			c.removeAssignment(assignment)
			c.markChanged(assignment.Job)
		}
	}
	listed := make(map[workload.TaskAttempt]bool, len(report.Tasks))
	var orders []worker.Command
	for i := range report.Tasks {
		reported := &report.Tasks[i]
		t, err := ids.ParseTask(reported.Task)
		if err != nil {
			continue
		}
		key := workload.TaskAttempt{Task: t, Attempt: reported.Attempt, Machine: machine.Name}
		listed[key] = true
		job := c.jobs.Get(t.Job)
		if job != nil {
			if c.mayPredateRecord(job, report, reported) {
				continue
			}
			// What is listed before a start went out is left from an earlier start
			// of the same attempt there, whose outcome is known.
			if assignment := job.Assignments[t.Index]; assignment != nil && assignment.Machine == machine.Name && assignment.Attempt == reported.Attempt && assignment.StartSent {
				if assignment.Incarnation != report.Incarnation {
					continue // of an earlier session, and so of an earlier start
				}
				if reported.State == worker.StateExited {
					c.recordOutcome(assignment, reported, machine)
				} else {
					c.observeTask(assignment, reported, machine, now)
					continue
				}
			}
		}
		orders = append(orders, c.reconcileOrphan(job, key, reported, machine)...)
	}
	for assignment := range c.capacity.AssignmentsOn(machine.Name) {
		if listed[assignment.Key()] || !assignment.StartSent || assignment.Incarnation != report.Incarnation {
			continue
		}
		switch {
		case assignment.Confirmed:
			c.markLost(assignment, "its worker reports it no longer")
		case assignment.FencingToken < report.FencingToken:
			// The worker has seen a higher token than the start carries, so
			// the start was never carried out and never will be.
			c.markLost(assignment, "its start was turned away")
		case assignment.Stopping && beat && c.noDirectStartOutstanding(assignment) && report.Sequence > assignment.OfferedAt:
			// Starts in beat answers are carried out at once or never.
			c.markLost(assignment, "its start was dropped")
		}
	}
	for assignment := range c.capacity.AssignmentsOn(machine.Name) {
		if !assignment.StartSent {
			c.commands.Add(node) // its start may have waited for this report
			break
		}
	}
	orders = append(orders, c.commandsFor(machine, beat, starting, read, now)...)
	// One line of an answer must stay below 64 KiB; the rest follows with the
	// next report.
	return orders[:min(len(orders), maxCommandsPerAnswer)]
}

const maxCommandsPerAnswer = 400

// mayPredateRecord tells whether a report may be from before what the record tells of a
// gang. Until a worker shows this leader's token its report may be of any age, and of
// a gang the same task may have been started again, under the same attempt, on the
// machine where it had ended. Of other jobs every start has a number of its own; and
// what is done is done.
func (c *ClusterState) mayPredateRecord(job *workload.Job, report *worker.Report, reported *worker.TaskStatus) bool {
	return job.Record.Spec.Shape == record.Gang && report.FencingToken < c.firstGeneration && !(reported.State == worker.StateExited && reported.Cause == worker.CauseDone)
}

// commandsFor repeats, in a beat's answer, what the machine still has to do.
// Every command may be repeated; a start is named by task and attempt, so it
// takes effect once.
func (c *ClusterState) commandsFor(machine *worker.Machine, beat, starting bool, read, now time.Time) []worker.Command {
	if !beat {
		return nil
	}
	var orders []worker.Command
	for assignment := range c.capacity.AssignmentsOn(machine.Name) {
		job := assignment.Job
		switch {
		case assignment.Incarnation != machine.Incarnation:
		case assignment.Stopping:
			if assignment.Confirmed && assignment.Status != worker.StateExited {
				orders = append(orders, worker.StopCommand(assignment.Task().String(), assignment.Attempt, assignment.RemainingGrace(now)))
			}
		case !starting || read.Before(job.ReadRequiredAfter):
		case !assignment.Confirmed && assignment.FencingToken == c.generation && job.StoredVersion >= assignment.MarkerVersion && !machine.Deleting && (assignment.StartSent || scheduler.GangStartAllowed(assignment, machine, c.machines)):
			assignment.StartSent, assignment.OfferedInHeartbeat, assignment.OfferedAt = true, true, machine.Sequence
			orders = append(orders, worker.StartCommand(assignment.Task(), assignment.Attempt))
		}
	}
	return orders
}

// LeaseMustExpire tells whether a worker's lease must not be renewed: a direct start may
// still be on its way to it, of a task whose job was cancelled so long ago that the
// task could be there beyond cancel_s. A raised token turns the start away sooner,
// but to raise it takes the state service.
func (c *ClusterState) LeaseMustExpire(report *worker.Report, grace time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	machine := c.machines.Machines[report.Machine]
	if machine == nil || report.Incarnation != machine.Incarnation || len(machine.UnconfirmedStarts) == 0 {
		return false
	}
	for assignment := range c.capacity.AssignmentsOn(machine.Name) {
		if assignment.Stopping && !assignment.Confirmed && assignment.Job.Cancelled() && assignment.Incarnation == report.Incarnation && c.underCurrentGeneration(assignment) &&
			time.Since(assignment.StopRequestedAt) > grace && machine.MayRestart(assignment.Task().String(), assignment.Attempt) {
			return true
		}
	}
	return false
}

// observeTask notes a task that is on its machine.
func (c *ClusterState) observeTask(assignment *workload.Assignment, reported *worker.TaskStatus, machine *worker.Machine, now time.Time) {
	if !assignment.Confirmed || assignment.Status != reported.State {
		slog.Debug("seen", "class", assignment.Job.Record.Spec.Class, "job", assignment.Job.Record.Spec.ID, "task", assignment.TaskIndex, "machine", machine.Name, "status", reported.State,
			"sincePlaced", now.Sub(assignment.AssignedAt).Round(time.Millisecond))
	}
	assignment.Confirmed, assignment.StartSent = true, true
	node := c.capacity.Ensure(machine.Name)
	if reported.State != worker.StatePulling {
		c.capacity.EndImagePull(node, assignment)
	}
	if assignment.Stopping && assignment.StopSentAt.Before(assignment.StopRequestedAt) {
		c.commands.Add(node)
	}
	if assignment.Status != reported.State && reported.State == worker.StateRunning {
		assignment.RunningSince = now
	}
	if assignment.Status != reported.State && assignment.Job.Record.Spec.Shape == record.Gang {
		for _, other := range assignment.Job.Assignments {
			if !other.StartSent {
				c.commands.AddFor(other) // it waited for this one's image
			}
		}
	}
	if reported.State == worker.StateRunning && !assignment.RunningSince.IsZero() {
		c.checkOutlasted(assignment, now)
	}
	if reported.State != worker.StatePulling && assignment.Status != reported.State {
		spec := &assignment.Job.Record.Spec
		cache := math.Inf(1)
		if machineType := c.capacity.Type(machine.Type); machineType != nil {
			cache = machineType.CacheGB
		}
		c.capacity.ImageArrived(node, machine, spec.Image, spec.ImageGB, cache)
		c.markHintChanged(machine)
	}
	assignment.Status = reported.State
}

// recordOutcome takes in how an attempt ended.
func (c *ClusterState) recordOutcome(assignment *workload.Assignment, reported *worker.TaskStatus, machine *worker.Machine) {
	job, i := assignment.Job, assignment.TaskIndex
	key := assignment.Key()
	c.removeAssignment(assignment)
	if job.Ended {
		return
	}
	now := time.Now()
	switch reported.Cause {
	case worker.CauseDone:
		machine.TaskFailures = 0
		delete(job.Retries, i)
		job.Record.Finished.Add(i)
		delete(job.Failures.ByMachine, machine.Name)
		c.clearFailures(job)
		if job.Record.Spec.Shape == record.Gang {
			// A gang completes as one.
			for n := range job.Record.Spec.Tasks {
				job.Record.Finished.Add(n)
			}
		}
	case worker.CauseStopped:
		if !reported.Checkpointed && !job.Cancelled() {
			cause := "stopped for others"
			if !machine.SpotTerminationAt.IsZero() {
				cause = "spot"
			}
			c.costs.AddRepeated(assignment, cause, now)
		}
		c.recordEvent(job, "task %d stopped on %s: %s%s", i, machine.Name, assignment.StopReasonText(), savedText(reported.Checkpointed))
	case worker.CausePeers:
		c.costs.AddRepeated(assignment, "gang lost a task", now)
		c.recordEvent(job, "task %d ended on %s: another task of the gang was gone", i, machine.Name)
	case worker.CauseIncomplete:
		c.recordEvent(job, "task %d ended on %s: the gang was not complete in time", i, machine.Name)
	case worker.CauseError, worker.CauseNoSuch:
		c.recordFailure(assignment, reported.Cause, machine, now)
	case worker.CauseNoRoom, worker.CauseBusy:
		c.recordEvent(job, "task %d refused by %s: %s", i, machine.Name, reported.Cause)
		retry := job.RetryOf(i)
		retry.NotBefore = now.Add(time.Second)
		retry.Avoid[machine.Name] = true
	}
	c.markChanged(job)
	job.RecordedOutcomes[key] = job.Version
	c.finishIfComplete(job)
	job.RecordedOutcomes[key] = job.Version
}

func savedText(saved bool) string {
	if saved {
		return " (progress saved)"
	}
	return ""
}

// reconcileOrphan deals with a reported piece that no place accounts for.
func (c *ClusterState) reconcileOrphan(job *workload.Job, key workload.TaskAttempt, reported *worker.TaskStatus, machine *worker.Machine) []worker.Command {
	if reported.State == worker.StateExited {
		if job != nil && !job.Ended {
			if v, ok := job.RecordedOutcomes[key]; ok && job.StoredVersion < v {
				return nil // its outcome must be stored before it is cleared
			}
			if reported.Cause == worker.CauseDone && !job.Record.Finished.Contains(key.Task.Index) && key.Task.Index < job.Record.Spec.Tasks &&
				job.Assignments[key.Task.Index] == nil && !job.Cancelled() && job.MayRecordFinished() {
				// A result is kept wherever it comes from.
				job.Record.Finished.Add(key.Task.Index)
				c.markChanged(job)
				job.RecordedOutcomes[key] = job.Version
				c.finishIfComplete(job)
				job.RecordedOutcomes[key] = job.Version
				return nil
			}
			delete(job.RecordedOutcomes, key)
		}
		if machine.MayRestart(reported.Task, reported.Attempt) {
			return nil // cleared, a late start would begin it anew
		}
		return []worker.Command{worker.ClearCommand(reported.Task, reported.Attempt)}
	}
	if job != nil && job.Assignments[key.Task.Index] == nil && key.Task.Index < job.Record.Spec.Tasks {
		// It is there, whoever started it: until it is gone it must not be
		// started elsewhere and counts against its team.
		assignment := &workload.Assignment{Job: job, TaskIndex: key.Task.Index, Machine: machine.Name, Incarnation: machine.Incarnation, Attempt: key.Attempt, FencingToken: c.generation,
			StartSent: true, Confirmed: true, Status: reported.State, AssignedAt: time.Now()}
		job.Record.Attempt = max(job.Record.Attempt, key.Attempt)
		c.addAssignment(assignment)
		if job.Cancelled() || job.Record.Finished.Contains(key.Task.Index) || job.Record.Spec.Shape == record.Gang {
			c.stopAssignment(assignment, 0, "not expected there")
		} else {
			c.recordEvent(job, "task %d found on %s and kept", assignment.TaskIndex, machine.Name)
		}
		if !job.Ended {
			c.markChanged(job)
			assignment.MarkerVersion = job.Version
		}
		return nil
	}
	slog.Info("stray task stopped", "task", reported.Task, "attempt", reported.Attempt, "machine", machine.Name)
	return []worker.Command{worker.StopCommand(reported.Task, reported.Attempt, 0)}
}
