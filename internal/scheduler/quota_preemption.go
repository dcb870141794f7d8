package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// quotaPreemptor stops tasks of a team to free quota for more urgent tasks of the same team.
type quotaPreemptor struct {
	*State
	cluster      Cluster
	reservations quotaReservations
}

// unlimited replaces a limit that the settings do not specify.
const unlimited = 1e12

// preemptFor stops lower-priority tasks of a job's team if the job has high or critical priority and is
// pending only because of the team's quota. It reports whether that frees enough quota. Tasks that are
// already being stopped count as freed.
func (q *quotaPreemptor) preemptFor(job *workload.Job, tasks int, now time.Time) bool {
	if job.EffectivePriority() < record.High || !q.cluster.StoreAvailable() || job.Suspect() {
		return false
	}
	spec := &job.Record.Spec
	team, _ := q.Settings.Team(spec.Team)
	excess := quotaExcess(team, q.Quota.Usage(spec.Team).Plus(spec.Resources.Times(float64(tasks))))
	left, excess, victims := q.quotaVictims(job, team, excess)
	if fitting := left.CountFitting(spec.Resources, tasks); fitting > 0 && (fitting == tasks || spec.JobType != record.Gang) {
		q.reservations.set(job, spec.Resources.Times(float64(fitting)), now)
	}
	slices.SortFunc(victims, func(x, y *workload.Assignment) int { return compareQuotaVictims(x, y, now) })
	reason := fmt.Sprintf("its team is at its limit and %s (%s) goes first", spec.ID, job.EffectivePriority())
	for _, victim := range victims {
		if !anyPositive(excess) {
			break
		}
		need := victim.Job.Record.Spec.Resources
		if excess.Cores > 0 && need.Cores > 0 || excess.Accels > 0 && need.Accels > 0 {
			excess = excess.Minus(need)
			q.cluster.Stop(victim, victim.CheckpointGrace(), reason)
		}
	}
	return !anyPositive(excess)
}

// anyPositive reports whether the amount of cores or accelerators, the resources with limits, is above zero.
func anyPositive(amount placement.Resources) bool { return amount.Cores > 0 || amount.Accels > 0 }

// quotaExcess returns how far usage exceeds a team's limits. Negative amounts are below the limits.
func quotaExcess(team config.Team, usage placement.Resources) placement.Resources {
	usage.Cores -= team.CPUsMax
	usage.Accels -= team.GPUsMax
	if team.CPUsMax == 0 {
		usage.Cores = 0
	}
	if team.GPUsMax == 0 {
		usage.Accels = 0
	}
	return usage
}

// quotaVictims examines the tasks of a job's team. left is the quota that tasks of the job's priority or
// higher leave free. victims are the lower-priority tasks that may be stopped. remaining is the excess
// minus the resources of lower-priority tasks that are already being stopped.
func (q *quotaPreemptor) quotaVictims(job *workload.Job, team config.Team, excess placement.Resources) (left, remaining placement.Resources, victims []*workload.Assignment) {
	left = placement.Resources{Cores: team.CPUsMax, Accels: team.GPUsMax, RAM: unlimited}
	if team.CPUsMax == 0 {
		left.Cores = unlimited
	}
	if team.GPUsMax == 0 {
		left.Accels = unlimited
	}
	for _, other := range q.Jobs.All() {
		need := other.Record.Spec.Resources
		switch {
		case other.Record.Spec.Team != job.Record.Spec.Team:
			continue
		case other.EffectivePriority() >= job.EffectivePriority():
			left = left.Minus(need.Times(float64(len(other.Assignments))))
			continue
		}
		for _, assignment := range other.Assignments {
			if assignment.Stopping {
				excess = excess.Minus(need)
			} else if !assignment.ProtectedFrom(job) {
				victims = append(victims, assignment)
			}
		}
	}
	return left, excess, victims
}

// compareQuotaVictims orders victims by priority, lowest first, then by lost progress, least first.
func compareQuotaVictims(x, y *workload.Assignment, now time.Time) int {
	order := cmp.Or(cmp.Compare(x.Job.EffectivePriority(), y.Job.EffectivePriority()),
		cmp.Compare(x.PreemptionCost(now), y.PreemptionCost(now)))
	if order != 0 {
		return order
	}
	return cmp.Compare(x.Task().String(), y.Task().String())
}

// preemptForOtherShards implements Scheduler.PreemptForOtherShards.
func (q *quotaPreemptor) preemptForOtherShards() {
	if q.Settings.ShardCount() == 1 || !q.cluster.StoreAvailable() {
		return
	}
	for _, team := range q.Settings.Params.Teams {
		amount, rank, owed := q.Quota.ReclaimNeeded(team.Name)
		if priority := record.Priority(rank.Priority); owed && priority >= record.High {
			q.preemptBelowPriority(team.Name, priority, amount.Resources())
		}
	}
}

// preemptBelowPriority stops tasks of a team that have a lower priority than the given one until the wanted
// resources are freed. Tasks that are already being stopped count as freed.
func (q *quotaPreemptor) preemptBelowPriority(team string, priority record.Priority, wanted placement.Resources) {
	var victims []*workload.Assignment
	for _, job := range q.Jobs.Ordered() {
		if job.Record.Spec.Team != team || job.EffectivePriority() >= priority {
			continue
		}
		for _, i := range workload.SortedTasks(job.Assignments) {
			if assignment := job.Assignments[i]; assignment.Stopping {
				wanted = wanted.Minus(job.Record.Spec.Resources)
			} else {
				victims = append(victims, assignment)
			}
		}
	}
	now := time.Now()
	slices.SortStableFunc(victims, func(x, y *workload.Assignment) int { return compareRoundedLoss(x, y, now) })
	for _, victim := range victims {
		if !anyPositive(wanted) {
			return
		}
		wanted = wanted.Minus(victim.Job.Record.Spec.Resources)
		q.cluster.Stop(victim, victim.CheckpointGrace(), "its team's limit is needed in another shard")
	}
}

// compareRoundedLoss orders victims by priority and loss like compareQuotaVictims, but treats losses that
// differ by less than a thousandth of a core-second as equal.
func compareRoundedLoss(x, y *workload.Assignment, now time.Time) int {
	return cmp.Or(cmp.Compare(x.Job.EffectivePriority(), y.Job.EffectivePriority()),
		int(1000*(x.PreemptionCost(now)-y.PreemptionCost(now))))
}
