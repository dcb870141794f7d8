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

// planningPass is one planning pass and what it has learned so far, which spares jobs with the same
// needs a search of their own.
type planningPass struct {
	now time.Time
	// noCapacity are the needs for which no machine has room.
	noCapacity map[placementKey][]placement.Resources
	// noVictims are the needs for which preemption can't free room on any machine.
	noVictims map[preemptionKey][]placement.Resources
	// preemptible are the nodes on which jobs may preempt something.
	preemptible      map[preemptionKey][]*capacity.Node
	machinesExamined int
	// quotaDemands are, by team, the tasks that are pending only because of the team's allowance.
	quotaDemands map[string]quota.Demand
}

func newPlanningPass(now time.Time) *planningPass {
	return &planningPass{
		now:          now,
		noCapacity:   map[placementKey][]placement.Resources{},
		noVictims:    map[preemptionKey][]placement.Resources{},
		preemptible:  map[preemptionKey][]*capacity.Node{},
		quotaDemands: map[string]quota.Demand{},
	}
}

// dropFindings drops what may have changed while the lock was released.
func (p *planningPass) dropFindings() {
	clear(p.noCapacity)
	clear(p.preemptible)
	clear(p.noVictims)
}

// addQuotaDemand records that tasks of a job are pending only because of its team's allowance. The job
// that is first to be planned gives the demand of the team its unit and rank.
func (p *planningPass) addQuotaDemand(job *workload.Job, tasks int) {
	spec := &job.Record.Spec
	unit := spec.Resources
	if spec.Shape == record.Gang {
		unit = spec.Resources.Times(float64(tasks))
	}
	demand, found := p.quotaDemands[spec.Team]
	if !found {
		demand.Unit = quota.AmountOf(unit)
		demand.Rank = quota.Rank{Guaranteed: job.Guaranteed, Priority: int(job.EffectivePriority()), Since: job.Record.EligibleSince()}
	}
	demand.Total = demand.Total.Plus(quota.AmountOf(spec.Resources.Times(float64(tasks))))
	p.quotaDemands[spec.Team] = demand
}

// placementKey is what determines, besides the resources, which machines a request may use.
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

// preemptionKey is what determines, besides the resources, on which machines a job may preempt others.
type preemptionKey struct {
	priority   record.Priority
	guaranteed bool
	team       string // of a guaranteed job
	image      string // only machines that have it cached; empty: all
	placementKey
}

func preemptionKeyOf(job *workload.Job, request *placement.Request) preemptionKey {
	key := preemptionKey{priority: job.EffectivePriority(), guaranteed: job.Guaranteed, placementKey: placementKeyOf(request)}
	if job.Guaranteed {
		key.team = job.Record.Spec.Team
	}
	return key
}

// covered reports whether need includes an amount that is known to be unavailable.
func covered(unavailable []placement.Resources, need placement.Resources) bool {
	return slices.ContainsFunc(unavailable, func(amount placement.Resources) bool { return need.Holds(amount) })
}
