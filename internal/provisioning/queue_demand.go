package provisioning

import (
	"math"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// queuePlanner computes the capacity that queued jobs need.
type queuePlanner struct{ *State }

// demandGroup is the key of a group of jobs whose demands are summed.
type demandGroup struct {
	class      string
	guaranteed bool
	need       placement.Resources
	zone       string
	types      string
	job        ids.Job // set only for a job whose tasks must share a zone; it forms a group of its own
}

// slotRoundingTolerance is subtracted from a sum of slots before it is rounded up, to compensate for
// floating-point error.
const slotRoundingTolerance = 0.01

// demands returns the demands of the queued jobs, most important first. There is one demand for each group
// of similar jobs: rounding up the demand of every small job separately would provision a machine for each.
// The demand of a group is one slot at least, however short its tasks are estimated to be.
func (q *queuePlanner) demands(now time.Time) (demands []placement.Demand) {
	sums := map[demandGroup]float64{}
	positions := map[demandGroup]int{}
	meanEstimates := q.meanEstimates()
	for _, job := range q.Scheduler.Ranked(now) {
		slots, reclaimable := q.unmetSlots(job, meanEstimates, now)
		if slots <= 0 {
			continue
		}
		request, group := q.groupOf(job)
		if _, known := positions[group]; !known {
			positions[group] = len(demands)
			demands = append(demands, placement.Demand{Request: request, Spread: job.Record.Spec.Spread,
				SameZone: group.job != "" && request.Zone == "", Preempt: job.EffectivePriority() >= record.High, ReclaimableShare: reclaimable})
		}
		sums[group] += slots
	}
	for group, position := range positions {
		demands[position].Count = max(1, int(math.Ceil(sums[group]-slotRoundingTolerance)))
	}
	return demands
}

// unmetSlots returns the number of task slots that a job's queued tasks need. Several short tasks can use
// one slot in turn within the job's queue horizon. reclaimable is the share of the capacity now in use that
// will be free for the queued tasks within the horizon. It depends on the duration of the running tasks of
// the same class and not only on that of the queued tasks.
func (q *queuePlanner) unmetSlots(job *workload.Job, meanEstimates map[string]float64, now time.Time) (slots, reclaimable float64) {
	if job.Failing() || job.RecordFull() {
		return 0, 0
	}
	spec := &job.Record.Spec
	queued := job.Unfinished() - len(job.Assignments) - job.CountBackingOff(now)
	queued = min(queued, q.Scheduler.TasksWithinQuota(spec, max(queued, 0)))
	if queued <= 0 {
		return 0, 0
	}
	slots, reclaimable = float64(queued), 1
	if perSlot := job.TasksPerMachine; perSlot > 1 {
		slots = math.Ceil(slots / float64(perSlot))
	}
	estimate := float64(spec.EstimatedDuration)
	if estimate <= 0 {
		return slots, reclaimable
	}
	horizon := q.Estimates.QueueHorizon(job)
	if spec.JobType == record.Array || spec.JobType == record.Gang && spec.Tasks == 1 {
		taskSeconds := estimate
		if spec.JobType == record.Gang {
			taskSeconds += q.Estimates.ImagePullSeconds(spec) / 2 // about half of the tasks must pull the image
		}
		slots *= min(1, taskSeconds/horizon)
	}
	return slots, min(1, horizon/max(meanEstimates[spec.Class], estimate))
}

// meanEstimates returns, by class, the mean estimated duration of the assigned tasks in seconds.
func (q *queuePlanner) meanEstimates() map[string]float64 {
	sum, count := map[string]float64{}, map[string]float64{}
	for _, job := range q.Jobs.Ordered() {
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

// groupOf returns a job's placement request and the group that its demand belongs to. If all tasks of the
// job must share a zone and some are already assigned, the request names their zone.
func (q *queuePlanner) groupOf(job *workload.Job) (placement.Request, demandGroup) {
	spec := &job.Record.Spec
	request := spec.PlacementRequest()
	if perSlot := job.TasksPerMachine; perSlot > 1 {
		request.Resources = spec.Resources.Times(float64(perSlot)) // one slot for the tasks that must share a machine
	}
	group := demandGroup{class: spec.Class, guaranteed: job.Guaranteed, need: request.Resources, types: strings.Join(spec.InstanceTypes, ",")}
	if spec.SingleZone && spec.Tasks > 1 {
		group.job = spec.ID
		for _, assignment := range job.Assignments {
			if machine := q.Machines.Machines[assignment.Machine]; machine != nil && machine.Zone != "" {
				request.Zone = machine.Zone
			}
		}
	}
	group.zone = request.Zone
	return request, group
}
