package claim

import (
	"slices"
	"sort"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// queue puts a job into the line by submission; unqueue takes it out.
func (b *ClusterState) queue(j *Job) {
	at, _ := slices.BinarySearchFunc(b.line, j, earlier)
	b.line = slices.Insert(b.line, at, j)
}

func (b *ClusterState) unqueue(j *Job) {
	if at, ok := slices.BinarySearchFunc(b.line, j, earlier); ok {
		b.line = slices.Delete(b.line, at, at+1)
	}
}

func earlier(x, y *Job) int {
	switch a, z := &x.Rec, &y.Rec; {
	case a.Submitted < z.Submitted:
		return -1
	case a.Submitted > z.Submitted:
		return 1
	case a.Spec.ID < z.Spec.ID:
		return -1
	case a.Spec.ID > z.Spec.ID:
		return 1
	}
	return 0
}

// starving is how long a job may wait to begin before it goes ahead of all but
// critical work: the largest too begin within four minutes.
const starving = 100 * time.Second

// ranked lists the claimable jobs that have tasks to place: critical work
// first, then what has waited too long for its first start or lies within its
// team's guarantee, then by priority and age.
func (b *ClusterState) ranked(now time.Time) []*Job {
	type entry struct {
		j    *Job
		rank int
		size float64
	}
	var es []entry
	demand := map[string]placement.Room{}
	for _, j := range b.line {
		if !j.claimable() {
			continue
		}
		s := &j.Rec.Spec
		d := demand[s.Team].Plus(s.Need.Times(float64(j.left())))
		demand[s.Team] = d
		t, _ := b.set.Team(s.Team)
		j.guaranteed = within(t, s.Need, d)
		if j.pending() > 0 {
			es = append(es, entry{j: j})
		}
	}
	for i := range es {
		j := es[i].j
		s := &j.Rec.Spec
		age := max(0, now.Sub(j.Rec.Since().Time()).Seconds())
		p := j.priority()
		// Waiting work rises one step at most, so that the lowest never starves.
		if p == record.Low && age > 45 {
			p = record.Normal
		}
		es[i].rank = int(p)
		starving := p != record.Critical && j.starves(now)
		if j.guaranteed && !starving {
			es[i].rank += 10
		}
		switch {
		case j.failing():
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
		if s.Shape != record.Service {
			takes := max(1, float64(s.Estimate))
			if s.Shape == record.Gang && !b.readyWhereHeld(j) {
				takes += b.fetch(s)
			}
			es[i].size = float64(j.left()) * s.Need.Cores * takes / (1 + age/max(5, min(20, b.horizon(j)/2)))
		}
	}
	sort.SliceStable(es, func(x, y int) bool {
		if es[x].rank != es[y].rank {
			return es[x].rank > es[y].rank
		}
		return es[x].size < es[y].size
	})
	js := make([]*Job, len(es))
	for i := range es {
		js[i] = es[i].j
	}
	return js
}

// readyWhereHeld tells whether machines that hold a gang's image have room for
// all of it. Large images take a good part of a gang's time, so of two gangs
// alike the one that need not fetch is complete sooner.
func (b *ClusterState) readyWhereHeld(j *Job) bool {
	s := &j.Rec.Spec
	n := s.Tasks - len(j.places)
	for h := range b.byImage[s.Image] {
		if h.shelf != nil && h.holds(b, s.Image) {
			n -= h.free().Count(s.Need, n)
		}
		if n <= 0 {
			return true
		}
	}
	return false
}

// within tells whether a team's demand, up to and with this job, lies inside
// its guarantee. Work with accelerators is guaranteed by them alone: teams are
// not promised the cores beside them separately.
func within(t config.Team, need, demand placement.Room) bool {
	if need.Accels > 0 {
		return demand.Accels <= t.GPUs
	}
	return demand.Cores <= t.CPUs
}
