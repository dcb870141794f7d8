package claim

import (
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// warmth remembers how much a class of jobs used lately, so that room is kept
// for work that must start sooner than a machine boots.
type warmth struct {
	ask      placement.Ask
	spread   bool
	critical bool
	shape    record.Shape
	want     []int // tasks wanted at once, one sample a second
	ran      []int // tasks placed at once
	now      int
	busy     int
}

const warmWindow = 120

// sample notes once a second how much each class wants.
func (b *ClusterState) sample(now time.Time) {
	if !b.sampled.IsZero() && now.Sub(b.sampled) < time.Second {
		return
	}
	b.sampled = now
	b.account(now)
	for _, w := range b.warm {
		w.now, w.busy = 0, 0
	}
	for _, j := range b.jobs {
		s := &j.Rec.Spec
		w := b.warm[s.Class]
		if w == nil {
			w = &warmth{}
			b.warm[s.Class] = w
		}
		w.ask, w.spread, w.critical, w.shape = s.Ask(), s.Spread, s.Priority == record.Critical, s.Shape
		w.ask.Types, w.ask.Zone = s.Types, ""
		w.busy += len(j.places)
		if j.claimable() && !j.failing() {
			n := j.left()
			if s.Shape == record.Array {
				n = min(n, len(j.places)+b.quotaFor(s, n))
			}
			w.now += n
		}
	}
	for class, w := range b.warm {
		// Users name the classes: one not seen for a window is forgotten.
		if w.now == 0 && w.busy == 0 && len(w.ran) == warmWindow && !slices.ContainsFunc(w.ran, func(n int) bool { return n > 0 }) {
			delete(b.warm, class)
			continue
		}
		if w.want = append(w.want, w.now); len(w.want) > warmWindow {
			w.want = w.want[1:]
		}
		if w.ran = append(w.ran, w.busy); len(w.ran) > warmWindow {
			w.ran = w.ran[1:]
		}
	}
}

// Needs is what the fleet should provide, most important first, and what is
// there.
func (b *ClusterState) Needs(now time.Time) (ds []placement.Demand, ups []placement.Up, types []*placement.Type) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer measure.Process.Took("weighing the fleet", time.Now())
	for _, t := range b.types {
		types = append(types, t)
	}
	sort.Slice(types, func(x, y int) bool { return types[x].Label < types[y].Label })
	ds = append(b.demands(now), b.surgeDemands()...)
	if !b.othersLack {
		ds = append(ds, b.keeps()...)
	}
	late := b.latecomers(now)
	for _, m := range b.roster.Sorted() {
		t := b.types[m.Type]
		if t == nil || m.Failed || m.Deleting || m.Draining != "" || !m.TakenAt.IsZero() {
			continue
		}
		if m.Heard && !m.Usable(now, b.set.Params.Workers.ReportS) || m.Name == b.emptying {
			continue
		}
		u := placement.Up{Name: m.Name, Type: t, Zone: m.Zone, Spot: m.Spot, Coming: !m.Heard, Late: late[m.Name], Free: t.Room(), Idle: m.Heard}
		if h := b.hosts[m.Name]; h != nil {
			u.Free, u.Turn, u.Idle = u.Free.Minus(h.used), h.turn, m.Heard && len(h.places) == 0
		}
		ups = append(ups, u)
	}
	return ds, ups, types
}

// horizon is the time within which queued work should get its turn; a queue
// that the machines at hand work off sooner needs no new ones.
func (b *ClusterState) horizon(j *Job) float64 {
	if j.Rec.Spec.Shape == record.Gang {
		// A queued gang gains from a new machine only if the wait for a
		// running one to end is longer than a boot and a fetch.
		return b.fresh(&j.Rec.Spec)
	}
	if j.guaranteed || j.priority() >= record.High {
		return 10
	}
	s := &j.Rec.Spec
	due := math.Inf(1)
	if s.Due > 0 {
		due = float64(s.Due) - j.Rec.Awaited().Seconds()
	}
	if by := j.inherited.Deadline; !by.IsZero() {
		due = min(due, time.Until(by).Seconds())
	}
	for _, o := range b.set.Params.Objectives {
		if o.Class == s.Class && o.Kind == "finished" {
			due = min(due, float64(o.WithinS))
		}
	}
	// A quarter of the slack: the rest is for arrivals in bunches and bad luck.
	return max(10, min(60, (due-float64(s.Estimate))/4))
}

