package election

import (
	"context"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

const (
	rebalanceInterval = 5 * time.Second
	// minTermBeforeResigning is the minimum duration of a term before its leader resigns in favour of a
	// controller that leads fewer shards.
	minTermBeforeResigning = 15 * time.Second
	// minShardExcess is the minimum difference between the numbers of shards that this node and the controller
	// that prefers a shard lead, for this node to resign from the shard.
	minShardExcess = 2
)

// rebalanceLeaders periodically resigns from one shard if this node leads more than its share, until the
// context ends.
func rebalanceLeaders(ctx context.Context, electors []*Elector) {
	for ctx.Err() == nil {
		wait.For(ctx, rebalanceInterval)
		resignExcess(electors)
	}
}

// resignExcess resigns from one shard if the controller that prefers it is up and leads at least two shards
// fewer than this node.
func resignExcess(electors []*Elector) {
	ledShards := countLedShards(electors)
	for _, elector := range electors {
		term := elector.Term()
		if term == nil || time.Since(term.beganAt) < minTermBeforeResigning || elector.Peers == nil {
			continue
		}
		own, preferred := elector.settings.HostName, preferredController(elector.settings, elector.shard)
		if preferred != own && elector.Peers.PeerReachesStore(preferred) && ledShards[own] >= ledShards[preferred]+minShardExcess {
			elector.resign(term, "another controller that is up leads fewer shards")
			return
		}
	}
}

// countLedShards returns the number of shards that each controller leads, as far as this node knows.
func countLedShards(electors []*Elector) map[ids.Node]int {
	counts := map[ids.Node]int{}
	for _, elector := range electors {
		if leader, known := elector.Leader(); known {
			counts[leader]++
		}
	}
	return counts
}
