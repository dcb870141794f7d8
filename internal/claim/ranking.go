package claim

import (
	"sort"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// rankedJobs lists the claimable jobs that have tasks to place: critical work
// first, then what has waited too long for its first start or lies within its
// team's guarantee, then by priority and age.
func (c *ClusterState) rankedJobs(now time.Time) []*workload.Job {
	type entry struct {
		j    *workload.Job
		rank int
		size float64
	}
	var es []entry
	demand := map[string]placement.Room{}
	for _, job := range c.jobs.Ordered() {
		if !job.Schedulable() {
			continue
		}
		spec := &job.Record.Spec
		d := demand[spec.Team].Plus(spec.Need.Times(float64(job.Unfinished())))
		demand[spec.Team] = d
		team, _ := c.settings.Team(spec.Team)
		job.Guaranteed = withinGuarantee(team, spec.Need, d)
		if job.Unassigned() > 0 {
			es = append(es, entry{j: job})
		}
	}
	for i := range es {
		job := es[i].j
		spec := &job.Record.Spec
		age := max(0, now.Sub(job.Record.Since().Time()).Seconds())
		p := job.EffectivePriority()
		// Waiting work rises one step at most, so that the lowest never starves.
		if p == record.Low && age > 45 {
			p = record.Normal
		}
		es[i].rank = int(p)
		starving := p != record.Critical && job.Starving(now)
		if job.Guaranteed && !starving {
			es[i].rank += 10
		}
		switch {
		case job.Failing():
			es[i].rank = -1
		case starving:
			es[i].rank += 40
		case p == record.Critical:
			es[i].rank += 100
		}
		if starving {
			// The longest waiting first, whatever its size: few machines are set
			// aside at a time, and small jobs, guaranteed or not, would take them all.
			es[i].size = -age
			continue
		}
		// Among equals, what is soonest complete goes first: a job is worth
		// nothing to its user until its last task is done. Waiting makes up
		// for size.
		if spec.Shape != record.Service {
			takes := max(1, float64(spec.Estimate))
			if spec.Shape == record.Gang && !c.fitsWhereCached(job) {
				takes += c.estimates.ImagePullSeconds(spec)
			}
			es[i].size = float64(job.Unfinished()) * spec.Need.Cores * takes / (1 + age/max(5, min(20, c.estimates.QueueHorizon(job)/2)))
		}
	}
	sort.SliceStable(es, func(x, y int) bool {
		if es[x].rank != es[y].rank {
			return es[x].rank > es[y].rank
		}
		return es[x].size < es[y].size
	})
	jobs := make([]*workload.Job, len(es))
	for i := range es {
		jobs[i] = es[i].j
	}
	return jobs
}

// fitsWhereCached tells whether machines that hold a gang's image have room for
// all of it. Large images take a good part of a gang's time, so of two gangs
// alike the one that need not fetch is complete sooner.
func (c *ClusterState) fitsWhereCached(job *workload.Job) bool {
	spec := &job.Record.Spec
	n := spec.Tasks - len(job.Assignments)
	for node := range c.capacity.WithImage(spec.Image) {
		if node.Class != nil && c.capacity.HoldsImage(node, spec.Image) {
			n -= node.Free().Count(spec.Need, n)
		}
		if n <= 0 {
			return true
		}
	}
	return false
}

// withinGuarantee tells whether a team's demand, up to and with this job, lies inside
// its guarantee. Work with accelerators is guaranteed by them alone: teams are
// not promised the cores beside them separately.
func withinGuarantee(team config.Team, need, demand placement.Room) bool {
	if need.Accels > 0 {
		return demand.Accels <= team.GPUs
	}
	return demand.Cores <= team.CPUs
}
