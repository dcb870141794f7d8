package peer

import (
	"context"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/claim"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Where the machine pool has several shards, controllers exchange how they stand to each of
// them. With one shard the messages are those that older versions know.

// ShardHello tells how a node stands to one shard; the fields are those of Hello.
type ShardHello struct {
	Owner    bool
	Have     claim.HintPosition
	Hints    []claim.Hint
	Stranded []claim.RedirectedWorker
	// Lack is how much the shard lacks machines, told by its leader.
	Lack claim.Shortage
}

// ShardsHello is a Hello with how the node stands to each shard.
type ShardsHello struct {
	Hello  Hello
	Shards []ShardHello
}

// ShardTook announces the takeover of a shard.
type ShardTook struct {
	Shard      ids.Shard
	Generation ids.Generation
}

// StoppedShard confirms that no heartbeats of a shard are answered under older generations.
func (s *Service) StoppedShard(t *ShardTook, out *Confirmed) error {
	if pools := s.link.shards.Pools(); t.Shard >= 0 && int(t.Shard) < len(pools) {
		out.Stopped = pools[t.Shard].Superseded(t.Generation)
	}
	return nil
}

// GreetShards is Greet where there are several shards.
func (s *Service) GreetShards(h *ShardsHello, out *ShardsHello) error {
	s.link.note(h)
	*out = s.link.hello(h.marks())
	out.Hello.Lent = s.link.state.Budget().Lend(h.Hello.Want)
	return nil
}

// shard is what a Hello says of the only shard.
func (h *Hello) shard() ShardHello {
	return ShardHello{Owner: h.Owner, Have: h.Have, Hints: h.Hints, Stranded: h.Stranded}
}

// marks are how far in each shard's hints the greeting node is.
func (h *ShardsHello) marks() []claim.HintPosition {
	marks := make([]claim.HintPosition, len(h.Shards))
	for i := range h.Shards {
		marks[i] = h.Shards[i].Have
	}
	return marks
}

// ForShard is what the client of one shard asks of the other controllers.
func (l *Link) ForShard(shard ids.Shard) claim.Peers { return shardPeers{l, shard} }

// shardPeers are the other controllers as the client of one shard sees them.
type shardPeers struct {
	*Link
	shard ids.Shard
}

// AllStopped asks the controllers named, or else every other, at the same time
// whether they have stopped answering: one that hangs costs a timeout, and there
// may be several.
func (s shardPeers) AllStopped(ctx context.Context, gen ids.Generation, of ...ids.Node) bool {
	if len(of) == 0 {
		for _, o := range s.set.Others {
			of = append(of, o.HostName)
		}
	}
	stopped := make(chan bool, len(of))
	for _, node := range of {
		go func() { stopped <- s.askStopped(ctx, gen, node) }()
	}
	all := true
	for range of {
		all = <-stopped && all
	}
	return all
}

// askStopped asks one controller.
func (s shardPeers) askStopped(ctx context.Context, gen ids.Generation, node ids.Node) bool {
	var out Confirmed
	var err error
	if s.set.Shards() == 1 {
		err = s.call(ctx, node, "Stopped", &Took{gen}, &out)
	} else {
		err = s.call(ctx, node, "StoppedShard", &ShardTook{s.shard, gen}, &out)
	}
	return err == nil && out.Stopped
}

// hello tells how this node fares; to a node that said how far in the hints it is, the leader
// of a shard tells what came since.
func (l *Link) hello(to []claim.HintPosition) ShardsHello {
	age, ok := l.state.SinceSuccess()
	h := ShardsHello{Hello: Hello{Node: l.set.HostName, StateOK: ok && age < heardWithin}}
	for shard, pool := range l.shards.Pools() {
		var mark *claim.HintPosition
		if shard < len(to) {
			mark = &to[shard]
		}
		h.Shards = append(h.Shards, shardHello(pool, mark))
	}
	if len(h.Shards) == 1 {
		only := h.Shards[0]
		h.Hello.Owner, h.Hello.Have, h.Hello.Hints, h.Hello.Stranded = only.Owner, only.Have, only.Hints, only.Stranded
	}
	return h
}

// shardHello tells how this node stands to one shard.
func shardHello(pool *claim.Elector, to *claim.HintPosition) (h ShardHello) {
	b := pool.Cluster()
	if b == nil {
		h.Stranded, h.Have = pool.RedirectedWorkers(), pool.HintPosition()
		return h
	}
	h.Owner, h.Lack = true, b.Shortage()
	if to != nil {
		h.Hints, h.Have = b.Hints(*to)
	}
	return h
}

// greet exchanges how the nodes fare with one other controller.
func (l *Link) greet(ctx context.Context, node ids.Node) {
	h := l.hello(nil)
	h.Hello.Want = l.wants()
	sent := time.Now()
	out, err := l.exchangeHello(ctx, node, &h)
	if err != nil {
		return // an answer may still come, into what nobody looks at any more
	}
	l.note(out)
	l.state.Budget().Borrowed(out.Hello.Lent, sent)
	for shard, pool := range l.shards.Pools() {
		if shard < len(out.Shards) && out.Shards[shard].Owner {
			pool.ReceiveHints(out.Shards[shard].Hints, out.Shards[shard].Have)
		}
	}
}

// exchangeHello tells one other controller how this node fares, and returns its answer.
func (l *Link) exchangeHello(ctx context.Context, node ids.Node, h *ShardsHello) (*ShardsHello, error) {
	out := &ShardsHello{}
	if len(h.Shards) > 1 {
		return out, l.call(ctx, node, "GreetShards", h, out)
	}
	if err := l.call(ctx, node, "Greet", &h.Hello, &out.Hello); err != nil {
		return nil, err
	}
	out.Shards = []ShardHello{out.Hello.shard()}
	return out, nil
}

// note takes in how another node fares.
func (l *Link) note(h *ShardsHello) {
	l.mu.Lock()
	l.seen[h.Hello.Node] = seen{time.Now(), h.Hello.StateOK}
	l.mu.Unlock()
	if !h.Hello.StateOK {
		return // giving up to a node that is not served itself would help nobody
	}
	for shard, pool := range l.shards.Pools() {
		if shard >= len(h.Shards) {
			break
		}
		pool.HandleRedirectedWorkers(h.Shards[shard].Stranded)
		if len(h.Shards) > 1 && h.Shards[shard].Owner {
			l.shards.ReportShortage(ids.Shard(shard), h.Shards[shard].Lack)
		}
	}
}

// heardWithin is how long ago another controller was heard at most to count as up.
const heardWithin = 3 * time.Second

// Served tells that another controller was heard lately and is served by the state service.
func (l *Link) Served(node ids.Node) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.seen[node]
	return s.stateOK && time.Since(s.at) < heardWithin
}
