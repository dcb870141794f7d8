package fleet

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/provisioning"
)

const (
	// maxPerDeletion is the maximum number of machines that one call deletes.
	maxPerDeletion = 100
	// consolidateInterval is the minimum interval between searches for a machine to empty, since each search
	// evaluates the whole fleet.
	consolidateInterval = 1500 * time.Millisecond
)

// deleteUnneeded deletes the machines that the cluster state selects for termination.
func (p *Provisioner) deleteUnneeded(ctx context.Context, needed map[ids.Machine]bool) {
	for batch := range slices.Chunk(p.Cluster.MachinesToTerminate(time.Now(), needed), maxPerDeletion) {
		if err := p.Cloud.delete(ctx, batch, p.ConfirmLeadership); err != nil {
			slog.Debug("failed to delete machines or to confirm their deletion; the next step tries again", "err", err)
			return // the next step tries again, until the deletion is confirmed
		}
		for _, machine := range batch {
			p.Cluster.MachineTerminated(machine)
			if request, isEmpty := p.requests.removeMachine(machine); isEmpty {
				p.removeRequest(ctx, request)
			}
		}
	}
}

// consolidate searches for a machine whose services the other machines can run without new machines, and
// starts its consolidation.
func (p *Provisioner) consolidate() {
	now := time.Now()
	if now.Sub(p.lastConsolidationSearch) < consolidateInterval {
		return
	}
	p.lastConsolidationSearch = now
	for _, candidate := range p.Cluster.ConsolidationCandidates(now) {
		if p.isRedundant(candidate, now) {
			p.Cluster.Consolidate(candidate.Name, now)
			return
		}
	}
}

// isRedundant reports whether the other machines that are up have capacity for the services of a machine.
func (p *Provisioner) isRedundant(candidate provisioning.ConsolidationCandidate, now time.Time) bool {
	demands, machines, types := p.Cluster.CapacityDemands(now)
	others := slices.DeleteFunc(machines, func(machine placement.Instance) bool {
		return machine.Name == candidate.Name || machine.Pending
	})
	wanted, _ := placement.PlanScaleOut(slices.Concat(candidate.Needs, demands), others, types, acceptAnyOffer)
	return len(wanted) == 0
}
