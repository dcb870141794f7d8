package claim

import (
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// drains stops, in time to save or to start elsewhere, what is on machines
// that will be taken or are faulty.
func (b *ClusterState) drains(now time.Time) {
	names := make([]ids.Machine, 0, len(b.leaving))
	for name := range b.leaving {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		m := b.roster.Machines[name]
		if m == nil || m.Draining == "" && m.TakenAt.IsZero() && !m.Going {
			delete(b.leaving, name)
			continue
		}
		taken := !m.TakenAt.IsZero()
		if !taken && m.Draining == "" {
			b.moveReplica(m, now)
			continue
		}
		if !taken && b.disruption != nil {
			continue // emptied within the budgets
		}
		for p := range b.placesOn(name) {
			if p.stopping {
				continue
			}
			why := drainedText(m)
			lee := p.leewayWanted()
			if taken {
				left := m.TakenAt.Sub(now)
				// Saving goes as late as is safe; what cannot save and cannot
				// finish in time begins again elsewhere at once.
				if lee > 0 && left > (lee+3).Duration() || lee == 0 && (p.finishes(left, now) || !b.Storing()) {
					continue
				}
				why = "the cloud takes " + string(name) + " back"
			}
			b.stop(p, lee, why)
		}
	}
}

// drainedText is why tasks are stopped on a machine on which tasks keep failing.
func drainedText(m *worker.Machine) string {
	return "machine " + string(m.Name) + " is drained: " + m.Draining
}

// movedRoomFor is how long room is kept for a replica that is moved off a machine to be returned.
const movedRoomFor = 5 * time.Second

// moveReplica takes one replica at a time off a machine that is only kept by
// it, when another machine has room and the image.
func (b *ClusterState) moveReplica(m *worker.Machine, now time.Time) {
	if now.Sub(b.moved) < 1500*time.Millisecond || !b.Storing() {
		return
	}
	for p := range b.placesOn(m.Name) {
		if p.Job.Rec.Spec.Shape != record.Service || p.stopping || p.status != worker.Running || now.Sub(p.ranSince) < settledFor {
			continue
		}
		ask := p.Job.Rec.Spec.Ask()
		var best *host
		bestScore := 0.0
		for h := range b.byImage[ask.Image] {
			t, ok := b.usable(h, now)
			if !ok || h.name == m.Name || t.Zone != m.Zone || t.Going || h.shelf.t.Accels > 0 || !t.Images.Has(ask.Image) ||
				!h.free().Holds(ask.Need) || !ask.Allows(t.Type, t.Zone, t.Spot) {
				continue
			}
			pm := b.sight(h, t, p.Job, nil, now)
			if s := placement.Score(&pm, &ask); best == nil || s < bestScore || s == bestScore && h.name < best.name {
				best, bestScore = h, s
			}
		}
		if best == nil {
			continue
		}
		b.moved = now
		if !b.mayMove(p, now) {
			return
		}
		b.reserved[best.name] = reservation{job: p.Job.Rec.Spec.ID, need: ask.Need, made: now, until: now.Add(movedRoomFor)}
		if b.disruption == nil {
			b.stop(p, p.leewayWanted(), movedOff(m.Name))
		} else {
			b.recordEvictions([]evictionUnit{{p.Job, []*Place{p}}}, &evictionStep{rollout: consolidation, stored: map[*Job]uint64{}})
		}
		return
	}
}

// movedOff is why a replica is stopped that is moved to have its machine returned.
func movedOff(machine ids.Machine) string {
	return "moved off " + string(machine) + ", which is to be returned"
}

// mayMove tells whether a replica may be moved that nobody has to move: where operators have set
// budgets, only within these.
func (b *ClusterState) mayMove(p *Place, now time.Time) bool {
	if b.disruption == nil {
		return true
	}
	return !p.evicted && len(b.disruptionMeter(now).Permit(b.evictionRequest(p.Job, p, now))) == 0
}

// finishes guesses whether a task completes within d.
func (p *Place) finishes(d time.Duration, now time.Time) bool {
	s := &p.Job.Rec.Spec
	if s.Shape == record.Service || p.ranSince.IsZero() {
		return false
	}
	return p.ranSince.Add(s.Estimate.Duration()).Before(now.Add(d))
}
