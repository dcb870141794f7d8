package commit

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// GenerationRecord is the value at the generation's key. It is never deleted, so that the generation never
// decreases.
type GenerationRecord struct {
	Generation ids.Generation `json:"generation"`
	Node       ids.Node       `json:"node"`
	Writer     string         `json:"writer"`
}

// generationCondition returns the condition of every write of this leader. The caller holds the write slot.
func (c *Committer) generationCondition() state.Condition {
	return state.Condition{Key: c.keys.Generation(), Revision: c.generationRevision}
}

// LastGenerationRevision returns the revision of the generation that this leader's writes are conditional
// on.
func (c *Committer) LastGenerationRevision() ids.Revision {
	defer c.lock()()
	return c.generationRevision
}

// raiseGeneration raises the generation during this leader's term. That reserves further fencing tokens, with
// which workers reject every direct command that is still in flight. The caller holds the write slot.
func (c *Committer) raiseGeneration(ctx context.Context) {
	next := ids.ReserveTokens(c.cluster.Generation()).Last
	value, err := json.Marshal(GenerationRecord{next, c.node, c.cluster.Writer()})
	if err != nil {
		slog.Error("cannot encode the generation record, retrying", "err", err)
		wait.For(ctx, retryDelay)
		return
	}
	revision, err := c.store.Commit(ctx, state.Txn{
		Conditions: []state.Condition{c.generationCondition()},
		Ops:        []state.Op{{Put: c.keys.Generation(), Value: value}},
	}, state.Urgent)
	var conflict *state.ConflictError
	switch {
	case err == nil:
		c.generationRaised(next, ids.Revision(revision))
	case errors.As(err, &conflict):
		c.resolveConflict(ctx, conflict, nil)
	default:
		wait.For(ctx, retryDelay)
	}
}

// readGeneration reads whether this leader raised the generation itself or was superseded. The caller holds
// the write slot.
func (c *Committer) readGeneration(ctx context.Context) {
	entry, found, err := c.store.Get(ctx, c.keys.Generation(), state.Urgent)
	if err != nil {
		wait.For(ctx, retryDelay)
		return
	}
	var stored GenerationRecord
	if found && exactjson.Unmarshal(entry.Value, &stored) == nil && stored.Writer == c.cluster.Writer() {
		c.generationRaised(stored.Generation, entry.Revision)
		return
	}
	c.superseded("another leader raised the generation")
}

// generationRaised records that this leader raised the generation. The caller holds the write slot.
func (c *Committer) generationRaised(generation ids.Generation, revision ids.Revision) {
	c.cluster.GenerationRaised(generation)
	c.generationRevision = revision
	slog.Info("generation raised so that workers reject late starts", "generation", generation)
}
