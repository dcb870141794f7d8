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

// quotaReservation is room of a team's quota that lesser work of its own leaves to a job that waits for
// it: given to lesser work again as it frees up, the job would never begin.
type quotaReservation struct {
	job   *workload.Job
	need  placement.Resources
	until time.Time
}

// quotaReservationTime is how long that holds unless the job is found waiting again.
const quotaReservationTime = 2 * time.Second

// reservedQuota is what a job must leave of its team's quota to one that goes first.
func (s *Scheduler) reservedQuota(job *workload.Job, now time.Time) placement.Resources {
	reserved, found := s.quotaReservations[job.Record.Spec.Team]
	if !found || reserved.job == job || !reserved.until.After(now) || !reserved.job.Schedulable() ||
		job.EffectivePriority() >= reserved.job.EffectivePriority() {
		return placement.Resources{}
	}
	return reserved.need
}

// unlimited stands for a quota that the settings leave out.
const unlimited = 1e12

// yieldQuota stops lesser work of a job's own team when the team's quota is all that keeps high or
// critical tasks from starting, and tells whether that is enough. What is being stopped already counts
// as making way.
func (s *Scheduler) yieldQuota(job *workload.Job, tasks int, now time.Time) bool {
	if job.EffectivePriority() < record.High || !s.cluster.StoreAvailable() || job.Suspect() {
		return false
	}
	spec := &job.Record.Spec
	team, _ := s.Settings.Team(spec.Team)
	excess := quotaExcess(team, s.Quota.Usage(spec.Team).Plus(spec.Resources.Times(float64(tasks))))
	left, excess, victims := s.lesserWork(job, team, excess)
	if fitting := left.CountFitting(spec.Resources, tasks); fitting > 0 && (fitting == tasks || spec.Shape != record.Gang) {
		s.quotaReservations[spec.Team] = quotaReservation{job: job, need: spec.Resources.Times(float64(fitting)), until: now.Add(quotaReservationTime)}
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
			s.cluster.Stop(victim, victim.CheckpointGrace(), reason)
		}
	}
	return !exceeds(excess)
}

// exceeds tells whether an amount of cores or accelerators is above none.
func exceeds(excess placement.Resources) bool { return excess.Cores > 0 || excess.Accels > 0 }

// quotaExcess is by how much usage exceeds a team's quota.
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

// lesserWork looks at all work of a job's team: left is the quota that work of the job's priority or
// higher leaves, remaining the excess without what is being stopped of lesser work, and victims the rest
// of that.
func (s *Scheduler) lesserWork(job *workload.Job, team config.Team, excess placement.Resources) (left, remaining placement.Resources, victims []*workload.Assignment) {
	left = placement.Resources{Cores: team.CPUsMax, Accels: team.GPUsMax, RAM: unlimited}
	if team.CPUsMax == 0 {
		left.Cores = unlimited
	}
	if team.GPUsMax == 0 {
		left.Accels = unlimited
	}
	for _, other := range s.Jobs.All() {
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

// compareLesserWork orders whom to stop first: by priority, then by what a stop loses.
func compareLesserWork(x, y *workload.Assignment, now time.Time) int {
	return cmp.Or(cmp.Compare(x.Job.EffectivePriority(), y.Job.EffectivePriority()),
		cmp.Compare(x.PreemptionCost(now), y.PreemptionCost(now)),
		cmp.Compare(x.Task().String(), y.Task().String()))
}

// PreemptForOtherShards stops lesser work of teams whose allowance a more urgent demand of another shard
// is owed.
func (s *Scheduler) PreemptForOtherShards() {
	if s.Settings.ShardCount() == 1 || !s.cluster.StoreAvailable() {
		return
	}
	for _, team := range s.Settings.Params.Teams {
		amount, rank, owed := s.Quota.ReclaimNeeded(team.Name)
		if priority := record.Priority(rank.Priority); owed && priority >= record.High {
			s.preemptLowerPriority(team.Name, priority, amount.Room())
		}
	}
}

// preemptLowerPriority stops work of a team below a priority until it frees what is named. What is being
// stopped already counts.
func (s *Scheduler) preemptLowerPriority(team string, below record.Priority, wanted placement.Resources) {
	var victims []*workload.Assignment
	for _, job := range s.Jobs.Ordered() {
		if job.Record.Spec.Team != team || job.EffectivePriority() >= below {
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
	slices.SortStableFunc(victims, func(x, y *workload.Assignment) int { return compareInMilliseconds(x, y, now) })
	for _, victim := range victims {
		if !exceeds(wanted) {
			return
		}
		wanted = wanted.Minus(victim.Job.Record.Spec.Resources)
		s.cluster.Stop(victim, victim.CheckpointGrace(), "its team's limit is needed in another shard")
	}
}

// compareInMilliseconds orders whom to stop first like compareLesserWork, but takes losses that differ
// by less than a thousandth of a core-second as equal.
func compareInMilliseconds(x, y *workload.Assignment, now time.Time) int {
	return cmp.Or(cmp.Compare(x.Job.EffectivePriority(), y.Job.EffectivePriority()),
		int(1000*(x.PreemptionCost(now)-y.PreemptionCost(now))))
}
