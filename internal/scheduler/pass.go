package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Pass is what one planning pass has found out so far, so that jobs alike do not find it out again.
type Pass struct {
	now time.Time
	// noCapacity are needs for which no machine has room, noVictims those for which preempting others
	// frees nothing.
	noCapacity       map[placementKey][]placement.Resources
	noVictims        map[preemptionKey][]placement.Resources
	preemptible      map[preemptionKey][]*capacity.Node
	machinesExamined int
	// quotaDemands are, by team, the tasks that only the team's allowance holds back.
	quotaDemands map[string]quota.Demand
}

func newPass(now time.Time) *Pass {
	return &Pass{now: now, noCapacity: map[placementKey][]placement.Resources{}, noVictims: map[preemptionKey][]placement.Resources{},
		preemptible: map[preemptionKey][]*capacity.Node{}, quotaDemands: map[string]quota.Demand{}}
}

// forget drops what may be otherwise once others had the cluster state.
func (p *Pass) forget() {
	clear(p.noCapacity)
	clear(p.preemptible)
	clear(p.noVictims)
}

// addQuotaDemand notes that only its team's allowance keeps n tasks of a job from starting.
func (p *Pass) addQuotaDemand(job *workload.Job, n int) {
	spec := &job.Record.Spec
	unit := spec.Resources
	if spec.Shape == record.Gang {
		unit = spec.Resources.Times(float64(n))
	}
	demand, found := p.quotaDemands[spec.Team]
	if !found {
		demand.Unit = quota.AmountOf(unit)
		demand.Rank = quota.Rank{Guaranteed: job.Guaranteed, Priority: int(job.EffectivePriority()), Since: job.Record.EligibleSince()}
	}
	demand.Total = demand.Total.Plus(quota.AmountOf(spec.Resources.Times(float64(n))))
	p.quotaDemands[spec.Team] = demand
}

// placementKey is what decides, beside the amount, which machines a request may use.
type placementKey struct {
	types, zone       string
	spot, accelerated bool
}

func placementKeyOf(request *placement.Request) placementKey {
	var types strings.Builder
	for _, name := range request.InstanceTypes {
		types.WriteString(name + ",")
	}
	return placementKey{types: types.String(), zone: request.Zone, spot: request.AllowSpot, accelerated: request.Resources.Accels > 0}
}

// covered tells whether one of the amounts known not to be had lies within need.
func covered(known []placement.Resources, need placement.Resources) bool {
	return slices.ContainsFunc(known, func(amount placement.Resources) bool { return need.Holds(amount) })
}
