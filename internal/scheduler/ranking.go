package scheduler

import (
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// What is added to a job's priority to rank it.
const (
	rankGuaranteed = 10
	rankStarving   = 40
	rankCritical   = 100
	rankFailing    = -1 // instead of all else
)

// lowRisesAfter is the age, in seconds, from which low work counts as normal. Waiting work rises one
// step at most, so that the lowest never starves.
const lowRisesAfter = 45

// rankedJob is a job with what it is ranked by: higher ranks first, of equals the smaller size.
type rankedJob struct {
	job  *workload.Job
	rank int
	size float64
}

// Ranked lists the schedulable jobs that have tasks to assign: critical work first, then what has
// waited too long for its first start or lies within its team's guarantee, then by priority and age.
// It notes which jobs lie within their team's guarantee.
func (s *Scheduler) Ranked(now time.Time) []*workload.Job {
	pending := s.pendingJobs()
	ranked := make([]rankedJob, len(pending))
	for i, job := range pending {
		ranked[i] = s.rank(job, now)
	}
	slices.SortStableFunc(ranked, compareRank)
	jobs := make([]*workload.Job, len(ranked))
	for i := range ranked {
		jobs[i] = ranked[i].job
	}
	return jobs
}

// compareRank orders jobs for planning.
func compareRank(x, y rankedJob) int {
	switch {
	case x.rank != y.rank:
		return y.rank - x.rank
	case x.size < y.size:
		return -1
	case x.size > y.size:
		return 1
	}
	return 0
}

// pendingJobs are the schedulable jobs with tasks to assign, in the order of their submission. On the
// way each schedulable job's place within its team's guarantee is worked out: those submitted first
// take it first.
func (s *Scheduler) pendingJobs() []*workload.Job {
	var pending []*workload.Job
	demand := map[string]placement.Resources{}
	for _, job := range s.Jobs.Ordered() {
		if !job.Schedulable() {
			continue
		}
		spec := &job.Record.Spec
		total := demand[spec.Team].Plus(spec.Resources.Times(float64(job.Unfinished())))
		demand[spec.Team] = total
		team, _ := s.Settings.Team(spec.Team)
		job.Guaranteed = withinGuarantee(team, spec.Resources, total)
		if job.Unassigned() > 0 {
			pending = append(pending, job)
		}
	}
	return pending
}

// withinGuarantee tells whether a team's demand, up to and with this job, lies inside its guarantee.
// Work with accelerators is guaranteed by them alone: teams are not promised the cores beside them
// separately.
func withinGuarantee(team config.Team, need, demand placement.Resources) bool {
	if need.Accels > 0 {
		return demand.Accels <= team.GPUs
	}
	return demand.Cores <= team.CPUs
}

// rank works out what a job is ranked by.
func (s *Scheduler) rank(job *workload.Job, now time.Time) rankedJob {
	age := max(0, now.Sub(job.Record.EligibleSince().Time()).Seconds())
	priority := job.EffectivePriority()
	if priority == record.Low && age > lowRisesAfter {
		priority = record.Normal
	}
	starving := priority != record.Critical && job.Starving(now)
	rank := int(priority)
	if job.Guaranteed && !starving {
		rank += rankGuaranteed
	}
	switch {
	case job.Failing():
		rank = rankFailing
	case starving:
		rank += rankStarving
	case priority == record.Critical:
		rank += rankCritical
	}
	if starving {
		// The longest waiting first, whatever its size: few machines are reserved at a time, and small
		// jobs, guaranteed or not, would take them all.
		return rankedJob{job, rank, -age}
	}
	return rankedJob{job, rank, s.sizeOf(job, age)}
}

// The bounds of the age, in seconds, that halves what a job's size counts.
const (
	minHalvingAge = 5
	maxHalvingAge = 20
)

// sizeOf orders equals: what is soonest complete goes first, as a job is worth nothing to its user
// until its last task is done. Waiting makes up for size. Services have none.
func (s *Scheduler) sizeOf(job *workload.Job, age float64) float64 {
	spec := &job.Record.Spec
	if spec.Shape == record.Service {
		return 0
	}
	takes := max(1, float64(spec.EstimatedDuration))
	if spec.Shape == record.Gang && !s.fitsWhereCached(job) {
		takes += s.Estimates.ImagePullSeconds(spec)
	}
	halvingAge := max(minHalvingAge, min(maxHalvingAge, s.Estimates.QueueHorizon(job)/2))
	return float64(job.Unfinished()) * spec.Resources.Cores * takes / (1 + age/halvingAge)
}

// fitsWhereCached tells whether machines that hold a gang's image have room for all of it. Large
// images take a good part of a gang's time, so of two gangs alike the one that need not pull is
// complete sooner.
func (s *Scheduler) fitsWhereCached(job *workload.Job) bool {
	spec := &job.Record.Spec
	missing := spec.Tasks - len(job.Assignments)
	for node := range s.Capacity.WithImage(spec.Image) {
		if node.Class != nil && s.Capacity.HoldsImage(node, spec.Image) {
			missing -= node.Free().CountFitting(spec.Resources, missing)
		}
		if missing <= 0 {
			return true
		}
	}
	return false
}
