package scheduler

import (
	"cmp"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// bestNodesForGang returns nodes for n tasks, all in the zone with the lowest sum of scores, or nil if no
// zone has room for all n. An empty zone name means all zones together.
func (s *search) bestNodesForGang(zones []string, n int) (best []*capacity.Node) {
	if !s.allListed {
		s.listCandidates()
	}
	bestCost := 0.0
	for _, zone := range zones {
		if nodes, cost := s.nodesInZone(zone, n); nodes != nil && (best == nil || cost < bestCost) {
			best, bestCost = nodes, cost
		}
	}
	return best
}

// fewestNodesForGang is like bestNodesForGang, but chooses as few different nodes as possible, whatever their
// scores.
func (s *search) fewestNodesForGang(zones []string, n int) (fewest []*capacity.Node) {
	if !s.allListed {
		s.listCandidates()
	}
	slices.SortStableFunc(s.candidates, func(x, y candidate) int {
		return cmp.Compare(s.countFitting(y.node, n), s.countFitting(x.node, n))
	})
	for _, zone := range zones {
		if nodes, _ := s.nodesInZone(zone, n); nodes != nil && (fewest == nil || countDistinct(nodes) < countDistinct(fewest)) {
			fewest = nodes
		}
	}
	return fewest
}

// countFitting returns how many tasks of the job, at most n, a node has room for.
func (s *search) countFitting(node *capacity.Node, n int) int {
	if node.Class == nil {
		return 0
	}
	return node.Free().CountFitting(s.request.Resources, n)
}

// countDistinct returns the number of different nodes in a list in which equal nodes are adjacent.
func countDistinct(nodes []*capacity.Node) int { return len(slices.Compact(slices.Clone(nodes))) }

// nodesInZone returns nodes for n tasks in one zone, or in all zones if zone is empty, and the sum of their
// scores. It returns nil if there is not enough room. Machines on which tasks of the job failed are used
// only if the others have too little room.
func (s *search) nodesInZone(zone string, n int) (nodes []*capacity.Node, cost float64) {
	avoid := machinesToAvoid(s.job)
	inZone := map[string]int{}
	for _, avoided := range []bool{false, true} {
		for _, found := range s.candidates {
			if len(nodes) == n {
				return nodes, cost
			}
			if avoid[found.node.Name] != avoided || zone != "" && found.machine.Zone != zone || found.node.Class == nil {
				continue
			}
			allowed := s.zones.Allowed(found.machine.Zone, n) - inZone[found.machine.Zone]
			fitting := min(found.node.Free().CountFitting(s.request.Resources, n-len(nodes)), allowed)
			for range max(fitting, 0) {
				nodes = append(nodes, found.node)
				cost += found.score
				inZone[found.machine.Zone]++
			}
		}
	}
	if len(nodes) < n {
		return nil, 0
	}
	return nodes, cost
}

// machinesToAvoid returns the machines on which tasks of a job failed.
func machinesToAvoid(job *workload.Job) map[ids.Machine]bool {
	avoid := map[ids.Machine]bool{}
	for _, retry := range job.Retries {
		for machine := range retry.Avoid {
			avoid[machine] = true
		}
	}
	return avoid
}
