package election

import (
	"context"
	"net/http"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/provisioning"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// allowanceWatchInterval is the interval between watches of the allowance ledgers.
const allowanceWatchInterval = 100 * time.Millisecond

// Shards runs the elections of all shards of the machine pool on this controller, which may lead none, one or
// several of them (docs/shards.md). Its fields either don't change after Run is called or are safe for
// concurrent use.
type Shards struct {
	// OnStoreUnusable is called with the reason if the store can't be used: ErrLayoutMismatch if it is laid out
	// for another number of shards, ErrJobsStored if it has no layout but is in use, possibly by an older version,
	// or quota.ErrBadLedger. It must be set before Run.
	OnStoreUnusable func(error)

	electors  []*Elector // by shard
	caches    watchCaches
	layout    *storeLayout
	shortages *shortageReports

	// With a single shard these are nil.
	allowances *state.WatchCache // of the allowance ledgers
	ownership  *machineOwnership
}

// NewShards returns a Shards with the electors of all shards.
func NewShards(settings *config.Settings, store *state.Client, commander *worker.Commander, incarnation string) *Shards {
	if settings.ShardCount() == 1 {
		return NewSingleShard(NewElector(settings, store, commander, incarnation))
	}
	caches := newWatchCaches(store)
	electors := make([]*Elector, settings.ShardCount())
	for shard := range electors {
		electors[shard] = newElector(settings, store, commander, incarnation, ids.Shard(shard), caches)
	}
	s := newShards(electors, store, caches)
	s.ownership = newMachineOwnership(caches.pool.LastSyncedAt)
	s.allowances = state.NewWatchCache(store, quota.Prefix, allowanceWatchInterval)
	s.registerListeners()
	return s
}

// NewSingleShard returns a Shards for a pool with a single shard, whose elector is given.
func NewSingleShard(elector *Elector) *Shards {
	return newShards([]*Elector{elector}, elector.store, elector.caches)
}

func newShards(electors []*Elector, store *state.Client, caches watchCaches) *Shards {
	return &Shards{
		OnStoreUnusable: func(error) {},
		electors:        electors,
		caches:          caches,
		layout:          &storeLayout{store: store, cache: caches.pool, shards: len(electors)},
		shortages:       newShortageReports(),
	}
}

// registerListeners registers the electors and the machine ownership as listeners of changes in the store.
func (s *Shards) registerListeners() {
	s.caches.pool.OnChange(s.ownership.handleChange)
	s.caches.jobs.OnChange(func(change state.Change) {
		for _, elector := range s.electors {
			elector.changes.handleJobChange(change)
		}
	})
	s.allowances.OnChange(func(change state.Change) {
		for _, elector := range s.electors {
			elector.changes.handleAllowanceChange(change)
		}
	})
}

// Run takes part in the elections until the context ends. With several shards, it returns early if the store
// can't be used.
func (s *Shards) Run(ctx context.Context) {
	if s.ownership == nil {
		go s.checkSingleLayout(ctx)
		s.electors[0].Run(ctx)
		return
	}
	s.caches.run(ctx)
	go s.allowances.Run(ctx)
	if err := s.layout.ensure(ctx); err != nil {
		if isStoreUnusable(err) {
			s.OnStoreUnusable(err)
		}
		return
	}
	go s.ownership.resolveUnclaimed(ctx, s.caches.pool)
	go rebalanceLeaders(ctx, s.electors)
	for _, elector := range s.electors {
		go elector.runElection(ctx)
	}
	<-ctx.Done()
}

// checkSingleLayout calls OnStoreUnusable if the store is laid out for several shards.
func (s *Shards) checkSingleLayout(ctx context.Context) {
	if found, err := s.layout.checkCached(ctx); found {
		s.OnStoreUnusable(err)
	}
}

// Electors returns the electors of all shards, by shard.
func (s *Shards) Electors() []*Elector { return s.electors }

// ForJob returns the elector of the shard that a job belongs to.
func (s *Shards) ForJob(job ids.Job) *Elector { return s.electors[ids.ShardOf(job, len(s.electors))] }

// Jobs returns this node's cache of the live records of all shards.
func (s *Shards) Jobs() *state.WatchCache { return s.caches.jobs }

// Owns reports whether a machine is known to belong to a shard.
func (s *Shards) Owns(shard ids.Shard, machine ids.Machine) bool {
	if s.ownership == nil {
		return true
	}
	owner, known := s.ownership.shardOf(machine)
	return known && owner == shard
}

// Heartbeat answers a worker's heartbeat, or redirects it to the leader of its machine's shard.
func (s *Shards) Heartbeat(ctx context.Context, report *worker.Report) (*worker.CommandBatch, int, worker.Redirect) {
	if s.ownership == nil {
		return s.electors[0].Heartbeat(ctx, report)
	}
	owner, known := s.ownership.shardOf(report.Machine)
	if !known || int(owner) >= len(s.electors) {
		// If the owner is unknown, the machine's provisioning request is not answered yet or the machine has
		// none; its owner will soon be known. If the owner is beyond the configured shards, the store is laid
		// out for more shards, and this node reports that through OnStoreUnusable once it has read the layout.
		return nil, http.StatusServiceUnavailable, worker.Redirect{}
	}
	return s.electors[owner].Heartbeat(ctx, report)
}

// MachineCount returns the number of machines that may connect to this node.
func (s *Shards) MachineCount() (count int) {
	for _, elector := range s.electors {
		if cluster := elector.Cluster(); cluster != nil {
			count += cluster.MachineCount()
		}
	}
	return count
}

// MachineTypes returns the machine types that a leader has stored; nil if there are none.
func (s *Shards) MachineTypes() []placement.InstanceType { return s.caches.machineTypes() }

// ReportShortage records a shortage report from the leader of another shard.
func (s *Shards) ReportShortage(shard ids.Shard, shortage provisioning.Shortage) {
	s.shortages.report(shard, shortage)
}

// OtherShardsShortage returns the duration of the longest shortage among the other shards, and the average
// number of machines per shard.
func (s *Shards) OtherShardsShortage(own ids.Shard) (longest time.Duration, averageMachines int) {
	total := 0
	for i, elector := range s.electors {
		shard := ids.Shard(i)
		shortage, known := s.shortageOf(shard, elector)
		if !known {
			continue
		}
		total += shortage.Machines
		if shard != own {
			longest = max(longest, shortage.Duration)
		}
	}
	return longest, total / len(s.electors)
}

// shortageOf returns the shortage of a shard, from its cluster state if this node leads it, or else from the
// last report of its leader.
func (s *Shards) shortageOf(shard ids.Shard, elector *Elector) (provisioning.Shortage, bool) {
	if cluster := elector.Cluster(); cluster != nil {
		return cluster.Shortage(), true
	}
	return s.shortages.latest(shard)
}
