package placement

import (
	"cmp"
	"slices"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Demand is room that is wanted: for tasks that wait, or kept free for work
// that must start sooner than a machine boots.
type Demand struct {
	Ask    Ask
	Count  int
	Spread bool // prefer the zone with the least so far
	// Together: all in one zone, whichever. Room in different zones does not
	// add up for it.
	Together bool
	Preempt  bool // may displace what runs on an array's room
	Keep     bool // not waiting yet: only holds room free
	Hold     bool // keeps what there is, but is no reason to hire
	// TurnShare is how much of the room that is in use now will be free in
	// time.
	TurnShare float64
}

// Up is a machine that is there or on its way.
type Up struct {
	Name   ids.Machine
	Type   *Type
	Zone   string
	Spot   bool
	Free   Room // not taken by anything
	Turn   Room // taken by tasks that end by themselves or may be displaced
	Coming bool
	Idle   bool // has no task
	// Late: on its way for so long that it may never come. It covers only what
	// can't be had otherwise.
	Late bool
}

// Hire is one rental to make.
type Hire struct {
	Type  string
	Zone  string
	Spot  bool
	Count int
}

// Offers tells whether a rental is worth asking for: not refused just now.
type Offers func(label, zone string, spot bool) bool

// Rent decides what to hire for the demands that the machines at hand and on
// their way do not cover, and which idle machines stay needed. Demands come in
// order of importance.
func Rent(ds []Demand, ups []Up, types []*Type, ok Offers) (hires []Hire, needed map[ids.Machine]bool) {
	p := newPlan(ups, types, ok)
	var unmet []Demand
	for _, d := range ds {
		if d.Together {
			d.Ask.Zone = gather(&d, p.ups, types, ok)
		}
		left := p.cover(&d, d.Count, false)
		left = p.hire(&d, left)
		left = p.cover(&d, left, true)
		if left > 0 && !d.Keep && d.Ask.Need.Accels == 0 {
			d.Count = left
			unmet = append(unmet, d)
		}
	}
	for _, d := range unmet {
		p.coverWithAccelerators(&d)
	}
	return p.hires, p.needed
}

// plan is the machines and rentals of one Rent, as demands take room of them.
type plan struct {
	types   []*Type
	ok      Offers
	ups     []Up
	order   []int // of ups: which to use first
	perZone map[string]int
	hires   []Hire
	needed  map[ids.Machine]bool
}

// newPlan uses busy machines first, then the cheapest: what is left idle can go.
func newPlan(ups []Up, types []*Type, ok Offers) *plan {
	p := &plan{types: types, ok: ok, ups: ups, perZone: map[string]int{}, needed: map[ids.Machine]bool{}}
	for i, u := range ups {
		p.perZone[u.Zone]++
		p.order = append(p.order, i)
	}
	sortBy(p.order, func(i int) float64 {
		u := &ups[i]
		k := u.Type.PriceOf(u.Spot)
		if u.Idle {
			k += 1e6
		}
		if u.Coming {
			k += 5e5
		}
		return k
	})
	return p
}

// cover takes room of the machines that are late, or of those that are not, for up
// to left of the demand's tasks, and tells how many find none.
func (p *plan) cover(d *Demand, left int, late bool) int {
	for _, i := range p.order {
		u := &p.ups[i]
		if left == 0 || u.Late != late {
			continue
		}
		n := d.covers(u, left)
		if n == 0 {
			continue
		}
		left -= n
		p.needed[u.Name] = true
		take := d.Ask.Need.Times(float64(n))
		u.Free = u.Free.Minus(take)
		if short := (Room{}).Minus(u.Free).positive(); short != (Room{}) {
			u.Free, u.Turn = u.Free.Plus(short), u.Turn.Minus(short)
		}
	}
	return left
}

// hire rents for up to left of the demand's tasks, and tells for how many it cannot.
func (p *plan) hire(d *Demand, left int) int {
	for left > 0 && !d.Hold {
		h, t, n := cheapest(d, left, p.types, p.perZone, p.ok)
		if n == 0 {
			break
		}
		left -= n
		p.perZone[h.Zone]++
		p.hires = join(p.hires, h)
		p.ups = append(p.ups, Up{Type: t, Zone: h.Zone, Spot: h.Spot, Coming: true, Free: t.Room().Minus(d.Ask.Need.Times(float64(n)))})
		p.order = append(p.order, len(p.ups)-1)
	}
	return left
}

// coverWithAccelerators puts what cannot be had without accelerators on machines
// with them: those that are needed anyhow, and only then others, which stay for as
// long as it waits.
func (p *plan) coverWithAccelerators(d *Demand) {
	left := d.Count
	for _, anyhow := range []bool{true, false} {
		for _, i := range p.order {
			u := &p.ups[i]
			if left == 0 || u.Name == "" || u.Type.Accels == 0 || p.needed[u.Name] != anyhow || !d.Ask.Allows(u.Type.Label, u.Zone, u.Spot) {
				continue
			}
			n := u.Free.Plus(u.Turn).Count(d.Ask.Need, left)
			if !anyhow && 2*n < u.Type.Room().Count(d.Ask.Need, 1<<20) {
				continue // not worth it for a few tasks
			}
			left -= n
			u.Free = u.Free.Minus(d.Ask.Need.Times(float64(n)))
			p.needed[u.Name] = p.needed[u.Name] || n > 0
		}
	}
}

// covers is how many of the demand's tasks, at most n, a machine has room for.
func (d *Demand) covers(u *Up, n int) int {
	// Accelerators cost so much more than cores that work without them may use
	// their machines while those are there anyhow, but is no reason to have
	// them, nor to be counted on to find room.
	if !d.Ask.Allows(u.Type.Label, u.Zone, u.Spot) || d.Ask.Need.Accels == 0 && u.Type.Accels > 0 {
		return 0
	}
	room := u.Free
	if !d.Keep || d.Preempt {
		room = room.Plus(u.Turn.Times(d.TurnShare))
	}
	return room.Count(d.Ask.Need, n)
}

// gather picks the zone for work that must be together: the one that has most
// room for it already, among those where the rest can be had.
func gather(d *Demand, ups []Up, types []*Type, ok Offers) string {
	have := map[string]int{}
	for i := range ups {
		if !ups[i].Late {
			have[ups[i].Zone] += d.covers(&ups[i], d.Count)
		}
	}
	best, bestHas, bestCan := "", 0, false
	seen := map[string]bool{}
	for _, t := range types {
		for _, z := range t.Zones {
			if seen[z] {
				continue
			}
			seen[z] = true
			in := *d
			in.Ask.Zone = z
			has, can := min(have[z], d.Count), have[z] >= d.Count
			if !can {
				_, _, n := cheapest(&in, d.Count-has, types, map[string]int{}, ok)
				can = n > 0
			}
			if best == "" || can && !bestCan || can == bestCan && has > bestHas {
				best, bestHas, bestCan = z, has, can
			}
		}
	}
	return best
}

func (r Room) positive() Room { return Room{max(r.Cores, 0), max(r.Accels, 0), max(r.RAM, 0)} }

// sortBy is stable, so that decisions do not hang on chance.
func sortBy(order []int, key func(int) float64) {
	keys := make([]float64, len(order)) // order is a permutation of its indices
	for _, i := range order {
		keys[i] = key(i)
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(keys[x], keys[y]) })
}

