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

// mine tells whether a job belongs to this leader's shard.
func (b *ClusterState) mine(id ids.Job) bool { return ids.ShardOf(id, b.set.Shards()) == b.shard }

// learnOfOtherShard takes in news of a live job of another shard.
func (p *Pool) learnOfOtherShard(id ids.Job, ch state.Change) {
	b := p.Cluster()
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pipes.graph.Awaited(id) {
		b.checkAwaited(id, time.Now())
	}
}

// statusElsewhere reads from this node's copy how a live job stands.
func (p *Pool) statusElsewhere(id ids.Job) (how record.Status, live bool) {
	if ids.ShardOf(id, p.Set.Shards()) == p.shard {
		return "", false
	}
	entries, ready := p.jobs.Several(record.JobKey(id), record.CancelKey(id), record.WaitKey(id))
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

// checkElsewhere tells the graph of the cancellation of an awaited job of another shard, and
// has it looked up how the job ended once it is gone from the records.
func (b *ClusterState) checkElsewhere(id ids.Job, now time.Time) {
	if b.pipes.graph.Outcome(id) != dependency.Unknown {
		return
	}
	how, live := b.elsewhere(id)
	switch {
	case !live:
		b.ask(id, now)
	case how == record.Cancelling || how == record.Cancelled:
		b.cancelDependents(id)
	}
}

// stopAsking gives up looking up how a job ended: it is live, and news will tell.
func (b *ClusterState) stopAsking(id ids.Job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pipes.lookUp, id)
}
