package provisioning

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
)

// Shortage describes a shard's shortage of machines.
type Shortage struct {
	// Duration is the time for which the cloud has refused capacity that pending jobs need. It is 0 if the
	// cloud does not refuse any.
	Duration time.Duration
	// Machines is the number of machines that the shard has.
	Machines int
}

// shortageTracker tracks this shard's shortage and releases capacity during other shards' shortages. Each
// shard provisions its own machines. When the cloud has no more machines, a shard may hold machines that
// another shard needs. The shards without a shortage then first return the machines that they keep only as
// headroom. If the shortage lasts, shards with more machines than the average release machines one after
// another.
type shortageTracker struct {
	*State
	since              time.Time // start of this shard's shortage; zero if there is none
	othersHaveShortage bool      // whether other shards have a shortage
	releasedAt         time.Time // time at which this shard last released a machine
}

const (
	// releaseThreshold is the duration of a shortage from which other shards release machines.
	releaseThreshold = 10 * time.Second
	// releaseInterval is the minimum time between two releases of machines by a shard.
	releaseInterval = 5 * time.Second
	// releasedForOtherShard is the drain and termination reason of a machine released for another shard.
	releasedForOtherShard = "its room is needed in another shard"
)

// setShortage implements Planner.SetShortage.
func (s *shortageTracker) setShortage(refused bool, now time.Time) {
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
func (s *shortageTracker) shareCapacity(othersShortage time.Duration, averageMachines int, now time.Time) {
	s.othersHaveShortage = othersShortage > 0
	if othersShortage < releaseThreshold || len(s.Machines.Machines) <= averageMachines || now.Sub(s.releasedAt) < releaseInterval || !s.StoreAvailable() {
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

// cheapestToRelease returns the node whose tasks cost the least to stop, weighted by their priority. It
// returns nil if there is no node to release or another machine is still being released.
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
