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
	// outcomeDelay is how long task outcomes of unfinished jobs may be delayed, so that several are stored
	// together. No outcome is lost: workers report it until it is stored and cleared, so the next leader
	// would learn it again. Changes that something waits for, markers and ends, are not delayed.
	outcomeDelay = 4 * time.Second
	// scarceOutcomeDelay replaces outcomeDelay while the budget for changes to the store is nearly
	// exhausted, because new work and ends of jobs need the rest of the budget.
	scarceOutcomeDelay = 12 * time.Second
)

// maxTxnBytes is how much of a transaction's 64 KiB its changes may fill. The text around the values,
// conditions included, takes less than txnBytes per transaction plus changeBytes per change.
const (
	maxTxnBytes = 60 * 1024
	txnBytes    = 256
	changeBytes = 200
)

// Writer returns the name that identifies this leader in the records that it writes.
func (c *State) Writer() string { return c.writer }

// CommitRequested returns a channel that is ready to be read once a change must be stored at once.
func (c *State) CommitRequested() <-chan struct{} { return c.commitSignal }

// ValueLimit returns the size limit of a stored value in bytes.
func (c *State) ValueLimit() int { return valueLimit(c.settings) }

// changeGroup collects changes within the limits of one transaction.
type changeGroup struct {
	maxOps  int
	ops     int
	size    int
	changes []commit.Change
}

// add adds a change if it fits, and reports whether it did.
func (g *changeGroup) add(change commit.Change) bool {
	if g.ops+len(change.Ops) > g.maxOps || g.size+change.Size > maxTxnBytes {
		return false
	}
	g.ops += len(change.Ops)
	g.size += change.Size
	g.changes = append(g.changes, change)
	return true
}

// CollectChanges returns the changes to store now, most urgent first, within the limits of one transaction;
// raise is set if the generation must be raised first.
func (c *State) CollectChanges(limits commit.Limits) (changes []commit.Change, raise bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	group := &changeGroup{maxOps: min(c.settings.Params.State.TxnOps, limits.Ops), size: txnBytes}
	c.dependencies.collectReadyMoves(group.add)
	c.collectChangedJobs(limits, group.add)
	if !limits.BudgetNearlyExhausted {
		// Users see these jobs as cancelled already, so storing that can wait.
		c.dependencies.collectCancelledMoves(group.add)
	}
	return group.changes, c.raisePending
}

// collectChangedJobs collects the changes of jobs that are due to be stored.
func (c *State) collectChangedJobs(limits commit.Limits, add func(commit.Change) bool) {
	delay := outcomeDelay
	if limits.BudgetNearlyExhausted {
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

// encodeChange returns the change that stores a job as it is now; fits is false if its record does not fit
// a stored value.
func (c *State) encodeChange(job *workload.Job) (change commit.Change, fits bool) {
	change = commit.Change{Job: job, Version: job.Version, Terminal: job.Record.Status.IsTerminal()}
	stored := c.nextRecord(job, job.Version)
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
	// The write must also fail if a cancellation was stored apart from the record meanwhile.
	cancellation := state.Condition{Key: record.CancelKey(id), Revision: c.cancellations[id]}
	change.Conditions = []state.Condition{{Key: record.JobKey(id), Revision: job.Revision}, cancellation}
	change.Size = len(value) + changeBytes
	if !change.Terminal {
		change.Ops = []state.Op{{Put: record.JobKey(id), Value: value}}
		return change, true
	}
	change.Conditions = append(change.Conditions, state.Condition{Key: record.FinalRecordKey(id)})
	change.Ops = []state.Op{{Remove: record.JobKey(id)}, {Put: record.FinalRecordKey(id), Value: value}}
	if cancellation.Revision > 0 {
		change.Ops = append(change.Ops, state.Op{Remove: record.CancelKey(id)})
	}
	return change, true
}

// nextRecord returns a job's record, without its assignments, as this leader would write a version of it.
func (c *State) nextRecord(job *workload.Job, version uint64) record.Record {
	next := job.Record
	next.Generation, next.Writer, next.Seq = c.generation(), c.writer, version
	return next
}

// recordSize returns the least size in bytes of a job's record once planned assignments are added to the
// present ones.
func (c *State) recordSize(job *workload.Job, planned []record.TaskAssignment) (int, error) {
	next := c.nextRecord(job, job.Version+1)
	next.Status = record.Claimed
	next.Assignments = workload.GroupAssignments(job.Assignments, planned...)
	return next.MinSize()
}

const (
	// keptEvents is how many of a record's last events are kept when others are dropped for assignments.
	keptEvents = 2
	// eventBytes is the approximate size of an event without its message.
	eventBytes = 35
)

// droppableEventBytes returns the approximate size of the events that may be dropped for assignments.
func droppableEventBytes(events []record.Event) (bytes int) {
	for i := range events[:max(0, len(events)-keptEvents)] {
		bytes += len(events[i].Message) + eventBytes
	}
	return bytes
}

// ChangesStored records that changes are stored. If readAfter is not zero, starts of their jobs wait for a
// read of the records that began after it.
func (c *State) ChangesStored(changes []commit.Change, revision ids.Revision, readAfter time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		if change.Job != nil && !readAfter.IsZero() {
			change.Job.ReadRequiredAfter = readAfter
		}
		c.recordStoredChange(change, revision)
	}
}

// recordStoredChange records that one change is stored.
func (c *State) recordStoredChange(change commit.Change, revision ids.Revision) {
	if change.Waiting != nil {
		c.dependencies.recordMove(change, revision, time.Now())
		return
	}
	job := change.Job
	job.Revision = max(job.Revision, revision) // a cancellation that was stored after the change may be known
	job.StoredVersion = max(job.StoredVersion, change.Version)
	c.recordStoredVersion(job)
	if change.Terminal {
		delete(c.cancellations, job.ID())
		c.dependencies.recordOutcome(job.ID(), job.Record.Status)
		c.retireJob(job)
	}
}

// recordStoredVersion handles a newly stored version of a job: starts whose markers are stored now are
// sent, and later changes may be delayed again.
func (c *State) recordStoredVersion(job *workload.Job) {
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

// GenerationRaised records this leader's new generation, and that the fencing tokens up to it are reserved.
func (c *State) GenerationRaised(generation ids.Generation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.raisePending = false
	if generation > c.generation() {
		c.tokens = ids.TokenRange{First: c.generation() + 1, Last: generation}
	}
	for _, node := range c.capacity.Nodes() {
		if len(node.Assignments) > 0 {
			c.commands.Add(node) // the markers of starts that were not sent yet must carry the new token
		}
	}
}

// CancellationFound records that a job's cancellation is stored apart from its record, or, if revision is
// 0, that none is.
func (c *State) CancellationFound(id ids.Job, revision ids.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision == 0 {
		delete(c.cancellations, id)
		return
	}
	c.applyCancellation(id, revision)
}

// RecordFound applies a job's live record: this leader's own write, whose answer was lost, or a user's.
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
	c.recordStoredVersion(job)
}

// RecordEnded drops a job whose end is stored already, either by this leader's own write, whose answer was
// lost, or by a cancellation while nothing was assigned.
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
