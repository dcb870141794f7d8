package claim

import (
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// claimGang places all tasks of a new attempt or none; a task lost while the
// gang still waits is replaced under the same attempt.
func (b *ClusterState) claimGang(j *Job, ps *pass) {
	s, now := &j.Rec.Spec, ps.now
	missing := s.Tasks - len(j.places)
	if missing <= 0 {
		j.waiting = ""
		return
	}
	if j.rests(now) {
		j.waiting = j.whyRests()
		return
	}
	if s.Tasks > b.openLimit(j) {
		j.waiting = "its places do not fit into a record of the state service"
		return
	}
	fresh := len(j.places) == 0
	if !fresh {
		for _, p := range j.places {
			// Once a task of the attempt ran or is being stopped, the rest end
			// by themselves, and only then may the next attempt begin.
			if p.Attempt != j.Rec.Attempt || p.stopping || p.seen && p.status != worker.Pulling && p.status != worker.Waiting || !p.seen && p.Token != b.gen {
				j.waiting = "for the gang's last attempt to end"
				return
			}
		}
	}
	for i := range s.Tasks {
		if r := j.tries[i]; j.places[i] == nil && r != nil && r.at.After(now) {
			j.waiting = "backing off after failures"
			return
		}
	}
	if b.mayHave(j, missing, now) < missing {
		ps.lacks(j, missing)
		j.waiting = b.quota.Explain(s.Team)
		if b.yield(j, missing, now) {
			j.waiting += "; lesser work of its own makes way"
		}
		return
	}
	ask := s.Ask()
	v := b.survey(j, &ask, ps)
	if !v.wide {
		v.widen()
	}
	zones := []string{""}
	if s.OneZone && fresh && s.Zone == "" {
		zones = b.set.Params.Zones // all tasks go to one: the cheapest
	}
	var best []*host
	bestCost := 0.0
	for _, zone := range zones {
		if hs, cost := v.together(zone, missing); hs != nil && (best == nil || cost < bestCost) {
			best, bestCost = hs, cost
		}
	}
	if best == nil {
		b.gangWaits(j, &ask, ps)
		return
	}
	if fresh {
		j.Rec.Attempt++
	}
	n := 0
	for i := range s.Tasks {
		if j.places[i] == nil {
			b.place(j, i, j.Rec.Attempt, best[n], now)
			n++
		}
	}
	b.placed(j, n)
	j.waiting = ""
	b.release(j)
}

// together finds room for n tasks at once, in one zone if it names one; nil if
// there is not enough.
func (v *survey) together(zone string, n int) (hs []*host, cost float64) {
	avoid := map[ids.Machine]bool{}
	for _, r := range v.j.tries {
		for m := range r.avoid {
			avoid[m] = true
		}
	}
	here := map[string]int{}
	for _, last := range []bool{false, true} {
		for _, c := range v.all {
			if len(hs) == n {
				return hs, cost
			}
			if avoid[c.h.name] != last || zone != "" && c.m.Zone != zone || c.h.shelf == nil {
				continue
			}
			k := min(c.h.free().Count(v.ask.Need, n-len(hs)), v.zones.may(c.m.Zone, n)-here[c.m.Zone])
			for range max(k, 0) {
				hs = append(hs, c.h)
				cost += c.score
				here[c.m.Zone]++
			}
		}
	}
	if len(hs) < n {
		return nil, 0
	}
	return hs, cost
}

func (b *ClusterState) gangWaits(j *Job, ask *placement.Ask, ps *pass) {
	j.waiting = "not all tasks of the gang have room at once"
	missing := j.Rec.Spec.Tasks - len(j.places)
	for range missing {
		ok, victim := b.preempt(j, ask, ps)
		if !ok {
			if b.reserveMachines(j, ask, missing, ps.now) {
				j.waiting = "waits for machines set aside for it"
			}
			return
		}
		j.waiting = "waits for room freed on " + victim
	}
}

// mayStart tells whether a placed task's start should go out now. Two things
// hold it back, both of gangs. A task that has its image at once would only
// wait for those that must fetch theirs, and give up after gang_wait_s, long
// before a large image is there; so it starts when they wait for it. And a task
// replaced where it ended under the same attempt must be cleared first, or the
// worker would take its start for one it knows.
func (b *ClusterState) mayStart(p *Place, m *worker.Machine) bool {
	j := p.Job
	if j.Rec.Spec.Shape != record.Gang {
		return true
	}
	for i := range m.Pieces {
		if m.Pieces[i].Attempt == p.Attempt && m.Pieces[i].Task == p.Task().String() {
			return false
		}
	}
	if !m.Images.Has(j.Rec.Spec.Image) {
		return true
	}
	for _, o := range j.places {
		if o == p || o.stopping || o.seen && o.status != worker.Pulling {
			continue
		}
		if om := b.roster.Machines[o.Machine]; om == nil || !om.Images.Has(j.Rec.Spec.Image) {
			return false
		}
	}
	return true
}
