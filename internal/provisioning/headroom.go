package provisioning

import (
	"maps"
	"math"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// youngSamples is up to how many samples too little is known, right after a takeover, to rent by them.
const youngSamples = 60

// headroomDemands is the capacity to hold free: some for critical work, and as much as they lately
// wanted for classes that are to start sooner than a machine boots.
func (p *Planner) headroomDemands() (demands []placement.Demand) {
	for _, class := range slices.Sorted(maps.Keys(p.usage.classes)) {
		if demand := p.headroomOf(class, p.usage.classes[class]); demand.Count > 0 {
			demands = append(demands, demand)
		}
	}
	return demands
}

// headroomOf is the headroom of one class; none if its count is not above 0.
func (p *Planner) headroomOf(class string, usage *classUsage) placement.Demand {
	demand := placement.Demand{Request: usage.request, Headroom: true}
	current := max(usage.runningNow, usage.wantedNow)
	switch {
	case usage.critical:
		demand.Count = max(1, int(math.Ceil(p.Settings.Operator.SpareShare*float64(usage.runningNow))))
		demand.Spread, demand.Preempt, demand.ReclaimableShare = true, true, 1
	case usage.shape == record.Array && p.hasObjective(class):
		demand.Count = min(usage.highWatermark()-current, p.affordableHeadroom(usage))
	case p.startsBeforeProvisioning(class, usage):
		demand.NoScaleOut = len(usage.wanted) < youngSamples
		demand.Count = usage.expectedConcurrency() - current
		if demand.NoScaleOut {
			demand.Count = 2 * (usage.wantedNow + 1)
		}
		demand.Preempt, demand.ReclaimableShare = usage.shape == record.Gang, 1
	}
	return demand
}

// hasObjective tells whether the settings expect anything of the class.
func (p *Planner) hasObjective(class string) bool {
	return slices.ContainsFunc(p.Settings.Params.Objectives, func(objective config.Objective) bool {
		return objective.Class == class || objective.Kind == config.ObjectiveGuarantee
	})
}

// mostTasksOfAMachine bounds how many tasks one machine is taken to hold.
const mostTasksOfAMachine = 1000

// affordableHeadroom is how many tasks of a class capacity may be kept for, at a small share of what the
// fleet costs.
func (p *Planner) affordableHeadroom(usage *classUsage) int {
	fleet := 0.0
	for _, machine := range p.Machines.Machines {
		fleet += p.machinePrice(machine)
	}
	cheapest := math.Inf(1)
	for _, offer := range p.Capacity.Types() {
		fitting := offer.Capacity().CountFitting(usage.request.Resources, mostTasksOfAMachine)
		if fitting > 0 && usage.mayUse(offer) {
			cheapest = min(cheapest, offer.Price/float64(fitting))
		}
	}
	return int(p.Settings.Operator.BurstCostShare * fleet / cheapest)
}

// mayUse tells whether the class may use a machine type.
func (u *classUsage) mayUse(offer *placement.InstanceType) bool {
	return u.request.InstanceTypes == nil || u.request.Allows(offer.Label, u.request.Zone, false)
}

// minPullRate is assumed, in GB a second, of a machine type that names none.
const minPullRate = 0.01

// startsBeforeProvisioning tells whether a class is to start before a new machine could be up with its
// image.
func (p *Planner) startsBeforeProvisioning(class string, usage *classUsage) bool {
	fastest := math.Inf(1)
	for _, offer := range p.Capacity.Types() {
		if offer.Capacity().Holds(usage.request.Resources) && usage.mayUse(offer) {
			fastest = min(fastest, float64(offer.BootS)+usage.request.ImageGB/max(offer.PullGBPerS, minPullRate))
		}
	}
	return slices.ContainsFunc(p.Settings.Params.Objectives, func(objective config.Objective) bool {
		return objective.Kind == config.ObjectiveWait && objective.Class == class && float64(objective.WithinS) < fastest
	})
}
