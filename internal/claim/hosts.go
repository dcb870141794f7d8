package claim

import (
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// host is a machine with what is or may be on it. It is kept up to date as
// places come and go, so that planning costs what changed and not the fleet.
type host struct {
	name   ids.Machine
	places map[*Place]bool
	used   placement.Room
	turn   placement.Room   // the part that ends by itself or may be displaced
	stay   int              // tasks that run until they are cancelled
	pulls  map[string]*pull // images that its tasks still wait for
	shelf  *shelf
	at     int // index in the shelf's open list; -1 while it is full
}

// pull is an image being fetched for some tasks of a machine.
type pull struct {
	tasks int
	top   record.Priority // the highest that waits for it
}

// kind is what all machines of a shelf have in common.
type kind struct {
	label, zone string
	spot        bool
}

// shelf lists the machines of one kind that have room left.
type shelf struct {
	kind
	t    *placement.Type
	open []*host
}

// hostOf finds or adds a machine's entry.
func (b *ClusterState) hostOf(name ids.Machine) *host {
	h := b.hosts[name]
	if h == nil {
		h = &host{name: name, places: map[*Place]bool{}, pulls: map[string]*pull{}, at: -1}
		b.hosts[name] = h
	}
	return h
}

// placesOn is what is or may be on a machine.
func (b *ClusterState) placesOn(name ids.Machine) map[*Place]bool {
	if h := b.hosts[name]; h != nil {
		return h.places
	}
	return nil
}

// usedOn is the room taken on a machine.
func (b *ClusterState) usedOn(name ids.Machine) placement.Room {
	if h := b.hosts[name]; h != nil {
		return h.used
	}
	return placement.Room{}
}

// shelve puts a machine where placement looks for it, or takes it away when it
// is full, of no known kind, or gone.
func (b *ClusterState) shelve(h *host) {
	m := b.roster.Machines[h.name]
	var s *shelf
	if m != nil && m.Heard && !m.Deleting {
		k := kind{m.Type, m.Zone, m.Spot}
		if s = b.shelves[k]; s == nil && b.types[m.Type] != nil {
			s = &shelf{kind: k, t: b.types[m.Type]}
			b.shelves[k] = s
			b.shelfOrder = append(b.shelfOrder, s)
			slices.SortFunc(b.shelfOrder, func(x, y *shelf) int { return x.compare(y) })
		}
	}
	if s != nil {
		free := s.t.Room().Minus(h.used)
		if free.Cores < 1e-6 || free.RAM < 1e-6 {
			s = nil
		}
	}
	if s == h.shelf {
		return
	}
	if old := h.shelf; old != nil {
		last := len(old.open) - 1
		old.open[h.at] = old.open[last]
		old.open[h.at].at = h.at
		old.open = old.open[:last]
	}
	if h.shelf, h.at = s, -1; s != nil {
		h.at = len(s.open)
		s.open = append(s.open, h)
	}
}

func (s *shelf) compare(o *shelf) int {
	switch {
	case s.label != o.label:
		return cmpString(s.label, o.label)
	case s.zone != o.zone:
		return cmpString(s.zone, o.zone)
	case s.spot == o.spot:
		return 0
	case s.spot:
		return 1
	}
	return -1
}

func cmpString(a, z string) int {
	if a < z {
		return -1
	}
	return 1
}

// free is the room left on a shelved machine.
func (h *host) free() placement.Room { return h.shelf.t.Room().Minus(h.used) }

// put and drop keep a machine's sums.
func (b *ClusterState) put(h *host, p *Place) {
	h.places[p] = true
	h.used = h.used.Plus(p.Job.Rec.Spec.Need)
	if p.Job.Rec.Spec.Shape != record.Service {
		h.turn = h.turn.Plus(p.Job.Rec.Spec.Need)
	} else {
		h.stay++
	}
	b.awaits(h, p)
	b.shelve(h)
}

func (b *ClusterState) drop(h *host, p *Place) {
	if !h.places[p] {
		return
	}
	b.arrived(h, p)
	delete(h.places, p)
	h.used = h.used.Minus(p.Job.Rec.Spec.Need)
	if p.Job.Rec.Spec.Shape != record.Service {
		h.turn = h.turn.Minus(p.Job.Rec.Spec.Need)
	} else {
		h.stay--
	}
	if len(h.places) == 0 {
		h.used, h.turn = placement.Room{}, placement.Room{} // no dust of rounding stays behind
	}
	b.shelve(h)
}

// awaits notes that a task waits for its image on a machine, and arrived that
// it no longer does.
func (b *ClusterState) awaits(h *host, p *Place) {
	if p.awaiting || p.seen && p.status != worker.Pulling {
		return
	}
	p.awaiting = true
	s := &p.Job.Rec.Spec
	u := h.pulls[s.Image]
	if u == nil {
		u = &pull{}
		h.pulls[s.Image] = u
		b.holders(s.Image)[h] = true
	}
	u.tasks++
	u.top = max(u.top, p.Job.priority())
}

func (b *ClusterState) arrived(h *host, p *Place) {
	if !p.awaiting {
		return
	}
	p.awaiting = false
	img := p.Job.Rec.Spec.Image
	if u := h.pulls[img]; u != nil {
		if u.tasks--; u.tasks <= 0 {
			delete(h.pulls, img)
			b.keepHolder(h, img)
		}
	}
}

// holders is the machines that hold an image or fetch it.
func (b *ClusterState) holders(image string) map[*host]bool {
	hs := b.byImage[image]
	if hs == nil {
		hs = map[*host]bool{}
		b.byImage[image] = hs
	}
	return hs
}

// keepHolder drops a machine from an image's holders if it is none any more.
func (b *ClusterState) keepHolder(h *host, image string) {
	m := b.roster.Machines[h.name]
	if h.pulls[image] != nil || m != nil && m.Images.Has(image) {
		return
	}
	delete(b.byImage[image], h)
	if len(b.byImage[image]) == 0 {
		delete(b.byImage, image)
	}
}

// holdsNow notes that a machine has an image, which may push others out.
func (b *ClusterState) holdsNow(h *host, m *worker.Machine, image string, gb, cache float64) {
	old := m.Images.Names
	m.Images.Use(image, gb, cache)
	b.holders(image)[h] = true
	for _, n := range old {
		if !m.Images.Has(n) {
			b.keepHolder(h, n)
		}
	}
}

// cast takes a machine out of every index: it is gone.
func (b *ClusterState) cast(name ids.Machine) {
	h, m := b.hosts[name], b.roster.Machines[name]
	// One never heard, with nothing on it, has no entry here, but is gone as well:
	// else its deletion is asked for again and again.
	b.roster.Remove(name)
	if h == nil {
		return
	}
	if m != nil {
		for _, n := range m.Images.Names {
			b.keepHolder(h, n)
		}
	}
	b.shelve(h)
	delete(b.hosts, name)
	delete(b.due, h)
}

// sight is how placement sees a machine for an ask of a job.
func (b *ClusterState) sight(h *host, m *worker.Machine, j *Job, r *retry, now time.Time) placement.Machine {
	s := &j.Rec.Spec
	p := placement.Machine{Name: h.name, Type: h.shelf.t, Zone: m.Zone, Spot: m.Spot, Going: m.Going, Free: h.free(), Pulls: len(h.pulls)}
	p.Holds = m.Images.Has(s.Image)
	p.Warm = p.Holds || h.pulls[s.Image] != nil
	for img, u := range h.pulls {
		if u.top >= record.High && u.top > j.priority() && !m.Images.Has(img) {
			p.Hush = true
		}
		if m.Images.Has(img) {
			p.Pulls--
		}
	}
	p.Held = b.heldFor(&p, j, now)
	p.Avoid = r != nil && r.avoid[h.name]
	return p
}

// usable tells whether new tasks may go to a machine now.
func (b *ClusterState) usable(h *host, now time.Time) (*worker.Machine, bool) {
	m := b.roster.Machines[h.name]
	return m, m != nil && h.shelf != nil && m.Usable(now, b.set.Params.Workers.ReportS)
}
