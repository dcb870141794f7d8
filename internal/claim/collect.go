package claim

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// outcomeDelayTight is the same while changes are scarce: then new work and ends need
// them more.
const outcomeDelayTight = 12 * time.Second

// maxTxnBytes is how much of a transaction's 64 KiB its changes may fill; its conditions and
// the rest of its text take less than txnBytes and changeBytes say.
const (
	maxTxnBytes = 60 * 1024
	txnBytes    = 256
	changeBytes = 200
)

// collectGroup picks changed jobs, most urgent first, within the limits of one
// transaction.
func (c *Committer) collectGroup() []groupEntry {
	cluster := c.Cluster
	maxOps := min(cluster.settings.Params.State.TxnOps, max(2, c.State.Budget().WriteBurst()))
	limit := int(cluster.settings.Params.State.ValueKB * 1024)
	var group []groupEntry
	ops, size := 0, txnBytes
	add := func(entry groupEntry) bool {
		if ops+len(entry.ops) > maxOps || size+entry.size > maxTxnBytes {
			return false
		}
		ops, size = ops+len(entry.ops), size+entry.size
		group = append(group, entry)
		return true
	}
	c.collectWaiting(false, add)
	for _, job := range c.dueChanges(time.Now()) {
		entry, fits := cluster.encodeChange(job, limit)
		if !fits {
			cluster.handleOversize(job, limit)
			continue
		}
		if !add(entry) {
			break
		}
	}
	if !c.State.Budget().NearlyExhausted() {
		c.collectWaiting(true, add) // told as cancelled already: these can wait
	}
	return group
}

// dueChanges lists the jobs whose changes are due to be stored, most urgent first.
func (c *Committer) dueChanges(now time.Time) []*workload.Job {
	cluster := c.Cluster
	settle := outcomeDelay
	if c.State.Budget().NearlyExhausted() {
		settle = outcomeDelayTight
	}
	return cluster.changes.Due(now, settle)
}

// encodeChange makes the transaction's part that stores a job as it is now; fits tells
// whether its record fits the limit of values.
func (c *ClusterState) encodeChange(job *workload.Job, limit int) (entry groupEntry, fits bool) {
	entry = groupEntry{job: job, version: job.Version, terminal: job.Record.Status.IsTerminal()}
	rec := job.Record
	rec.Generation, rec.Writer, rec.Seq = c.generation, c.writer, job.Version
	encode := rec.EncodeFinal
	if !entry.terminal {
		rec.Assignments = workload.GroupAssignments(job.Assignments)
		encode = rec.Encode
	}
	raw, fits := encode(limit)
	if !fits {
		return entry, false
	}
	job.Oversize = false
	if !entry.terminal {
		job.RecordEncodedSize(rec.Assignments, len(raw)-droppableTrailBytes(rec.Events))
	}
	id := job.Record.Spec.ID
	// A cancellation stored apart from the record must not be passed over either.
	cancellation := state.Condition{Key: record.CancelKey(id), Revision: c.cancellations[id]}
	entry.conditions = []state.Condition{{Key: record.JobKey(id), Revision: job.Revision}, cancellation}
	entry.size = len(raw) + changeBytes
	if !entry.terminal {
		entry.ops = []state.Op{{Put: record.JobKey(id), Value: raw}}
		return entry, true
	}
	entry.conditions = append(entry.conditions, state.Condition{Key: record.EndKey(id)})
	entry.ops = []state.Op{{Remove: record.JobKey(id)}, {Put: record.EndKey(id), Value: raw}}
	if cancellation.Revision > 0 {
		entry.ops = append(entry.ops, state.Op{Remove: record.CancelKey(id)})
	}
	return entry, true
}

// droppableTrailBytes is about how many bytes the trail would give up for places: all but the
// last lines.
func droppableTrailBytes(trail []record.Event) (n int) {
	for i := range trail[:max(0, len(trail)-2)] {
		n += len(trail[i].Message) + 35
	}
	return n
}
