package claim

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/budget"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// evictionUnit is what is stopped together: a task, or a whole gang.
type evictionUnit struct {
	job    *Job
	places []*Place
}

func (u *evictionUnit) team() string { return u.job.Rec.Spec.Team }

// emptyMachine decides the next step of emptying a machine: of each team that has anything to
// stop there one unit, all or none, and then what more the budgets allow.
func (b *ClusterState) emptyMachine(name ids.Machine, order rollout.Order, meter *budget.Meter, now time.Time) {
	m := b.roster.Machines[name]
	if m == nil || !m.Heard || m.Doubtful() {
		b.waitsFor(name, "nothing is heard of it")
		return
	}
	b.dropUnsent(name)
	units, whys := b.evictionUnits(m, order)
	b.waitsFor(name, whys...)
	first, more := firstOfEachTeam(units)
	if len(first) == 0 {
		return
	}
	step := &evictionStep{rollout: order.Rollout, wave: order.Wave, machine: name, stored: map[*Job]uint64{}}
	reserved := map[ids.Machine]reservation{}
	if why := b.whyNotElsewhere(first, order, reserved, now); len(why) > 0 {
		b.disruption.noRoom[name] = true
		b.waitsFor(name, why...)
		return
	}
	if denials := meter.Permit(b.evictionRequests(first, now)...); len(denials) > 0 {
		measure.Process.Count(rollout.PermitsRefused, 1)
		for _, denial := range denials {
			b.waitsFor(name, denial.String())
		}
		return
	}
	granted := first
	for _, u := range more {
		one := []evictionUnit{u}
		if len(b.whyNotElsewhere(one, order, reserved, now)) == 0 && len(meter.Permit(b.evictionRequests(one, now)...)) == 0 {
			granted = append(granted, u)
		}
	}
	for host, r := range reserved {
		b.reserved[host] = r
	}
	b.recordEvictions(granted, step)
}

// recordEvictions notes permits on the jobs' records; the stops wait until all are stored.
func (b *ClusterState) recordEvictions(units []evictionUnit, step *evictionStep) {
	d := b.disruption
	measure.Process.Count(rollout.PermitsGiven, len(units))
	for _, u := range units {
		j := u.job
		for _, p := range u.places {
			p.evicted = true
			d.pending[p] = step
			j.Rec.Evict(p.Index, p.Attempt, string(step.rollout), step.wave)
		}
		d.evicted[j] = true
		b.touch(j)
		b.hurry(j)
		step.stored[j] = j.version
	}
}

// dropUnsent takes tasks off a machine that were never started there: it takes no permit.
func (b *ClusterState) dropUnsent(name ids.Machine) {
	for _, p := range b.sortedPlacesOn(name) {
		if !p.sent && !p.stopping && !p.evicted {
			b.stop(p, 0, "its machine is drained")
		}
	}
}

// evictionRequests is what it takes of the teams' budgets to stop units together.
func (b *ClusterState) evictionRequests(units []evictionUnit, now time.Time) []budget.Request {
	requests := make([]budget.Request, len(units))
	for i, u := range units {
		requests[i] = b.evictionRequest(u.job, u.places[0], now)
	}
	return requests
}

// evictionUnits lists what is to be stopped on a machine, and why the rest is not stopped now.
// It changes nothing.
func (b *ClusterState) evictionUnits(m *worker.Machine, order rollout.Order) (units []evictionUnit, whys []string) {
	limit := int(b.set.Params.State.ValueKB * 1024)
	seen := map[*Job]bool{}
	for _, p := range b.sortedPlacesOn(m.Name) {
		j := p.Job
		s := &j.Rec.Spec
		switch {
		case p.stopping || p.evicted || !p.sent:
			continue
		case !p.seen:
			whys = append(whys, fmt.Sprintf("the start of %s is not confirmed yet", p.Task()))
			continue
		case !isService(s) && !mayInterrupt(s, order):
			whys = append(whys, fmt.Sprintf("%s can't save and runs to its end", p.Task()))
			continue
		case !j.Rec.EvictionsFit(limit):
			whys = append(whys, fmt.Sprintf("the record of %s has no room for more evictions", s.ID))
			continue
		}
		if !isGang(s) {
			units = append(units, evictionUnit{j, []*Place{p}})
			continue
		}
		if seen[j] {
			continue
		}
		seen[j] = true
		if why := gangSettled(j); why != "" {
			whys = append(whys, why)
			continue
		}
		gang := evictionUnit{job: j}
		for _, i := range sortedTasks(j.places) {
			gang.places = append(gang.places, j.places[i])
		}
		units = append(units, gang)
	}
	return units, whys
}

// sortedPlacesOn lists what is or may be on a machine, in the order of the tasks' names.
func (b *ClusterState) sortedPlacesOn(name ids.Machine) []*Place {
	var places []*Place
	for p := range b.placesOn(name) {
		places = append(places, p)
	}
	slices.SortFunc(places, func(x, y *Place) int {
		return cmp.Or(cmp.Compare(x.Job.Rec.Spec.ID, y.Job.Rec.Spec.ID), cmp.Compare(x.Index, y.Index))
	})
	return places
}

func isService(s *record.Spec) bool { return s.Shape == record.Service }

func isGang(s *record.Spec) bool { return s.Shape == record.Gang }

// mayInterrupt tells whether a task that is no replica is stopped for a drain: what can save, and
// low work, at once; all else only when the operator chose so for after the deadline.
func mayInterrupt(s *record.Spec, order rollout.Order) bool {
	return s.Checkpoint > 0 || s.Priority == record.Low || order.Stop
}

