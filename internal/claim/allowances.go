package claim

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// processStart is from when this process's settings are.
var processStart = ids.WallOf(time.Now())

// exchangeInterval spaces the looks at what allowance to move.
const exchangeInterval = 100 * time.Millisecond

// loadAllowances reads the ledgers after the takeover's commit. News of them has been
// followed since before it.
func (e *Elector) loadAllowances(ctx context.Context, term *Term) error {
	entries, _, err := e.State.ListAll(ctx, quota.Prefix, state.Urgent)
	if err != nil {
		return err
	}
	cluster := term.Cluster
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.quota.Load(entries)
	return nil
}

// exchangeAllowances moves allowances between the shards until the term ends.
func (e *Elector) exchangeAllowances(ctx context.Context, term *Term) {
	fence := func() state.Condition {
		return state.Condition{Key: e.keys.Generation(), Revision: term.Committer.generationRevision()}
	}
	quota.NewExchange(term.Cluster.quota, e.State, &term.Cluster.mu, fence).Run(ctx, exchangeInterval)
}

// generationRevision is the generation's revision that this leader's writes depend on.
func (c *Committer) generationRevision() ids.Revision {
	c.writeSlot <- struct{}{}
	defer func() { <-c.writeSlot }()
	return c.GenerationRevision
}

// handleAllowanceChange takes in news of a ledger.
func (e *Elector) handleAllowanceChange(change state.Change) {
	cluster := e.Cluster()
	if cluster == nil {
		return
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.quota.Learn(change)
	signal(cluster.planSignal)
}

// addUnmetDemand notes that only its team's allowance keeps n tasks of a job from starting.
func (pass *planningPass) addUnmetDemand(job *workload.Job, n int) {
	spec := &job.Record.Spec
	unit := spec.Need
	if spec.Shape == record.Gang {
		unit = spec.Need.Times(float64(n))
	}
	demand, found := pass.demands[spec.Team]
	if !found {
		demand.Unit = quota.AmountOf(unit)
		demand.Rank = quota.Rank{Guaranteed: job.Guaranteed, Priority: int(job.EffectivePriority()), Since: job.Record.Since()}
	}
	demand.Total = demand.Total.Plus(quota.AmountOf(spec.Need.Times(float64(n))))
	pass.demands[spec.Team] = demand
}

// preemptForOtherShards stops lesser work of teams whose allowance a more urgent demand of another shard
// is owed.
func (c *ClusterState) preemptForOtherShards() {
	if c.settings.Shards() == 1 || !c.StoreAvailable() {
		return
	}
	for _, team := range c.settings.Params.Teams {
		amount, rank, owed := c.quota.Owed(team.Name)
		if owed && record.Priority(rank.Priority) >= record.High {
			c.preemptLowerPriority(team.Name, record.Priority(rank.Priority), amount.Room())
		}
	}
}

// preemptLowerPriority stops work of a team below a priority until it frees what is named. What is
// being stopped already counts.
func (c *ClusterState) preemptLowerPriority(team string, below record.Priority, free placement.Room) {
	var victims []*workload.Assignment
	for _, job := range c.jobs.Ordered() {
		if job.Record.Spec.Team != team || job.EffectivePriority() >= below {
			continue
		}
		for _, i := range slices.Sorted(maps.Keys(job.Assignments)) {
			if assignment := job.Assignments[i]; assignment.Stopping {
				free = free.Minus(job.Record.Spec.Need)
			} else {
				victims = append(victims, assignment)
			}
		}
	}
	now := time.Now()
	slices.SortStableFunc(victims, func(x, y *workload.Assignment) int {
		if x.Job.EffectivePriority() != y.Job.EffectivePriority() {
			return int(x.Job.EffectivePriority()) - int(y.Job.EffectivePriority())
		}
		return int(1000 * (x.PreemptionCost(now) - y.PreemptionCost(now)))
	})
	for _, assignment := range victims {
		if free.Cores <= 0 && free.Accels <= 0 {
			return
		}
		free = free.Minus(assignment.Job.Record.Spec.Need)
		c.stopAssignment(assignment, assignment.CheckpointGrace(), "its team's limit is needed in another shard")
	}
}

// QuotaFaults tells of each team that gets no new grants why.
func (c *ClusterState) QuotaFaults() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quota.Faults()
}
