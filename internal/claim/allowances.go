package claim

import (
	"context"

	"github.com/pebbletrail/pebbletrail/internal/state"

	"maps"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// processStart is from when this process's settings are.
var processStart = ids.WallOf(time.Now())

// LastGenerationRevision is the generation's revision that this leader's writes depend on.
func (c *Committer) LastGenerationRevision() ids.Revision {
	c.writeSlot <- struct{}{}
	defer func() { <-c.writeSlot }()
	return c.GenerationRevision
}

// LoadAllowances takes in the ledgers read at a takeover.
func (c *ClusterState) LoadAllowances(entries []state.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quota.Load(entries)
}

// HandleAllowanceChange takes in news of a ledger.
func (c *ClusterState) HandleAllowanceChange(change state.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quota.Learn(change)
	signal(c.planSignal)
}

// ExchangeAllowances moves allowances between the shards until the context ends, under a condition
// that each write carries.
func (c *ClusterState) ExchangeAllowances(ctx context.Context, store *state.Client, fence func() state.Condition, interval time.Duration) {
	quota.NewExchange(c.quota, store, &c.mu, fence).Run(ctx, interval)
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
