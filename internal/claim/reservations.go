package claim

import (
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// A job whose tasks take much of a machine may go first in the order and still
// never begin: whatever a machine frees, smaller tasks take before enough is free
// at once. So for one that starves, machines are set aside: nothing but critical
// work is placed there until what runs on them has ended.

// starves tells whether a job has waited so long to begin that it goes ahead of all but
// critical work. One whose tasks were all stopped again right after their start has not
// begun; its wait starts anew then, so that it does not come right back.
func (j *Job) starves(now time.Time) bool {
	if begun := j.lasted && j.Rec.Attempt > 0; begun || len(j.places) > 0 || j.Rec.Finished.Len() > 0 {
		return false
	}
	waitsSince := j.Rec.Since().Time()
	if j.emptied.After(waitsSince) {
		waitsSince = j.emptied
	}
	return now.Sub(waitsSince) > starving
}

// Machines are set aside for reservedFor at most; others are looked for again after
// reserveAgain; and all together are one machine in reservedShare, but for a job that
// needs more at once.
const (
	reservedFor   = time.Minute
	reserveAgain  = 5 * time.Second
	reservedShare = 20
)

// wantsReservation tells whether machines are to be set aside for a job that lacks n. High
// work stops others instead; but on the dearest machines all work may be high: each
// that ends is followed by a gang of one, and one that needs two at once never begins.
func (j *Job) wantsReservation(n int, now time.Time) bool {
	if j.priority() >= record.High && (n < 2 || j.Rec.Spec.Shape != record.Gang) {
		return false
	}
	return !j.suspect() && j.starves(now) && now.Sub(j.reservationSought) >= reserveAgain
}

// reserveMachines keeps n machines for a starving job, those that are soonest free
// enough; it tells whether it did. It looks at every machine, but once a minute
// for a job that starves.
func (b *ClusterState) reserveMachines(j *Job, ask *placement.Ask, n int, now time.Time) bool {
	if !j.wantsReservation(n, now) {
		return false
	}
	j.reservationSought = now
	held := 0
	for _, r := range b.reserved {
		if r.whileEmptying && r.until.After(now) {
			held++
		}
	}
	if held+n > max(2*n, len(b.hosts)/reservedShare) {
		return false
	}
	type candidate struct {
		h     *host
		zone  string
		after time.Duration
	}
	var cs []candidate
	for _, h := range b.hosts {
		m := b.roster.Machines[h.name]
		if m == nil {
			continue
		}
		if r, ok := b.reserved[h.name]; ok && r.until.After(now) {
			if r.job == j.Rec.Spec.ID {
				return true
			}
			continue
		}
		t := b.types[m.Type]
		if t == nil || m.Going || !m.Usable(now, b.set.Params.Workers.ReportS) || !ask.Allows(m.Type, m.Zone, m.Spot) ||
			ask.Need.Accels == 0 && t.Accels > 0 || !t.Room().Minus(h.used).Plus(h.turn).Holds(ask.Need) {
			continue
		}
		cs = append(cs, candidate{h, m.Zone, h.freeIn(now)})
	}
	slices.SortFunc(cs, func(x, y candidate) int {
		if x.after != y.after {
			return int(x.after - y.after)
		}
		return cmpString(string(x.h.name), string(y.h.name))
	})
	if j.Rec.Spec.OneZone && n > 1 {
		// All in the zone that is soonest complete.
		count := map[string]int{}
		for _, c := range cs {
			if count[c.zone]++; count[c.zone] == n {
				cs = slices.DeleteFunc(cs, func(o candidate) bool { return o.zone != c.zone })
				break
			}
		}
	}
	if len(cs) < n {
		return false
	}
	until := now.Add(reservedFor)
	if j.priority() >= record.High {
		until = now.Add(2 * reservedFor) // what runs there runs long
	}
	for _, c := range cs[:n] {
		b.reserved[c.h.name] = reservation{job: j.Rec.Spec.ID, need: ask.Need, made: now, until: until, whileEmptying: true}
	}
	b.note(j, "%d machines set aside for it, %s the first", n, cs[0].h.name)
	return true
}

// keptFor is how long the beginning of a job that starved is not undone by stopping it
// for others but critical work: a start counts for its user only after that long
// (protocol, "How aims are counted").
const keptFor = 30 * time.Second

// keepForNow protects the beginning of a job that starved: of a gang all tasks, of any
// other job one, on a machine that was set aside for it if there is one.
func (b *ClusterState) keepForNow(j *Job, fresh []*Place) {
	until := time.Now().Add(keptFor)
	if j.Rec.Spec.Shape == record.Gang {
		for _, p := range fresh {
			p.keptUntil = until
		}
		return
	}
	var kept *Place
	for _, p := range fresh {
		if kept == nil || b.reserved[p.Machine].job == j.Rec.Spec.ID {
			kept = p
		}
	}
	if kept != nil {
		kept.keptUntil = until
	}
}

// freeIn guesses when everything on a machine that ends by itself has ended.
func (h *host) freeIn(now time.Time) time.Duration {
	longest := time.Duration(0)
	for p := range h.places {
		s := &p.Job.Rec.Spec
		if s.Shape == record.Service {
			continue
		}
		since := p.ranSince
		if since.IsZero() || p.status == worker.Pulling {
			since = now
		}
		longest = max(longest, s.Estimate.Duration()-now.Sub(since), time.Second)
	}
	return longest
}
