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
)

// processStart is from when this process's settings are.
var processStart = ids.WallOf(time.Now())

// exchangeEvery spaces the looks at what allowance to move.
const exchangeEvery = 100 * time.Millisecond

// loadAllowances reads the ledgers after the takeover's commit. News of them has been
// followed since before it.
func (p *Pool) loadAllowances(ctx context.Context, t *Term) error {
	entries, _, err := p.State.ListAll(ctx, quota.Prefix, state.Urgent)
	if err != nil {
		return err
	}
	b := t.Cluster
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quota.Load(entries)
	return nil
}

// exchangeAllowances moves allowances between the shards until the term ends.
func (p *Pool) exchangeAllowances(ctx context.Context, t *Term) {
	fence := func() state.Condition {
		return state.Condition{Key: p.keys.Generation(), Revision: t.Committer.generationRevision()}
	}
	quota.NewExchange(t.Cluster.quota, p.State, &t.Cluster.mu, fence).Run(ctx, exchangeEvery)
}

// generationRevision is the generation's revision that this leader's writes depend on.
func (c *Committer) generationRevision() ids.Revision {
	c.turn <- struct{}{}
	defer func() { <-c.turn }()
	return c.GenStamp
}

// learnAllowance takes in news of a ledger.
func (p *Pool) learnAllowance(ch state.Change) {
	b := p.Cluster()
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quota.Learn(ch)
	poke(b.wakePlan)
}

// lacks notes that only its team's allowance keeps n tasks of a job from starting.
func (ps *pass) lacks(j *Job, n int) {
	s := &j.Rec.Spec
	unit := s.Need
	if s.Shape == record.Gang {
		unit = s.Need.Times(float64(n))
	}
	demand, found := ps.demands[s.Team]
	if !found {
		demand.Unit = quota.AmountOf(unit)
		demand.Rank = quota.Rank{Guaranteed: j.guaranteed, Priority: int(j.priority()), Since: j.Rec.Since()}
	}
	demand.Total = demand.Total.Plus(quota.AmountOf(s.Need.Times(float64(n))))
	ps.demands[s.Team] = demand
}

// stopForOtherShards stops lesser work of teams whose allowance a more urgent demand of another shard
// is owed.
func (b *ClusterState) stopForOtherShards() {
	if b.set.Shards() == 1 || !b.Storing() {
		return
	}
	for _, team := range b.set.Params.Teams {
		amount, rank, owed := b.quota.Owed(team.Name)
		if owed && record.Priority(rank.Priority) >= record.High {
			b.stopLesser(team.Name, record.Priority(rank.Priority), amount.Room())
		}
	}
}

// stopLesser stops work of a team below a priority until it frees what is named. What is
// being stopped already counts.
func (b *ClusterState) stopLesser(team string, below record.Priority, free placement.Room) {
	var victims []*Place
	for _, j := range b.line {
		if j.Rec.Spec.Team != team || j.priority() >= below {
			continue
		}
		for _, i := range slices.Sorted(maps.Keys(j.places)) {
			if p := j.places[i]; p.stopping {
				free = free.Minus(j.Rec.Spec.Need)
			} else {
				victims = append(victims, p)
			}
		}
	}
	now := time.Now()
	slices.SortStableFunc(victims, func(x, y *Place) int {
		if x.Job.priority() != y.Job.priority() {
			return int(x.Job.priority()) - int(y.Job.priority())
		}
		return int(1000 * (x.lossIfStopped(now) - y.lossIfStopped(now)))
	})
	for _, p := range victims {
		if free.Cores <= 0 && free.Accels <= 0 {
			return
		}
		free = free.Minus(p.Job.Rec.Spec.Need)
		b.stop(p, p.leewayWanted(), "its team's limit is needed in another shard")
	}
}

// QuotaFaults tells of each team that gets no new grants why.
func (b *ClusterState) QuotaFaults() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quota.Faults()
}
