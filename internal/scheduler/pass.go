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

// planningPass is the state of one planning pass. It caches the results of searches, so that jobs with
// the same requirements need not search again.
type planningPass struct {
	now time.Time
	// noCapacity lists amounts of resources for which no machine has room.
	noCapacity map[placementKey][]placement.Resources
	// noVictims lists amounts of resources that preemption can't free on any machine.
	noVictims map[preemptionKey][]placement.Resources
	// preemptible lists the nodes with tasks that jobs may preempt.
	preemptible      map[preemptionKey][]*capacity.Node
	machinesExamined int
	// quotaDemands holds, by team, the demand of tasks that are pending only because of the team's quota.
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

// clearCachedResults clears the cached search results, which may be outdated after the lock was released.
func (p *planningPass) clearCachedResults() {
	clear(p.noCapacity)
	clear(p.preemptible)
	clear(p.noVictims)
}

// addQuotaDemand records that tasks of a job are pending only because of its team's quota. The first
// such job of a pass determines the unit and the rank of its team's demand.
func (p *planningPass) addQuotaDemand(job *workload.Job, tasks int) {
	spec := &job.Record.Spec
	unit := spec.Resources
	if spec.JobType == record.Gang {
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

// placementKey holds the properties of a request, besides its resources, that determine which machines
// it may use.
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

// preemptionKey holds the properties of a job and its request, besides the resources, that determine on
// which machines the job may preempt others.
type preemptionKey struct {
	priority   record.Priority
	guaranteed bool
	team       string // set only for guaranteed jobs
	image      string // if not empty, only machines that have this image cached
	placementKey
}

func preemptionKeyOf(job *workload.Job, request *placement.Request) preemptionKey {
	key := preemptionKey{priority: job.EffectivePriority(), guaranteed: job.Guaranteed, placementKey: placementKeyOf(request)}
	if job.Guaranteed {
		key.team = job.Record.Spec.Team
	}
	return key
}

// knownUnavailable reports whether need is at least as large, in all resources, as an amount that is known
// to be unavailable.
func knownUnavailable(unavailable []placement.Resources, need placement.Resources) bool {
	return slices.ContainsFunc(unavailable, func(amount placement.Resources) bool { return need.Holds(amount) })
}