// gangSettled tells why a gang can't be stopped as a whole now; empty: it can.
func gangSettled(j *Job) string {
	for _, p := range j.places {
		if !p.seen || p.stopping || p.evicted {
			return fmt.Sprintf("not all tasks of gang %s are known to be on their machines", j.Rec.Spec.ID)
		}
	}
	return ""
}

// firstOfEachTeam splits units into the first of each team and the others.
func firstOfEachTeam(units []evictionUnit) (first, more []evictionUnit) {
	seen := map[string]bool{}
	for _, u := range units {
		if seen[u.team()] {
			more = append(more, u)
			continue
		}
		seen[u.team()] = true
		first = append(first, u)
	}
	return first, more
}

// roomKeptFor is how long room elsewhere is kept for a replica that is to be moved there: its
// permit has to be stored, the stop carried out and told.
const roomKeptFor = 10 * time.Second

// whyNotElsewhere tells which replicas could not start elsewhere. With surge there has to be room
// now, which is added to reserved; without it a place has to be possible at all.
func (b *ClusterState) whyNotElsewhere(units []evictionUnit, order rollout.Order, reserved map[ids.Machine]reservation, now time.Time) (whys []string) {
	for _, u := range units {
		if !isService(&u.job.Rec.Spec) {
			continue // it waits in the queue
		}
		p := u.places[0]
		zones := b.zonesWithout(p)
		if !b.startable(&u.job.Rec.Spec, zones) {
			whys = append(whys, fmt.Sprintf("%s could start in no other place that its job allows", p.Task()))
			continue
		}
		if !order.Surge {
			continue
		}
		h := b.roomFor(u.job, zones, reserved, now)
		if h == nil {
			whys = append(whys, fmt.Sprintf("%s has no room elsewhere yet", p.Task()))
			continue
		}
		reserved[h.name] = reservation{job: u.job.Rec.Spec.ID, need: u.job.Rec.Spec.Need, made: now, until: now.Add(roomKeptFor)}
	}
	return whys
}

// zonesWithout is where a job's tasks are, but for one that is to be moved.
func (b *ClusterState) zonesWithout(p *Place) *zoning {
	z := b.zones(p.Job)
	if m := b.roster.Machines[p.Machine]; z != nil && m != nil && m.Zone != "" {
		if z.count[m.Zone]--; z.count[m.Zone] == 0 {
			delete(z.count, m.Zone)
		}
	}
	return z
}

// startable tells whether a job's rules leave any place for one more task, in a zone that is not
// given up, on a machine of a type that holds it.
func (b *ClusterState) startable(s *record.Spec, zones *zoning) bool {
	ask := s.Ask()
	for _, t := range b.types {
		for _, zone := range t.Zones {
			if _, closed := b.disruption.orders.ClosedZones[zone]; closed || zones.may(zone, 1) == 0 || !t.Room().Holds(ask.Need) {
				continue
			}
			if ask.Allows(t.Label, zone, false) || ask.Allows(t.Label, zone, true) {
				return true
			}
		}
	}
	return false
}

// surgeDemands is the room that has to be rented before what is to be moved can be stopped: of
// rollouts that rent no replacements, for replicas that have no room elsewhere.
func (b *ClusterState) surgeDemands() (ds []placement.Demand) {
	if b.disruption == nil || b.disruption.orders == nil {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(b.disruption.noRoom)) {
		order := b.disruption.orders.Machines[name]
		if !order.Drain || !order.Surge || order.Replace {
			continue
		}
		for _, p := range b.sortedPlacesOn(name) {
			ask := p.Job.Rec.Spec.Ask()
			if isService(&p.Job.Rec.Spec) && !p.stopping && !b.onItsWay(&ask) {
				ds = append(ds, placement.Demand{Ask: ask, Count: 1, Keep: true})
			}
		}
	}
	return ds
}

// onItsWay tells that a machine with accelerators is booting that work without them could use.
// Rentals count no such machine as room for it, so that another would be rented at each look.
func (b *ClusterState) onItsWay(ask *placement.Ask) bool {
	for _, m := range b.roster.Machines {
		t := b.types[m.Type]
		if m.Booting && !m.Heard && t != nil && t.Accels > 0 && ask.Need.Accels == 0 && t.Room().Holds(ask.Need) && ask.Allows(m.Type, m.Zone, m.Spot) {
			return true
		}
	}
	return false
}

// roomFor finds a machine with room for one more task of a job; nil if there is none. Work without
// accelerators takes a machine with some only where nothing else has room.
func (b *ClusterState) roomFor(j *Job, zones *zoning, reserved map[ids.Machine]reservation, now time.Time) *host {
	if h := b.roomOn(j, zones, reserved, now, false); h != nil {
		return h
	}
	return b.roomOn(j, zones, reserved, now, true)
}

// roomOn finds room on machines with accelerators, or on those without.
func (b *ClusterState) roomOn(j *Job, zones *zoning, reserved map[ids.Machine]reservation, now time.Time, accelerators bool) *host {
	ask := j.Rec.Spec.Ask()
	var best *host
	bestScore := 0.0
	for _, s := range b.shelfOrder {
		if !ask.Allows(s.label, s.zone, s.spot) || s.t.Accels > 0 != accelerators || zones.may(s.zone, 1) == 0 {
			continue
		}
		for _, h := range s.open {
			m, ok := b.usable(h, now)
			_, taken := reserved[h.name]
			if held, is := b.reserved[h.name]; is && held.until.After(now) {
				taken = true
			}
			if !ok || taken || m.Going || !h.free().Holds(ask.Need) {
				continue
			}
			machine := b.sight(h, m, j, nil, now)
			if score := placement.Score(&machine, &ask); best == nil || score < bestScore || score == bestScore && h.name < best.name {
				best, bestScore = h, score
			}
		}
	}
	return best
}
