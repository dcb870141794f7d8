package provisioning

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Demands is what the fleet should provide, most important first.
func (p *Planner) Demands(now time.Time) []placement.Demand {
	demands := append(p.queueDemands(now), p.Rollouts.SurgeDemands()...)
	if !p.shortage.ofOthers {
		demands = append(demands, p.headroomDemands()...)
	}
	return demands
}

// Types are the machine types that the cloud offers, by name.
func (p *Planner) Types() []*placement.InstanceType {
	return slices.SortedFunc(maps.Values(p.Capacity.Types()), func(x, y *placement.InstanceType) int { return cmp.Compare(x.Label, y.Label) })
}

// Instances are the machines that are up or on their way, by name, as scale-out and scale-in see them.
func (p *Planner) Instances(now time.Time) (instances []placement.Instance) {
	replaced := p.replacedBoots(now)
	for _, machine := range p.Machines.Sorted() {
		offer := p.Capacity.Type(machine.Type)
		if offer == nil || machine.Failed || machine.Deleting || machine.DrainReason != "" || !machine.SpotTerminationAt.IsZero() {
			continue
		}
		if machine.HasReported && !machine.Schedulable(now, p.reportInterval()) || machine.Name == p.consolidation.machine {
			continue
		}
		instance := placement.Instance{Name: machine.Name, Type: offer, Zone: machine.Zone, Spot: machine.Spot,
			Pending: !machine.HasReported, Overdue: replaced[machine.Name], Free: offer.Capacity(), Idle: machine.HasReported}
		if node := p.Capacity.Node(machine.Name); node != nil {
			instance.Free = instance.Free.Minus(node.Used)
			instance.Reclaimable = node.Reclaimable
			instance.Idle = machine.HasReported && len(node.Assignments) == 0
		}
		instances = append(instances, instance)
	}
	return instances
}

// unmetSlots is how many machines' slots a job's queued tasks call for, as a fraction of each, and the
// share of the capacity in use now that will be free for them in time: that hangs on how long what runs
// there takes (by class), not only on how short the waiting job is.
func (p *Planner) unmetSlots(job *workload.Job, meanEstimates map[string]float64, now time.Time) (slots, reclaimable float64) {
	if job.Failing() {
		return 0, 0
	}
	spec := &job.Record.Spec
	queued := job.Unfinished() - len(job.Assignments) - job.CountBackingOff(now)
	queued = min(queued, p.Scheduler.QuotaLeft(spec, max(queued, 0)))
	if queued <= 0 {
		return 0, 0
	}
	slots, reclaimable = float64(queued), 1
	estimate := float64(spec.EstimatedDuration)
	if estimate <= 0 {
		return slots, reclaimable
	}
	horizon := p.Estimates.QueueHorizon(job)
	if spec.Shape == record.Array || spec.Shape == record.Gang && spec.Tasks == 1 {
		takes := estimate
		if spec.Shape == record.Gang {
			takes += p.Estimates.ImagePullSeconds(spec) / 2 // about every second one has to pull
		}
		slots *= min(1, takes/horizon)
	}
	return slots, min(1, horizon/max(meanEstimates[spec.Class], estimate))
}

// meanEstimates is the mean estimate, in seconds, of the tasks that each class has on machines.
func (p *Planner) meanEstimates() map[string]float64 {
	sum, count := map[string]float64{}, map[string]float64{}
	for _, job := range p.Jobs.Ordered() {
		if assigned := float64(len(job.Assignments)); assigned > 0 {
			spec := &job.Record.Spec
			sum[spec.Class] += assigned * float64(spec.EstimatedDuration)
			count[spec.Class] += assigned
		}
	}
	for class := range sum {
		sum[class] /= count[class]
	}
	return sum
}

// demandGroup is what jobs whose demands are added up have in common.
type demandGroup struct {
	class      string
	guaranteed bool
	need       placement.Resources
	zone       string
	types      string
	job        ids.Job // of those that need a zone of their own choice
}

// roundingError is what a sum of fractions may be too large by.
const roundingError = 0.01

// queueDemands adds up what the jobs of a class want: rounding each job up would rent a machine for
// every small one.
func (p *Planner) queueDemands(now time.Time) (demands []placement.Demand) {
	sums := map[demandGroup]float64{}
	positions := map[demandGroup]int{}
	meanEstimates := p.meanEstimates()
	for _, job := range p.Scheduler.Ranked(now) {
		slots, reclaimable := p.unmetSlots(job, meanEstimates, now)
		if slots <= 0 {
			continue
		}
		request, group := p.groupOf(job)
		if _, known := positions[group]; !known {
			positions[group] = len(demands)
			demands = append(demands, placement.Demand{Request: request, Spread: job.Record.Spec.Spread,
				SameZone: group.job != "" && request.Zone == "", Preempt: job.EffectivePriority() >= record.High, ReclaimableShare: reclaimable})
		}
		sums[group] += slots
	}
	for group, position := range positions {
		demands[position].Count = int(math.Ceil(sums[group] - roundingError))
	}
	return demands
}

// groupOf is a job's request, in the zone where the rest of it is if all must be in one, and the group
// that it belongs to.
func (p *Planner) groupOf(job *workload.Job) (placement.Request, demandGroup) {
	spec := &job.Record.Spec
	request := spec.PlacementRequest()
	group := demandGroup{class: spec.Class, guaranteed: job.Guaranteed, need: spec.Resources, types: strings.Join(spec.InstanceTypes, ",")}
	if spec.SingleZone && spec.Tasks > 1 {
		group.job = spec.ID
		for _, assignment := range job.Assignments {
			if machine := p.Machines.Machines[assignment.Machine]; machine != nil && machine.Zone != "" {
				request.Zone = machine.Zone
			}
		}
	}
	group.zone = request.Zone
	return request, group
}

// machinePrice is what a machine costs an hour; 0 of a type that is not known.
func (p *Planner) machinePrice(machine *worker.Machine) float64 {
	if offer := p.Capacity.Type(machine.Type); offer != nil {
		return offer.HourlyPrice(machine.Spot)
	}
	return 0
}
