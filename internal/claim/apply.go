package claim

import (
	"context"
	"fmt"

	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Apply writes other keys of the leader's, such as hire intents, under the same
// condition as every leader write: that the generation still stands.
func (c *Committer) Apply(ctx context.Context, ops []state.Op) error {
	return c.ApplyIf(ctx, nil, ops)
}

// ApplyIf is Apply under further conditions.
func (c *Committer) ApplyIf(ctx context.Context, when []state.Condition, ops []state.Op) error {
	c.writeSlot <- struct{}{}
	defer func() { <-c.writeSlot }()
	limit := int(c.Cluster.settings.Params.State.ValueKB * 1024)
	for _, op := range ops {
		if len(op.Value) > limit {
			return fmt.Errorf("%w: %d bytes at %s, of at most %d", state.ErrMalformed, len(op.Value), op.Put, limit)
		}
	}
	when = append([]state.Condition{{Key: c.Keys.Generation(), Revision: c.GenerationRevision}}, when...)
	_, err := c.State.Commit(ctx, state.Txn{Conditions: when, Ops: ops}, state.Normal)
	return err
}