// fetch is how long a task's image takes where it fits best.
func (b *ClusterState) fetch(s *record.Spec) float64 {
	best := 0.0
	for _, t := range b.types {
		if t.Room().Holds(s.Need) && (best == 0 || s.ImageGB/max(t.PullGBPerS, 0.01) < best) {
			best = s.ImageGB / max(t.PullGBPerS, 0.01)
		}
	}
	return best
}

// fresh is how long a new machine for such tasks takes to be up with the image.
func (b *ClusterState) fresh(s *record.Spec) float64 {
	best := math.Inf(1)
	for _, t := range b.types {
		if t.Room().Holds(s.Need) {
			best = min(best, b.bootTime(t).Seconds()+s.ImageGB/max(t.PullGBPerS, 0.01))
		}
	}
	return best
}

// want is how many machines' places a job's queued tasks call for, as a
// fraction of each, and the share of the room in use now that will be free for
// them in time: that hangs on how long what runs there takes (runs, by class),
// not only on how short the waiting job is.
func (b *ClusterState) want(j *Job, runs map[string]float64, now time.Time) (slots, turn float64) {
	s := &j.Rec.Spec
	if j.failing() {
		return 0, 0
	}
	n := j.left() - len(j.places) - j.backingOff(now)
	n = min(n, b.quotaFor(s, max(n, 0)))
	if n <= 0 {
		return 0, 0
	}
	turn = 1
	slots = float64(n)
	if s.Estimate > 0 && (s.Shape == record.Array || s.Shape == record.Gang && s.Tasks == 1) {
		takes := float64(s.Estimate)
		if s.Shape == record.Gang {
			takes += b.fetch(s) / 2 // about every second one has to fetch
		}
		share := min(1, takes/b.horizon(j))
		slots *= share
	}
	if s.Estimate > 0 {
		turn = min(1, b.horizon(j)/max(runs[s.Class], float64(s.Estimate)))
	}
	return slots, turn
}

// running is the mean estimate of the tasks that each class has on machines.
func (b *ClusterState) running() map[string]float64 {
	sum, n := map[string]float64{}, map[string]float64{}
	for _, j := range b.line {
		if k := float64(len(j.places)); k > 0 {
			sum[j.Rec.Spec.Class] += k * float64(j.Rec.Spec.Estimate)
			n[j.Rec.Spec.Class] += k
		}
	}
	for c := range sum {
		sum[c] /= n[c]
	}
	return sum
}

// demands adds up what the jobs of a class want: rounding each job up would
// rent a machine for every small one.
func (b *ClusterState) demands(now time.Time) []placement.Demand {
	type group struct {
		class      string
		guaranteed bool
		need       placement.Room
		zone       string
		types      string
		job        ids.Job // of those that need a zone of their own choice
	}
	sums := map[group]float64{}
	at := map[group]int{}
	var ds []placement.Demand
	runs := b.running()
	for _, j := range b.ranked(now) {
		slots, turn := b.want(j, runs, now)
		if slots <= 0 {
			continue
		}
		s := &j.Rec.Spec
		ask := s.Ask()
		g := group{class: s.Class, guaranteed: j.guaranteed, need: s.Need, types: strings.Join(s.Types, ",")}
		if s.OneZone && s.Tasks > 1 {
			g.job = s.ID
			for _, p := range j.places {
				if m := b.roster.Machines[p.Machine]; m != nil && m.Zone != "" {
					ask.Zone = m.Zone // where the rest is
				}
			}
		}
		g.zone = ask.Zone
		if _, ok := at[g]; !ok {
			at[g] = len(ds)
			ds = append(ds, placement.Demand{Ask: ask, Spread: s.Spread, Together: g.job != "" && ask.Zone == "", Preempt: j.priority() >= record.High, TurnShare: turn})
		}
		sums[g] += slots
	}
	for g, i := range at {
		ds[i].Count = int(math.Ceil(sums[g] - 0.01))
	}
	return ds
}

