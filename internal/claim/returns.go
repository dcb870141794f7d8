package claim

import (
	"fmt"
	"log/slog"
	"slices"
	"sort"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// Returns picks the machines to delete now, and marks them so that nothing
// more is placed there.
func (b *ClusterState) Returns(now time.Time, needed map[ids.Machine]bool) []ids.Machine {
	b.mu.Lock()
	defer b.mu.Unlock()
	silentAfter := 3*b.set.Params.Workers.ReportS.Duration() + 4*time.Second
	var out []ids.Machine
	si := b.listen()
	si.on, _ = b.coming(now)
	for _, m := range b.roster.Machines {
		if needed[m.Name] || !m.Heard || b.keptByRollout(m.Name) {
			m.NeededAt = now
		}
		// Dear machines are not kept by cheap work that could run elsewhere.
		t := b.types[m.Type]
		m.Going = m.Name == b.emptying || t != nil && t.Accels > 0 && now.Sub(m.NeededAt).Seconds() > b.set.Own.IdleReturnS
		if m.Going {
			b.leaving[m.Name] = true
		}
		if why := b.whyReturn(m, now, silentAfter, needed, si); why != "" || m.Deleting {
			if !m.Deleting {
				slog.Info("machine returned", "machine", m.Name, "type", m.Type, "spot", m.Spot, "why", why)
				m.Deleting, m.ReturnWhy = true, why
			}
			out = append(out, m.Name)
		}
	}
	sort.Slice(out, func(x, y int) bool { return out[x] < out[y] })
	return out
}

// keptByRollout tells that a machine replaces another one and is still observed.
func (b *ClusterState) keptByRollout(name ids.Machine) bool {
	return b.disruption != nil && b.disruption.orders != nil && b.disruption.orders.Keep[name]
}

func (b *ClusterState) whyReturn(m *worker.Machine, now time.Time, silentAfter time.Duration, needed map[ids.Machine]bool, si *silence) string {
	empty := len(b.placesOn(m.Name)) == 0
	order, _ := b.disruption.ordered(m.Name)
	kept := needed[m.Name] || b.keptByRollout(m.Name)
	switch {
	case m.Failed:
		return "it stopped by itself"
	case b.unlisted(m):
		return "the cloud does not list it"
	case !m.TakenAt.IsZero() && (now.After(m.TakenAt) || empty):
		return "the cloud takes it back"
	case m.Draining != "" && empty:
		return m.Draining
	case m.Name == b.emptying && empty:
		return "its work was moved together with other work"
	case m.Heard && (m.Silent(now) > silentAfter || m.Probes >= 2 && m.Silent(now) > b.silentFor(m)) && si.alone(m):
		return "silent"
	case m.Heard && m.Failures >= 3 && now.Sub(m.Unreached) > b.silentFor(m) && si.alone(m):
		return "nothing reaches it"
	case !m.Heard && m.Booting:
		return b.whyNotAwaited(m, kept, si.on, now)
	case !m.Heard && !m.Booting && si.alone(m) && (now.Sub(m.Born) > 2*silentAfter || !empty && (m.Probes >= 4 || m.Addr == "" && now.Sub(m.Born) > silentAfter)):
		// It held tasks for an earlier leader and neither answers nor is
		// listed: returning it proves its tasks gone.
		return "up but never heard"
	case !m.Heard && !m.Booting && si.dark(m.Zone) && b.trustSilence.Sub(now) < b.set.Params.Workers.LeaseS.Duration()*2/3 && b.movable(m, si):
		return "its zone is dark, and its replicas can start elsewhere"
	case order.Return && empty:
		return fmt.Sprintf("rollout %s has emptied it", order.Rollout)
	case m.Heard && empty && !kept && b.othersLack:
		return givenUp
	case m.Heard && empty && !kept && now.Sub(m.IdleSince).Seconds() > b.set.Own.IdleReturnS && now.Sub(m.HeldSince) > time.Minute:
		return "idle"
	}
	return ""
}

// dark tells whether a zone, and not most of the fleet, is silent.
func (si *silence) dark(zone string) bool {
	z := si.zones[zone]
	return si.storing && z != nil && z.dark && si.silent <= si.all*2/5
}

// movable tells whether a machine has a replica that may start in a zone that is
// not dark. A leader knows when the leases of a dark zone's machines lapse only
// if it answered them itself. After a takeover it would trust that only long
// after most of the replicas have ended, while the cloud's word on a machine
// returned is proof at once. Two thirds of a lease before that time the first
// end, if the cut is older than the takeover: not earlier, since it may be over
// before.
func (b *ClusterState) movable(m *worker.Machine, si *silence) bool {
	for p := range b.placesOn(m.Name) {
		if s := &p.Job.Rec.Spec; s.Shape != record.Service || s.Zone != "" || !p.Job.claimable() {
			continue
		}
		zs := b.zones(p.Job)
		for _, zone := range b.set.Params.Zones {
			if z := si.zones[zone]; z != nil && !z.dark && zs.may(zone, 1) > 0 {
				return true
			}
		}
	}
	return false
}

// believed is the silence, with questions left unanswered in it, after which a
// machine with replicas is given up at the latest.
const believed = 4 * time.Second

// silentFor is how long a machine that leaves questions unanswered is given.
// Its replicas are down meanwhile, so it is short; a node that is itself cut
// off sees many such machines and then returns none.
func (b *ClusterState) silentFor(m *worker.Machine) time.Duration {
	d := b.set.Params.Workers.ReportS.Duration()
	if h := b.hosts[m.Name]; h != nil && h.stay > 0 {
		d = min(d, believed)
	}
	return d
}

// silence is who is heard and who is not, counted once for all machines that
// are judged by it.
type silence struct {
	storing     bool
	zones       map[string]*zoneSilence
	all, silent int
	seen        heardTimes     // of those heard
	on          map[string]int // on their way and covering a need, by type
}

// zoneSilence is the same of one zone. It is dark when half of its machines were
// asked in vain since anyone there was last heard. Fewer may be lost at once, and
// in a small zone a second or more goes by between the reports of the others.
type zoneSilence struct {
	all    int
	seen   heardTimes
	doubts int
	dark   bool
}

func (b *ClusterState) listen() *silence {
	si := b.count()
	lit := false
	for name, z := range si.zones {
		if b.dark[name] && !z.dark {
			lit = true
			b.relight(name)
		}
		b.dark[name] = z.dark
	}
	if lit {
		si = b.count()
	}
	return si
}

// count looks at who is heard and who is not.
func (b *ClusterState) count() *silence {
	si := &silence{storing: b.Storing(), zones: map[string]*zoneSilence{}}
	var silent []*worker.Machine
	for _, o := range b.roster.Machines {
		if o.Booting || o.Deleting || o.Failed || !o.Heard && o.Probes == 0 {
			continue
		}
		z := si.zones[o.Zone]
		if z == nil {
			z = &zoneSilence{}
			si.zones[o.Zone] = z
		}
		si.all++
		z.all++
		if o.Heard && !o.Doubtful() {
			si.seen.add(o.Seen)
			z.seen.add(o.Seen)
		} else {
			silent = append(silent, o)
		}
	}
	si.silent = len(silent)
	for _, o := range silent {
		if z := si.zones[o.Zone]; o.Probes > 0 && z.seen.after(o.Doubted) == 0 {
			z.doubts++
		}
	}
	for _, z := range si.zones {
		z.dark = z.doubts >= max(3, z.all/2)
	}
	return si
}

// heardTimes are when machines were last heard. Most looks at the fleet find no machine
// silent and never ask, so the times are put in order only for the first question.
type heardTimes struct {
	times   []time.Time
	ordered bool
}

func (h *heardTimes) add(t time.Time) { h.times, h.ordered = append(h.times, t), false }

// after counts the times after t.
func (h *heardTimes) after(t time.Time) int {
	if !h.ordered {
		slices.SortFunc(h.times, time.Time.Compare)
		h.ordered = true
	}
	return len(h.times) - sort.Search(len(h.times), func(k int) bool { return h.times[k].After(t) })
}

// relight begins to judge a zone's machines anew: it was dark and somebody
// there is heard again, so the others get the time to be heard too.
func (b *ClusterState) relight(zone string) {
	now := time.Now()
	slog.Info("heard from a zone again that was dark", "zone", zone)
	for _, m := range b.roster.Machines {
		if m.Zone == zone && m.Doubtful() {
			m.Probes, m.Unreached, m.Failures = 0, time.Time{}, 0
			m.Doubted, m.Asked, m.Born = now, time.Time{}, now
		}
	}
}

// alone tells whether a machine's silence is its own: since it was first asked
// in vain most others have been heard, and not many more are silent. Reports
// come seconds apart, so that right after this node is cut off only the first
// few machines look silent; what counts is who was heard after. The same goes
// for its zone: where machines with replicas are asked sooner than others, they
// are the first to look silent of a zone that went dark.
func (si *silence) alone(m *worker.Machine) bool {
	// While nothing can be stored, what ran there could not be started
	// elsewhere; if all of a zone is cut off or down, the leases decide.
	if !si.storing {
		return false
	}
	if z := si.zones[m.Zone]; z != nil && (z.dark || z.all > 3 && z.seen.after(m.Doubted.Add(probeTimeout)) < max(1, z.all/4)) {
		return false
	}
	since := si.seen.after(m.Doubted)
	return si.silent <= max(1, si.all*2/5) && since >= (si.all-si.silent+1)/2 && since > 0
}

// DarkZones lists the zones of which nothing is heard any more. Work in a zone
// that is only cut off goes on, and a third of the fleet is not rented anew for
// that: its machines are left until their leases have surely lapsed. Nothing is
// rented there meanwhile.
func (b *ClusterState) DarkZones() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	dark := map[string]bool{}
	for name, z := range b.listen().zones {
		if z.dark {
			dark[name] = true
		}
	}
	return dark
}
