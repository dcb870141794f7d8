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

// quotaPreemptor stops tasks of a team to free quota for more urgent work of the same team.
type quotaPreemptor struct {
	*State
	cluster      Cluster
	reservations quotaReservations
}

// unlimited stands for a limit that the settings leave out.
const unlimited = 1e12

// preemptFor stops lower-priority tasks of a job's team when only the team's quota keeps its high or
// critical tasks from starting, and reports whether that frees enough. Tasks that are being stopped
// already count as freed.
func (q *quotaPreemptor) preemptFor(job *workload.Job, tasks int, now time.Time) bool {
	if job.EffectivePriority() < record.High || !q.cluster.StoreAvailable() || job.Suspect() {
		return false
	}
	spec := &job.Record.Spec
	team, _ := q.Settings.Team(spec.Team)
	excess := quotaExcess(team, q.Quota.Usage(spec.Team).Plus(spec.Resources.Times(float64(tasks))))
	left, excess, victims := q.lesserWork(job, team, excess)
	if fitting := left.CountFitting(spec.Resources, tasks); fitting > 0 && (fitting == tasks || spec.Shape != record.Gang) {
		q.reservations.set(job, spec.Resources.Times(float64(fitting)), now)
	}
	slices.SortFunc(victims, func(x, y *workload.Assignment) int { return compareLesserWork(x, y, now) })
	reason := fmt.Sprintf("its team is at its limit and %s (%s) goes first", spec.ID, job.EffectivePriority())
	for _, victim := range victims {
		if !exceeds(excess) {
			break
		}
		need := victim.Job.Record.Spec.Resources
		if excess.Cores > 0 && need.Cores > 0 || excess.Accels > 0 && need.Accels > 0 {
			excess = excess.Minus(need)
			q.cluster.Stop(victim, victim.CheckpointGrace(), reason)
		}
	}
	return !exceeds(excess)
}

// exceeds reports whether an excess is above zero in cores or accelerators, the resources with limits.
func exceeds(excess placement.Resources) bool { return excess.Cores > 0 || excess.Accels > 0 }

// quotaExcess returns how far usage lies above a team's limits; negative amounts are below them.
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

// lesserWork surveys the work of a job's team. left is the quota beside the team's work of the job's
// priority or higher; remaining is the excess less what is being stopped of its lower-priority work;
// victims are the tasks of that work that may be stopped.
func (q *quotaPreemptor) lesserWork(job *workload.Job, team config.Team, excess placement.Resources) (left, remaining placement.Resources, victims []*workload.Assignment) {
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

// compareLesserWork orders victims: lowest priority first, then least progress lost.
func compareLesserWork(x, y *workload.Assignment, now time.Time) int {
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
			q.preemptBelow(team.Name, priority, amount.Room())
		}
	}
}

// preemptBelow stops tasks of a team below a priority until they free the wanted resources. Tasks that
// are being stopped already count as freed.
func (q *quotaPreemptor) preemptBelow(team string, priority record.Priority, wanted placement.Resources) {
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
		if !exceeds(wanted) {
			return
		}
		wanted = wanted.Minus(victim.Job.Record.Spec.Resources)
		q.cluster.Stop(victim, victim.CheckpointGrace(), "its team's limit is needed in another shard")
	}
}

// compareRoundedLoss orders victims like compareLesserWork, but treats losses as equal that differ by
// less than a thousandth of a core-second.
func compareRoundedLoss(x, y *workload.Assignment, now time.Time) int {
	return cmp.Or(cmp.Compare(x.Job.EffectivePriority(), y.Job.EffectivePriority()),
		int(1000*(x.PreemptionCost(now)-y.PreemptionCost(now))))
}
