package claim

import (
	"log/slog"
	"runtime"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// pass is what one planning pass has found out so far, so that jobs alike do
// not find it out again.
type pass struct {
	now              time.Time
	full             map[fullKey][]placement.Room // needs for which no machine has room
	victims          map[victimKey][]*host
	spare            map[victimKey][]placement.Room // needs for which stopping others frees nothing
	machinesExamined int                            // machines looked at, for tests and operators
	demands          map[string]quota.Demand        // by team, of tasks that only the team's allowance holds back
}

// maxExamined is after how many looks at machines a pass lets others at the cluster state
// before it goes on. Hundreds of jobs that meet thousands of empty machines, or displace what
// runs there, would otherwise hold it, and with it all heartbeats, for longer than a worker
// waits for its answer. To end the pass instead was tried: the next one began with the same
// jobs, and those behind them waited.
const maxExamined = 50000

// letOthersIn gives the cluster state's lock up for a moment. What the pass has found out may
// be otherwise afterwards, so it is found out again.
func (b *ClusterState) letOthersIn(ps *pass) {
	b.noteHold(ps)
	b.mu.Unlock()
	runtime.Gosched()
	b.mu.Lock()
	b.examinedAtHold = b.machinesExamined + ps.machinesExamined
	clear(ps.full)
	clear(ps.victims)
	clear(ps.spare)
}

// noteHold notes how many machines were looked at since the lock was taken.
func (b *ClusterState) noteHold(ps *pass) {
	b.mostExaminedAtHold = max(b.mostExaminedAtHold, b.machinesExamined+ps.machinesExamined-b.examinedAtHold)
}

func newPass(now time.Time) *pass {
	return &pass{now: now, full: map[fullKey][]placement.Room{}, victims: map[victimKey][]*host{}, spare: map[victimKey][]placement.Room{}, demands: map[string]quota.Demand{}}
}

// fullKey is what decides, beside the amount, which machines an ask may use.
type fullKey struct {
	types, zone string
	spot, accel bool
}

func keyOf(a *placement.Ask) fullKey {
	k := fullKey{zone: a.Zone, spot: a.Spot, accel: a.Need.Accels > 0}
	for _, t := range a.Types {
		k.types += t + ","
	}
	return k
}

// covered tells whether one of the amounts known not to be had lies within
// need.
func covered(known []placement.Room, need placement.Room) bool {
	return slices.ContainsFunc(known, func(r placement.Room) bool { return need.Holds(r) })
}

// Plan claims what there is room for: it puts places in the cluster state, whose
// markers the committer then stores.
func (b *ClusterState) Plan(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lost || len(b.types) == 0 || b.disruption.awaitsOrders() {
		return
	}
	defer measure.Process.Took("planning pass", time.Now())
	b.drains(now)
	b.evict(now)
	b.stopForOtherShards()
	ps := newPass(now)
	b.examinedAtHold = b.machinesExamined
	for _, j := range b.ranked(now) {
		if b.machinesExamined+ps.machinesExamined-b.examinedAtHold > maxExamined {
			b.letOthersIn(ps)
			if b.lost {
				return
			}
		}
		if b.jobs[j.Rec.Spec.ID] != j {
			continue
		}
		b.claim(j, ps)
		if j.waiting != j.logged {
			j.logged = j.waiting
			slog.Debug("waits", "class", j.Rec.Spec.Class, "job", j.Rec.Spec.ID, "why", j.waiting, "left", j.left(), "placed", len(j.places))
		}
	}
	b.quota.SetDemands(ps.demands)
	b.noteHold(ps)
	b.machinesExamined += ps.machinesExamined
	b.sample(now)
}

// claim places what it can of one job.
func (b *ClusterState) claim(j *Job, ps *pass) {
	s := &j.Rec.Spec
	if s.Shape == record.Gang {
		b.claimGang(j, ps)
		return
	}
	now := ps.now
	pending := j.pending()
	if pending <= 0 {
		j.waiting = ""
		return
	}
	if j.rests(now) {
		j.waiting = j.whyRests()
		return
	}
	allowed, open := b.mayHave(j, pending, now), b.openLimit(j)-len(j.places)
	may := min(pending, allowed, open)
	if j.failing() {
		may = min(may, 1)
	}
	placed := 0
	why := ""
	switch {
	case open <= 0:
		why = "as many of its tasks are under way as a record of the state service holds"
	case allowed <= 0:
		ps.lacks(j, min(pending, open))
		why = b.quota.Explain(s.Team)
		if b.yield(j, pending, now) {
			why += "; lesser work of its own makes way"
		}
	}
	ask := s.Ask()
	v := b.survey(j, &ask, ps)
	for i := j.Rec.Finished.NextMissing(0); i < s.Tasks && placed < may; i = j.Rec.Finished.NextMissing(i + 1) {
		if j.places[i] != nil {
			continue
		}
		r := j.tries[i]
		if r != nil && r.at.After(now) {
			why = "backing off after failures"
			continue
		}
		at := v.pick(r)
		if at != nil && j.priority() == record.Critical && !at.holds(b, s.Image) {
			// A fetch takes longer than stopping lesser work where the image
			// is.
			if host := b.roomWhereHeld(j, &ask, ps); host != "" {
				why = "waits for room freed on " + host
				break
			}
		}
		if at == nil {
			why = "no machine has room"
			if ok, victim := b.preempt(j, &ask, ps); ok {
				why = "waits for room freed on " + victim
			} else if b.reserveMachines(j, &ask, 1, now) {
				why = "waits for a machine set aside for it"
			}
			if r == nil {
				break
			}
			continue
		}
		if placed == 0 && !j.goesOn(i) {
			j.Rec.Attempt++
		}
		j.slice.attempt, j.slice.top = j.Rec.Attempt, i
		b.place(j, i, j.Rec.Attempt, at, now)
		v.zones.add(b.roster.Machines[at.name].Zone)
		placed++
	}
	b.placed(j, placed)
	j.waiting = why
	if placed == pending {
		j.waiting = ""
		b.release(j)
	}
}

// slice is how far a claim has got into an array, lowest task first.
type slice struct {
	attempt ids.Attempt
	top     int
}

// goesOn tells whether claiming from task i on only goes on where the last slice
// left off. Then it is one claim with it and shares its attempt: no task above it
// was ever placed under that. A record that had to name an attempt for every few
// tasks would hold a fraction of them.
func (j *Job) goesOn(i int) bool {
	return j.Rec.Spec.Shape == record.Array && j.slice.attempt == j.Rec.Attempt && j.Rec.Attempt > 0 && i > j.slice.top
}

func (b *ClusterState) placed(j *Job, n int) {
	if n == 0 {
		return
	}
	b.touch(j)
	b.hurry(j)
	var fresh []*Place
	for _, p := range j.places {
		if p.version == 0 {
			p.version = j.version
			fresh = append(fresh, p)
		}
	}
	if !j.reservationSought.IsZero() {
		b.keepForNow(j, fresh)
		b.release(j) // it has begun, perhaps elsewhere
		j.reservationSought = time.Time{}
	}
	b.noteMoved(j, fresh)
}

// heldFor tells whether what is free on a machine was freed for another job
// that goes first.
func (b *ClusterState) heldFor(m *placement.Machine, j *Job, now time.Time) bool {
	r, ok := b.reserved[m.Name]
	return ok && r.job != j.Rec.Spec.ID && r.until.After(now) && b.outranks(r.job, j, now) && !m.Free.Minus(r.need).Holds(j.Rec.Spec.Need)
}

// release gives up what was freed for a job that found its places: it may have
// found them elsewhere.
func (b *ClusterState) release(j *Job) {
	for name, r := range b.reserved {
		if r.job == j.Rec.Spec.ID {
			delete(b.reserved, name)
		}
	}
}

// outranks tells whether a reservation's job still goes before j.
func (b *ClusterState) outranks(id ids.Job, j *Job, now time.Time) bool {
	h := b.jobs[id]
	return h != nil && h.claimable() && (h.priority() >= j.priority() || h.starves(now) && j.priority() < record.Critical)
}

func (b *ClusterState) place(j *Job, i int, a ids.Attempt, h *host, now time.Time) {
	m := b.roster.Machines[h.name]
	if res, ok := b.reserved[m.Name]; ok && res.job == j.Rec.Spec.ID {
		delete(b.reserved, m.Name)
	}
	warm := m.Images.Has(j.Rec.Spec.Image) || h.pulls[j.Rec.Spec.Image] != nil
	b.putPlace(&Place{Job: j, Index: i, Machine: m.Name, Session: m.Session, Attempt: a, Token: b.gen, since: now})
	slog.Debug("placed", "class", j.Rec.Spec.Class, "job", j.Rec.Spec.ID, "task", i, "attempt", a, "machine", m.Name, "type", m.Type,
		"warm", warm, "sinceSubmit", now.Sub(j.Rec.Submitted.Time()).Round(time.Millisecond))
}
