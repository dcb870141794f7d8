package scheduler

import (
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// ranker orders jobs for planning.
type ranker struct{ *State }

// The rank of a job that is not failing is its priority plus each of the following increments that applies.
const (
	rankGuaranteed = 10
	rankStarving   = 40
	rankCritical   = 100
	// rankFailing is the whole rank of a failing job.
	rankFailing = -1
)

// lowPromotionAge is the age, in seconds, above which a job of low priority is ranked as one of normal
// priority, so that it does not starve. No priority is raised by more than one level.
const lowPromotionAge = 45

// rankedJob is a job with its sort keys. Higher ranks come first; jobs of equal rank are ordered by size,
// smallest first.
type rankedJob struct {
	job  *workload.Job
	rank int
	size float64
}

// ranked implements Scheduler.Ranked.
func (r *ranker) ranked(now time.Time) []*workload.Job {
	pending := r.pendingJobs()
	ranked := make([]rankedJob, len(pending))
	for i, job := range pending {
		ranked[i] = r.rank(job, now)
	}
	slices.SortStableFunc(ranked, compareRank)
	jobs := make([]*workload.Job, len(ranked))
	for i := range ranked {
		jobs[i] = ranked[i].job
	}
	return jobs
}

// compareRank orders jobs by their sort keys.
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

// pendingJobs returns the schedulable jobs that have unassigned tasks, in the order of their submission.
// It also sets Guaranteed of each schedulable job: the oldest jobs of a team use its guarantee first.
func (r *ranker) pendingJobs() []*workload.Job {
	var pending []*workload.Job
	demand := map[string]placement.Resources{}
	for _, job := range r.Jobs.Ordered() {
		if !job.Schedulable() {
			continue
		}
		spec := &job.Record.Spec
		total := demand[spec.Team].Plus(spec.Resources.Times(float64(job.Unfinished())))
		demand[spec.Team] = total
		team, _ := r.Settings.Team(spec.Team)
		job.Guaranteed = withinGuarantee(team, spec.Resources, total)
		if job.Unassigned() > 0 {
			pending = append(pending, job)
		}
	}
	return pending
}

// withinGuarantee reports whether the demand of a team lies within the team's guarantee. demand is the
// sum over the team's jobs up to and including the one whose tasks have the given need. For a job with
// accelerators only accelerators are compared, because teams have no separate guarantee for the cores
// that are used together with accelerators.
func withinGuarantee(team config.Team, need, demand placement.Resources) bool {
	if need.Accels > 0 {
		return demand.Accels <= team.GPUs
	}
	return demand.Cores <= team.CPUs
}

// rank computes the sort keys of a job.
func (r *ranker) rank(job *workload.Job, now time.Time) rankedJob {
	age := max(0, now.Sub(job.Record.EligibleSince().Time()).Seconds())
	priority := job.EffectivePriority()
	if priority == record.Low && age > lowPromotionAge {
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
		// The oldest job comes first, whatever its size: few machines are reserved at a time, and small
		// jobs, guaranteed or not, would take them all.
		return rankedJob{job, rank, -age}
	}
	return rankedJob{job, rank, r.sizeOf(job, age)}
}

// minHalvingAge and maxHalvingAge are the bounds, in seconds, of the age at which a job's size is halved for
// the ranking.
const (
	minHalvingAge = 5
	maxHalvingAge = 20
)

// sizeOf returns the size by which jobs of equal rank are ordered. The job with the least remaining work
// comes first, since a job has no value for its user before its last task is done. The size decreases
// with the job's age, which is given in seconds. The size of services is 0.
func (r *ranker) sizeOf(job *workload.Job, age float64) float64 {
	spec := &job.Record.Spec
	if spec.JobType == record.Service {
		return 0
	}
	taskSeconds := max(1, float64(spec.EstimatedDuration))
	if spec.JobType == record.Gang && !r.fitsOnNodesWithImage(job) {
		taskSeconds += r.Estimates.ImagePullSeconds(spec)
	}
	halvingAge := max(minHalvingAge, min(maxHalvingAge, r.Estimates.QueueHorizon(job)/2))
	return float64(job.Unfinished()) * spec.Resources.Cores * taskSeconds / (1 + age/halvingAge)
}

// fitsOnNodesWithImage reports whether the machines that have a gang's image cached have room for all of the
// gang's unassigned tasks. Pulling a large image takes a considerable part of a gang's time, so of two
// similar gangs the one that need not pull its image completes sooner.
func (r *ranker) fitsOnNodesWithImage(job *workload.Job) bool {
	spec := &job.Record.Spec
	missing := spec.Tasks - len(job.Assignments)
	for node := range r.Capacity.WithImage(spec.Image) {
		if node.Class != nil && r.Capacity.HasImage(node, spec.Image) {
			missing -= node.Free().CountFitting(spec.Resources, missing)
		}
		if missing <= 0 {
			return true
		}
	}
	return false
}
