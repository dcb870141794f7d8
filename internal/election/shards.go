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

// allowanceWatchInterval spaces the watches of the allowance ledgers.
const allowanceWatchInterval = 100 * time.Millisecond

// Shards is this controller's part in leading the shards of the machine pool, of which it may lead
// none, one or several (docs/shards.md). All that it has is set before Run, or guards itself.
type Shards struct {
	// OnRefused is called with the reason when the store is laid out for another number of shards, or
	// when its layout can't be told from that of older versions: with ErrOtherLayout, ErrJobsStored
	// or quota.ErrBadLedger. It is set before Run.
	OnRefused func(error)

	electors  []*Elector // by shard
	caches    watchCaches
	layout    *storeLayout
	shortages *shortageReports

	// With one shard these are nil.
	allowances *state.WatchCache // of the ledgers
	ownership  *machineOwnership
}

// NewShards makes the electors of all shards.
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
	s.ownership = newMachineOwnership(caches.pool.AsOf)
	s.allowances = state.NewWatchCache(store, quota.Prefix, allowanceWatchInterval)
	s.followChanges()
	return s
}

// NewSingleShard wraps the elector of a pool that is one shard.
func NewSingleShard(elector *Elector) *Shards {
	return newShards([]*Elector{elector}, elector.store, elector.caches)
}

func newShards(electors []*Elector, store *state.Client, caches watchCaches) *Shards {
	return &Shards{
		OnRefused: func(error) {},
		electors:  electors,
		caches:    caches,
		layout:    &storeLayout{store: store, cache: caches.pool, shards: len(electors)},
		shortages: newShortageReports(),
	}
}

// followChanges has the electors told of what changes in the store.
func (s *Shards) followChanges() {
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

// Run takes part in the elections until the context ends, or returns once the store can't be used.
func (s *Shards) Run(ctx context.Context) {
	if s.ownership == nil {
		go s.checkSingleLayout(ctx)
		s.electors[0].Run(ctx)
		return
	}
	s.caches.run(ctx)
	go s.allowances.Run(ctx)
	if err := s.layout.ensure(ctx); err != nil {
		if isRefusal(err) {
			s.OnRefused(err)
		}
		return
	}
	go s.ownership.resolveUnclaimed(ctx, s.caches.pool)
	go rebalanceLeaders(ctx, s.electors)
	for _, elector := range s.electors {
		go elector.participate(ctx)
	}
	<-ctx.Done()
}

// checkSingleLayout refuses a store that is laid out for several shards.
func (s *Shards) checkSingleLayout(ctx context.Context) {
	if found, err := s.layout.findInCache(ctx); found {
		s.OnRefused(err)
	}
}

// Electors are the shards' electors, by shard.
func (s *Shards) Electors() []*Elector { return s.electors }

// ForJob is the elector of the shard that a job belongs to.
func (s *Shards) ForJob(job ids.Job) *Elector { return s.electors[ids.ShardOf(job, len(s.electors))] }

// Jobs is this node's copy of the live records of all shards.
func (s *Shards) Jobs() *state.WatchCache { return s.caches.jobs }

// Owns tells whether a machine belongs to a shard, as far as that is known already.
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
		// Its provisioning request is not answered yet, or nobody provisioned it: soon one shard
		// surely owns it. Or the store is laid out for more shards than this node's settings name,
		// which refuses the node once it has read that.
		return nil, http.StatusServiceUnavailable, worker.Redirect{}
	}
	return s.electors[owner].Heartbeat(ctx, report)
}

// MachineCount is how many machines may connect to this node.
func (s *Shards) MachineCount() (count int) {
	for _, elector := range s.electors {
		if cluster := elector.Cluster(); cluster != nil {
			count += cluster.MachineCount()
		}
	}
	return count
}

// MachineTypes reads the machine types that a leader has stored.
func (s *Shards) MachineTypes() []placement.InstanceType { return s.caches.machineTypes() }

// ReportShortage takes in what the leader of another shard tells of its shard.
func (s *Shards) ReportShortage(shard ids.Shard, shortage provisioning.Shortage) {
	s.shortages.report(shard, shortage)
}

// OtherShardsShortage is the duration of the longest shortage of another shard, and how many
// machines a shard has on average.
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

// shortageOf is what is known of a shard, led here or elsewhere.
func (s *Shards) shortageOf(shard ids.Shard, elector *Elector) (provisioning.Shortage, bool) {
	if cluster := elector.Cluster(); cluster != nil {
		return cluster.Shortage(), true
	}
	return s.shortages.latest(shard)
}
