package claim

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// reservation keeps room that was freed by stopping others for whom it was
// freed.
type reservation struct {
	job           ids.Job
	need          placement.Room // others may use what is beyond it
	made          time.Time
	until         time.Time
	whileEmptying bool // kept free for it as it empties, nothing was stopped
}

// victimKey is what decides whom a job may displace.
type victimKey struct {
	priority   record.Priority
	guaranteed bool
	team       string
	image      string // only machines that hold it; empty: all
	fullKey
}

func (j *Job) victimKey(ask *placement.Ask) victimKey {
	k := victimKey{priority: j.priority(), guaranteed: j.guaranteed, fullKey: keyOf(ask)}
	if j.guaranteed {
		k.team = j.Rec.Spec.Team
	}
	return k
}

// victimsOf lists the machines on which a job may stop something, or where
// something is being stopped; if an image is named, only those that hold it. Jobs alike
// share the list within a pass.
func (b *ClusterState) victimsOf(j *Job, ask *placement.Ask, image string, ps *pass) []*host {
	k := j.victimKey(ask)
	k.image = image
	if hs, ok := ps.victims[k]; ok {
		return hs
	}
	if image != "" {
		hs := slices.DeleteFunc(slices.Clone(b.victimsOf(j, ask, "", ps)), func(h *host) bool { return !h.holds(b, image) })
		ps.victims[k] = hs
		return hs
	}
	on := map[*host]bool{}
	for _, o := range b.line {
		if len(o.places) == 0 || !b.mayStopJob(o, j) {
			continue
		}
		for _, p := range o.places {
			on[b.hosts[p.Machine]] = true
		}
	}
	hs := make([]*host, 0, len(on))
	for h := range on {
		m := b.roster.Machines[h.name]
		t := b.types[m.Type]
		if t == nil || !m.Usable(ps.now, b.set.Params.Workers.ReportS) || !ask.Allows(m.Type, m.Zone, m.Spot) {
			continue
		}
		hs = append(hs, h)
	}
	slices.SortFunc(hs, func(x, y *host) int { return cmpString(string(x.name), string(y.name)) })
	ps.victims[k] = hs
	return hs
}

// preempt frees room for one task of j by stopping others, where the rules of
// priority and guarantee allow it, at the least loss.
func (b *ClusterState) preempt(j *Job, ask *placement.Ask, ps *pass) (bool, string) {
	k := j.victimKey(ask)
	if covered(ps.spare[k], ask.Need) {
		return false, ""
	}
	ok, host, barren := b.preemptOn(j, ask, ps, anyVictims)
	if barren {
		ps.spare[k] = append(ps.spare[k], ask.Need)
	}
	return ok, host
}

// roomWhereHeld frees room on a machine that holds the image, by stopping
// tasks that exit at once; it names the machine, also while that goes on.
func (b *ClusterState) roomWhereHeld(j *Job, ask *placement.Ask, ps *pass) string {
	for name, r := range b.reserved {
		if r.job != j.Rec.Spec.ID || ps.now.Sub(r.made) >= time.Second {
			continue
		}
		if h := b.hosts[name]; h != nil && h.holds(b, ask.Image) && (h.shelf == nil || !h.free().Holds(ask.Need)) {
			return string(name) // not free yet
		}
		return ""
	}
	if len(b.byImage[ask.Image]) == 0 {
		return ""
	}
	// Only lesser work: to swap one replica for another, as a guarantee would allow, gains
	// nothing here and costs the other its start.
	lesser := func(victims []*Place) bool {
		return len(victims) > 0 && !slices.ContainsFunc(victims, func(v *Place) bool {
			return v.leewayWanted() > 0 || v.Job.Rec.Spec.Shape == record.Service || v.Job.priority() >= j.priority()
		})
	}
	_, host, _ := b.preemptOn(j, ask, ps, victimFilter{image: ask.Image, accepts: lesser})
	return host
}

// victimFilter says where tasks may be stopped for another one.
type victimFilter struct {
	image   string // only on machines that hold it; empty: on all
	accepts func([]*Place) bool
}

var anyVictims = victimFilter{accepts: func([]*Place) bool { return true }}

// enoughCandidates is among how many machines the one is chosen on which stopping others
// loses least. In a fleet of thousands, on most of which that is possible, to weigh them all
// for each of hundreds of urgent tasks takes longer than their workers' leases last.
const enoughCandidates = 200

// displaceable tells whether stopping others would make room on machines
// without accelerators.
func (b *ClusterState) displaceable(j *Job, ask *placement.Ask, ps *pass) bool {
	zones := b.zones(j)
	for _, h := range b.victimsOf(j, ask, "", ps) {
		m := b.roster.Machines[h.name]
		t := b.types[m.Type]
		if t.Accels > 0 || !t.Room().Holds(ask.Need) || zones.may(m.Zone, 1) == 0 {
			continue
		}
		if _, _, ok := b.victims(j, h, t.Room().Minus(h.used), ask, ps.now); ok {
			return true
		}
	}
	return false
}

