package provisioning

import (
	"maps"
	"math"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/estimate"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// headroomPlanner computes the capacity to keep free: a share of the running tasks for critical classes,
// and an amount based on recent usage for arrays whose class has an objective and for classes whose tasks
// must start sooner than a machine boots.
type headroomPlanner struct {
	*State
	usage *usageHistory
}

// minSamples is the minimum number of samples of a class for machines to be provisioned for the class's
// headroom. There are fewer after a takeover, for example.
const minSamples = 60

// demands returns the headroom of all classes, sorted by class.
func (h *headroomPlanner) demands() (demands []placement.Demand) {
	for _, class := range slices.Sorted(maps.Keys(h.usage.classes)) {
		if demand := h.demandOf(class, h.usage.classes[class]); demand.Count > 0 {
			demands = append(demands, demand)
		}
	}
	return demands
}

// demandOf returns the headroom demand of one class. Its count is 0 or less if the class needs none.
func (h *headroomPlanner) demandOf(class string, usage *classUsage) placement.Demand {
	demand := placement.Demand{Request: usage.request, Headroom: true}
	current := max(usage.runningNow, usage.wantedNow)
	switch {
	case usage.critical:
		demand.Count = max(1, int(math.Ceil(h.Settings.Operator.SpareShare*float64(usage.runningNow))))
		demand.Spread, demand.Preempt, demand.ReclaimableShare = true, true, 1
	case usage.jobType == record.Array && hasObjective(h.Settings.Params.Objectives, class):
		demand.Count = min(usage.wantedPercentile90()-current, h.affordableTasks(usage))
	case h.startsBeforeProvisioning(class, usage):
		demand.NoScaleOut = len(usage.wanted) < minSamples
		demand.Count = usage.expectedConcurrency() - current
		if demand.NoScaleOut {
			demand.Count = 2 * (usage.wantedNow + 1)
		}
		demand.Preempt, demand.ReclaimableShare = usage.jobType == record.Gang, 1
	}
	return demand
}

// hasObjective reports whether an objective applies to a class. Guarantee objectives apply to all classes.
func hasObjective(objectives []config.Objective, class string) bool {
	return slices.ContainsFunc(objectives, func(objective config.Objective) bool {
		return objective.Class == class || objective.Kind == config.ObjectiveGuarantee
	})
}

// maxTasksPerMachine is the maximum number of tasks that are counted for one machine.
const maxTasksPerMachine = 1000

// affordableTasks returns the maximum number of tasks of a class for which headroom may be kept, so that
// the headroom costs at most the configured share (BurstCostShare) of the fleet's price.
func (h *headroomPlanner) affordableTasks(usage *classUsage) int {
	fleetPrice := 0.0
	for _, machine := range h.Machines.Machines {
		fleetPrice += h.machinePrice(machine)
	}
	cheapest := math.Inf(1)
	for _, offer := range h.Capacity.Types() {
		fitting := offer.Capacity().CountFitting(usage.request.Resources, maxTasksPerMachine)
		if fitting > 0 && usage.mayUse(offer) {
			cheapest = min(cheapest, offer.Price/float64(fitting))
		}
	}
	return int(h.Settings.Operator.BurstCostShare * fleetPrice / cheapest)
}

// startsBeforeProvisioning reports whether an objective requires tasks of the class to start sooner than
// the fastest new machine could boot and pull their image.
func (h *headroomPlanner) startsBeforeProvisioning(class string, usage *classUsage) bool {
	fastest := math.Inf(1)
	for _, offer := range h.Capacity.Types() {
		if offer.Capacity().Holds(usage.request.Resources) && usage.mayUse(offer) {
			fastest = min(fastest, float64(offer.BootS)+estimate.PullSeconds(offer, usage.request.ImageGB))
		}
	}
	return slices.ContainsFunc(h.Settings.Params.Objectives, func(objective config.Objective) bool {
		return objective.Kind == config.ObjectiveWait && objective.Class == class && float64(objective.WithinS) < fastest
	})
}
