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

// Store stores provisioning requests. Its writes are fenced by the leader's generation.
type Store interface {
	Apply(ctx context.Context, ops []state.Op) error
}

const (
	// stepInterval is the delay between two steps.
	stepInterval = 250 * time.Millisecond
	// typesInterval is the interval between reads of the machine types.
	typesInterval = 30 * time.Second
)

// Provisioner is the leader's control loop that scales the fleet out and in with the workload. Only one
// goroutine uses it, so it has no lock.
type Provisioner struct {
	Cloud   *Cloud
	Cluster *clusterstate.State
	Store   Store
	// Generation is the leader's generation. No other leader has the same one, which makes the names of
	// requests unique.
	Generation ids.Generation
	// ListInterval is the interval between reads of the machine list. Reading more often gains nothing,
	// since the list lags.
	ListInterval time.Duration
	// ConfirmLeadership reports whether it is certain that no other node is leader yet; nil if there is
	// never another leader. The cloud does not support fencing tokens: a leader that was paused or waited
	// for longer than its lease could delete machines on which its successor has started tasks. The function is
	// therefore called directly before a deletion or request is sent.
	ConfirmLeadership func() bool
	// Keys are the keys under which the shard's requests are stored.
	Keys record.ShardKeys
	// Shard is the shard of this provisioner. If there are several, the names of requests contain it, and a
	// request stays stored with the names of its machines until the last of them is deleted.
	Shard ids.Shard
	// Owns reports whether a listed machine belongs to this shard; if nil, all do.
	Owns func(ids.Machine) bool
	// OtherShardsShortage returns how long another shard has had a shortage of machines, and the average
	// number of machines per shard; nil if there is no other shard.
	OtherShardsShortage func() (shortage time.Duration, average int)
	// OnMachineTypes is called with the machine types after each read, unless it is nil.
	OnMachineTypes func([]placement.InstanceType)

	typesReadAt             time.Time
	listProgress            machineListProgress
	requests                requests
	refusedUntil            map[offer]time.Time
	lastConsolidationSearch time.Time // when consolidate last looked for a machine to empty
}

// Run calls Step at regular intervals until the context ends.
func (p *Provisioner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.Step(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(stepInterval):
		}
	}
}

// Step executes one step of the loop: it reads the machine types and the machine list, retries outstanding
// requests, deletes machines that are not needed, and makes new requests.
func (p *Provisioner) Step(ctx context.Context) {
	now := time.Now()
	if !p.readTypes(ctx, now) {
		return
	}
	p.readMachineList(ctx, now)
	p.retryRequests(ctx)
	if p.ConfirmLeadership != nil && !p.ConfirmLeadership() {
		// During a network partition or an outage this leader gets no updates, so its decisions could be
		// based on outdated state.
		return
	}
	// The plan is made only after the retries: it must count the machines of outstanding requests, or a lost
	// answer would lead to every machine being provisioned twice.
	wanted, needed := p.plan(now)
	p.deleteUnneeded(ctx, needed)
	p.provisionReplacements(ctx, now)
	if p.requests.anyOutstanding() || !p.listProgress.complete {
		return // the machines of outstanding requests, or those listed, are not known yet
	}
	if len(wanted) == 0 {
		p.consolidate()
		return
	}
	if p.Cluster.Consolidate("", time.Now()) {
		return // the machine that was being emptied is needed after all
	}
	for _, machines := range wanted {
		p.provision(ctx, machines)
	}
}

// readTypes reads the machine types if typesInterval has passed, and reports whether they are known.
func (p *Provisioner) readTypes(ctx context.Context, now time.Time) (known bool) {
	if !p.typesReadAt.IsZero() && now.Sub(p.typesReadAt) <= typesInterval {
		return true
	}
	types, err := p.Cloud.Types(ctx)
	if err != nil {
		if p.typesReadAt.IsZero() {
			slog.Info("failed to read the machine types; nothing is provisioned until they are known", "err", err)
			return false
		}
		return true // the types read earlier remain in use
	}
	p.Cluster.SetMachineTypes(types)
	p.typesReadAt = now
	if p.OnMachineTypes != nil {
		p.OnMachineTypes(types)
	}
	return true
}

// plan returns the machines to request and the existing machines that are still needed. It takes the
// shortages of other shards into account and publishes this shard's own.
func (p *Provisioner) plan(now time.Time) (wanted []placement.ProvisioningRequest, needed map[ids.Machine]bool) {
	if p.OtherShardsShortage != nil {
		shortage, average := p.OtherShardsShortage()
		p.Cluster.ShareCapacity(shortage, average, time.Now())
	}
	unreachableZones := p.Cluster.UnreachableZones()
	closedZones := p.Cluster.ClosedZones()
	demands, machines, types := p.Cluster.CapacityDemands(time.Now())
	wanted, needed = placement.PlanScaleOut(demands, machines, types, func(instanceType, zone string, spot bool) bool {
		_, isClosed := closedZones[zone]
		return !isClosed && !unreachableZones[zone] && !p.isRefused(offer{instanceType, zone, spot}, now)
	})
	if p.OtherShardsShortage != nil {
		p.Cluster.SetShortage(len(wanted) == 0 && p.hasShortage(now), now)
	}
	return wanted, needed
}

// hasShortage reports whether waiting jobs need machines that the cloud refuses at present.
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
	wanted, _ := placement.PlanScaleOut(waiting, machines, types, acceptAnyOffer)
	return len(wanted) > 0
}

// acceptAnyOffer accepts every offer. It is used for plans that assume that the cloud refuses nothing.
func acceptAnyOffer(string, string, bool) bool { return true }
