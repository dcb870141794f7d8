package clusterstate

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/dispatch"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// NextBatches takes the commands that may be sent now, to at most limit machines.
func (c *State) NextBatches(limit int) []dispatch.Batch {
	starts, recordsRead := c.StartsAllowed()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	permission := dispatch.Permission{Tokens: c.tokens, Starts: starts, RecordsRead: recordsRead}
	return c.commands.NextBatches(limit, permission, time.Now())
}

// RecordBatchOutcome records the outcome of a batch of commands.
func (c *State) RecordBatchOutcome(batch dispatch.Batch, outcome worker.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands.RecordOutcome(batch, outcome)
}

// SelectProbes selects the machines to probe now, with at most limit probes in flight.
func (c *State) SelectProbes(now time.Time, limit int) []dispatch.Probe {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.prober.SelectProbes(now, limit, c.tokens)
}

// RecordProbeAnswer records whether a machine answered a probe.
func (c *State) RecordProbeAnswer(name ids.Machine, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if machine := c.prober.RecordAnswer(name, answered); machine != nil {
		c.commands.RecordReachability(machine, answered)
	}
}
