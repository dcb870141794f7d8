package claim

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/dependency"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// A leader claims, stores and ends the jobs of its own shard only. Jobs may await jobs of
// other shards, so the graph of every leader holds the waiting jobs of all shards, and of a
// job of another shard it learns that it was cancelled, or went away, from its node's copy of
// the records.

// inShard tells whether a job belongs to this leader's shard.
func (c *ClusterState) inShard(id ids.Job) bool {
	return ids.ShardOf(id, c.settings.Shards()) == c.shard
}

// handleOtherShardChange takes in news of a live job of another shard.
func (e *Elector) handleOtherShardChange(id ids.Job, change state.Change) {
	cluster := e.Cluster()
	if cluster == nil {
		return
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if cluster.dependencies.graph.Awaited(id) {
		cluster.checkAwaited(id, time.Now())
	}
}

// statusInOtherShard reads from this node's copy how a live job stands.
func (e *Elector) statusInOtherShard(id ids.Job) (how record.Status, live bool) {
	if ids.ShardOf(id, e.Settings.Shards()) == e.shard {
		return "", false
	}
	entries, ready := e.jobMirror.Several(record.JobKey(id), record.CancelKey(id), record.WaitKey(id))
	stored, cancellation, waits := entries[0], entries[1], entries[2]
	switch {
	case !ready || stored.Key == "":
		return record.Queued, waits.Key != ""
	case cancellation.Key != "":
		return record.Cancelling, true
	}
	rec, err := record.Decode(stored.Value)
	if err != nil {
		return record.Queued, true
	}
	return rec.Status, true
}

// checkOtherShard tells the graph of the cancellation of an awaited job of another shard, and
// has it looked up how the job ended once it is gone from the records.
func (c *ClusterState) checkOtherShard(id ids.Job, now time.Time) {
	if c.dependencies.graph.Outcome(id) != dependency.Unknown {
		return
	}
	how, live := c.statusInOtherShard(id)
	switch {
	case !live:
		c.scheduleLookup(id, now)
	case how == record.Cancelling || how == record.Cancelled:
		c.cancelDependents(id)
	}
}

// cancelLookup gives up looking up how a job ended: it is live, and news will tell.
func (c *ClusterState) cancelLookup(id ids.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.dependencies.lookups, id)
}
