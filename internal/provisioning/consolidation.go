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

// consolidator chooses machines whose few replicas fit on other machines, and tracks the one that is being
// emptied. Only one machine is emptied at a time.
type consolidator struct {
	*State
	machine   ids.Machine // the machine that is being emptied; "" if there is none
	startedAt time.Time   // start of the consolidation of machine
}

// ConsolidationCandidate is a machine that may be emptied, with the capacity that its replicas need on
// other machines.
type ConsolidationCandidate struct {
	Name  ids.Machine
	Needs []placement.Demand
}

const (
	// minRelocatableAge is the minimum time that a replica must have run before it is moved. Moving it
	// earlier would waste its start.
	minRelocatableAge = 40 * time.Second
	// consolidationTime is the time after which other machines are considered even if the current machine
	// has not been emptied.
	consolidationTime = time.Minute
	// minConsolidatedAge is the minimum age of a machine that is emptied, or returned because it is idle.
	minConsolidatedAge = time.Minute
	// maxConsolidationCandidates is the maximum number of candidates that are returned.
	maxConsolidationCandidates = 6
)

// ratedCandidate is a candidate and the cores in use on it per unit of its price.
type ratedCandidate struct {
	ConsolidationCandidate
	coresPerPrice float64
}

// isEmptying reports whether a machine is being emptied.
func (c *consolidator) isEmptying(machine ids.Machine) bool { return machine == c.machine }

// candidates implements Planner.ConsolidationCandidates.
func (c *consolidator) candidates(now time.Time) []ConsolidationCandidate {
	if c.Machines.Machines[c.machine] != nil && now.Sub(c.startedAt) < consolidationTime {
		return nil
	}
	c.machine = ""
	if !c.Rollouts.MayConsolidate() {
		return nil
	}
	var found []ratedCandidate
	for _, node := range c.Capacity.Nodes() {
		if candidate, ok := c.candidateOf(node, now); ok {
			found = append(found, candidate)
		}
	}
	slices.SortFunc(found, func(x, y ratedCandidate) int {
		return cmp.Or(cmp.Compare(x.coresPerPrice, y.coresPerPrice), cmp.Compare(x.Name, y.Name))
	})
	candidates := make([]ConsolidationCandidate, min(len(found), maxConsolidationCandidates))
	for i := range candidates {
		candidates[i] = found[i].ConsolidationCandidate
	}
	return candidates
}

// candidateOf returns the candidate for a node. ok reports whether the node may be emptied.
func (c *consolidator) candidateOf(node *capacity.Node, now time.Time) (candidate ratedCandidate, ok bool) {
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
	candidate.coresPerPrice = node.Used.Cores / c.machinePrice(machine)
	return candidate, true
}

// IsSettledReplica reports whether an assignment is a replica of a service that has run long enough to be
// moved and is not being stopped.
func IsSettledReplica(assignment *workload.Assignment, now time.Time) bool {
	return assignment.Job.Record.Spec.JobType == record.Service && !assignment.Stopping &&
		assignment.Status == worker.StateRunning && now.Sub(assignment.RunningSince) >= minRelocatableAge
}

// begin implements Planner.Consolidate.
func (c *consolidator) begin(name ids.Machine, now time.Time) bool {
	previous := c.machine
	c.machine, c.startedAt = name, now
	if name != "" {
		slog.Info("machine consolidation started", "machine", name)
		if machine := c.Machines.Machines[name]; machine != nil {
			machine.DeleteWhenEmpty = true
			c.Machines.MarkLeaving(name)
		}
	}
	return previous != "" && c.Machines.Machines[previous] != nil
}
