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

// consolidation is the machine whose replicas are being moved elsewhere, if any, and since when.
type consolidation struct {
	machine ids.Machine
	since   time.Time
}

// ConsolidationCandidate is a machine whose few replicas others might take over.
type ConsolidationCandidate struct {
	Name  ids.Machine
	Needs []placement.Demand
}

const (
	// MinRelocatableAge is how long a replica must have run before it is moved: a start that is soon
	// undone is worth nothing.
	MinRelocatableAge = 40 * time.Second
	// consolidationTime is how long one machine may take to be emptied before others are looked at.
	consolidationTime = time.Minute
	// minConsolidatedAge is how long a machine must have been rented before it is emptied or returned.
	minConsolidatedAge = time.Minute
	// mostCandidates bounds how many machines are offered.
	mostCandidates = 6
)

// valuedCandidate is a candidate with the cores that it uses for its price.
type valuedCandidate struct {
	ConsolidationCandidate
	value float64
}

// ConsolidationCandidates lists machines that only replicas hold, least used for their price first; none
// while one is being emptied, or while rollouts move replicas: one reason at a time to move those that
// nobody has to move.
func (p *Planner) ConsolidationCandidates(now time.Time) []ConsolidationCandidate {
	if p.Machines.Machines[p.consolidation.machine] != nil && now.Sub(p.consolidation.since) < consolidationTime {
		return nil
	}
	p.consolidation.machine = ""
	if !p.Rollouts.MayConsolidate() {
		return nil
	}
	var found []valuedCandidate
	for _, node := range p.Capacity.Nodes() {
		if candidate, ok := p.candidateOf(node, now); ok {
			found = append(found, candidate)
		}
	}
	slices.SortFunc(found, func(x, y valuedCandidate) int {
		return cmp.Or(cmp.Compare(x.value, y.value), cmp.Compare(x.Name, y.Name))
	})
	candidates := make([]ConsolidationCandidate, min(len(found), mostCandidates))
	for i := range candidates {
		candidates[i] = found[i].ConsolidationCandidate
	}
	return candidates
}

// candidateOf tells whether a node may be emptied, and what its replicas need elsewhere.
func (p *Planner) candidateOf(node *capacity.Node, now time.Time) (candidate valuedCandidate, ok bool) {
	machine := p.Machines.Machines[node.Name]
	if len(node.Assignments) == 0 || machine == nil || p.Capacity.Type(machine.Type) == nil ||
		!machine.Schedulable(now, p.reportInterval()) || now.Sub(machine.ProvisionedAt) < minConsolidatedAge || machine.DeleteWhenEmpty {
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
	candidate.value = node.Used.Cores / p.machinePrice(machine)
	return candidate, true
}

// IsSettledReplica tells whether an assignment is a replica that has run long enough to be moved.
func IsSettledReplica(assignment *workload.Assignment, now time.Time) bool {
	return assignment.Job.Record.Spec.Shape == record.Service && !assignment.Stopping &&
		assignment.Status == worker.StateRunning && now.Sub(assignment.RunningSince) >= MinRelocatableAge
}

// Consolidate begins to move a machine's replicas elsewhere, or with no name gives that up; it tells
// whether there was something to give up.
func (p *Planner) Consolidate(name ids.Machine, now time.Time) bool {
	previous := p.consolidation.machine
	p.consolidation = consolidation{machine: name, since: now}
	if name != "" {
		slog.Info("machine consolidation started", "machine", name)
		if machine := p.Machines.Machines[name]; machine != nil {
			machine.DeleteWhenEmpty = true
			p.Machines.MarkLeaving(name)
		}
	}
	return previous != "" && p.Machines.Machines[previous] != nil
}