// preemptOn picks the machine where stopping others loses least among those
// that the filter allows; barren tells that no machine was left to choose from.
func (b *ClusterState) preemptOn(j *Job, ask *placement.Ask, ps *pass, filter victimFilter) (done bool, where string, barren bool) {
	if j.suspect() {
		return false, "", false // nothing is stopped for what may fail anyway
	}
	if j.priority() < record.High && !j.guaranteed || !b.Storing() {
		return false, "", true
	}
	now := ps.now
	zones := b.zones(j)
	held := 0
	for name, r := range b.reserved {
		if !r.until.After(now) {
			delete(b.reserved, name)
		} else if r.job == j.Rec.Spec.ID {
			held++
		}
	}
	if held >= max(1, j.left()-len(j.places)) {
		return false, "", false
	}
	var best *host
	var bestVictims []*Place
	bestLoss := 0.0
	barren = true
	hosts := b.victimsOf(j, ask, filter.image, ps)
	first, candidates := 0, 0
	if len(hosts) > enoughCandidates {
		first = b.rng.IntN(len(hosts))
	}
	for i := 0; i < len(hosts) && candidates < enoughCandidates; i++ {
		h := hosts[(first+i)%len(hosts)]
		if _, ok := b.reserved[h.name]; ok {
			continue
		}
		m := b.roster.Machines[h.name]
		t := b.types[m.Type]
		if !t.Room().Holds(ask.Need) {
			continue
		}
		ps.machinesExamined++
		free := t.Room().Minus(h.used)
		victims, loss, ok := b.victims(j, h, free, ask, now)
		if !ok {
			continue
		}
		barren = false
		pm := placement.Machine{Name: h.name, Type: t, Zone: m.Zone, Spot: m.Spot, Free: free, Holds: m.Images.Has(ask.Image)}
		if zones.may(m.Zone, 1) == 0 || !filter.accepts(victims) {
			continue
		}
		candidates++
		if ask.Long && t.Accels > ask.Need.Accels {
			loss += 1e6 // it would hold the dear machine for good
		}
		if !pm.Holds && h.pulls[ask.Image] == nil {
			loss += ask.ImageGB / max(t.PullGBPerS, 0.01)
		}
		if best == nil || loss < bestLoss {
			best, bestLoss, bestVictims = h, loss, victims
		}
	}
	if best == nil {
		return false, "", barren
	}
	grace := ids.Seconds(0)
	for _, v := range bestVictims {
		lee := v.leewayWanted()
		if j.priority() == record.Critical && v.littleToSave(now) {
			lee = 0
		}
		b.stop(v, lee, fmt.Sprintf("to make room for %s (%s)", j.Rec.Spec.ID, j.priority()))
		grace = max(grace, v.leeway)
	}
	b.reserved[best.name] = reservation{job: j.Rec.Spec.ID, need: ask.Need, made: now, until: now.Add((grace + 10).Duration())}
	return true, string(best.name), false
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
	if s.Shape != record.Array || s.Checkpoint <= 0 {
		return false
	}
	if p.ranSince.IsZero() {
		return true
	}
	since := math.Mod(now.Sub(p.ranSince).Seconds(), float64(s.Checkpoint))
	return since <= 3*float64(s.Save)
}

// victims picks whom to stop on a machine so that the ask fits.
func (b *ClusterState) victims(j *Job, h *host, free placement.Room, ask *placement.Ask, now time.Time) ([]*Place, float64, bool) {
	type cand struct {
		p    *Place
		loss float64
	}
	var cs []cand
	for p := range h.places {
		if p.stopping {
			free = free.Plus(p.Job.Rec.Spec.Need)
			continue
		}
		if b.mayStop(p, j) {
			cs = append(cs, cand{p, p.lossIfStopped(now)})
		}
	}
	hurry := j.priority() == record.Critical
	sort.Slice(cs, func(x, y int) bool {
		a, z := cs[x].p.Job.priority(), cs[y].p.Job.priority()
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

// mayStop is the protocol's rule of preemption, but that the beginning of a job that
// starved is kept for a moment.
func (b *ClusterState) mayStop(p *Place, j *Job) bool {
	return b.mayStopJob(p.Job, j) && !p.keptFrom(j)
}

// keptFrom tells whether a place is kept for now from being stopped for a job.
func (p *Place) keptFrom(j *Job) bool {
	return j.priority() < record.Critical && time.Now().Before(p.keptUntil)
}

func (b *ClusterState) mayStopJob(v, j *Job) bool {
	if v.priority() < j.priority() {
		return true
	}
	if !j.guaranteed || v.guaranteed || v.Rec.Spec.Team == j.Rec.Spec.Team {
		return false
	}
	t, _ := b.set.Team(v.Rec.Spec.Team)
	used := b.quota.Used(v.Rec.Spec.Team)
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
	if s.Shape == record.Service {
		ran = 1000
	}
	return ran * s.Need.Cores
}
