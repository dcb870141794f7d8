package election

import (
	"context"
	"testing"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

func TestHeartbeatForAShardBeyondTheConfiguredOnesIsRejected(t *testing.T) {
	// Guards against a crash of a node that is configured with fewer shards than the store is laid out for: it
	// crashed if a heartbeat arrived before the node had read the layout.
	settings, shardCount := testSettings(), uint32(2)
	settings.Features = &config.Features{Shards: &shardCount}
	shards := NewShards(settings, state.NewClient("state:1", nil, state.NewBudget(100, 100, 1, 0.5)), nil, "a.1")
	shards.ownership.handleChange(state.Change{Put: "pool/~2/hire/first", Value: []byte(`{"hire":"first","hosts":["m1"]}`), Revision: 1})
	if owner, known := shards.ownership.shardOf("m1"); !known || owner != ids.Shard(2) {
		t.Fatalf("owner of m1: shard %d, known %v", owner, known)
	}
	if reply, status, _ := shards.Heartbeat(context.Background(), &worker.Report{Machine: "m1"}); reply != nil || status != 503 {
		t.Errorf("heartbeat of m1: reply %v, status %d; want none and 503", reply, status)
	}
}
