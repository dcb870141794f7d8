package claim

import (
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// survey finds machines for the tasks of one job in one pass. Each task goes
// to the best fit among a few sampled machines; a sample that shows none with
// room and the image widens to all with room, which are then listed once for
// all tasks of the job.
type survey struct {
	b     *ClusterState
	j     *Job
	ask   *placement.Ask
	ps    *pass
	zones *zoning
	kinds []*shelf
	total int
	plain bool // machines with accelerators only if stopping others makes no room elsewhere

	wide bool
	all  []sighted // best first
	// passedOver is what the last look at the list passed over and kept.
	passedOver []sighted
}

type sighted struct {
	h     *host
	m     *worker.Machine
	score float64
}

func (b *ClusterState) survey(j *Job, ask *placement.Ask, ps *pass) *survey {
	v := &survey{b: b, j: j, ask: ask, ps: ps, zones: b.zones(j), plain: ask.Long && ask.Need.Accels == 0}
	if covered(ps.full[keyOf(ask)], ask.Need) {
		v.wide = true // an earlier job of this pass found none
	} else {
		v.shelves()
	}
	return v
}

// shelves picks the kinds of machines that the ask may use.
func (v *survey) shelves() {
	v.kinds, v.total = v.kinds[:0], 0
	for _, s := range v.b.shelfOrder {
		if len(s.open) == 0 || v.plain && s.t.Accels > 0 || !v.ask.Allows(s.label, s.zone, s.spot) || !s.t.Room().Holds(v.ask.Need) {
			continue
		}
		v.kinds = append(v.kinds, s)
		v.total += len(s.open)
	}
}

// look scores a machine, or tells that the task can't go there now; room tells
// whether at least there is room.
func (v *survey) look(h *host, r *retry) (s sighted, ok, room bool) {
	v.ps.machinesExamined++
	if !h.shelf.t.Room().Minus(h.used).Holds(v.ask.Need) {
		return s, false, false
	}
	m, usable := v.b.usable(h, v.ps.now)
	if !usable {
		return s, false, false
	}
	p := v.b.sight(h, m, v.j, r, v.ps.now)
	if p.Held || p.Going && (v.ask.Need.Accels == 0 || p.Type.Accels == 0) || v.zones.may(m.Zone, 1) == 0 {
		return s, false, true
	}
	return sighted{h, m, placement.Score(&p, v.ask)}, true, true
}

// pick finds a machine for one more task, nil if there is none.
func (v *survey) pick(r *retry) *host {
	if !v.wide {
		if h := v.sample(r); h != nil {
			return h
		}
		v.widen()
	}
	for {
		if h := v.best(r); h != nil {
			return h
		}
		if !v.plain || v.b.displaceable(v.j, v.ask, v.ps) {
			return nil
		}
		// A service would hold a machine with accelerators for good: it goes
		// there only if stopping others makes no room elsewhere either.
		v.plain = false
		v.shelves()
		v.widen()
	}
}

// sample looks at a few machines only.
func (v *survey) sample(r *retry) *host {
	if v.total == 0 {
		return nil
	}
	var top sighted
	for range int(v.b.set.Own.SampleMachines) {
		n := v.b.rng.IntN(v.total)
		for _, s := range v.kinds {
			if n >= len(s.open) {
				n -= len(s.open)
				continue
			}
			if c, ok, _ := v.look(s.open[n], r); ok && (top.h == nil || c.score < top.score) {
				top = c
			}
			break
		}
		v.recount()
		if v.total == 0 {
			break
		}
	}
	if top.h == nil || r != nil && r.avoid[top.h.name] || !top.m.Images.Has(v.ask.Image) && (v.ask.Long || top.h.pulls[v.ask.Image] == nil) {
		return nil
	}
	return top.h
}

// recount follows what was placed meanwhile.
func (v *survey) recount() {
	v.total = 0
	for _, s := range v.kinds {
		v.total += len(s.open)
	}
}

// widen lists all machines with room, best first.
func (v *survey) widen() {
	v.wide, v.all = true, v.all[:0]
	any := false
	for _, s := range v.kinds {
		for _, h := range s.open {
			c, ok, room := v.look(h, nil)
			any = any || room
			if ok {
				v.all = append(v.all, c)
			}
		}
	}
	if !any && !v.plain {
		k := keyOf(v.ask)
		v.ps.full[k] = append(v.ps.full[k], v.ask.Need)
	}
	slices.SortFunc(v.all, func(x, y sighted) int {
		switch {
		case x.score < y.score:
			return -1
		case x.score > y.score:
			return 1
		}
		return cmpString(string(x.h.name), string(y.h.name))
	})
}

// best takes the first of the list that still fits; those on which this very
// task failed before come last. It costs what it passes over, and not the list.
func (v *survey) best(r *retry) *host {
	var avoided *host
	passedOver := v.passedOver[:0]
	for i, c := range v.all {
		if c.h.shelf == nil || !c.h.free().Holds(v.ask.Need) {
			continue // full now, so it leaves the list
		}
		if v.fits(c) {
			if r == nil || !r.avoid[c.h.name] {
				copy(v.all[i-len(passedOver):], passedOver)
				v.all, v.passedOver = v.all[i-len(passedOver):], passedOver
				return c.h
			}
			if avoided == nil {
				avoided = c.h
			}
		}
		passedOver = append(passedOver, c)
	}
	v.all, v.passedOver = v.all[:copy(v.all, passedOver)], passedOver
	return avoided
}

// fits tells whether a machine with enough room is free for this job.
func (v *survey) fits(c sighted) bool {
	if v.zones.may(c.m.Zone, 1) == 0 {
		return false
	}
	machine := placement.Machine{Name: c.h.name, Free: c.h.free()}
	return !v.b.heldFor(&machine, v.j, v.ps.now)
}

func (h *host) holds(b *ClusterState, image string) bool {
	m := b.roster.Machines[h.name]
	return m != nil && m.Images.Has(image)
}
