package dispatch

import (
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// Answered records what became of a batch.
func (q *Queue) Answered(batch Batch, outcome worker.Outcome) {
	machine := q.machines.Machines[batch.Machine]
	if machine == nil {
		return
	}
	machine.CommandsInFlight = false
	if outcome == worker.NotSent {
		q.undoStarts(&batch)
	}
	q.RecordReachability(machine, outcome == worker.Executed || outcome == worker.Rejected)
	if outcome == worker.OutcomeUnknown {
		return // outstanding until shown, or turned away by incarnation or token
	}
	machine.UnconfirmedStarts = slices.DeleteFunc(machine.UnconfirmedStarts, func(start worker.UnconfirmedStart) bool {
		return start.Incarnation == batch.Incarnation && start.FencingToken == batch.FencingToken && batch.starts(start.Task, start.Attempt)
	})
}

// undoStarts undoes the starts of a batch that was not sent: nothing of it can arrive later, so what it would
// have started has only its marker again, or is removed if its stop was requested meanwhile.
func (q *Queue) undoStarts(batch *Batch) {
	for assignment := range q.capacity.AssignmentsOn(batch.Machine) {
		outstanding := assignment.StartSent && !assignment.Confirmed && !assignment.OfferedInHeartbeat
		ofBatch := assignment.Incarnation == batch.Incarnation && assignment.FencingToken == batch.FencingToken
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

// RecordReachability records whether a machine answered a call. One that did gets what is due; one that did not
// loses the assignments that have only a marker: their starts were never sent, so they may be assigned elsewhere
// at once.
func (q *Queue) RecordReachability(machine *worker.Machine, answered bool) {
	wasSuspect := machine.Suspect()
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
