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
)

// waitingOnes collects what may be stored of jobs that wait: those that become
// claimable, or, if over, those that end.
func (c *Committer) waitingOnes(over bool, add func(pending) bool) {
	b := c.Cluster
	if over {
		for id := range b.pipes.graph.Cancelled() {
			if !b.mine(id) {
				continue
			}
			if p, ok := c.moveOf(id, true); ok && !add(p) {
				return
			}
		}
		return
	}
	if c.movesWent && b.hasUrgent() {
		c.movesWent = false // an end that many await must not keep all else waiting
		return
	}
	c.movesWent = false
	for _, id := range b.inOrderOfPriority(b.pipes.graph.Ready()) {
		p, ok := c.moveOf(id, false)
		if ok && !add(p) {
			return
		}
		c.movesWent = c.movesWent || ok
	}
}

// hasUrgent tells whether a change of a claimable job has to be stored at once.
func (b *ClusterState) hasUrgent() bool {
	for j := range b.dirty {
		if j.urgent {
			return true
		}
	}
	return false
}

// inOrderOfPriority sorts waiting jobs, inherited priority included; the first
// submitted of equals go first.
func (b *ClusterState) inOrderOfPriority(jobs iter.Seq[ids.Job]) []ids.Job {
	type entry struct {
		id        ids.Job
		priority  int
		submitted ids.Wall
	}
	var entries []entry
	for id := range jobs {
		if !b.mine(id) {
			continue // its shard's leader moves it
		}
		rec := b.pipes.waits[id].rec
		entries = append(entries, entry{id, max(int(rec.Spec.Priority), b.pipes.graph.Inherited(id).Priority), rec.Submitted})
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

// moveOf is the transaction that moves a waiting job to the claimable ones or, if
// over, to those that ended; ok is false when its record does not fit a value.
func (c *Committer) moveOf(id ids.Job, over bool) (p pending, ok bool) {
	b := c.Cluster
	w := b.pipes.waits[id]
	now := ids.WallOf(time.Now())
	rec := *w.rec
	rec.Gen, rec.Writer, rec.Seq = b.gen, b.writer, w.rec.Seq+1
	limit := int(b.set.Params.State.ValueKB * 1024)
	key, encode := record.JobKey(id), rec.Encode
	if over {
		key, encode = record.EndKey(id), rec.EncodeFinal
		rec.EndedBy(b.pipes.graph.CancelledBy(id))
	} else {
		rec.Ready = now
		rec.LeaveRoom(limit)
		rec.Trail = append(slices.Clone(rec.Trail), record.Event{At: now, What: "all jobs that it awaited are done"})
	}
	raw, ok := encode(limit)
	if !ok {
		slog.Error("a waiting job's record does not fit", "job", id)
		return pending{}, false
	}
	p = pending{wait: w, moved: &rec, over: over, size: len(raw) + 200}
	p.conds = []state.Condition{{Key: record.WaitKey(id), Revision: w.stamp}, {Key: key}}
	p.ops = []state.Op{{Remove: record.WaitKey(id)}, {Put: key, Value: raw}}
	return p, true
}

// movedOn takes in that a waiting job's move is stored.
func (b *ClusterState) movedOn(p pending, stamp ids.Revision, now time.Time) {
	id := p.wait.id()
	if b.pipes.waits[id] == p.wait {
		b.unwait(p.wait)
	}
	if p.over {
		b.finally(id, record.Cancelled)
		return
	}
	if b.jobs[id] == nil {
		b.addJob(p.moved, stamp, now)
		poke(b.wakePlan)
	}
}

// repairMove reads back what became of a waiting job whose move met a conflict: an
// answer was lost, or its user cancelled it.
func (c *Committer) repairMove(ctx context.Context, p pending) bool {
	b, id := c.Cluster, p.wait.id()
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
		b.mu.Lock()
		p.moved = rec
		p.over = false
		b.movedOn(p, live.Revision, now)
		b.mu.Unlock()
		return true
	}
	b.mu.Lock()
	if b.pipes.waits[id] == p.wait {
		b.unwait(p.wait)
	}
	b.ask(id, now)
	b.mu.Unlock()
	return true
}