// cheapest finds the offer with the lowest price per task it would take.
func cheapest(d *Demand, left int, types []*Type, perZone map[string]int, ok Offers) (Hire, *Type, int) {
	var best Hire
	var bestType *Type
	bestN, bestCost := 0, 0.0
	plain := false // some machine without accelerators would do
	for _, t := range types {
		plain = plain || t.Accels == 0 && t.Room().Holds(d.Ask.Need) && (d.Ask.Types == nil || d.Ask.Allows(t.Label, d.Ask.Zone, false))
	}
	for _, t := range types {
		if plain && t.Accels > 0 && d.Ask.Need.Accels == 0 {
			continue
		}
		for _, spot := range []bool{true, false} {
			for _, z := range t.Zones {
				if !d.Ask.Allows(t.Label, z, spot) || !ok(t.Label, z, spot) {
					continue
				}
				n := t.Room().Count(d.Ask.Need, left)
				if n == 0 {
					continue
				}
				cost := t.PriceOf(spot) / float64(n)
				cost *= 1 + 0.01*float64(perZone[z])
				if bestN == 0 || cost < bestCost {
					best, bestType, bestN, bestCost = Hire{t.Label, z, spot, 1}, t, n, cost
				}
			}
		}
	}
	return best, bestType, bestN
}

func join(hs []Hire, h Hire) []Hire {
	for i := range hs {
		if hs[i].Type == h.Type && hs[i].Zone == h.Zone && hs[i].Spot == h.Spot {
			hs[i].Count += h.Count
			return hs
		}
	}
	return append(hs, h)
}
