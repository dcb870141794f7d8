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

// Jobs provides the operations on the cluster state that the queue needs. Every method is called with that
// state's lock held.
type Jobs interface {
	// RemoveAssignment removes an assignment whose task is proven not to be on its machine.
	RemoveAssignment(assignment *workload.Assignment)
	// MarkChanged records that a job's record changed; MarkUrgent records that it must be stored at once.
	MarkChanged(job *workload.Job)
	MarkUrgent(job *workload.Job)
	// FinishIfComplete sets the final status of a job that has no work left.
	FinishIfComplete(job *workload.Job)
}

// Queue contains the machines that have pending commands. The lock of the cluster state guards it.
type Queue struct {
	machines *worker.Registry
	capacity *capacity.Index
	jobs     Jobs
	pending  map[*capacity.Node]bool
}

// NewQueue returns an empty queue.
func NewQueue(machines *worker.Registry, index *capacity.Index, jobs Jobs) *Queue {
	return &Queue{machines: machines, capacity: index, jobs: jobs, pending: map[*capacity.Node]bool{}}
}

// Add queues the pending commands of a node.
func (q *Queue) Add(node *capacity.Node) { q.pending[node] = true }

// AddFor queues the pending commands of an assignment's node.
func (q *Queue) AddFor(assignment *workload.Assignment) {
	if node := q.capacity.Node(assignment.Machine); node != nil {
		q.Add(node)
	}
}

// Remove removes a node whose machine is gone.
func (q *Queue) Remove(node *capacity.Node) { delete(q.pending, node) }

// NextBatches takes from the queue the commands that may be sent now, to at most limit machines: stops, and
// starts whose markers are stored. It records each start as unconfirmed before it is sent. Machines beyond
// the limit stay queued.
//
// Each machine has at most one call in flight, and a machine that does not answer calls gets none, so that
// hundreds of silent machines do not delay the responsive ones. Its commands are sent after its next
// heartbeat or its answer to a probe.
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
		batch := Batch{
			Machine:      node.Name,
			Address:      machine.Addr,
			Incarnation:  machine.Incarnation,
			FencingToken: machine.CommandToken(permission.Tokens),
			Generation:   permission.Tokens.Last,
		}
		for assignment := range node.Assignments {
			if assignment.Incarnation == machine.Incarnation {
				q.addCommand(&batch, assignment, node, machine, &permission, now)
			}
		}
		if len(batch.Commands) > 0 {
			machine.CommandsInFlight = true
			machine.RecordDirectCommands(batch.FencingToken)
			batches = append(batches, batch)
		}
	}
	return batches
}

// sendable returns the pending nodes that may receive commands, ordered by their last report, latest first:
// machines that are lost but not detected yet have the oldest reports. Suspect machines leave the queue
// until they report.
func (q *Queue) sendable() (nodes []*capacity.Node) {
	for node := range q.pending {
		machine := q.machines.Machines[node.Name]
		switch {
		case machine == nil || !machine.HasReported || machine.Addr == "" || machine.Deleting || machine.IsSuspect():
			delete(q.pending, node)
		case !machine.CommandsInFlight: // otherwise it stays pending until that call is answered
			nodes = append(nodes, node)
		}
	}
	slices.SortFunc(nodes, func(x, y *capacity.Node) int {
		return q.machines.Machines[y.Name].LastReportAt.Compare(q.machines.Machines[x.Name].LastReportAt)
	})
	return nodes
}

// addCommand adds the pending command of an assignment to a batch.
func (q *Queue) addCommand(
	batch *Batch, assignment *workload.Assignment, node *capacity.Node, machine *worker.Machine, permission *Permission, now time.Time,
) {
	switch {
	case assignment.Stopping:
		if assignment.Confirmed && assignment.StopSentAt.Before(assignment.StopRequestedAt) {
			assignment.StopSentAt = now
			batch.Commands = append(batch.Commands, worker.StopCommand(assignment.Task().String(), assignment.Attempt, assignment.StopGrace))
		}
	case assignment.StartSent:
	case !permission.MayStart(assignment.Job):
		q.Add(node) // starts of the job may be permitted later
	case assignment.Job.StoredVersion < assignment.MarkerVersion:
	case !scheduler.GangStartAllowed(assignment, machine, q.machines):
	case assignment.FencingToken == permission.Tokens.Last:
		batch.addStart(assignment, machine)
	case assignment.MarkerVersion > 0:
		q.renewMarker(assignment, permission.Tokens.Last)
	}
}

// renewMarker requests that an assignment's marker be stored again. The generation was raised after the
// marker was stored, and the marker must bound the fencing token that the start is sent with.
func (q *Queue) renewMarker(assignment *workload.Assignment, generation ids.Generation) {
	assignment.FencingToken = generation
	q.jobs.MarkChanged(assignment.Job)
	q.jobs.MarkUrgent(assignment.Job)
	assignment.MarkerVersion = assignment.Job.Version
}
