package peer

import (
	"context"

	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Stopped reports whether this node no longer answers heartbeats of the only shard under generations
// older than the given one.
func (s *Service) Stopped(in *Took, out *Confirmed) error {
	out.Stopped = s.link.shards.Electors()[0].ConfirmStopped(in.Generation)
	return nil
}

// StoppedShard reports whether this node no longer answers heartbeats of a shard under generations older
// than the given one. It reports false for a shard that this node does not have.
func (s *Service) StoppedShard(in *ShardTook, out *Confirmed) error {
	if electors := s.link.shards.Electors(); in.Shard >= 0 && int(in.Shard) < len(electors) {
		out.Stopped = electors[in.Shard].ConfirmStopped(in.Generation)
	}
	return nil
}

// ForShard returns the election.Peers for the elector of one shard.
func (l *Link) ForShard(shard ids.Shard) election.Peers { return shardPeers{l, shard} }

// shardPeers implements election.Peers for one shard.
type shardPeers struct {
	*Link
	shard ids.Shard
}

// AllConfirmStopped reports whether all given controllers, or all other controllers if none is given, confirm
// that they no longer answer heartbeats under generations older than the given one. It asks them
// concurrently, since each unresponsive one costs a timeout, and waits for all answers.
func (p shardPeers) AllConfirmStopped(ctx context.Context, generation ids.Generation, nodes ...ids.Node) bool {
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

// hasStopped reports whether one controller confirms. It reports false if the controller does not answer.
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
