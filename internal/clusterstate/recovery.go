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

// Load fills the cluster state with the records found at a takeover. Their claims ended
// with their leader; their assignments stay until a report, an expired lease or the cloud tells
// what became of them.
func (c *State) Load(records map[ids.Job]*record.Record, revisions map[ids.Job]ids.Revision, at ids.Revision, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Changes may have come before the list: what is not in it is kept only if it is newer than the
	// list.
	for id, job := range c.jobs.All() {
		if s, listed := revisions[id]; job.Revision <= at && !listed || listed && s > job.Revision {
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

// discardJob takes back what changes told of a job before the records were loaded.
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
	rec.EachAssignment(func(i int, at record.Location) {
		c.machines.Ensure(at.Machine, now, c.trustSilence)
		c.addAssignment(&workload.Assignment{Job: job, TaskIndex: i, Machine: at.Machine, Incarnation: at.Incarnation, Attempt: at.Attempt,
			FencingToken: at.FencingToken, StartSent: true, AssignedAt: now, Stopping: job.Cancelled(), StopReason: "cancelled"})
	})
	job.Record.Assignments = nil
	c.evictor.Load(job)
	c.dependencies.join(job)
	c.finishIfComplete(job)
	return job
}

// IsOwnWrite tells whether a record is this leader's own writing, without reading
// all of it: most changes are, and the cluster state knows them already.
func (c *State) IsOwnWrite(raw json.RawMessage) bool {
	return bytes.Contains(raw, []byte(`"writer":"`+c.writer+`"`))
}

// HandleRecord takes in what another controller wrote: a new job or a cancellation.
// rec is nil when the live record went away.
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
		return // our own write; its answer or a read after it settles that
	}
	if !c.loaded {
		// Nothing is this leader's yet: it may be the last leader's writing, whose assignments
		// count like those in the records. To take it for a user's, who changes only the
		// status, would lose them.
		c.discardJob(job)
		if rec != nil && !rec.Status.IsTerminal() {
			c.addJob(rec, revision, now)
		}
		return
	}
	if rec == nil {
		// Our own ending shows here too, as a change that may outrun its answer.
		// Another's ending is only written while no task is assigned, and our
		// next write on the job finds out.
		if !job.Record.Status.IsTerminal() && len(job.Assignments) == 0 {
			c.retireJob(job)
		}
		return
	}
	c.applyForeignWrite(job, revision, rec)
}

// applyForeignWrite takes over another controller's write on a known job.
func (c *State) applyForeignWrite(job *workload.Job, revision ids.Revision, rec *record.Record) {
	job.Revision = revision
	if rec.Status == record.Cancelling {
		c.cancelConfirmed(job)
	}
	c.markChanged(job)
}

// retireJob drops a job whose end is stored. What may still be on machines stays
// assigned until proven gone.
func (c *State) retireJob(job *workload.Job) {
	id := job.Record.Spec.ID
	job.Ended = true
	c.changes.Remove(job)
	if len(job.Assignments) == 0 {
		c.removeJob(job)
	}
	c.dependencies.scheduleLookupIfAwaited(id)
	c.jobs.Retire(id)
}
