package claim

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// repair reads back the keys whose conditions failed: either an answer was
// lost and the change is ours, or another controller wrote.
func (c *Committer) repair(ctx context.Context, conflict *state.Conflict, group []pending) {
	b := c.Cluster
	if conflict.Has(c.Keys.Generation()) {
		e, found, err := c.State.Get(ctx, c.Keys.Generation(), state.Urgent)
		if err != nil {
			wait(ctx, 100*time.Millisecond)
			return
		}
		var g generationRec
		if found && json.Unmarshal(e.Value, &g) == nil && g.Writer == b.writer {
			c.raised(g.Generation, e.Revision)
			return
		}
		c.OnLost("another leader raised the generation")
		return
	}
	for _, p := range group {
		if p.wait != nil {
			if conflict.Has(record.WaitKey(p.wait.id())) && !c.repairMove(ctx, p) {
				return
			}
			continue
		}
		id := p.job.Rec.Spec.ID
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
			b.mu.Lock()
			if rec.Writer == b.writer {
				p.job.reread = time.Now()
				p.job.stamp = live.Revision
				p.job.saved = max(p.job.saved, min(rec.Seq, p.job.version))
				b.settledUpTo(p.job)
			} else {
				b.adopt(p.job, live.Revision, rec)
			}
			b.mu.Unlock()
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
		b.mu.Lock()
		b.endedElsewhere(p.job)
		b.mu.Unlock()
	}
}

// endedElsewhere drops a job whose end is stored already, by our own lost
// answer or by a cancellation while nothing was placed.
func (b *ClusterState) endedElsewhere(j *Job) {
	for _, i := range sortedTasks(j.places) {
		p := j.places[i]
		if !p.sent {
			b.dropPlace(p)
		} else if !p.stopping {
			b.stop(p, 0, "job over")
		}
	}
	b.forget(j)
}
