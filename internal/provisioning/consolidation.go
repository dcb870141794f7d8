package provisioning

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// consolidator empties machines whose few replicas fit on others, one machine at a time.
type consolidator struct {
	*State
	machine ids.Machine // being emptied; empty: none
	since   time.Time   // when that began
}

// ConsolidationCandidate is a machine that may be emptied, with what its replicas need elsewhere.
type ConsolidationCandidate struct {
	Name  ids.Machine
	Needs []placement.Demand
}

const (
	// minRelocatableAge is how long a replica must have run before it is moved: a start that is soon
	// undone is worth nothing.
	minRelocatableAge = 40 * time.Second
	// consolidationTime is how long emptying one machine may take before other machines are considered.
	consolidationTime = time.Minute
	// minConsolidatedAge is the age from which a machine may be emptied or returned.
	minConsolidatedAge = time.Minute
	// maxConsolidationCandidates bounds the candidates that are returned.
	maxConsolidationCandidates = 6
)

// valuedCandidate is a candidate and the cores that it uses for its price.
type valuedCandidate struct {
	ConsolidationCandidate
	value float64
}

// isEmptying reports whether a machine is being emptied.
func (c *consolidator) isEmptying(machine ids.Machine) bool { return machine == c.machine }

// candidates implements Planner.ConsolidationCandidates.
func (c *consolidator) candidates(now time.Time) []ConsolidationCandidate {
	if c.Machines.Machines[c.machine] != nil && now.Sub(c.since) < consolidationTime {
		return nil
	}
	c.machine = ""
	if !c.Rollouts.MayConsolidate() {
		return nil
	}
	var found []valuedCandidate
	for _, node := range c.Capacity.Nodes() {
		if candidate, ok := c.candidateOf(node, now); ok {
			found = append(found, candidate)
		}
	}
	slices.SortFunc(found, func(x, y valuedCandidate) int {
		return cmp.Or(cmp.Compare(x.value, y.value), cmp.Compare(x.Name, y.Name))
	})
	candidates := make([]ConsolidationCandidate, min(len(found), maxConsolidationCandidates))
	for i := range candidates {
		candidates[i] = found[i].ConsolidationCandidate
	}
	return candidates
}

// candidateOf returns a node as a candidate; ok reports whether it may be emptied.
func (c *consolidator) candidateOf(node *capacity.Node, now time.Time) (candidate valuedCandidate, ok bool) {
	machine := c.Machines.Machines[node.Name]
	if len(node.Assignments) == 0 || machine == nil || c.Capacity.Type(machine.Type) == nil ||
		!machine.Schedulable(now, c.reportInterval()) || now.Sub(machine.ProvisionedAt) < minConsolidatedAge || machine.DeleteWhenEmpty {
		return candidate, false
	}
	candidate.Name = node.Name
	for assignment := range node.Assignments {
		spec := &assignment.Job.Record.Spec
		if !IsSettledReplica(assignment, now) || spec.Resources.Accels > 0 {
			return candidate, false
		}
		request := spec.PlacementRequest()
		request.Zone = machine.Zone
		candidate.Needs = append(candidate.Needs, placement.Demand{Request: request, Count: 1, Headroom: true})
	}
	candidate.value = node.Used.Cores / c.machinePrice(machine)
	return candidate, true
}

// IsSettledReplica reports whether an assignment is a replica that has run long enough to be moved.
func IsSettledReplica(assignment *workload.Assignment, now time.Time) bool {
	return assignment.Job.Record.Spec.Shape == record.Service && !assignment.Stopping &&
		assignment.Status == worker.StateRunning && now.Sub(assignment.RunningSince) >= minRelocatableAge
}

// begin implements Planner.Consolidate.
func (c *consolidator) begin(name ids.Machine, now time.Time) bool {
	previous := c.machine
	c.machine, c.since = name, now
	if name != "" {
		slog.Info("machine consolidation started", "machine", name)
		if machine := c.Machines.Machines[name]; machine != nil {
			machine.DeleteWhenEmpty = true
			c.Machines.MarkLeaving(name)
		}
	}
	return previous != "" && c.Machines.Machines[previous] != nil
}
