package claim

import (
	"encoding/json"
	"log/slog"
	"slices"
	"sort"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/quota"
)

// pass is what one planning pass has found out so far, so that jobs alike do
// not find it out again.
type pass struct {
	now              time.Time
	full             map[fullKey][]placement.Room // needs for which no machine has room
	victims          map[victimKey][]*host
	spare            map[victimKey][]placement.Room // needs for which stopping others frees nothing
	machinesExamined int                            // machines looked at, for tests and operators
	progress         int                            // tasks placed and machines on which others were stopped for one
}

// maxExamined is after how many looks at machines a pass that has placed a task, or stopped
// others for one, ends and leaves the rest to the next one. Hundreds of jobs that meet
// thousands of empty machines, or displace what runs there, would otherwise hold the cluster
// state, and with it all heartbeats, for longer than a worker waits for its answer. A pass
// without progress goes on to the end, so that no job is passed over because of others that
// find no room.
const maxExamined = 50000

func newPass(now time.Time) *pass {
	return &pass{now: now, full: map[fullKey][]placement.Room{}, victims: map[victimKey][]*host{}, spare: map[victimKey][]placement.Room{}}
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
	if b.lost || len(b.types) == 0 {
		return
	}
	defer measure.Process.Took("planning pass", time.Now())
	b.drains(now)
	ps := newPass(now)
	for _, j := range b.ranked(now) {
		if ps.machinesExamined > maxExamined && ps.progress > 0 {
			poke(b.wakePlan)
			break
		}
		b.claim(j, ps)
		if j.waiting != j.logged {
			j.logged = j.waiting
			slog.Debug("waits", "class", j.Rec.Spec.Class, "job", j.Rec.Spec.ID, "why", j.waiting, "left", j.left(), "placed", len(j.places))
		}
	}
	b.machinesExamined += ps.machinesExamined
	b.sample(now)
}

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
		age := max(0, now.Sub(j.Rec.since().Time()).Seconds())
		p := j.priority()
		// Waiting work rises one step at most, so that the lowest never starves.
		if p == Low && age > 45 {
			p = Normal
		}
		es[i].rank = int(p)
		starving := p != Critical && j.starves(now)
		if j.guaranteed && !starving {
			es[i].rank += 10
		}
		switch {
		case j.failing():
			es[i].rank = -1
		case starving:
			es[i].rank += 40
		case p == Critical:
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
		if s.Shape != Service {
			takes := max(1, float64(s.Estimate))
			if s.Shape == Gang && !b.readyWhereHeld(j) {
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

// quotaFor is how many more tasks of a job its team's limits allow.
func (b *ClusterState) quotaFor(s *Spec, want int) int {
	return b.quota.Left(s.Team).Count(s.Need, want)
}

// mayHave is the same less what is owed to a job that goes first.
func (b *ClusterState) mayHave(j *Job, want int, now time.Time) int {
	s := &j.Rec.Spec
	return b.quota.Left(s.Team).Minus(b.withheld(j, now)).Count(s.Need, want)
}

// teamLimits are the limits of the settings by team.
func teamLimits(set *config.Settings) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	for _, team := range set.Params.Teams {
		limits[team.Name] = quota.LimitOf(team.CPUsMax, team.GPUsMax)
	}
	return limits
}

// zoning counts a job's tasks by zone, for the rules on where one more may go.
type zoning struct {
	s       *Spec
	count   map[string]int
	unknown int
}

// zones is nil when the job sets no rule on zones.
func (b *ClusterState) zones(j *Job) *zoning {
	s := &j.Rec.Spec
	if !s.OneZone && !s.Spread {
		return nil
	}
	z := &zoning{s: s, count: map[string]int{}}
	for _, p := range j.places {
		if m := b.roster.Machines[p.Machine]; m != nil && m.Zone != "" {
			z.count[m.Zone]++
		} else {
			z.unknown++
		}
	}
	return z
}

// may is how many more tasks, at most n, may go to a zone.
func (z *zoning) may(zone string, n int) int {
	if z == nil {
		return n
	}
	if z.s.OneZone && (z.unknown > 0 || len(z.count) > 1 || len(z.count) == 1 && z.count[zone] == 0) {
		return 0
	}
	if z.s.Spread {
		n = min(n, (z.s.Tasks+1)/2-z.unknown-z.count[zone])
	}
	return max(n, 0)
}

func (z *zoning) add(zone string) {
	if z != nil {
		z.count[zone]++
	}
}

// claim places what it can of one job.
func (b *ClusterState) claim(j *Job, ps *pass) {
	s := &j.Rec.Spec
	if s.Shape == Gang {
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
		if at != nil && j.priority() == Critical && !at.holds(b, s.Image) {
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
			} else if b.setAside(j, &ask, 1, now) {
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
	ps.progress += placed
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
	return j.Rec.Spec.Shape == Array && j.slice.attempt == j.Rec.Attempt && j.Rec.Attempt > 0 && i > j.slice.top
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
	if !j.aside.IsZero() {
		b.keepForNow(j, fresh)
		b.release(j) // it has begun, perhaps elsewhere
		j.aside = time.Time{}
	}
	b.noteMoved(j, fresh)
}

// openLimit bounds how many tasks of one job are claimed at a time, so that
// its record always fits a value: a large array goes in batches. At first a place
// counts for as many bytes as its machine's name and 20 more; then by what the
// places took when they were last stored, since many small tasks share a machine.
// What is finished in between breaks the ranges up: once a machine's tasks are no
// longer next to one another, each takes the bytes of its number.
func (b *ClusterState) openLimit(j *Job) int {
	value := b.set.Params.State.ValueKB * 1024
	n := int((value*0.92 - min(1500, float64(j.described()))) / 40)
	if w := j.width; w.places > 0 {
		n = max(n, int((value*0.9-float64(w.rest))/(1.25*max(w.places, brokenUp)+1)))
	}
	if j.maxClaimed > 0 {
		n = min(n, j.maxClaimed)
	}
	return max(4, n)
}

// described is about how many bytes of a record a job takes before any of it is
// placed: small values must not go to waste on a guess.
func (j *Job) described() int {
	if j.width.first == 0 {
		raw, _ := json.Marshal(&j.Rec.Spec)
		j.width.first = len(raw) + 400
	}
	return j.width.first
}

// brokenUp is about how many bytes a place takes at the least by then.
const brokenUp = 5

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
	return h != nil && h.claimable() && (h.priority() >= j.priority() || h.starves(now) && j.priority() < Critical)
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
