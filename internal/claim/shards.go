package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// Shards is this controller's part in leading the shards of the machine pool, of which it may
// lead none, one or several.
type Shards struct {
	set        *config.Settings
	pools      []*Pool
	copies     mirrors
	allowances *state.Mirror // of the ledgers; nil with one shard
	owners     *ownership    // nil with one shard
	lacksMu    sync.Mutex
	lacks      map[ids.Shard]notedLack
	state      *state.Client
	// Refuse is called with the reason when the store is laid out for another number of
	// shards, or when its layout can't be told from that of older versions.
	Refuse func(error)
}

// NewShards makes the client of all shards.
func NewShards(set *config.Settings, c *state.Client, cmd *worker.Commander, incarnation string) *Shards {
	if set.Shards() == 1 {
		return SingleShard(NewPool(set, c, cmd, incarnation))
	}
	s := &Shards{set: set, copies: newMirrors(c), state: c, lacks: map[ids.Shard]notedLack{}, Refuse: func(error) {}}
	s.owners = newOwnership(s.copies.pool.AsOf)
	s.allowances = state.NewMirror(c, quota.Prefix, 100*time.Millisecond)
	for shard := range ids.Shard(set.Shards()) {
		s.pools = append(s.pools, newPool(set, c, cmd, incarnation, shard, s.copies))
	}
	s.copies.pool.NotifyChanges(s.owners.learn)
	s.copies.jobs.NotifyChanges(func(ch state.Change) {
		for _, p := range s.pools {
			p.followJobs(ch)
		}
	})
	s.allowances.NotifyChanges(func(ch state.Change) {
		for _, p := range s.pools {
			p.learnAllowance(ch)
		}
	})
	return s
}

// SingleShard wraps a pool that is one shard.
func SingleShard(p *Pool) *Shards {
	return &Shards{set: p.Set, pools: []*Pool{p}, copies: mirrors{p.mirror, p.jobs}, state: p.State, Refuse: func(error) {}}
}

// Run takes part until the context ends.
func (s *Shards) Run(ctx context.Context) {
	if s.owners == nil {
		go s.checkSingleLayout(ctx)
		s.pools[0].Run(ctx)
		return
	}
	go s.copies.pool.Run(ctx)
	go s.copies.jobs.Run(ctx)
	go s.allowances.Run(ctx)
	if !s.layOut(ctx) {
		return
	}
	go s.owners.settle(ctx, s.copies.pool)
	go s.spread(ctx)
	for _, p := range s.pools {
		go p.lead(ctx)
	}
	<-ctx.Done()
}

// Pools are the shards' own clients, by number.
func (s *Shards) Pools() []*Pool { return s.pools }

// Of is the client of the shard that a job belongs to.
func (s *Shards) Of(job ids.Job) *Pool { return s.pools[ids.ShardOf(job, len(s.pools))] }

// Jobs is this node's copy of the live records of all shards.
func (s *Shards) Jobs() *state.Mirror { return s.copies.jobs }

// Owns tells whether a machine belongs to a shard, as far as that is known already.
func (s *Shards) Owns(shard ids.Shard, machine ids.Machine) bool {
	if s.owners == nil {
		return true
	}
	owner, known := s.owners.of(machine)
	return known && owner == shard
}

// Heartbeat answers a worker's report, or sends it on to the leader of its machine's shard.
func (s *Shards) Heartbeat(ctx context.Context, rep *worker.Report) (*worker.Reply, int, worker.Redirect) {
	if s.owners == nil {
		return s.pools[0].Heartbeat(ctx, rep)
	}
	owner, known := s.owners.of(rep.Machine)
	if !known || int(owner) >= len(s.pools) {
		// Its hire is not answered yet, or nobody hired it: soon one shard surely owns it. Or the
		// store is laid out for more shards than this node's settings name, which refuses the node
		// once it has read that.
		return nil, 503, worker.Redirect{}
	}
	return s.pools[owner].Heartbeat(ctx, rep)
}

// Leading counts the shards that this node leads.
func (s *Shards) Leading() (n int) {
	for _, p := range s.pools {
		if p.Term() != nil {
			n++
		}
	}
	return n
}

// Machines is how many machines may connect to this node.
func (s *Shards) Machines() (n int) {
	for _, p := range s.pools {
		if b := p.Cluster(); b != nil {
			n += b.Machines()
		}
	}
	return n
}

// Types reads the machine types that a leader has stored.
func (s *Shards) Types() []placement.Type { return s.pools[0].Types() }

// nodes are all controllers' names in order, the same at each of them.
func nodes(set *config.Settings) []ids.Node {
	names := []ids.Node{set.HostName}
	for _, o := range set.Others {
		names = append(names, o.HostName)
	}
	slices.Sort(names)
	return names
}

// distance is how many controllers prefer a shard more than this one does.
func (p *Pool) distance() int {
	names := nodes(p.Set)
	return (slices.Index(names, p.Set.HostName) - int(p.shard)%len(names) + len(names)) % len(names)
}

// campaignAfter is how much longer each controller waits than the one that prefers the shard
// more, so that the leaders spread.
const campaignAfter = 150 * time.Millisecond

// mayCampaign tells whether it is this node's turn to take a shard without a leader over.
func (p *Pool) mayCampaign(now time.Time) bool {
	if p.Set.Shards() == 1 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// A shard that was led since it was last seen vacant is vacant anew.
	if p.vacancy.IsZero() || now.Sub(p.vacancySeen) > time.Second {
		p.vacancy = now
	}
	p.vacancySeen = now
	return now.Sub(p.vacancy) >= time.Duration(p.distance())*campaignAfter
}

// Leaders are given back to controllers that prefer a shard and lead less.
const (
	spreadEvery = 5 * time.Second
	// settledTerm is how long a term lasts at least before it is given back.
	settledTerm = 15 * time.Second
)

// spread gives a shard back when this node leads two more than a controller that is up.
func (s *Shards) spread(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, spreadEvery)
		s.giveBack()
	}
}

func (s *Shards) giveBack() {
	counts := map[ids.Node]int{}
	for _, p := range s.pools {
		if leader, ok := p.Leader(); ok {
			counts[leader]++
		}
	}
	for _, p := range s.pools {
		t := p.Term()
		if t == nil || time.Since(t.began) < settledTerm || p.Peers == nil {
			continue
		}
		names := nodes(p.Set)
		preferred := names[int(p.shard)%len(names)]
		if preferred != p.Set.HostName && p.Peers.Served(preferred) && counts[p.Set.HostName] >= counts[preferred]+2 {
			p.giveWay(t, "another controller that is up leads fewer shards")
			return
		}
	}
}
