package claim

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// repair reads back the keys whose conditions failed: either an answer was
// lost and the change is ours, or another controller wrote.
func (c *Committer) repair(ctx context.Context, conflict *state.ConflictError, group []groupEntry) {
	cluster := c.Cluster
	if conflict.Has(c.Keys.Generation()) {
		entry, found, err := c.State.Get(ctx, c.Keys.Generation(), state.Urgent)
		if err != nil {
			wait.For(ctx, 100*time.Millisecond)
			return
		}
		var stored GenerationRecord
		if found && json.Unmarshal(entry.Value, &stored) == nil && stored.Writer == cluster.writer {
			c.generationRaised(stored.Generation, entry.Revision)
			return
		}
		c.OnSuperseded("another leader raised the generation")
		return
	}
	for _, entry := range group {
		if entry.waiting != nil {
			if conflict.Has(record.WaitKey(entry.waiting.id())) && !c.repairMove(ctx, entry) {
				return
			}
			continue
		}
		id := entry.job.Record.Spec.ID
		if conflict.Has(record.CancelKey(id)) && !c.readCancellation(ctx, id) {
			return
		}
		if !conflict.Has(record.JobKey(id)) && !conflict.Has(record.EndKey(id)) {
			continue
		}
		live, found, err := c.State.Get(ctx, record.JobKey(id), state.Urgent)
		if err != nil {
			return
		}
		if found {
			rec, err := record.Decode(live.Value)
			if err != nil {
				slog.Error("unreadable record", "job", id, "err", err)
				return
			}
			cluster.mu.Lock()
			if rec.Writer == cluster.writer {
				entry.job.ReadRequiredAfter = time.Now()
				entry.job.Revision = live.Revision
				entry.job.StoredVersion = max(entry.job.StoredVersion, min(rec.Seq, entry.job.Version))
				cluster.versionStored(entry.job)
			} else {
				cluster.applyForeignWrite(entry.job, live.Revision, rec)
			}
			cluster.mu.Unlock()
			if c.OnStored != nil {
				c.OnStored()
			}
			continue
		}
		_, found, err = c.State.Get(ctx, record.EndKey(id), state.Urgent)
		if err != nil {
			return
		}
		if !found {
			slog.Error("a job's record is nowhere", "job", id)
		}
		cluster.mu.Lock()
		cluster.endedElsewhere(entry.job)
		cluster.mu.Unlock()
	}
}

// endedElsewhere drops a job whose end is stored already, by our own lost
// answer or by a cancellation while nothing was placed.
func (c *ClusterState) endedElsewhere(job *workload.Job) {
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
