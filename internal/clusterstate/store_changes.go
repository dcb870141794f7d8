package clusterstate

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

const (
	// outcomeDelay is how long outcomes of unfinished jobs may wait for one another before they are
	// stored. Nothing is lost by that: until stored they are not cleared, so the next leader would learn
	// them from the workers again; and what others wait for, markers and ends, is never kept waiting.
	outcomeDelay = 4 * time.Second
	// scarceOutcomeDelay is the same while changes are scarce: new work and ends need them more.
	scarceOutcomeDelay = 12 * time.Second
)

// maxTxnBytes is how much of a transaction's 64 KiB its changes may fill; its conditions and the rest of
// its text take less than txnBytes and changeBytes say.
const (
	maxTxnBytes = 60 * 1024
	txnBytes    = 256
	changeBytes = 200
)

// Writer names this leader in what it writes.
func (c *State) Writer() string { return c.writer }

// CommitWanted is ready to be read once a change has to be stored at once.
func (c *State) CommitWanted() <-chan struct{} { return c.commitSignal }

// ValueLimit is how many bytes a value may take.
func (c *State) ValueLimit() int { return valueLimit(c.settings) }

// changeGroup collects changes within the limits of one transaction.
type changeGroup struct {
	maxOps  int
	ops     int
	size    int
	changes []commit.Change
}

// add adds a change if it fits.
func (g *changeGroup) add(change commit.Change) bool {
	if g.ops+len(change.Ops) > g.maxOps || g.size+change.Size > maxTxnBytes {
		return false
	}
	g.ops += len(change.Ops)
	g.size += change.Size
	g.changes = append(g.changes, change)
	return true
}

// CollectChanges picks the changes to store now, most urgent first, within the limits of one transaction;
// raise tells that the generation is to be raised before.
func (c *State) CollectChanges(limits commit.Limits) (changes []commit.Change, raise bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	group := &changeGroup{maxOps: min(c.settings.Params.State.TxnOps, limits.Ops), size: txnBytes}
	c.dependencies.collectReadyMoves(group.add)
	c.collectChangedJobs(limits, group.add)
	if !limits.Scarce {
		c.dependencies.collectCancelledMoves(group.add) // told as cancelled already: these can wait
	}
	return group.changes, c.raisePending
}

// collectChangedJobs collects the jobs whose changes are due.
func (c *State) collectChangedJobs(limits commit.Limits, add func(commit.Change) bool) {
	delay := outcomeDelay
	if limits.Scarce {
		delay = scarceOutcomeDelay
	}
	for _, job := range c.changes.Due(time.Now(), delay) {
		change, fits := c.encodeChange(job)
		if !fits {
			c.handleOversize(job)
			continue
		}
		if !add(change) {
			return
		}
	}
}

// encodeChange makes the change that stores a job as it is now; fits tells whether its record fits the
// limit of values.
func (c *State) encodeChange(job *workload.Job) (change commit.Change, fits bool) {
	change = commit.Change{Job: job, Version: job.Version, Terminal: job.Record.Status.IsTerminal()}
	stored := job.Record
	stored.Generation, stored.Writer, stored.Seq = c.generation, c.writer, job.Version
	encode := stored.EncodeFinal
	if !change.Terminal {
		stored.Assignments = workload.GroupAssignments(job.Assignments)
		encode = stored.Encode
	}
	value, fits := encode(c.ValueLimit())
	if !fits {
		return change, false
	}
	job.Oversize = false
	if !change.Terminal {
		job.RecordEncodedSize(stored.Assignments, len(value)-droppableEventBytes(stored.Events))
	}
	id := job.ID()
	// A cancellation stored apart from the record must not be passed over either.
	cancellation := state.Condition{Key: record.CancelKey(id), Revision: c.cancellations[id]}
	change.Conditions = []state.Condition{{Key: record.JobKey(id), Revision: job.Revision}, cancellation}
	change.Size = len(value) + changeBytes
	if !change.Terminal {
		change.Ops = []state.Op{{Put: record.JobKey(id), Value: value}}
		return change, true
	}
	change.Conditions = append(change.Conditions, state.Condition{Key: record.EndKey(id)})
	change.Ops = []state.Op{{Remove: record.JobKey(id)}, {Put: record.EndKey(id), Value: value}}
	if cancellation.Revision > 0 {
		change.Ops = append(change.Ops, state.Op{Remove: record.CancelKey(id)})
	}
	return change, true
}

