package provisioning

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
)

// Every shard rents machines of its own. When the cloud has no more, one shard may hold what another one
// lacks: the others then return what they only keep for later, and, if that does not do, one machine
// after the other of those that have more than their part.

// Shortage is how much a shard lacks machines.
type Shortage struct {
	// Duration is how long the cloud has refused what its waiting jobs need; 0: it has not.
	Duration time.Duration
	Machines int // that it has
}

// shortage is since when this shard lacks machines, whether others do, and when a machine was last
// released for them.
type shortage struct {
	since, releasedAt time.Time
	ofOthers          bool
}

const (
	// longShortage is from when on a shortage takes machines from shards that have more.
	longShortage = 10 * time.Second
	// releaseInterval spaces the machines that a shard releases.
	releaseInterval = 5 * time.Second
	// releasedForOtherShard is why such a machine is drained and returned.
	releasedForOtherShard = "its room is needed in another shard"
)

// SetShortage notes whether the cloud refuses now what waiting jobs need.
func (p *Planner) SetShortage(refused bool, now time.Time) {
	switch {
	case !refused:
		p.shortage.since = time.Time{}
	case p.shortage.since.IsZero():
		p.shortage.since = now
	}
}

// Shortage is how much this shard lacks machines.
func (p *Planner) Shortage() Shortage {
	current := Shortage{Machines: len(p.Machines.Machines)}
	if !p.shortage.since.IsZero() {
		current.Duration = time.Since(p.shortage.since)
	}
	return current
}

// ShareCapacity makes room for other shards, which have had a shortage for so long: no headroom is kept,
// and what is more than this shard's part is released, one machine at a time.
func (p *Planner) ShareCapacity(othersShortage time.Duration, part int, now time.Time) {
	p.shortage.ofOthers = othersShortage > 0
	if othersShortage < longShortage || len(p.Machines.Machines) <= part || now.Sub(p.shortage.releasedAt) < releaseInterval || !p.StoreAvailable() {
		return
	}
	node := p.cheapestToRelease(now)
	if node == nil {
		return
	}
	p.shortage.releasedAt = now
	p.Machines.Machines[node.Name].DrainReason = releasedForOtherShard
	p.Machines.MarkLeaving(node.Name)
	slog.Info("machine released for another shard", "machine", node.Name, "why", releasedForOtherShard)
}

// cheapestToRelease is the node on which stopping everything loses least; nil if there is none, or one
// is being released.
func (p *Planner) cheapestToRelease(now time.Time) (cheapest *capacity.Node) {
	leastLoss := 0.0
	for name, node := range p.Capacity.Nodes() {
		machine := p.Machines.Machines[name]
		switch {
		case machine == nil:
			continue
		case machine.DrainReason == releasedForOtherShard:
			return nil
		case machine.DrainReason != "":
			continue
		}
		loss := 0.0
		for assignment := range node.Assignments {
			loss += assignment.PreemptionCost(now) * float64(1+assignment.Job.EffectivePriority())
		}
		if cheapest == nil || loss < leastLoss || loss == leastLoss && name < cheapest.Name {
			cheapest, leastLoss = node, loss
		}
	}
	return cheapest
}