// keeps is the room to hold free: some for critical work, and as much as they
// lately wanted for classes that are to start sooner than a machine boots.
func (b *ClusterState) keeps() []placement.Demand {
	var ds []placement.Demand
	classes := make([]string, 0, len(b.warm))
	for c := range b.warm {
		classes = append(classes, c)
	}
	sort.Strings(classes)
	for _, c := range classes {
		w := b.warm[c]
		if w.critical {
			n := max(1, int(math.Ceil(b.set.Own.SpareShare*float64(w.busy))))
			ds = append(ds, placement.Demand{Ask: w.ask, Count: n, Spread: true, Keep: true, Preempt: true, TurnShare: 1})
			continue
		}
		if w.shape == record.Array && b.aimed(c) {
			if n := min(w.high()-max(w.busy, w.now), b.affordable(w)); n > 0 {
				ds = append(ds, placement.Demand{Ask: w.ask, Count: n, Keep: true})
			}
			continue
		}
		if !b.startsSoon(c, w) {
			continue
		}
		// Too little is known right after a takeover to hire by it.
		young := len(w.want) < 60
		n := w.staff() - max(w.busy, w.now)
		if young {
			n = 2 * (w.now + 1)
		}
		if n > 0 {
			ds = append(ds, placement.Demand{Ask: w.ask, Count: n, Keep: true, Hold: young, Preempt: w.shape == record.Gang, TurnShare: 1})
		}
	}
	return ds
}

// high is what the class rarely wants more of.
func (w *warmth) high() int {
	if len(w.want) == 0 {
		return 0
	}
	v := append([]int(nil), w.want...)
	sort.Ints(v)
	return v[len(v)*9/10]
}

// aimed tells whether the settings expect anything of the class.
func (b *ClusterState) aimed(class string) bool {
	for _, o := range b.set.Params.Objectives {
		if o.Class == class || o.Kind == "guarantee" {
			return true
		}
	}
	return false
}

// affordable is how many tasks of a class room may be kept for, at a small
// share of what the fleet costs.
func (b *ClusterState) affordable(w *warmth) int {
	fleet := 0.0
	for _, m := range b.roster.Machines {
		if t := b.types[m.Type]; t != nil {
			fleet += t.PriceOf(m.Spot)
		}
	}
	each := math.Inf(1)
	for _, t := range b.types {
		if n := t.Room().Count(w.ask.Need, 1000); n > 0 && (w.ask.Types == nil || w.ask.Allows(t.Label, w.ask.Zone, false)) {
			each = min(each, t.Price/float64(n))
		}
	}
	return int(b.set.Own.BurstCostShare * fleet / each)
}

// staff is how many tasks of the class to have room for: the mean placed and
// most of its square root, a margin for work that comes at random.
func (w *warmth) staff() int {
	if len(w.ran) == 0 {
		return 0
	}
	// Placed ones only: a queue counts itself again for every second that it
	// waits, and has a demand of its own.
	sum := 0
	for _, n := range w.ran {
		sum += n
	}
	a := float64(sum) / float64(len(w.ran))
	return int(math.Ceil(a + 0.7*math.Sqrt(a) - 0.05))
}

// startsSoon tells whether a class is to start before a hired machine could be
// up with its image.
func (b *ClusterState) startsSoon(class string, w *warmth) bool {
	slowest := math.Inf(1)
	for _, t := range b.types {
		if t.Room().Holds(w.ask.Need) && (w.ask.Types == nil || w.ask.Allows(t.Label, w.ask.Zone, false)) {
			slowest = min(slowest, float64(t.BootS)+w.ask.ImageGB/max(t.PullGBPerS, 0.01))
		}
	}
	for _, o := range b.set.Params.Objectives {
		if o.Kind == "wait" && o.Class == class && float64(o.WithinS) < slowest {
			return true
		}
	}
	return false
}
