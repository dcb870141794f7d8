package clusterstate

import (
	"context"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// processStart is from when this process's settings are.
var processStart = ids.TimestampOf(time.Now())

// LoadAllowances takes in the ledgers read at a takeover.
func (c *State) LoadAllowances(entries []state.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quota.Load(entries)
}

// HandleAllowanceChange takes in a change of a ledger.
func (c *State) HandleAllowanceChange(change state.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quota.Apply(change)
	wait.Signal(c.planSignal)
}

// ExchangeAllowances moves allowances between the shards until the context ends, under a condition
// that each write carries.
func (c *State) ExchangeAllowances(ctx context.Context, store *state.Client, fence func() state.Condition, interval time.Duration) {
	quota.NewRebalancer(c.quota, store, &c.mu, fence).Run(ctx, interval)
}

// QuotaFaults tells of each team that gets no new grants why.
func (c *State) QuotaFaults() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quota.Faults()
}