const (
	// keptEvents is how many of a record's last events are not given up for assignments.
	keptEvents = 2
	// eventBytes is about what an event takes beside its message.
	eventBytes = 35
)

// droppableEventBytes is about how many bytes the events would give up for assignments.
func droppableEventBytes(events []record.Event) (bytes int) {
	for i := range events[:max(0, len(events)-keptEvents)] {
		bytes += len(events[i].Message) + eventBytes
	}
	return bytes
}

// ChangesStored takes in that changes are in the store. Starts of their jobs wait for a read of the records
// begun after a time, if there is one.
func (c *State) ChangesStored(changes []commit.Change, revision ids.Revision, readAfter time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		if change.Job != nil && !readAfter.IsZero() {
			change.Job.ReadRequiredAfter = readAfter
		}
		c.changeStored(change, revision)
	}
}

// changeStored takes in that one change is in the store.
func (c *State) changeStored(change commit.Change, revision ids.Revision) {
	if change.Waiting != nil {
		c.dependencies.waitingJobMoved(change, revision, time.Now())
		return
	}
	job := change.Job
	job.Revision = max(job.Revision, revision) // a cancellation may be known that was stored after it
	job.StoredVersion = max(job.StoredVersion, change.Version)
	c.versionStored(job)
	if change.Terminal {
		delete(c.cancellations, job.ID())
		c.dependencies.jobEnded(job.ID(), job.Record.Status)
		c.retireJob(job)
	}
}

// versionStored notes what newly stored versions allow: starts whose marker is in the store go out, and
// later changes may wait for one another again.
func (c *State) versionStored(job *workload.Job) {
	if job.StoredVersion >= job.Version {
		c.changes.Remove(job)
		job.Urgent = false
	} else {
		job.ChangedAt = time.Now()
	}
	for _, assignment := range job.Assignments {
		if !assignment.StartSent && assignment.MarkerVersion <= job.StoredVersion {
			c.commands.AddFor(assignment)
		} else if !assignment.StartSent {
			job.Urgent = true
		}
	}
}

// GenerationRaised takes in this leader's new generation.
func (c *State) GenerationRaised(generation ids.Generation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generation, c.raisePending = generation, false
	for _, node := range c.capacity.Nodes() {
		if len(node.Assignments) > 0 {
			c.commands.Add(node) // markers not sent yet must carry the new token
		}
	}
}

// CancellationFound takes in that a job's cancellation is stored apart from its record, or with a revision
// of 0 that none is.
func (c *State) CancellationFound(id ids.Job, revision ids.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision == 0 {
		delete(c.cancellations, id)
		return
	}
	c.applyCancellation(id, revision)
}

// RecordFound takes in a job's live record: this leader's own, whose answer was lost, or a user's.
func (c *State) RecordFound(job *workload.Job, stored *record.Record, revision ids.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stored.Writer != c.writer {
		c.applyForeignWrite(job, revision, stored)
		return
	}
	job.ReadRequiredAfter = time.Now()
	job.Revision = revision
	job.StoredVersion = max(job.StoredVersion, min(stored.Seq, job.Version))
	c.versionStored(job)
}

// RecordEnded drops a job whose end is stored already, by this leader's own lost answer or by a cancellation
// while nothing was assigned.
func (c *State) RecordEnded(job *workload.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range workload.SortedTasks(job.Assignments) {
		assignment := job.Assignments[i]
		if !assignment.StartSent {
			c.removeAssignment(assignment)
		} else if !assignment.Stopping {
			c.stopAssignment(assignment, 0, "job over")
		}
	}
	c.retireJob(job)
}
