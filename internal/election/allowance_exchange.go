package election

import (
	"context"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/state"
)

// exchangeInterval is the interval between checks for allowances to move.
const exchangeInterval = 100 * time.Millisecond

// exchangeAllowances moves quota allowances between the shards until the term ends. Each move is
// conditional on the shard's generation, so that a superseded leader can't move any.
func (t *Term) exchangeAllowances(ctx context.Context, store *state.Client, generationKey string) {
	fence := func() state.Condition {
		return state.Condition{Key: generationKey, Revision: t.Committer.LastGenerationRevision()}
	}
	t.Cluster.ExchangeAllowances(ctx, store, fence, exchangeInterval)
}
