package clusterstate

import (
	"context"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// processStart is when this process started. The limits in its settings count as set at that time.
var processStart = ids.TimestampOf(time.Now())

// LoadAllowances loads the allowance ledgers that were read at a takeover.
func (c *State) LoadAllowances(entries []state.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quota.Load(entries)
}

// HandleAllowanceChange applies a change of an allowance ledger.
func (c *State) HandleAllowanceChange(change state.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quota.Apply(change)
	wait.Signal(c.planSignal)
}

// ExchangeAllowances moves allowances between the shards at an interval until the context ends. Each write
// is conditional on what fence returns.
func (c *State) ExchangeAllowances(ctx context.Context, store *state.Client, fence func() state.Condition, interval time.Duration) {
	quota.NewRebalancer(c.quota, store, &c.mu, fence).Run(ctx, interval)
}

// QuotaFaults returns, for each team that gets no new grants, the reason.
func (c *State) QuotaFaults() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quota.Faults()
}
