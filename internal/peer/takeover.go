package peer

import (
	"context"

	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Stopped confirms that no heartbeats are answered under older generations.
func (s *Service) Stopped(in *Took, out *Confirmed) error {
	out.Stopped = s.link.shards.Electors()[0].ConfirmStopped(in.Generation)
	return nil
}

// StoppedShard confirms that no heartbeats of a shard are answered under older generations. A shard
// that this node does not have is not confirmed.
func (s *Service) StoppedShard(in *ShardTook, out *Confirmed) error {
	if electors := s.link.shards.Electors(); in.Shard >= 0 && int(in.Shard) < len(electors) {
		out.Stopped = electors[in.Shard].ConfirmStopped(in.Generation)
	}
	return nil
}

// ForShard is what the client of one shard asks of the other controllers.
func (l *Link) ForShard(shard ids.Shard) election.Peers { return shardPeers{l, shard} }

// shardPeers are the other controllers as the client of one shard sees them.
type shardPeers struct {
	*Link
	shard ids.Shard
}

// AllStopped asks the controllers named, or else every other, whether they have stopped answering
// heartbeats under generations older than one. They are asked at the same time, since one that hangs
// costs a timeout and there may be several. It waits for all answers.
func (p shardPeers) AllStopped(ctx context.Context, generation ids.Generation, nodes ...ids.Node) bool {
	if len(nodes) == 0 {
		for _, other := range p.settings.Peers {
			nodes = append(nodes, other.HostName)
		}
	}
	answers := make(chan bool, len(nodes))
	for _, node := range nodes {
		go func() { answers <- p.hasStopped(ctx, generation, node) }()
	}
	all := true
	for range nodes {
		all = <-answers && all
	}
	return all
}

// hasStopped asks one controller; one that does not answer has not confirmed.
func (p shardPeers) hasStopped(ctx context.Context, generation ids.Generation, node ids.Node) bool {
	var answer Confirmed
	var err error
	if p.settings.ShardCount() == 1 {
		err = p.connections.call(ctx, node, "Stopped", &Took{generation}, &answer)
	} else {
		err = p.connections.call(ctx, node, "StoppedShard", &ShardTook{p.shard, generation}, &answer)
	}
	return err == nil && answer.Stopped
}
