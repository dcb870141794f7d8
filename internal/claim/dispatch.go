package claim

import (
	"context"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// commandBatch is what goes straight to one worker at once.
type commandBatch struct {
	machine      ids.Machine
	address      string
	incarnation  ids.Incarnation
	fencingToken ids.Generation
	commands     []worker.Command
}

// startsTask tells whether the batch begins an attempt.
func (b *commandBatch) startsTask(task string, a ids.Attempt) bool {
	return slices.ContainsFunc(b.commands, func(o worker.Command) bool {
		return o.Verb == "start" && o.Task == task && o.Attempt == a
	})
}

// nextBatches takes what may go out now, for at most free machines: starts whose
// marker is stored, and stops. It notes each start as outstanding before it is
// sent. What finds no room stays due.
//
// A machine holds at most one send at a time, and one that leaves calls
// unanswered none at all: hundreds of silent machines must not keep living ones
// waiting. Its next beat, or its answer to a question, gets what it is owed.
func (c *ClusterState) nextBatches(free int) []commandBatch {
	starting, read := c.StartsAllowed()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	now := time.Now()
	var due []*capacity.Node
	for node := range c.pendingCommands {
		machine := c.machines.Machines[node.Name]
		switch {
		case machine == nil || !machine.HasReported || machine.Addr == "" || machine.Deleting || machine.Suspect():
			delete(c.pendingCommands, node) // due again once it is heard
		case !machine.CommandsInFlight: // else the answer under way looks again
			due = append(due, node)
		}
	}
	if free <= 0 {
		return nil
	}
	// Of a loss not noticed yet, the lost were heard longest ago.
	slices.SortFunc(due, func(x, y *capacity.Node) int {
		return c.machines.Machines[y.Name].LastReportAt.Compare(c.machines.Machines[x.Name].LastReportAt)
	})
	var out []commandBatch
	for _, node := range due {
		if len(out) >= free {
			break
		}
		delete(c.pendingCommands, node)
		name := node.Name
		machine := c.machines.Machines[name]
		batch := commandBatch{machine: name, address: machine.Addr, incarnation: machine.Incarnation, fencingToken: c.generation}
		for assignment := range node.Assignments {
			if assignment.Incarnation != machine.Incarnation {
				continue
			}
			switch {
			case assignment.Stopping && assignment.Confirmed && assignment.StopSentAt.Before(assignment.StopRequestedAt):
				assignment.StopSentAt = now
				batch.commands = append(batch.commands, worker.StopCommand(assignment.Task().String(), assignment.Attempt, assignment.StopGrace))
			case !assignment.Stopping && !assignment.StartSent && (!starting || read.Before(assignment.Job.ReadRequiredAfter)):
				c.pendingCommands[node] = true // looked at again soon
			case !assignment.Stopping && !assignment.StartSent && assignment.Job.StoredVersion >= assignment.MarkerVersion && !scheduler.GangStartAllowed(assignment, machine, c.machines):
			case !assignment.Stopping && !assignment.StartSent && assignment.Job.StoredVersion >= assignment.MarkerVersion && assignment.FencingToken == c.generation:
				assignment.StartSent = true
				machine.UnconfirmedStarts = append(machine.UnconfirmedStarts, worker.UnconfirmedStart{Task: assignment.Task().String(), Attempt: assignment.Attempt, FencingToken: c.generation, Incarnation: machine.Incarnation})
				batch.commands = append(batch.commands, worker.StartCommand(assignment.Task(), assignment.Attempt))
			case !assignment.Stopping && !assignment.StartSent && assignment.Job.StoredVersion >= assignment.MarkerVersion && assignment.MarkerVersion > 0:
				// The generation rose between marker and start: the marker
				// must carry the token that the start goes out with.
				assignment.FencingToken = c.generation
				c.markChanged(assignment.Job)
				c.markUrgent(assignment.Job)
				assignment.MarkerVersion = assignment.Job.Version
			}
		}
		if len(batch.commands) > 0 {
			machine.CommandsInFlight = true
			out = append(out, batch)
		}
	}
	return out
}

// queueCommand notes that something is to be sent to a place's machine.
func (c *ClusterState) queueCommand(assignment *workload.Assignment) {
	if node := c.capacity.Node(assignment.Machine); node != nil {
		c.pendingCommands[node] = true
	}
}

// batchAnswered settles what became of a batch.
func (c *ClusterState) batchAnswered(batch commandBatch, how worker.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	machine := c.machines.Machines[batch.machine]
	if machine == nil {
		return
	}
	machine.CommandsInFlight = false
	if how == worker.NotSent {
		// Nothing of it can arrive later, so what it would have started is only
		// marked again.
		for assignment := range c.capacity.AssignmentsOn(batch.machine) {
			if assignment.StartSent && !assignment.Confirmed && !assignment.OfferedInHeartbeat && assignment.Incarnation == batch.incarnation && assignment.FencingToken == batch.fencingToken && batch.startsTask(assignment.Task().String(), assignment.Attempt) {
				assignment.StartSent = false
				if assignment.Stopping {
					// Asked to be stopped meanwhile: there is nothing to stop.
					c.removeAssignment(assignment)
					c.markChanged(assignment.Job)
					c.finishIfComplete(assignment.Job)
				}
			}
		}
	}
	c.recordReachability(machine, how == worker.Executed || how == worker.Rejected)
	if how == worker.OutcomeUnknown {
		return // outstanding until shown, or turned away by session or token
	}
	kept := machine.UnconfirmedStarts[:0]
	for _, l := range machine.UnconfirmedStarts {
		ours := l.Incarnation == batch.incarnation && l.FencingToken == batch.fencingToken && batch.startsTask(l.Task, l.Attempt)
		if !ours {
			kept = append(kept, l)
		}
	}
	machine.UnconfirmedStarts = kept
}

// Dispatcher sends batches straight to the workers.
type Dispatcher struct {
	Cluster   *ClusterState
	Commander *worker.Commander
	// MayCommand tells whether this leader may still give commands.
	MayCommand func() bool
	slots      chan struct{}
	wake       chan struct{}
}

// NewDispatcher bounds the sends under way, since each holds a socket.
func NewDispatcher(cluster *ClusterState, c *worker.Commander, slots int) *Dispatcher {
	return &Dispatcher{Cluster: cluster, Commander: c, slots: make(chan struct{}, slots), wake: make(chan struct{}, 1)}
}

// Wake asks for a look at what may go out.
func (d *Dispatcher) Wake() { signal(d.wake) }

// Run sends until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-time.After(200 * time.Millisecond):
		}
		if d.MayCommand != nil && !d.MayCommand() {
			continue
		}
		d.sendProbes(ctx)
		for _, batch := range d.Cluster.nextBatches(cap(d.slots) - len(d.slots)) {
			d.slots <- struct{}{} // only this loop takes slots, so one is free
			go func() {
				how, report := d.Commander.Send(ctx, batch.address, batch.fencingToken, batch.incarnation, batch.commands)
				<-d.slots
				d.Cluster.batchAnswered(batch, how)
				if report != nil && report.Machine == batch.machine {
					d.Cluster.ReconcileHeartbeat(report, false, false)
				}
				d.Wake() // a slot is free, and more may be due there
			}()
		}
	}
}
