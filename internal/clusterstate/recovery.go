package clusterstate

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Load fills the cluster state with the records read at a takeover. The previous leader's term
// has ended, but the assignments in its records stay until a report, an expired lease or the cloud shows
// what became of the tasks.
func (c *State) Load(records map[ids.Job]*record.Record, revisions map[ids.Job]ids.Revision, listRevision ids.Revision, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Changes may have arrived before the list. A job known from them is discarded if the list has a newer
	// record of it, or lacks it and is at least as new.
	for id, job := range c.jobs.All() {
		if listedRevision, listed := revisions[id]; job.Revision <= listRevision && !listed || listed && listedRevision > job.Revision {
			c.discardJob(job)
		}
	}
	c.loaded = true
	for id, rec := range records {
		if c.jobs.Get(id) == nil {
			c.addJob(rec, revisions[id], now)
		}
	}
	wait.Signal(c.planSignal)
	wait.Signal(c.commitSignal)
}

// discardJob removes a job, with its assignments, that was known from changes before the records were
// loaded.
func (c *State) discardJob(job *workload.Job) {
	for _, i := range workload.SortedTasks(job.Assignments) {
		c.removeAssignment(job.Assignments[i])
	}
	c.removeJob(job)
}

func (c *State) addJob(rec *record.Record, revision ids.Revision, now time.Time) *workload.Job {
	job := workload.NewJob(rec, revision)
	if c.cancellations[rec.Spec.ID] > 0 && job.Record.Status.CanBecome(record.Cancelling) {
		job.Record.Status = record.Cancelling
	}
	c.jobs.Add(job)
	rec.EachAssignment(func(i int, location record.Location) {
		c.machines.Ensure(location.Machine, now, c.earliestLeaseExpiry)
		c.addAssignment(&workload.Assignment{Job: job, TaskIndex: i, Machine: location.Machine, Incarnation: location.Incarnation, Attempt: location.Attempt,
			FencingToken: location.FencingToken, StartSent: true, AssignedAt: now, Stopping: job.Cancelled(), StopReason: "cancelled"})
	})
	job.Record.Assignments = nil
	c.evictor.Load(job)
	c.dependencies.handleAddedJob(job)
	c.finishIfComplete(job)
	return job
}

// IsOwnWrite reports whether this leader wrote a record, without decoding the record: most changes are this
// leader's own writes, which the cluster state knows already.
func (c *State) IsOwnWrite(raw json.RawMessage) bool {
	return bytes.Contains(raw, []byte(`"writer":"`+c.writer+`"`))
}

// HandleRecord applies a change of a job's live record by another controller: a new job or a cancellation.
// rec is nil if the live record was removed.
func (c *State) HandleRecord(id ids.Job, revision ids.Revision, rec *record.Record, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs.Get(id)
	if job == nil {
		if rec != nil && !c.jobs.IsRetired(id) && !rec.Status.IsTerminal() {
			c.addJob(rec, revision, now)
			wait.Signal(c.planSignal)
		}
		return
	}
	if revision <= job.Revision || rec != nil && rec.Writer == c.writer {
		return // this leader's own write: its answer, or a read after it, shows the outcome
	}
	if !c.loaded {
		// This leader has written nothing yet, so the record may be the previous leader's, whose
		// assignments count like those in the loaded records. Handling it like a user's write, which
		// changes only the status, would lose them.
		c.discardJob(job)
		if rec != nil && !rec.Status.IsTerminal() {
			c.addJob(rec, revision, now)
		}
		return
	}
	if rec == nil {
		// If this leader ended the job, its own write arrives here too, possibly before the answer to it.
		// Another controller ends a job only while no task is assigned. If a task has been assigned since,
		// this leader's next write of the job fails with a conflict, which is then resolved.
		if !job.Record.Status.IsTerminal() && len(job.Assignments) == 0 {
			c.retireJob(job)
		}
		return
	}
	c.applyForeignWrite(job, revision, rec)
}

// applyForeignWrite applies another controller's write to a known job.
func (c *State) applyForeignWrite(job *workload.Job, revision ids.Revision, rec *record.Record) {
	job.Revision = revision
	if rec.Status == record.Cancelling {
		c.applyConfirmedCancellation(job)
	}
	c.markChanged(job)
}

// retireJob drops a job whose end is stored. Tasks that may still be on machines stay assigned until they
// are proven gone.
func (c *State) retireJob(job *workload.Job) {
	id := job.Record.Spec.ID
	job.Ended = true
	c.changes.Remove(job)
	if len(job.Assignments) == 0 {
		c.removeJob(job)
	}
	c.dependencies.scheduleLookupIfPrerequisite(id)
	c.jobs.Retire(id)
}
