package fleet

import (
	"context"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Store keeps provisioning requests, fenced by the leader's generation.
type Store interface {
	Apply(ctx context.Context, ops []state.Op) error
}

const (
	// stepInterval spaces the rounds.
	stepInterval = 250 * time.Millisecond
	// typesInterval spaces the reads of the machine types.
	typesInterval = 30 * time.Second
)

// Provisioner is the leader's loop that scales the fleet out and in as the work demands. One
// goroutine uses it: it has no lock.
type Provisioner struct {
	Cloud   *Cloud
	Cluster *clusterstate.State
	Store   Store
	// Generation makes the names of requests unique: it is this leader's alone.
	Generation ids.Generation
	// ListInterval spaces the reads of the machine list; it lags anyway.
	ListInterval time.Duration
	// ConfirmLeadership tells whether no other node can be leader yet; nil: none ever is. The cloud knows
	// nothing of fencing tokens: a leader that was paused, or waited, for longer than its lease
	// could delete the machines on which its successor has started work. So it is asked right
	// before a deletion or request is sent.
	ConfirmLeadership func() bool
	// Keys are where the shard's requests are stored.
	Keys record.ShardKeys
	// Shard is told apart from others by its requests: where there are several, a request stays
	// stored with the names of its machines until the last of them is deleted.
	Shard ids.Shard
	// Owns tells whether a listed machine is this shard's; nil: all are.
	Owns func(ids.Machine) bool
	// OtherShardsShortage tells how long another shard has had a shortage of machines, and how many a
	// shard has on average; nil: there is no other.
	OtherShardsShortage func() (shortage time.Duration, average int)
	// OnMachineTypes is told the cloud's offer whenever it was read; nil: nobody is.
	OnMachineTypes func([]placement.InstanceType)

	typesReadAt    time.Time
	list           listing
	requests       requests
	refusedUntil   map[offer]time.Time
	consolidatedAt time.Time // when a machine to empty was last looked for
}

// Run keeps the fleet until the context ends.
func (p *Provisioner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.Step(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(stepInterval):
		}
	}
}

// Step does one round: types, list, outstanding requests, deletions, new requests.
func (p *Provisioner) Step(ctx context.Context) {
	now := time.Now()
	if !p.readTypes(ctx, now) {
		return
	}
	p.readList(ctx, now)
	p.retryRequests(ctx)
	if p.ConfirmLeadership != nil && !p.ConfirmLeadership() {
		// Cut off or in an outage this leader hears of nothing: whatever it would decide might
		// long be otherwise.
		return
	}
	// Decided only now: what an outstanding request has provisioned must count, or a lost answer
	// would provision everything twice.
	wanted, needed := p.plan(now)
	p.deleteUnneeded(ctx, needed)
	p.provisionReplacements(ctx, now)
	if p.requests.anyOutstanding() || !p.list.complete {
		return // what they provision is not known yet
	}
	if len(wanted) == 0 {
		p.consolidate()
		return
	}
	if p.Cluster.Consolidate("", time.Now()) {
		return // what was being emptied is wanted after all
	}
	for _, machines := range wanted {
		p.provision(ctx, machines)
	}
}

// readTypes reads the machine types when that is due, and tells whether they are known.
func (p *Provisioner) readTypes(ctx context.Context, now time.Time) (known bool) {
	if !p.typesReadAt.IsZero() && now.Sub(p.typesReadAt) <= typesInterval {
		return true
	}
	types, err := p.Cloud.Types(ctx)
	if err != nil {
		if p.typesReadAt.IsZero() {
			slog.Info("machine types not known yet", "err", err)
			return false
		}
		return true // as they were
	}
	p.Cluster.SetMachineTypes(types)
	p.typesReadAt = now
	if p.OnMachineTypes != nil {
		p.OnMachineTypes(types)
	}
	return true
}

// plan decides which machines to ask for and which of those there are stay needed. Other shards'
// shortages count, and they are told of this one's.
func (p *Provisioner) plan(now time.Time) (wanted []placement.ProvisioningRequest, needed map[ids.Machine]bool) {
	if p.OtherShardsShortage != nil {
		shortage, average := p.OtherShardsShortage()
		p.Cluster.ShareCapacity(shortage, average, time.Now())
	}
	unreachable := p.Cluster.UnreachableZones()
	closed := p.Cluster.ClosedZones()
	demands, machines, types := p.Cluster.CapacityDemands(time.Now())
	wanted, needed = placement.PlanScaleOut(demands, machines, types, func(instanceType, zone string, spot bool) bool {
		_, isClosed := closed[zone]
		return !isClosed && !unreachable[zone] && !p.isRefused(offer{instanceType, zone, spot}, now)
	})
	if p.OtherShardsShortage != nil {
		p.Cluster.SetShortage(len(wanted) == 0 && p.hasShortage(now), now)
	}
	return wanted, needed
}

// hasShortage tells whether waiting jobs need machines that the cloud refuses now.
func (p *Provisioner) hasShortage(now time.Time) bool {
	if !p.anyRefused(now) {
		return false
	}
	demands, machines, types := p.Cluster.CapacityDemands(now)
	var waiting []placement.Demand
	for _, demand := range demands {
		if !demand.Headroom {
			waiting = append(waiting, demand)
		}
	}
	wanted, _ := placement.PlanScaleOut(waiting, machines, types, anyOffer)
	return len(wanted) > 0
}

// anyOffer is for a plan that takes the cloud to refuse nothing.
func anyOffer(string, string, bool) bool { return true }
