package claim

import (
	"fmt"
	"log/slog"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// reservation keeps room that was freed by stopping others for whom it was
// freed.
type reservation struct {
	job   ids.Job
	need  placement.Room // others may use what is beyond it
	made  time.Time
	until time.Time
}

// board is the machines as one planning pass sees them.
type board struct {
	ms   []placement.Machine
	mach []*worker.Machine
	by   map[ids.Machine]int
}

// Plan claims what there is room for: it puts places in the book, whose
// markers the committer then stores.
func (b *Book) Plan(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lost || len(b.types) == 0 {
		return
	}
	b.drains(now)
	bd := b.lookAround(now)
	for _, j := range b.ranked(now) {
		b.claim(j, bd, now)
	}
	b.sample(now)
}

func (b *Book) lookAround(now time.Time) *board {
	bd := &board{by: map[ids.Machine]int{}}
	for _, m := range b.roster.Sorted() {
		t := b.types[m.Type]
		if t == nil || !m.Usable(now, b.set.Params.Workers.ReportS) {
			continue
		}
		bd.by[m.Name] = len(bd.ms)
		bd.ms = append(bd.ms, placement.Machine{Name: m.Name, Type: t, Zone: m.Zone, Spot: m.Spot, Going: m.Going, Free: t.Room().Minus(b.usedOn(m.Name))})
		bd.mach = append(bd.mach, m)
	}
	return bd
}

func (b *Book) usedOn(name ids.Machine) placement.Room {
	var used placement.Room
	for p := range b.on[name] {
		used = used.Plus(p.Job.Rec.Spec.Need)
	}
	return used
}

// ranked lists the claimable jobs: critical work first, then what lies within
// its team's guarantee, then by priority and age.
func (b *Book) ranked(now time.Time) []*Job {
	var js []*Job
	for _, j := range b.jobs {
		if j.claimable() {
			js = append(js, j)
		}
	}
	sort.Slice(js, func(x, y int) bool {
		a, z := &js[x].Rec, &js[y].Rec
		if a.Submitted != z.Submitted {
			return a.Submitted < z.Submitted
		}
		return a.Spec.ID < z.Spec.ID
	})
	demand := map[string]placement.Room{}
	for _, j := range js {
		s := &j.Rec.Spec
		d := demand[s.Team].Plus(s.Need.Times(float64(j.left())))
		demand[s.Team] = d
		t, _ := b.set.Team(s.Team)
		j.guaranteed = within(t, s.Need, d)
	}
	rank := func(j *Job) int {
		p := j.Rec.Spec.Priority
		// Waiting work rises one step at most, so that the lowest never starves.
		if p == Low && now.Sub(j.Rec.Submitted.Time()) > 45*time.Second {
			p = Normal
		}
		r := int(p)
		if j.guaranteed {
			r += 10
		}
		if p == Critical {
			r += 100
		}
		return r
	}
	// Among equals, what is soonest complete goes first: a job is worth nothing
	// to its user until its last task is done. Waiting makes up for size.
	size := func(j *Job) float64 {
		s := &j.Rec.Spec
		if s.Shape == Service {
			return 0
		}
		age := max(0, now.Sub(j.Rec.Submitted.Time()).Seconds())
		return float64(j.left()) * s.Need.Cores * max(1, float64(s.Estimate)) / (1 + age/max(5, min(20, b.horizon(j)/2)))
	}
	sort.SliceStable(js, func(x, y int) bool {
		if a, z := rank(js[x]), rank(js[y]); a != z {
			return a > z
		}
		return size(js[x]) < size(js[y])
	})
	return js
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

// quota is how many more tasks of a job its team's limits allow.
func (b *Book) quota(s *Spec, want int) int {
	t, ok := b.set.Team(s.Team)
	if !ok {
		return 0
	}
	used := b.teams[s.Team]
	room := placement.Room{Cores: 1e12, Accels: 1e12, RAM: 1e12}
	if t.CPUsMax > 0 {
		room.Cores = t.CPUsMax - used.Cores
	}
	if t.GPUsMax > 0 {
		room.Accels = t.GPUsMax - used.Accels
	}
	return room.Count(s.Need, want)
}

// zoneRule tells where one more task of the job may go, given where its others
// are or may be.
func (b *Book) zoneRule(j *Job) placement.Zoner {
	s := &j.Rec.Spec
	if !s.OneZone && !s.Spread {
		return nil
	}
	count := map[string]int{}
	unknown := 0
	for _, p := range j.places {
		if m := b.roster.Machines[p.Machine]; m != nil && m.Zone != "" {
			count[m.Zone]++
		} else {
			unknown++
		}
	}
	return func(zone string) bool {
		if s.OneZone && (unknown > 0 || len(count) > 1 || len(count) == 1 && count[zone] == 0) {
			return false
		}
		return !s.Spread || count[zone]+unknown+1 <= (s.Tasks+1)/2
	}
}

// claim places what it can of one job.
func (b *Book) claim(j *Job, bd *board, now time.Time) {
	s := &j.Rec.Spec
	if s.Shape == Gang {
		b.claimGang(j, bd, now)
		return
	}
	pending := j.left() - len(j.places)
	for i := range j.places {
		if j.Rec.Finished.Has(i) {
			pending++
		}
	}
	if pending <= 0 {
		j.waiting = ""
		return
	}
	may := min(pending, b.quota(s, pending), b.openLimit()-len(j.places))
	placed := 0
	why := ""
	if may <= 0 {
		why = "team " + s.Team + " is at its limit"
		if b.yield(j, pending, now) {
			why += "; lesser work of its own makes way"
		}
	}
	b.warmFor(j, bd)
	ask := s.Ask()
	for i := j.Rec.Finished.NextMissing(0); i < s.Tasks && placed < may; i = j.Rec.Finished.NextMissing(i + 1) {
		if j.places[i] != nil {
			continue
		}
		r := j.tries[i]
		if r != nil && r.at.After(now) {
			why = "backing off after failures"
			continue
		}
		at := b.pick(j, r, &ask, bd, now)
		if at >= 0 && s.Priority == Critical && !bd.ms[at].Holds {
			// A fetch takes longer than stopping lesser work where the image
			// is.
			if host := b.roomWhereHeld(j, &ask, bd, now); host != "" {
				why = "waits for room freed on " + host
				break
			}
		}
		if at < 0 {
			why = "no machine has room"
			if ok, victim := b.preempt(j, &ask, bd, now); ok {
				why = "waits for room freed on " + victim
			}
			if r == nil {
				break
			}
			continue
		}
		if placed == 0 {
			j.Rec.Attempt++
		}
		b.place(j, i, j.Rec.Attempt, bd, at, now)
		placed++
	}
	b.placed(j, placed)
	j.waiting = why
	if placed == pending {
		j.waiting = ""
		b.release(j)
	}
}

func (b *Book) placed(j *Job, n int) {
	if n == 0 {
		return
	}
	b.touch(j)
	for _, p := range j.places {
		if p.version == 0 {
			p.version = j.version
		}
	}
}

// openLimit bounds how many tasks of one job are claimed at a time, so that
// its record always fits a value: a large array goes in batches.
func (b *Book) openLimit() int {
	return max(4, int((b.set.Params.State.ValueKB*1024*0.9-4096)/75))
}

// warmFor notes which machines hold a job's image already.
func (b *Book) warmFor(j *Job, bd *board) {
	for k, m := range bd.mach {
		holds := m.Images.Has(j.Rec.Spec.Image)
		warm := holds
		var pulling []string
		hush := false
		for p := range b.on[m.Name] {
			img := p.Job.Rec.Spec.Image
			warm = warm || img == j.Rec.Spec.Image
			if (!p.seen || p.status == worker.Pulling) && !m.Images.Has(img) && !slices.Contains(pulling, img) {
				pulling = append(pulling, img)
				hush = hush || p.Job.Rec.Spec.Priority >= High && p.Job.Rec.Spec.Priority > j.Rec.Spec.Priority
			}
		}
		bd.ms[k].Warm, bd.ms[k].Avoid, bd.ms[k].Pulls, bd.ms[k].Hush = warm, false, len(pulling), hush
		bd.ms[k].Holds = holds
	}
}

func (b *Book) pick(j *Job, r *retry, ask *placement.Ask, bd *board, now time.Time) int {
	if r != nil {
		for k := range bd.ms {
			bd.ms[k].Avoid = r.avoid[bd.ms[k].Name]
		}
	}
	for k := range bd.ms {
		bd.ms[k].Held = b.heldFor(&bd.ms[k], j, now)
	}
	if ask.Long && ask.Need.Accels == 0 {
		// A service would hold a machine with accelerators for good: it goes
		// there only if stopping others makes no room elsewhere either.
		plain := *bd
		plain.ms = append([]placement.Machine(nil), bd.ms...)
		for k := range plain.ms {
			plain.ms[k].Held = plain.ms[k].Held || plain.ms[k].Type.Accels > 0
		}
		if at := placement.Pick(b.rng, plain.ms, ask, b.zoneRule(j), int(b.set.Own.SampleMachines)); at >= 0 {
			return at
		}
		if b.displaceable(j, ask, &plain, now) {
			return -1
		}
	}
	return placement.Pick(b.rng, bd.ms, ask, b.zoneRule(j), int(b.set.Own.SampleMachines))
}

// displaceable tells whether stopping others would make room on machines
// without accelerators.
func (b *Book) displaceable(j *Job, ask *placement.Ask, bd *board, now time.Time) bool {
	zone := b.zoneRule(j)
	for k := range bd.ms {
		m := &bd.ms[k]
		if m.Type.Accels > 0 || !ask.Allows(m.Type.Label, m.Zone, m.Spot) || zone != nil && !zone(m.Zone) {
			continue
		}
		if _, _, ok := b.victims(j, m, ask, now); ok {
			return true
		}
	}
	return false
}

// heldFor tells whether what is free on a machine was freed for another job
// that goes first.
func (b *Book) heldFor(m *placement.Machine, j *Job, now time.Time) bool {
	r, ok := b.reserved[m.Name]
	return ok && r.job != j.Rec.Spec.ID && r.until.After(now) && b.outranks(r.job, j) && !m.Free.Minus(r.need).Holds(j.Rec.Spec.Need)
}

// release gives up what was freed for a job that found its places: it may have
// found them elsewhere.
func (b *Book) release(j *Job) {
	for name, r := range b.reserved {
		if r.job == j.Rec.Spec.ID {
			delete(b.reserved, name)
		}
	}
}

// outranks tells whether a reservation's job still goes before j.
func (b *Book) outranks(id ids.Job, j *Job) bool {
	h := b.jobs[id]
	return h != nil && h.claimable() && h.Rec.Spec.Priority >= j.Rec.Spec.Priority
}

func (b *Book) place(j *Job, i int, a ids.Attempt, bd *board, at int, now time.Time) {
	m := bd.mach[at]
	bd.ms[at].Free = bd.ms[at].Free.Minus(j.Rec.Spec.Need)
	if res, ok := b.reserved[m.Name]; ok && res.job == j.Rec.Spec.ID {
		delete(b.reserved, m.Name)
	}
	b.putPlace(&Place{Job: j, Index: i, Machine: m.Name, Session: m.Session, Attempt: a, Token: b.gen, since: now})
	slog.Debug("placed", "class", j.Rec.Spec.Class, "job", j.Rec.Spec.ID, "task", i, "attempt", a, "machine", m.Name, "type", m.Type,
		"warm", bd.ms[at].Warm, "sinceSubmit", now.Sub(j.Rec.Submitted.Time()).Round(time.Millisecond))
}

// claimGang places all tasks of a new attempt or none; a task lost while the
// gang still waits is replaced under the same attempt.
func (b *Book) claimGang(j *Job, bd *board, now time.Time) {
	s := &j.Rec.Spec
	missing := s.Tasks - len(j.places)
	if missing <= 0 {
		j.waiting = ""
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
	if b.quota(s, missing) < missing {
		j.waiting = "team " + s.Team + " is at its limit"
		if b.yield(j, missing, now) {
			j.waiting += "; lesser work of its own makes way"
		}
		return
	}
	b.warmFor(j, bd)
	ask := s.Ask()
	saved := append([]placement.Machine(nil), bd.ms...)
	zones := []string{""}
	if s.OneZone && fresh && s.Zone == "" {
		zones = b.set.Params.Zones
	}
	bestCost, bestZone := 0.0, -1
	if len(zones) > 1 {
		// All tasks go to one zone: try each and keep the cheapest.
		for z, zone := range zones {
			cost, ok := b.tryGang(j, &ask, zone, bd, now, nil)
			copy(bd.ms, saved)
			if ok && (bestZone < 0 || cost < bestCost) {
				bestCost, bestZone = cost, z
			}
		}
		if bestZone < 0 {
			b.gangWaits(j, &ask, bd, now)
			return
		}
		zones = zones[bestZone : bestZone+1]
	}
	picks := map[int]int{}
	if _, ok := b.tryGang(j, &ask, zones[0], bd, now, picks); !ok {
		copy(bd.ms, saved)
		b.gangWaits(j, &ask, bd, now)
		return
	}
	copy(bd.ms, saved)
	if fresh {
		j.Rec.Attempt++
	}
	for i := range s.Tasks {
		if at, ok := picks[i]; ok {
			b.place(j, i, j.Rec.Attempt, bd, at, now)
		}
	}
	b.placed(j, len(picks))
	j.waiting = ""
	b.release(j)
}

// tryGang looks for machines for all missing tasks; it changes the board's
// free room and the caller restores it.
func (b *Book) tryGang(j *Job, ask *placement.Ask, zone string, bd *board, now time.Time, picks map[int]int) (float64, bool) {
	s := &j.Rec.Spec
	rule := b.zoneRule(j)
	inZone := map[string]int{}
	cost := 0.0
	for i := range s.Tasks {
		if j.places[i] != nil {
			continue
		}
		zr := func(z string) bool {
			if zone != "" && z != zone || rule != nil && !rule(z) {
				return false
			}
			return !s.Spread || inZone[z]+1 <= (s.Tasks+1)/2
		}
		r := j.tries[i]
		for k := range bd.ms {
			bd.ms[k].Held = b.heldFor(&bd.ms[k], j, now)
			bd.ms[k].Avoid = r != nil && r.avoid[bd.ms[k].Name]
		}
		at := placement.Pick(b.rng, bd.ms, ask, zr, int(b.set.Own.SampleMachines))
		if at < 0 {
			return 0, false
		}
		cost += placement.Score(&bd.ms[at], ask)
		bd.ms[at].Free = bd.ms[at].Free.Minus(s.Need)
		inZone[bd.ms[at].Zone]++
		if picks != nil {
			picks[i] = at
		}
	}
	return cost, true
}

func (b *Book) gangWaits(j *Job, ask *placement.Ask, bd *board, now time.Time) {
	j.waiting = "not all tasks of the gang have room at once"
	missing := j.Rec.Spec.Tasks - len(j.places)
	for range missing {
		ok, victim := b.preempt(j, ask, bd, now)
		if !ok {
			return
		}
		j.waiting = "waits for room freed on " + victim
	}
}

// preempt frees room for one task of j by stopping others, where the rules of
// priority and guarantee allow it, at the least loss.
func (b *Book) preempt(j *Job, ask *placement.Ask, bd *board, now time.Time) (bool, string) {
	return b.preemptOn(j, ask, bd, now, func(*placement.Machine, []*Place) bool { return true })
}

// roomWhereHeld frees room on a machine that holds the image, by stopping
// tasks that exit at once; it names the machine, also while that goes on.
func (b *Book) roomWhereHeld(j *Job, ask *placement.Ask, bd *board, now time.Time) string {
	for name, r := range b.reserved {
		if r.job != j.Rec.Spec.ID || now.Sub(r.made) >= time.Second {
			continue
		}
		at, there := bd.by[name]
		if there && bd.ms[at].Holds && !bd.ms[at].Free.Holds(ask.Need) {
			return string(name) // not free yet
		}
		return ""
	}
	_, host := b.preemptOn(j, ask, bd, now, func(m *placement.Machine, victims []*Place) bool {
		// Only lesser work: to swap one replica for another, as a guarantee
		// would allow, gains nothing here and costs the other its start.
		return m.Holds && len(victims) > 0 && !slices.ContainsFunc(victims, func(v *Place) bool {
			return v.leewayWanted() > 0 || v.Job.Rec.Spec.Shape == Service || v.Job.Rec.Spec.Priority >= j.Rec.Spec.Priority
		})
	})
	return host
}

func (b *Book) preemptOn(j *Job, ask *placement.Ask, bd *board, now time.Time, may func(*placement.Machine, []*Place) bool) (bool, string) {
	if j.Rec.Spec.Priority < High && !j.guaranteed || !b.Storing() {
		return false, ""
	}
	zone := b.zoneRule(j)
	for name, r := range b.reserved {
		if !r.until.After(now) {
			delete(b.reserved, name)
		}
	}
	best, bestLoss := -1, 0.0
	var bestVictims []*Place
	held := 0
	for k := range bd.ms {
		if r, ok := b.reserved[bd.ms[k].Name]; ok {
			if r.job == j.Rec.Spec.ID {
				held++
			}
			continue
		}
		m := &bd.ms[k]
		if !ask.Allows(m.Type.Label, m.Zone, m.Spot) || zone != nil && !zone(m.Zone) || !m.Type.Room().Holds(ask.Need) {
			continue
		}
		victims, loss, ok := b.victims(j, m, ask, now)
		if !may(m, victims) {
			continue
		}
		if ok && ask.Long && m.Type.Accels > ask.Need.Accels {
			loss += 1e6 // see pick
		}
		if ok && !m.Warm {
			loss += ask.ImageGB / max(m.Type.PullGBPerS, 0.01)
		}
		if ok && (best < 0 || loss < bestLoss) {
			best, bestLoss, bestVictims = k, loss, victims
		}
	}
	if held >= max(1, j.left()-len(j.places)) {
		return false, ""
	}
	if best < 0 {
		return false, ""
	}
	name := bd.ms[best].Name
	grace := ids.Seconds(0)
	for _, v := range bestVictims {
		lee := v.leewayWanted()
		if j.Rec.Spec.Priority == Critical && v.littleToSave(now) {
			lee = 0
		}
		b.stop(v, lee, fmt.Sprintf("to make room for %s (%s)", j.Rec.Spec.ID, j.Rec.Spec.Priority))
		grace = max(grace, v.leeway)
	}
	b.reserved[name] = reservation{j.Rec.Spec.ID, ask.Need, now, now.Add((grace + 10).Duration())}
	return true, string(name)
}

// leewayWanted is the leeway that lets a task save.
func (p *Place) leewayWanted() ids.Seconds {
	s := &p.Job.Rec.Spec
	if s.Checkpoint <= 0 {
		return 0
	}
	return s.Save*1.2 + 1
}

// littleToSave tells whether what a task did since it last saved by itself is
// worth less than making critical work wait for a save.
func (p *Place) littleToSave(now time.Time) bool {
	s := &p.Job.Rec.Spec
	if s.Shape != Array || s.Checkpoint <= 0 {
		return false
	}
	if p.ranSince.IsZero() {
		return true
	}
	since := math.Mod(now.Sub(p.ranSince).Seconds(), float64(s.Checkpoint))
	return since <= 3*float64(s.Save)
}

// victims picks whom to stop on a machine so that the ask fits.
func (b *Book) victims(j *Job, m *placement.Machine, ask *placement.Ask, now time.Time) ([]*Place, float64, bool) {
	type cand struct {
		p    *Place
		loss float64
	}
	var cs []cand
	free := m.Free
	for p := range b.on[m.Name] {
		if p.stopping {
			free = free.Plus(p.Job.Rec.Spec.Need)
			continue
		}
		if b.mayStop(p, j) {
			cs = append(cs, cand{p, p.lossIfStopped(now)})
		}
	}
	hurry := j.Rec.Spec.Priority == Critical
	sort.Slice(cs, func(x, y int) bool {
		a, z := cs[x].p.Job.Rec.Spec.Priority, cs[y].p.Job.Rec.Spec.Priority
		// Critical work does not wait for others to save.
		if sx, sy := cs[x].p.leewayWanted(), cs[y].p.leewayWanted(); hurry && sx != sy {
			return sx < sy
		}
		if a != z {
			return a < z
		}
		if cs[x].loss != cs[y].loss {
			return cs[x].loss < cs[y].loss
		}
		return cs[x].p.Task().String() < cs[y].p.Task().String()
	})
	var out []*Place
	loss := 0.0
	for _, c := range cs {
		if free.Holds(ask.Need) {
			break
		}
		out = append(out, c.p)
		loss += c.loss
		if lee := c.p.leewayWanted(); hurry && lee > 0 && !c.p.littleToSave(now) {
			loss += 100 * float64(lee)
		}
		free = free.Plus(c.p.Job.Rec.Spec.Need)
	}
	return out, loss, free.Holds(ask.Need)
}

// yield stops lesser work of a job's own team when the team's limit is all
// that keeps high or critical tasks from starting. What is being stopped
// already counts as making way.
func (b *Book) yield(j *Job, n int, now time.Time) bool {
	s := &j.Rec.Spec
	if s.Priority < High || !b.Storing() {
		return false
	}
	t, _ := b.set.Team(s.Team)
	over := b.teams[s.Team].Plus(s.Need.Times(float64(n)))
	over.Cores -= t.CPUsMax
	over.Accels -= t.GPUsMax
	if t.CPUsMax == 0 {
		over.Cores = 0
	}
	if t.GPUsMax == 0 {
		over.Accels = 0
	}
	var victims []*Place
	for _, o := range b.jobs {
		if o.Rec.Spec.Team != s.Team || o.Rec.Spec.Priority >= s.Priority {
			continue
		}
		for _, p := range o.places {
			if p.stopping {
				over = over.Minus(o.Rec.Spec.Need)
			} else {
				victims = append(victims, p)
			}
		}
	}
	sort.Slice(victims, func(x, y int) bool {
		a, z := victims[x], victims[y]
		if pa, pz := a.Job.Rec.Spec.Priority, z.Job.Rec.Spec.Priority; pa != pz {
			return pa < pz
		}
		if la, lz := a.lossIfStopped(now), z.lossIfStopped(now); la != lz {
			return la < lz
		}
		return a.Task().String() < z.Task().String()
	})
	for _, p := range victims {
		if over.Cores <= 0 && over.Accels <= 0 {
			break
		}
		need := p.Job.Rec.Spec.Need
		if (over.Cores > 0 && need.Cores > 0) || (over.Accels > 0 && need.Accels > 0) {
			over = over.Minus(need)
			b.stop(p, p.leewayWanted(), fmt.Sprintf("its team is at its limit and %s (%s) goes first", s.ID, s.Priority))
		}
	}
	return over.Cores <= 0 && over.Accels <= 0
}

// mayStop is the protocol's rule of preemption.
func (b *Book) mayStop(p *Place, j *Job) bool {
	v := p.Job
	if v.Rec.Spec.Priority < j.Rec.Spec.Priority {
		return true
	}
	if !j.guaranteed || v.guaranteed || v.Rec.Spec.Team == j.Rec.Spec.Team {
		return false
	}
	t, _ := b.set.Team(v.Rec.Spec.Team)
	used := b.teams[v.Rec.Spec.Team]
	if v.Rec.Spec.Need.Accels > 0 {
		return used.Accels > t.GPUs
	}
	return used.Cores > t.CPUs
}

// lossIfStopped is the core-seconds of progress that a stop throws away.
func (p *Place) lossIfStopped(now time.Time) float64 {
	s := &p.Job.Rec.Spec
	if p.ranSince.IsZero() {
		return 0.1 * s.Need.Cores
	}
	ran := now.Sub(p.ranSince).Seconds()
	if s.Checkpoint > 0 {
		ran = float64(s.Save)
	}
	if s.Shape == Service {
		ran = 1000
	}
	return ran * s.Need.Cores
}

// drains stops, in time to save or to start elsewhere, what is on machines
// that will be taken or are faulty.
func (b *Book) drains(now time.Time) {
	for name, ps := range b.on {
		m := b.roster.Machines[name]
		if m == nil {
			continue
		}
		taken := !m.TakenAt.IsZero()
		if m.Going && !taken && m.Draining == "" {
			b.moveReplica(m, now)
			continue
		}
		if m.Draining == "" && !taken {
			continue
		}
		for p := range ps {
			if p.stopping {
				continue
			}
			why := "machine " + string(name) + " is drained: " + m.Draining
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

// moveReplica takes one replica at a time off a machine that is only kept by
// it, when another machine has room and the image.
func (b *Book) moveReplica(m *worker.Machine, now time.Time) {
	if now.Sub(b.moved) < 1500*time.Millisecond || !b.Storing() {
		return
	}
	for p := range b.on[m.Name] {
		if p.Job.Rec.Spec.Shape != Service || p.stopping || p.status != worker.Running || now.Sub(p.ranSince) < settledFor {
			continue
		}
		bd := b.lookAround(now)
		b.warmFor(p.Job, bd)
		ask := p.Job.Rec.Spec.Ask()
		best := -1
		for k := range bd.ms {
			t := &bd.ms[k]
			if t.Name != m.Name && t.Zone == m.Zone && t.Holds && !t.Going && t.Type.Accels == 0 && t.Free.Holds(ask.Need) && ask.Allows(t.Type.Label, t.Zone, t.Spot) &&
				(best < 0 || placement.Score(t, &ask) < placement.Score(&bd.ms[best], &ask)) {
				best = k
			}
		}
		if best >= 0 {
			b.moved = now
			b.reserved[bd.ms[best].Name] = reservation{p.Job.Rec.Spec.ID, ask.Need, now, now.Add(5 * time.Second)}
			b.stop(p, p.leewayWanted(), "moved off "+string(m.Name)+", which is to be returned")
			return
		}
	}
}

// finishes guesses whether a task completes within d.
func (p *Place) finishes(d time.Duration, now time.Time) bool {
	s := &p.Job.Rec.Spec
	if s.Shape == Service || p.ranSince.IsZero() {
		return false
	}
	return p.ranSince.Add(s.Estimate.Duration()).Before(now.Add(d))
}
