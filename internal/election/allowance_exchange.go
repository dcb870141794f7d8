package election

import (
	"context"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// exchangeInterval spaces the looks at what allowance to move.
const exchangeInterval = 100 * time.Millisecond

// loadAllowances reads the ledgers after the takeover's commit. News of them has been
// followed since before it.
func (e *Elector) loadAllowances(ctx context.Context, term *Term) error {
	entries, _, err := e.State.ListAll(ctx, quota.Prefix, state.Urgent)
	if err != nil {
		return err
	}
	term.Cluster.LoadAllowances(entries)
	return nil
}

// exchangeAllowances moves allowances between the shards until the term ends.
func (e *Elector) exchangeAllowances(ctx context.Context, term *Term) {
	fence := func() state.Condition {
		return state.Condition{Key: e.keys.Generation(), Revision: term.Committer.LastGenerationRevision()}
	}
	term.Cluster.ExchangeAllowances(ctx, e.State, fence, exchangeInterval)
}

// handleAllowanceChange takes in news of a ledger.
func (e *Elector) handleAllowanceChange(change state.Change) {
	if cluster := e.Cluster(); cluster != nil {
		cluster.HandleAllowanceChange(change)
	}
}
