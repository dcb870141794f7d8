package election

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
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// Shards is this controller's part in leading the shards of the machine pool, of which it may
// lead none, one or several.
type Shards struct {
	set             *config.Settings
	pools           []*Elector
	mirrors         mirrors
	allowanceMirror *state.WatchCache // of the ledgers; nil with one shard
	ownership       *machineOwnership // nil with one shard
	shortagesMu     sync.Mutex
	shortages       map[ids.Shard]reportedShortage
	state           *state.Client
	// Refuse is called with the reason when the store is laid out for another number of
	// shards, or when its layout can't be told from that of older versions.
	Refuse func(error)
}

// NewShards makes the client of all shards.
func NewShards(settings *config.Settings, c *state.Client, commander *worker.Commander, incarnation string) *Shards {
	if settings.ShardCount() == 1 {
		return SingleShard(NewElector(settings, c, commander, incarnation))
	}
	s := &Shards{set: settings, mirrors: newMirrors(c), state: c, shortages: map[ids.Shard]reportedShortage{}, Refuse: func(error) {}}
	s.ownership = newMachineOwnership(s.mirrors.pool.AsOf)
	s.allowanceMirror = state.NewWatchCache(c, quota.Prefix, 100*time.Millisecond)
	for shard := range ids.Shard(settings.ShardCount()) {
		s.pools = append(s.pools, newElector(settings, c, commander, incarnation, shard, s.mirrors))
	}
	s.mirrors.pool.OnChange(s.ownership.handleChange)
	s.mirrors.jobs.OnChange(func(change state.Change) {
		for _, elector := range s.pools {
			elector.handleJobChange(change)
		}
	})
	s.allowanceMirror.OnChange(func(change state.Change) {
		for _, elector := range s.pools {
			elector.handleAllowanceChange(change)
		}
	})
	return s
}

// SingleShard wraps a pool that is one shard.
func SingleShard(elector *Elector) *Shards {
	return &Shards{set: elector.Settings, pools: []*Elector{elector}, mirrors: mirrors{elector.poolMirror, elector.jobMirror}, state: elector.State, Refuse: func(error) {}}
}

// Run takes part until the context ends.
func (s *Shards) Run(ctx context.Context) {
	if s.ownership == nil {
		go s.checkSingleLayout(ctx)
		s.pools[0].Run(ctx)
		return
	}
	go s.mirrors.pool.Run(ctx)
	go s.mirrors.jobs.Run(ctx)
	go s.allowanceMirror.Run(ctx)
	if !s.ensureLayout(ctx) {
		return
	}
	go s.ownership.resolveUnclaimed(ctx, s.mirrors.pool)
	go s.rebalance(ctx)
	for _, elector := range s.pools {
		go elector.participate(ctx)
	}
	<-ctx.Done()
}

// Pools are the shards' own clients, by number.
func (s *Shards) Pools() []*Elector { return s.pools }

// ForJob is the client of the shard that a job belongs to.
func (s *Shards) ForJob(job ids.Job) *Elector { return s.pools[ids.ShardOf(job, len(s.pools))] }

// Jobs is this node's copy of the live records of all shards.
func (s *Shards) Jobs() *state.WatchCache { return s.mirrors.jobs }

// Owns tells whether a machine belongs to a shard, as far as that is known already.
func (s *Shards) Owns(shard ids.Shard, machine ids.Machine) bool {
	if s.ownership == nil {
		return true
	}
	owner, known := s.ownership.shardOf(machine)
	return known && owner == shard
}

// Heartbeat answers a worker's report, or sends it on to the leader of its machine's shard.
func (s *Shards) Heartbeat(ctx context.Context, report *worker.Report) (*worker.CommandBatch, int, worker.Redirect) {
	if s.ownership == nil {
		return s.pools[0].Heartbeat(ctx, report)
	}
	owner, known := s.ownership.shardOf(report.Machine)
	if !known || int(owner) >= len(s.pools) {
		// Its hire is not answered yet, or nobody hired it: soon one shard surely owns it. Or the
		// store is laid out for more shards than this node's settings name, which refuses the node
		// once it has read that.
		return nil, 503, worker.Redirect{}
	}
	return s.pools[owner].Heartbeat(ctx, report)
}

// Leading counts the shards that this node leads.
func (s *Shards) Leading() (n int) {
	for _, elector := range s.pools {
		if elector.Term() != nil {
			n++
		}
	}
	return n
}

// Machines is how many machines may connect to this node.
func (s *Shards) Machines() (n int) {
	for _, elector := range s.pools {
		if cluster := elector.Cluster(); cluster != nil {
			n += cluster.MachineCount()
		}
	}
	return n
}

// Types reads the machine types that a leader has stored.
func (s *Shards) Types() []placement.InstanceType { return s.pools[0].Types() }

// nodes are all controllers' names in order, the same at each of them.
func nodes(settings *config.Settings) []ids.Node {
	names := []ids.Node{settings.HostName}
	for _, o := range settings.Peers {
		names = append(names, o.HostName)
	}
	slices.Sort(names)
	return names
}

// preferenceRank is how many controllers prefer a shard more than this one does.
func (e *Elector) preferenceRank() int {
	names := nodes(e.Settings)
	return (slices.Index(names, e.Settings.HostName) - int(e.shard)%len(names) + len(names)) % len(names)
}

// campaignDelay is how much longer each controller waits than the one that prefers the shard
// more, so that the leaders spread.
const campaignDelay = 150 * time.Millisecond

// mayCampaign tells whether it is this node's turn to take a shard without a leader over.
func (e *Elector) mayCampaign(now time.Time) bool {
	if e.Settings.ShardCount() == 1 {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// A shard that was led since it was last seen vacant is vacant anew.
	if e.leaderlessSince.IsZero() || now.Sub(e.leaderlessSeenAt) > time.Second {
		e.leaderlessSince = now
	}
	e.leaderlessSeenAt = now
	return now.Sub(e.leaderlessSince) >= time.Duration(e.preferenceRank())*campaignDelay
}

// Leaders are given back to controllers that prefer a shard and lead less.
const (
	rebalanceInterval = 5 * time.Second
	// minTermBeforeResigning is how long a term lasts at least before it is given back.
	minTermBeforeResigning = 15 * time.Second
)

// rebalance gives a shard back when this node leads two more than a controller that is up.
func (s *Shards) rebalance(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, rebalanceInterval)
		s.resignExcess()
	}
}

func (s *Shards) resignExcess() {
	counts := map[ids.Node]int{}
	for _, elector := range s.pools {
		if leader, ok := elector.Leader(); ok {
			counts[leader]++
		}
	}
	for _, elector := range s.pools {
		term := elector.Term()
		if term == nil || time.Since(term.began) < minTermBeforeResigning || elector.Peers == nil {
			continue
		}
		names := nodes(elector.Settings)
		preferred := names[int(elector.shard)%len(names)]
		if preferred != elector.Settings.HostName && elector.Peers.Served(preferred) && counts[elector.Settings.HostName] >= counts[preferred]+2 {
			elector.resign(term, "another controller that is up leads fewer shards")
			return
		}
	}
}
