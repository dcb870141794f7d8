package dispatch

import (
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Books are the jobs and assignments, which the queue changes by these calls alone.
type Books interface {
	// RemoveAssignment takes an assignment off the books: its task is proven not to be there.
	RemoveAssignment(assignment *workload.Assignment)
	// MarkChanged notes that a job's record changed; MarkUrgent that it is to be stored at once.
	MarkChanged(job *workload.Job)
	MarkUrgent(job *workload.Job)
	// FinishIfComplete moves a job to its final status when nothing is left of it.
	FinishIfComplete(job *workload.Job)
}

// Batch is what goes straight to one worker at once.
type Batch struct {
	Machine      ids.Machine
	Address      string
	Incarnation  ids.Incarnation
	FencingToken ids.Generation
	Commands     []worker.Command
}

// starts tells whether the batch starts a task under an attempt.
func (b *Batch) starts(task string, attempt ids.Attempt) bool {
	return slices.ContainsFunc(b.Commands, func(command worker.Command) bool {
		return command.Verb == worker.VerbStart && command.Task == task && command.Attempt == attempt
	})
}

// Permission is what starts may go out under.
type Permission struct {
	// FencingToken is the leader's generation.
	FencingToken ids.Generation
	// Starts tells whether starts may go out at all, and RecordsRead of when the last complete read of
	// the records is: another controller may have confirmed since, unknown to this one, that a job is
	// cancelled.
	Starts      bool
	RecordsRead time.Time
}

// MayStart tells whether starts of a job may go out.
func (p *Permission) MayStart(job *workload.Job) bool {
	return p.Starts && !p.RecordsRead.Before(job.ReadRequiredAfter)
}

// Queue is the machines to which commands are to be sent.
type Queue struct {
	machines *worker.Registry
	capacity *capacity.Index
	books    Books
	pending  map[*capacity.Node]bool
}

// NewQueue makes an empty queue.
func NewQueue(machines *worker.Registry, index *capacity.Index, books Books) *Queue {
	return &Queue{machines: machines, capacity: index, books: books, pending: map[*capacity.Node]bool{}}
}

// Add has what is due on a node sent.
func (q *Queue) Add(node *capacity.Node) { q.pending[node] = true }

// AddFor has what is due of an assignment sent.
func (q *Queue) AddFor(assignment *workload.Assignment) {
	if node := q.capacity.Node(assignment.Machine); node != nil {
		q.Add(node)
	}
}

// Remove takes a node out that is gone.
func (q *Queue) Remove(node *capacity.Node) { delete(q.pending, node) }

// NextBatches takes what may go out now, for at most so many machines: starts whose marker is stored, and
// stops. It notes each start as outstanding before it is sent. What finds no room stays due.
//
// A machine holds at most one send at a time, and one that leaves calls unanswered none at all: hundreds
// of silent machines must not keep living ones waiting. Its next heartbeat, or its answer to a probe,
// gets what is due.
func (q *Queue) NextBatches(limit int, permission Permission, now time.Time) (batches []Batch) {
	nodes := q.sendable()
	if limit <= 0 {
		return nil
	}
	for _, node := range nodes {
		if len(batches) >= limit {
			break
		}
		delete(q.pending, node)
		machine := q.machines.Machines[node.Name]
		batch := Batch{Machine: node.Name, Address: machine.Addr, Incarnation: machine.Incarnation, FencingToken: permission.FencingToken}
		for assignment := range node.Assignments {
			if assignment.Incarnation == machine.Incarnation {
				q.addCommand(&batch, assignment, node, machine, &permission, now)
			}
		}
		if len(batch.Commands) > 0 {
			machine.CommandsInFlight = true
			batches = append(batches, batch)
		}
	}
	return batches
}

// sendable lists the pending nodes to which something may be sent, those heard last first: of a loss not
// noticed yet, the lost were heard longest ago. Those not heard leave the queue until they are.
func (q *Queue) sendable() (nodes []*capacity.Node) {
	for node := range q.pending {
		machine := q.machines.Machines[node.Name]
		switch {
		case machine == nil || !machine.HasReported || machine.Addr == "" || machine.Deleting || machine.Suspect():
			delete(q.pending, node)
		case !machine.CommandsInFlight: // else the answer under way looks again
			nodes = append(nodes, node)
		}
	}
	slices.SortFunc(nodes, func(x, y *capacity.Node) int {
		return q.machines.Machines[y.Name].LastReportAt.Compare(q.machines.Machines[x.Name].LastReportAt)
	})
	return nodes
}

// addCommand adds what is due of one assignment to a batch.
func (q *Queue) addCommand(batch *Batch, assignment *workload.Assignment, node *capacity.Node, machine *worker.Machine, permission *Permission, now time.Time) {
	switch {
	case assignment.Stopping:
		if assignment.Confirmed && assignment.StopSentAt.Before(assignment.StopRequestedAt) {
			assignment.StopSentAt = now
			batch.Commands = append(batch.Commands, worker.StopCommand(assignment.Task().String(), assignment.Attempt, assignment.StopGrace))
		}
	case assignment.StartSent:
	case !permission.MayStart(assignment.Job):
		q.Add(node) // looked at again soon
	case assignment.Job.StoredVersion < assignment.MarkerVersion:
	case !scheduler.GangStartAllowed(assignment, machine, q.machines):
	case assignment.FencingToken == permission.FencingToken:
		assignment.StartSent = true
		machine.UnconfirmedStarts = append(machine.UnconfirmedStarts, worker.UnconfirmedStart{Task: assignment.Task().String(),
			Attempt: assignment.Attempt, FencingToken: permission.FencingToken, Incarnation: machine.Incarnation})
		batch.Commands = append(batch.Commands, worker.StartCommand(assignment.Task(), assignment.Attempt))
	case assignment.MarkerVersion > 0:
		// The generation rose between marker and start: the marker must carry the token that the start
		// goes out with.
		assignment.FencingToken = permission.FencingToken
		q.books.MarkChanged(assignment.Job)
		q.books.MarkUrgent(assignment.Job)
		assignment.MarkerVersion = assignment.Job.Version
	}
}

// Answered takes in what became of a batch.
func (q *Queue) Answered(batch Batch, outcome worker.Outcome) {
	machine := q.machines.Machines[batch.Machine]
	if machine == nil {
		return
	}
	machine.CommandsInFlight = false
	if outcome == worker.NotSent {
		q.takeBack(&batch)
	}
	q.RecordReachability(machine, outcome == worker.Executed || outcome == worker.Rejected)
	if outcome == worker.OutcomeUnknown {
		return // outstanding until shown, or turned away by incarnation or token
	}
	machine.UnconfirmedStarts = slices.DeleteFunc(machine.UnconfirmedStarts, func(start worker.UnconfirmedStart) bool {
		return start.Incarnation == batch.Incarnation && start.FencingToken == batch.FencingToken && batch.starts(start.Task, start.Attempt)
	})
}

// takeBack deals with a batch that was not sent: nothing of it can arrive later, so what it would have
// started is only marked again, or gone if it was asked to be stopped meanwhile.
func (q *Queue) takeBack(batch *Batch) {
	for assignment := range q.capacity.AssignmentsOn(batch.Machine) {
		outstanding := assignment.StartSent && !assignment.Confirmed && !assignment.OfferedInHeartbeat
		ofBatch := assignment.Incarnation == batch.Incarnation && assignment.FencingToken == batch.FencingToken
		if !outstanding || !ofBatch || !batch.starts(assignment.Task().String(), assignment.Attempt) {
			continue
		}
		assignment.StartSent = false
		if assignment.Stopping {
			q.books.RemoveAssignment(assignment)
			q.books.MarkChanged(assignment.Job)
			q.books.FinishIfComplete(assignment.Job)
		}
	}
}

// RecordReachability takes in whether a machine answered a call. One that did gets what is due; one that
// did not loses what was only marked for it: no start of that went out, so it may go elsewhere at once.
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
			q.books.RemoveAssignment(assignment)
			q.books.MarkChanged(assignment.Job)
		}
	}
}
