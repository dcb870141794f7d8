package provisioning

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
)

// Shortage is how badly a shard is short of machines.
type Shortage struct {
	// Duration is how long the cloud has refused capacity that pending jobs need; 0 if it does not.
	Duration time.Duration
	// Machines is how many machines the shard has.
	Machines int
}

// shortageTracker tracks this shard's shortage and gives capacity up during other shards' shortages.
// Every shard provisions its own machines. When the cloud has no more, a shard may have machines that
// another one needs. Then the others first return what they only keep as headroom; if that is not
// enough, those with more than their part of the machines release one after the other.
type shortageTracker struct {
	*State
	since      time.Time // when this shard's shortage began; zero without one
	ofOthers   bool      // other shards have a shortage
	releasedAt time.Time // when this shard last released a machine
}

const (
	// longShortage is how long a shortage lasts before other shards release machines.
	longShortage = 10 * time.Second
	// releaseInterval is the least time between two machines that a shard releases.
	releaseInterval = 5 * time.Second
	// releasedForOtherShard is the reason with which such a machine is drained and terminated.
	releasedForOtherShard = "its room is needed in another shard"
)

// set implements Planner.SetShortage.
func (s *shortageTracker) set(refused bool, now time.Time) {
	switch {
	case !refused:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = now
	}
}

// current implements Planner.Shortage.
func (s *shortageTracker) current() Shortage {
	current := Shortage{Machines: len(s.Machines.Machines)}
	if !s.since.IsZero() {
		current.Duration = time.Since(s.since)
	}
	return current
}

// shareCapacity implements Planner.ShareCapacity.
func (s *shortageTracker) shareCapacity(othersShortage time.Duration, part int, now time.Time) {
	s.ofOthers = othersShortage > 0
	if othersShortage < longShortage || len(s.Machines.Machines) <= part || now.Sub(s.releasedAt) < releaseInterval || !s.StoreAvailable() {
		return
	}
	node := s.cheapestToRelease(now)
	if node == nil {
		return
	}
	s.releasedAt = now
	s.Machines.Machines[node.Name].DrainReason = releasedForOtherShard
	s.Machines.MarkLeaving(node.Name)
	slog.Info("machine released for another shard", "machine", node.Name, "why", releasedForOtherShard)
}

// cheapestToRelease returns the node on which stopping all tasks loses least. It returns nil if there is
// none or another machine is still being released.
func (s *shortageTracker) cheapestToRelease(now time.Time) (cheapest *capacity.Node) {
	leastLoss := 0.0
	for name, node := range s.Capacity.Nodes() {
		machine := s.Machines.Machines[name]
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
