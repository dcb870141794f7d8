package dispatch

import (
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// RecordOutcome records the outcome of sending a batch.
func (q *Queue) RecordOutcome(batch Batch, outcome worker.Outcome) {
	machine := q.machines.Machines[batch.Machine]
	if machine == nil {
		return
	}
	machine.CommandsInFlight = false
	if outcome == worker.NotSent {
		q.markStartsUnsent(&batch)
	}
	q.RecordReachability(machine, outcome == worker.Executed || outcome == worker.Rejected)
	if outcome == worker.OutcomeUnknown {
		return // unconfirmed until a report shows the starts, or a newer incarnation or token rejects them
	}
	machine.UnconfirmedStarts = slices.DeleteFunc(machine.UnconfirmedStarts, func(start worker.UnconfirmedStart) bool {
		return start.Incarnation == batch.Incarnation && start.FencingToken == batch.FencingToken && batch.starts(start.Task, start.Attempt)
	})
}

// markStartsUnsent marks the starts of a batch that was not sent as unsent, since none of them can arrive
// later. An assignment whose stop was requested meanwhile is removed.
func (q *Queue) markStartsUnsent(batch *Batch) {
	for assignment := range q.capacity.AssignmentsOn(batch.Machine) {
		outstanding := assignment.StartSent && !assignment.Confirmed && !assignment.OfferedInHeartbeat
		ofBatch := assignment.Incarnation == batch.Incarnation && assignment.FencingToken == batch.Generation
		if !outstanding || !ofBatch || !batch.starts(assignment.Task().String(), assignment.Attempt) {
			continue
		}
		assignment.StartSent = false
		if assignment.Stopping {
			q.jobs.RemoveAssignment(assignment)
			q.jobs.MarkChanged(assignment.Job)
			q.jobs.FinishIfComplete(assignment.Job)
		}
	}
}

// RecordReachability records whether a machine answered a call. If a suspect machine answers, its pending
// commands are queued. If a machine does not answer, its assignments whose starts were never sent are
// removed, so that they can be assigned elsewhere at once.
func (q *Queue) RecordReachability(machine *worker.Machine, answered bool) {
	wasSuspect := machine.IsSuspect()
	machine.RecordCall(answered, time.Now())
	node := q.capacity.Node(machine.Name)
	if node == nil {
		return
	}
	if answered {
		if wasSuspect {
			q.Add(node)
		}
		return
	}
	for assignment := range node.Assignments {
		if !assignment.StartSent && !assignment.Stopping {
			q.jobs.RemoveAssignment(assignment)
			q.jobs.MarkChanged(assignment.Job)
		}
	}
}
