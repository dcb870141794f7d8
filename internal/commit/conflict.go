package commit

import (
	"context"
	"encoding/json"
	"log/slog"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// resolveConflict reads back the keys whose conditions failed: either an answer was lost and the change
// is this leader's own, or another controller wrote. What can't be read now is read at the next conflict.
func (c *Committer) resolveConflict(ctx context.Context, conflict *state.ConflictError, changes []Change) {
	if conflict.Has(c.keys.Generation()) {
		c.readGeneration(ctx)
		return
	}
	for _, change := range changes {
		if !c.resolveChange(ctx, conflict, change) {
			return
		}
	}
}

// readGeneration finds out whether this leader raised the generation itself, or was superseded.
func (c *Committer) readGeneration(ctx context.Context) {
	entry, found, err := c.store.Get(ctx, c.keys.Generation(), state.Urgent)
	if err != nil {
		wait.For(ctx, retryDelay)
		return
	}
	var stored GenerationRecord
	if found && json.Unmarshal(entry.Value, &stored) == nil && stored.Writer == c.cluster.Writer() {
		c.generationRaised(stored.Generation, entry.Revision)
		return
	}
	c.superseded("another leader raised the generation")
}

// resolveChange reads back what became of one change; it is false if the store does not tell.
func (c *Committer) resolveChange(ctx context.Context, conflict *state.ConflictError, change Change) bool {
	if change.Waiting != nil {
		return !conflict.Has(record.WaitKey(change.Waiting.ID())) || c.readMove(ctx, change)
	}
	id := change.Job.ID()
	if conflict.Has(record.CancelKey(id)) && !c.readCancellation(ctx, id) {
		return false
	}
	if !conflict.Has(record.JobKey(id)) && !conflict.Has(record.EndKey(id)) {
		return true
	}
	return c.readRecord(ctx, change)
}

// readCancellation finds out whether a cancellation is stored apart from the job's record.
func (c *Committer) readCancellation(ctx context.Context, id ids.Job) bool {
	entry, found, err := c.store.Get(ctx, record.CancelKey(id), state.Urgent)
	if err != nil {
		return false
	}
	if !found {
		entry.Revision = 0
	}
	c.cluster.CancellationFound(id, entry.Revision)
	return true
}

// readRecord reads a job's live record or, without one, its final one.
func (c *Committer) readRecord(ctx context.Context, change Change) bool {
	id := change.Job.ID()
	live, found, err := c.store.Get(ctx, record.JobKey(id), state.Urgent)
	if err != nil {
		return false
	}
	if found {
		stored, err := record.Decode(live.Value)
		if err != nil {
			slog.Error("unreadable record", "job", id, "err", err)
			return false
		}
		c.cluster.RecordFound(change.Job, stored, live.Revision)
		c.stored()
		return true
	}
	_, found, err = c.store.Get(ctx, record.EndKey(id), state.Urgent)
	if err != nil {
		return false
	}
	if !found {
		slog.Error("job record missing", "job", id)
	}
	c.cluster.RecordEnded(change.Job)
	return true
}

// readMove finds out what became of a waiting job whose move met a conflict: an answer was lost, or its
// user cancelled it.
func (c *Committer) readMove(ctx context.Context, change Change) bool {
	id := change.Waiting.ID()
	live, found, err := c.store.Get(ctx, record.JobKey(id), state.Urgent)
	if err != nil {
		return false
	}
	if !found {
		c.cluster.MoveNotFound(change.Waiting)
		return true
	}
	stored, err := record.Decode(live.Value)
	if err != nil {
		slog.Error("unreadable record", "job", id, "err", err)
		return false
	}
	c.cluster.MoveFound(change.Waiting, stored, live.Revision)
	return true
}
