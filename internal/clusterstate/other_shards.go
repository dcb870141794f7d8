package clusterstate

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/dependency"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// A leader claims, stores and ends the jobs of its own shard only. Jobs may await jobs of
// other shards, so the graph of every leader holds the waiting jobs of all shards, and of a
// job of another shard it learns that it was cancelled, or went away, from its node's copy of
// the records.

// inShard tells whether a job belongs to this leader's shard.
func (c *State) inShard(id ids.Job) bool {
	return ids.ShardOf(id, c.settings.ShardCount()) == c.shard
}

// checkOtherShard tells the graph of the cancellation of an awaited job of another shard, and
// has it looked up how the job ended once it is gone from the records.
func (c *State) checkOtherShard(id ids.Job, now time.Time) {
	if c.dependencies.graph.Outcome(id) != dependency.Unknown {
		return
	}
	how, live := c.StatusInOtherShard(id)
	switch {
	case !live:
		c.scheduleLookup(id, now)
	case how == record.Cancelling || how == record.Cancelled:
		c.cancelDependents(id)
	}
}

// HandleOtherShardChange takes in that something changed of a job of another shard.
func (c *State) HandleOtherShardChange(id ids.Job, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dependencies.graph.HasDependents(id) {
		c.checkAwaited(id, now)
	}
}
