package claim

import (
	"cmp"
	"context"
	"iter"
	"log/slog"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// collectWaiting collects what may be stored of jobs that wait: those that become
// claimable, or, if over, those that end.
func (c *Committer) collectWaiting(over bool, add func(groupEntry) bool) {
	cluster := c.Cluster
	if over {
		for id := range cluster.dependencies.graph.Cancelled() {
			if !cluster.inShard(id) {
				continue
			}
			if entry, ok := c.encodeMove(id, true); ok && !add(entry) {
				return
			}
		}
		return
	}
	if c.movedWaitingLast && cluster.changes.HasUrgent() {
		c.movedWaitingLast = false // an end that many await must not keep all else waiting
		return
	}
	c.movedWaitingLast = false
	for _, id := range cluster.sortByPriority(cluster.dependencies.graph.Ready()) {
		entry, ok := c.encodeMove(id, false)
		if ok && !add(entry) {
			return
		}
		c.movedWaitingLast = c.movedWaitingLast || ok
	}
}

// sortByPriority sorts waiting jobs, inherited priority included; the first
// submitted of equals go first.
func (c *ClusterState) sortByPriority(jobs iter.Seq[ids.Job]) []ids.Job {
	type entry struct {
		id        ids.Job
		priority  int
		submitted ids.Timestamp
	}
	var entries []entry
	for id := range jobs {
		if !c.inShard(id) {
			continue // its shard's leader moves it
		}
		rec := c.dependencies.waiting[id].record
		entries = append(entries, entry{id, max(int(rec.Spec.Priority), c.dependencies.graph.InheritedUrgency(id).Priority), rec.Submitted})
	}
	slices.SortFunc(entries, func(x, y entry) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(x.submitted, y.submitted), cmp.Compare(x.id, y.id))
	})
	sorted := make([]ids.Job, len(entries))
	for i := range entries {
		sorted[i] = entries[i].id
	}
	return sorted
}

// encodeMove is the transaction that moves a waiting job to the claimable ones or, if
// over, to those that ended; ok is false when its record does not fit a value.
func (c *Committer) encodeMove(id ids.Job, over bool) (entry groupEntry, ok bool) {
	cluster := c.Cluster
	waiting := cluster.dependencies.waiting[id]
	now := ids.TimestampOf(time.Now())
	rec := *waiting.record
	rec.Generation, rec.Writer, rec.Seq = cluster.generation, cluster.writer, waiting.record.Seq+1
	limit := int(cluster.settings.Params.State.ValueKB * 1024)
	key, encode := record.JobKey(id), rec.Encode
	if over {
		key, encode = record.EndKey(id), rec.EncodeFinal
		rec.MarkCancelledBy(cluster.dependencies.graph.CancelledBy(id))
	} else {
		rec.ReadyAt = now
		rec.TrimDependencies(limit)
		rec.Events = append(slices.Clone(rec.Events), record.Event{At: now, Message: "all jobs that it awaited are done"})
	}
	raw, ok := encode(limit)
	if !ok {
		slog.Error("a waiting job's record does not fit", "job", id)
		return groupEntry{}, false
	}
	entry = groupEntry{waiting: waiting, becomes: &rec, terminal: over, size: len(raw) + 200}
	entry.conditions = []state.Condition{{Key: record.WaitKey(id), Revision: waiting.revision}, {Key: key}}
	entry.ops = []state.Op{{Remove: record.WaitKey(id)}, {Put: key, Value: raw}}
	return entry, true
}

// waitingJobMoved takes in that a waiting job's move is stored.
func (c *ClusterState) waitingJobMoved(entry groupEntry, revision ids.Revision, now time.Time) {
	id := entry.waiting.id()
	if c.dependencies.waiting[id] == entry.waiting {
		c.removeWaitingJob(entry.waiting)
	}
	if entry.terminal {
		c.jobEnded(id, record.Cancelled)
		return
	}
	if c.jobs.Get(id) == nil {
		c.addJob(entry.becomes, revision, now)
		wait.Signal(c.planSignal)
	}
}

// repairMove reads back what became of a waiting job whose move met a conflict: an
// answer was lost, or its user cancelled it.
func (c *Committer) repairMove(ctx context.Context, entry groupEntry) bool {
	cluster, id := c.Cluster, entry.waiting.id()
	live, found, err := c.State.Get(ctx, record.JobKey(id), state.Urgent)
	if err != nil {
		return false
	}
	now := time.Now()
	if found {
		rec, err := record.Decode(live.Value)
		if err != nil {
			slog.Error("unreadable record", "job", id, "err", err)
			return false
		}
		cluster.mu.Lock()
		entry.becomes = rec
		entry.terminal = false
		cluster.waitingJobMoved(entry, live.Revision, now)
		cluster.mu.Unlock()
		return true
	}
	cluster.mu.Lock()
	if cluster.dependencies.waiting[id] == entry.waiting {
		cluster.removeWaitingJob(entry.waiting)
	}
	cluster.scheduleLookup(id, now)
	cluster.mu.Unlock()
	return true
}
