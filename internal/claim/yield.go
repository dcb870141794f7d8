package claim

import (
	"fmt"
	"sort"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// limitHold is room of a team's limit that lesser work of its own leaves to a job that
// waits for it: given to lesser work again as it frees up, the job would never begin.
type limitHold struct {
	job   *Job
	need  placement.Room
	until time.Time
}

// limitHoldFor is how long that holds unless the job is found waiting again.
const limitHoldFor = 2 * time.Second

// withheld is what a job must leave of its team's limit to one that goes first.
func (b *ClusterState) withheld(j *Job, now time.Time) placement.Room {
	o, ok := b.limitHolds[j.Rec.Spec.Team]
	if !ok || o.job == j || !o.until.After(now) || !o.job.claimable() || j.priority() >= o.job.priority() {
		return placement.Room{}
	}
	return o.need
}

// yield stops lesser work of a job's own team when the team's limit is all
// that keeps high or critical tasks from starting. What is being stopped
// already counts as making way.
func (b *ClusterState) yield(j *Job, n int, now time.Time) bool {
	s := &j.Rec.Spec
	if j.priority() < record.High || !b.Storing() || j.suspect() {
		return false
	}
	t, _ := b.set.Team(s.Team)
	over := b.quota.Used(s.Team).Plus(s.Need.Times(float64(n)))
	over.Cores -= t.CPUsMax
	over.Accels -= t.GPUsMax
	if t.CPUsMax == 0 {
		over.Cores = 0
	}
	if t.GPUsMax == 0 {
		over.Accels = 0
	}
	var victims []*Place
	left := placement.Room{Cores: t.CPUsMax, Accels: t.GPUsMax, RAM: 1e12}
	if t.CPUsMax == 0 {
		left.Cores = 1e12
	}
	if t.GPUsMax == 0 {
		left.Accels = 1e12
	}
	for _, o := range b.jobs {
		if o.Rec.Spec.Team != s.Team {
			continue
		}
		if o.priority() >= j.priority() {
			left = left.Minus(o.Rec.Spec.Need.Times(float64(len(o.places))))
			continue
		}
		for _, p := range o.places {
			switch {
			case p.stopping:
				over = over.Minus(o.Rec.Spec.Need)
			case !p.keptFrom(j):
				victims = append(victims, p)
			}
		}
	}
	if k := left.Count(s.Need, n); k > 0 && (k == n || s.Shape != record.Gang) {
		b.limitHolds[s.Team] = limitHold{job: j, need: s.Need.Times(float64(k)), until: now.Add(limitHoldFor)}
	}
	sort.Slice(victims, func(x, y int) bool {
		a, z := victims[x], victims[y]
		if pa, pz := a.Job.priority(), z.Job.priority(); pa != pz {
			return pa < pz
		}
		if la, lz := a.lossIfStopped(now), z.lossIfStopped(now); la != lz {
			return la < lz
		}
		return a.Task().String() < z.Task().String()
	})
	for _, p := range victims {
		if over.Cores <= 0 && over.Accels <= 0 {
			break
		}
		need := p.Job.Rec.Spec.Need
		if (over.Cores > 0 && need.Cores > 0) || (over.Accels > 0 && need.Accels > 0) {
			over = over.Minus(need)
			b.stop(p, p.leewayWanted(), fmt.Sprintf("its team is at its limit and %s (%s) goes first", s.ID, j.priority()))
		}
	}
	return over.Cores <= 0 && over.Accels <= 0
}
