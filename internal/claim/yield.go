package claim

import (
	"fmt"
	"sort"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// quotaReservation is room of a team's limit that lesser work of its own leaves to a job that
// waits for it: given to lesser work again as it frees up, the job would never begin.
type quotaReservation struct {
	job   *workload.Job
	need  placement.Room
	until time.Time
}

// limitHoldFor is how long that holds unless the job is found waiting again.
const limitHoldFor = 2 * time.Second

// reservedQuota is what a job must leave of its team's limit to one that goes first.
func (c *ClusterState) reservedQuota(job *workload.Job, now time.Time) placement.Room {
	o, ok := c.quotaReservations[job.Record.Spec.Team]
	if !ok || o.job == job || !o.until.After(now) || !o.job.Schedulable() || job.EffectivePriority() >= o.job.EffectivePriority() {
		return placement.Room{}
	}
	return o.need
}

// yieldQuota stops lesser work of a job's own team when the team's limit is all
// that keeps high or critical tasks from starting. What is being stopped
// already counts as making way.
func (c *ClusterState) yieldQuota(job *workload.Job, n int, now time.Time) bool {
	spec := &job.Record.Spec
	if job.EffectivePriority() < record.High || !c.StoreAvailable() || job.Suspect() {
		return false
	}
	team, _ := c.settings.Team(spec.Team)
	over := c.quota.Used(spec.Team).Plus(spec.Need.Times(float64(n)))
	over.Cores -= team.CPUsMax
	over.Accels -= team.GPUsMax
	if team.CPUsMax == 0 {
		over.Cores = 0
	}
	if team.GPUsMax == 0 {
		over.Accels = 0
	}
	var victims []*workload.Assignment
	left := placement.Room{Cores: team.CPUsMax, Accels: team.GPUsMax, RAM: 1e12}
	if team.CPUsMax == 0 {
		left.Cores = 1e12
	}
	if team.GPUsMax == 0 {
		left.Accels = 1e12
	}
	for _, other := range c.jobs.All() {
		if other.Record.Spec.Team != spec.Team {
			continue
		}
		if other.EffectivePriority() >= job.EffectivePriority() {
			left = left.Minus(other.Record.Spec.Need.Times(float64(len(other.Assignments))))
			continue
		}
		for _, assignment := range other.Assignments {
			switch {
			case assignment.Stopping:
				over = over.Minus(other.Record.Spec.Need)
			case !assignment.ProtectedFrom(job):
				victims = append(victims, assignment)
			}
		}
	}
	if k := left.Count(spec.Need, n); k > 0 && (k == n || spec.Shape != record.Gang) {
		c.quotaReservations[spec.Team] = quotaReservation{job: job, need: spec.Need.Times(float64(k)), until: now.Add(limitHoldFor)}
	}
	sort.Slice(victims, func(x, y int) bool {
		a, z := victims[x], victims[y]
		if pa, pz := a.Job.EffectivePriority(), z.Job.EffectivePriority(); pa != pz {
			return pa < pz
		}
		if la, lz := a.PreemptionCost(now), z.PreemptionCost(now); la != lz {
			return la < lz
		}
		return a.Task().String() < z.Task().String()
	})
	for _, assignment := range victims {
		if over.Cores <= 0 && over.Accels <= 0 {
			break
		}
		need := assignment.Job.Record.Spec.Need
		if (over.Cores > 0 && need.Cores > 0) || (over.Accels > 0 && need.Accels > 0) {
			over = over.Minus(need)
			c.stopAssignment(assignment, assignment.CheckpointGrace(), fmt.Sprintf("its team is at its limit and %s (%s) goes first", spec.ID, job.EffectivePriority()))
		}
	}
	return over.Cores <= 0 && over.Accels <= 0
}
