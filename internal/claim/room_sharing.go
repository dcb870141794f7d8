package claim

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Every shard rents machines of its own. When the cloud has no more, one shard may hold what
// another one lacks: the others then return what they only keep for later, and, if that does
// not do, one machine after the other of those that have more than their part.

// Shortage is how much a shard lacks machines.
type Shortage struct {
	// For is how long the cloud has refused what its waiting jobs need; 0: it has not.
	For      time.Duration
	Machines int // that it has
}

const (
	// shortageFresh is how long what is known of another shard's lack holds.
	shortageFresh = 3 * time.Second
	// shortageLong is from when on a lack takes machines from shards that have more.
	shortageLong = 10 * time.Second
	// releaseInterval spaces the machines that a shard gives up.
	releaseInterval = 5 * time.Second
)

// reportedShortage is a lack and when it was told.
type reportedShortage struct {
	Shortage
	at time.Time
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
		lack.For = time.Since(c.shortageSince)
	}
	return lack
}

// ReportShortage takes in what the leader of another shard told.
func (s *Shards) ReportShortage(shard ids.Shard, lack Shortage) {
	s.shortagesMu.Lock()
	defer s.shortagesMu.Unlock()
	s.shortages[shard] = reportedShortage{lack, time.Now()}
}

// OtherShardsShortage is the longest lack of another shard, and the part of all machines that a shard
// has on average.
func (s *Shards) OtherShardsShortage(own ids.Shard) (longest time.Duration, part int) {
	total := 0
	for shard, elector := range s.pools {
		lack, known := s.shortageOf(ids.Shard(shard), elector)
		if !known {
			continue
		}
		total += lack.Machines
		if ids.Shard(shard) != own {
			longest = max(longest, lack.For)
		}
	}
	return longest, total / len(s.pools)
}

// shortageOf is what is known of a shard, led here or elsewhere.
func (s *Shards) shortageOf(shard ids.Shard, elector *Elector) (Shortage, bool) {
	if cluster := elector.Cluster(); cluster != nil {
		return cluster.Shortage(), true
	}
	s.shortagesMu.Lock()
	defer s.shortagesMu.Unlock()
	noted, known := s.shortages[shard]
	return noted.Shortage, known && time.Since(noted.at) < shortageFresh
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
		if machine == nil || machine.Draining != "" {
			if machine != nil && machine.Draining == releasedForOtherShard {
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
	c.machines.Machines[least.Name].Draining = releasedForOtherShard
	c.leaving[least.Name] = true
	slog.Info("machine given up", "machine", least.Name, "why", releasedForOtherShard)
}

// releasedForOtherShard is why such a machine is drained and returned.
const releasedForOtherShard = "its room is needed in another shard"
