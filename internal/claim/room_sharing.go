package claim

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
)

// Every shard rents machines of its own. When the cloud has no more, one shard may hold what
// another one lacks: the others then return what they only keep for later, and, if that does
// not do, one machine after the other of those that have more than their part.

// Shortage is how much a shard lacks machines.
type Shortage struct {
	// Duration is how long the cloud has refused what its waiting jobs need; 0: it has not.
	Duration time.Duration
	Machines int // that it has
}

// SetShortage notes whether the cloud refuses now what waiting jobs need.
func (c *ClusterState) SetShortage(lacks bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !lacks:
		c.shortageSince = time.Time{}
	case c.shortageSince.IsZero():
		c.shortageSince = now
	}
}

// Shortage is how much this leader's shard lacks machines.
func (c *ClusterState) Shortage() Shortage {
	c.mu.Lock()
	defer c.mu.Unlock()
	lack := Shortage{Machines: len(c.machines.Machines)}
	if !c.shortageSince.IsZero() {
		lack.Duration = time.Since(c.shortageSince)
	}
	return lack
}

// ShareCapacity makes room for other shards, which have lacked machines for so long: nothing is
// kept for later, and what is more than this shard's part is given up.
func (c *ClusterState) ShareCapacity(lack time.Duration, part int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.otherShardsShort = lack > 0
	if lack < shortageLong || len(c.machines.Machines) <= part || now.Sub(c.releasedAt) < releaseInterval || !c.StoreAvailable() {
		return
	}
	var least *capacity.Node
	leastLoss := 0.0
	for name, node := range c.capacity.Nodes() {
		machine := c.machines.Machines[name]
		if machine == nil || machine.DrainReason != "" {
			if machine != nil && machine.DrainReason == releasedForOtherShard {
				return // one at a time
			}
			continue
		}
		loss := 0.0
		for assignment := range node.Assignments {
			loss += assignment.PreemptionCost(now) * float64(1+assignment.Job.EffectivePriority())
		}
		if least == nil || loss < leastLoss || loss == leastLoss && name < least.Name {
			least, leastLoss = node, loss
		}
	}
	if least == nil {
		return
	}
	c.releasedAt = now
	c.machines.Machines[least.Name].DrainReason = releasedForOtherShard
	c.leaving[least.Name] = true
	slog.Info("machine given up", "machine", least.Name, "why", releasedForOtherShard)
}

// releasedForOtherShard is why such a machine is drained and returned.
const releasedForOtherShard = "its room is needed in another shard"

const (
	// shortageLong is from when on a lack takes machines from shards that have more.
	shortageLong = 10 * time.Second
	// releaseInterval spaces the machines that a shard gives up.
	releaseInterval = 5 * time.Second
)
