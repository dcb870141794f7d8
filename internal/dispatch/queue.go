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

// Jobs is what the queue asks of the cluster state. Every method is called under that state's lock.
type Jobs interface {
	// RemoveAssignment removes an assignment, whose task is proven not to be there.
	RemoveAssignment(assignment *workload.Assignment)
	// MarkChanged records that a job's record changed; MarkUrgent that it must be stored at once.
	MarkChanged(job *workload.Job)
	MarkUrgent(job *workload.Job)
	// FinishIfComplete moves a job to its final status when nothing is left of it.
	FinishIfComplete(job *workload.Job)
}

// Queue is the machines to which commands are to be sent. The lock of the cluster state guards it.
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

// Add has what is due on a node sent.
func (q *Queue) Add(node *capacity.Node) { q.pending[node] = true }

// AddFor has what is due of an assignment sent.
func (q *Queue) AddFor(assignment *workload.Assignment) {
	if node := q.capacity.Node(assignment.Machine); node != nil {
		q.Add(node)
	}
}

// Remove removes a node whose machine is gone.
func (q *Queue) Remove(node *capacity.Node) { delete(q.pending, node) }

// NextBatches takes what may be sent now, to at most limit machines: starts whose marker is stored, and stops.
// It records each start as outstanding before it is sent. What is beyond the limit stays due.
//
// Each machine has at most one call in flight, and one that leaves calls unanswered gets none at all: hundreds
// of silent machines must not keep responsive ones waiting. What is due there is sent after its next heartbeat,
// or its answer to a probe.
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

// sendable returns the pending nodes to which something may be sent, those that reported last first: of machines
// that are lost without notice yet, the last report is the oldest. Silent ones leave the queue until they report.
func (q *Queue) sendable() (nodes []*capacity.Node) {
	for node := range q.pending {
		machine := q.machines.Machines[node.Name]
		switch {
		case machine == nil || !machine.HasReported || machine.Addr == "" || machine.Deleting || machine.Suspect():
			delete(q.pending, node)
		case !machine.CommandsInFlight: // else it stays pending until that call is answered
			nodes = append(nodes, node)
		}
	}
	slices.SortFunc(nodes, func(x, y *capacity.Node) int {
		return q.machines.Machines[y.Name].LastReportAt.Compare(q.machines.Machines[x.Name].LastReportAt)
	})
	return nodes
}

// addCommand adds what is due of one assignment to a batch.
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
		q.Add(node) // looked at again soon
	case assignment.Job.StoredVersion < assignment.MarkerVersion:
	case !scheduler.GangStartAllowed(assignment, machine, q.machines):
	case assignment.FencingToken == permission.FencingToken:
		batch.addStart(assignment, machine)
	case assignment.MarkerVersion > 0:
		q.renewMarker(assignment, permission.FencingToken)
	}
}

// renewMarker has an assignment's marker stored again. The generation rose between marker and start: the marker
// must carry the fencing token that the start is sent with.
func (q *Queue) renewMarker(assignment *workload.Assignment, fencingToken ids.Generation) {
	assignment.FencingToken = fencingToken
	q.jobs.MarkChanged(assignment.Job)
	q.jobs.MarkUrgent(assignment.Job)
	assignment.MarkerVersion = assignment.Job.Version
}
