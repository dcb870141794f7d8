package peer

import (
	"context"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// If the machine pool has several shards, a health report has an entry for each shard (GreetShards).
// With a single shard, controllers use the call that older versions support (Greet).

// Greet receives another controller's health report and returns this node's, for a single shard.
func (s *Service) Greet(in *Hello, out *Hello) error {
	s.link.handleHello(&ShardsHello{Hello: *in, Shards: []ShardHello{in.onlyShard()}})
	answer := s.link.hello([]clusterstate.HintPosition{hintPositionFromWire(in.Have)})
	*out = answer.Hello
	out.Lent = s.link.store.Budget().Lend(in.Want)
	return nil
}

// GreetShards receives another controller's health report and returns this node's, for several shards.
func (s *Service) GreetShards(in *ShardsHello, out *ShardsHello) error {
	s.link.handleHello(in)
	*out = s.link.hello(in.positions())
	out.Hello.Lent = s.link.store.Budget().Lend(in.Hello.Want)
	return nil
}

// onlyShard returns the report's fields that concern the only shard.
func (h *Hello) onlyShard() ShardHello {
	return ShardHello{Owner: h.Owner, Have: h.Have, Hints: h.Hints, Stranded: h.Stranded}
}

// setOnlyShard sets the report's fields that concern the only shard.
func (h *Hello) setOnlyShard(only ShardHello) {
	h.Owner, h.Have, h.Hints, h.Stranded = only.Owner, only.Have, only.Hints, only.Stranded
}

// positions returns the sender's position in the hint sequence of each shard.
func (h *ShardsHello) positions() []clusterstate.HintPosition {
	positions := make([]clusterstate.HintPosition, len(h.Shards))
	for i := range h.Shards {
		positions[i] = hintPositionFromWire(h.Shards[i].Have)
	}
	return positions
}

// hello returns this node's health report. For each shard that this node leads and whose hint position at
// the recipient is given, the report includes the hints after that position.
func (l *Link) hello(positions []clusterstate.HintPosition) ShardsHello {
	age, ok := l.store.SinceSuccess()
	hello := ShardsHello{Hello: Hello{Node: l.settings.HostName, StateOK: ok && age < maxHealthReportAge}}
	for shard, elector := range l.shards.Electors() {
		var position *clusterstate.HintPosition
		if shard < len(positions) {
			position = &positions[shard]
		}
		hello.Shards = append(hello.Shards, newShardHello(elector, position))
	}
	if len(hello.Shards) == 1 {
		hello.Hello.setOnlyShard(hello.Shards[0])
	}
	return hello
}

// newShardHello builds the part of the health report for one shard. If this node leads the shard and since
// is not nil, it includes the hints after that position.
func newShardHello(elector *election.Elector, since *clusterstate.HintPosition) (hello ShardHello) {
	cluster := elector.Cluster()
	if cluster == nil {
		hello.Stranded = convertAll(elector.RedirectedWorkers(), redirectedWorkerToWire)
		hello.Have = hintPositionToWire(elector.HintPosition())
		return hello
	}
	hello.Owner, hello.Lack = true, shortageToWire(cluster.Shortage())
	if since != nil {
		hints, position := cluster.Hints(*since)
		hello.Hints, hello.Have = convertAll(hints, hintToWire), hintPositionToWire(position)
	}
	return hello
}

// exchangeHealthReports exchanges health reports with another controller and applies the received one.
func (l *Link) exchangeHealthReports(ctx context.Context, node ids.Node) {
	hello := l.hello(nil)
	hello.Hello.Want = l.requestedTokens()
	sent := time.Now()
	answer, err := l.sendHello(ctx, node, &hello)
	if err != nil {
		return // a late response may still be decoded into answer, which is not read any more
	}
	l.handleHello(answer)
	l.store.Budget().AddBorrowed(answer.Hello.Lent, sent)
	for shard, elector := range l.shards.Electors() {
		if shard < len(answer.Shards) && answer.Shards[shard].Owner {
			received := &answer.Shards[shard]
			elector.ReceiveHints(convertAll(received.Hints, hintFromWire), hintPositionFromWire(received.Have))
		}
	}
}

// sendHello sends a health report to another controller and returns the one received in response.
func (l *Link) sendHello(ctx context.Context, node ids.Node, hello *ShardsHello) (*ShardsHello, error) {
	answer := &ShardsHello{}
	if len(hello.Shards) > 1 {
		return answer, l.connections.call(ctx, node, "GreetShards", hello, answer)
	}
	if err := l.connections.call(ctx, node, "Greet", &hello.Hello, &answer.Hello); err != nil {
		return nil, err
	}
	answer.Shards = []ShardHello{answer.Hello.onlyShard()}
	return answer, nil
}

// handleHello applies another controller's health report to the local electors.
func (l *Link) handleHello(hello *ShardsHello) {
	l.health.record(hello.Hello.Node, hello.Hello.StateOK)
	if !hello.Hello.StateOK {
		return // the sender can't reach the state service, so stepping down for it would not help
	}
	for shard, elector := range l.shards.Electors() {
		if shard >= len(hello.Shards) {
			break
		}
		received := &hello.Shards[shard]
		elector.HandleRedirectedWorkers(convertAll(received.Stranded, redirectedWorkerFromWire))
		if len(hello.Shards) > 1 && received.Owner {
			l.shards.ReportShortage(ids.Shard(shard), shortageFromWire(received.Lack))
		}
	}
}
