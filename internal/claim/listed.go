package claim

import (
	"log/slog"
	"sort"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// Hired notes machines just rented.
func (b *ClusterState) Hired(names []ids.Machine, h placement.Hire, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range names {
		m := b.roster.Ensure(n, now, b.trustSilence)
		if !m.Heard {
			m.Type, m.Zone, m.Spot, m.Booting = h.Type, h.Zone, h.Spot, true
			b.hinted(m)
		}
	}
}

// Listed is one machine of the cloud's list.
type Listed struct {
	Name   ids.Machine `json:"uid"`
	Addr   string      `json:"endpoint"`
	Type   string      `json:"build"`
	Zone   string      `json:"yard"`
	Spot   bool        `json:"loaners"`
	Status string      `json:"status"`
	Held   ids.Seconds `json:"heldS"`
}

// List takes in the cloud's list. It lags, so that absence proves nothing and
// only what it says outright counts.
func (b *ClusterState) List(ls []Listed, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range ls {
		l := &ls[i]
		if b.returned[l.Name] {
			continue // the list is older than its deletion
		}
		m := b.roster.Ensure(l.Name, now, b.trustSilence)
		m.ListedAt = now
		if !m.Heard {
			m.Type, m.Zone, m.Spot, m.Addr = l.Type, l.Zone, l.Spot, l.Addr
			m.Booting = l.Status == "booting"
		}
		// The list describes a moment before now: the earliest is nearest.
		if at := now.Add(-l.Held.Duration()); at.Before(m.HeldSince) {
			m.HeldSince = at
		}
		m.Failed = m.Failed || l.Status == "failed"
	}
}

// ListRead notes that the cloud's list was read to its end, and when that reading began.
func (b *ClusterState) ListRead(began time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listBegan = began
}

// unlisted tells whether the cloud surely knows a machine no more: a machine stays listed
// until it is gone, and a list lags by twice its nominal lag at most.
func (b *ClusterState) unlisted(m *worker.Machine) bool {
	lag := 3 * b.set.Params.Cloud.ListLagS.Duration()
	return !m.Heard && b.listBegan.Sub(m.Born) > lag && m.ListedAt.Before(b.listBegan) && b.listBegan.Sub(m.ListedAt) > lag
}

// Emptiable is a machine whose few services others might take over.
type Emptiable struct {
	Name  ids.Machine
	Needs []placement.Demand
}

// settled is how long a replica must have run before it is moved: a start that
// is soon undone is worth nothing.
const settledFor = 40 * time.Second

// Emptiables lists machines that only services hold, least used for their
// price first; none while one is being emptied.
func (b *ClusterState) Emptiables(now time.Time) []Emptiable {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := b.roster.Machines[b.emptying]; m != nil && now.Sub(b.emptyingAt) < time.Minute {
		return nil
	}
	b.emptying = ""
	if b.disruption != nil && (b.disruption.orders == nil || len(b.disruption.orders.Machines) > 0) {
		return nil // one reason at a time to move replicas that nobody has to move
	}
	var out []Emptiable
	worth := map[ids.Machine]float64{}
next:
	for name, h := range b.hosts {
		if len(h.places) == 0 {
			continue
		}
		ps := h.places
		m := b.roster.Machines[name]
		if m == nil || b.types[m.Type] == nil || !m.Usable(now, b.set.Params.Workers.ReportS) || now.Sub(m.HeldSince) < time.Minute || m.Going {
			continue
		}
		t := b.types[m.Type]
		e := Emptiable{Name: name}
		for p := range ps {
			if p.Job.Rec.Spec.Shape != record.Service || p.stopping || p.status != worker.Running || now.Sub(p.ranSince) < settledFor || p.Job.Rec.Spec.Need.Accels > 0 {
				continue next
			}
			ask := p.Job.Rec.Spec.Ask()
			ask.Zone = m.Zone
			e.Needs = append(e.Needs, placement.Demand{Ask: ask, Count: 1, Keep: true})
		}
		worth[name] = b.usedOn(name).Cores / t.PriceOf(m.Spot)
		out = append(out, e)
	}
	sort.Slice(out, func(x, y int) bool {
		if worth[out[x].Name] != worth[out[y].Name] {
			return worth[out[x].Name] < worth[out[y].Name]
		}
		return out[x].Name < out[y].Name
	})
	return out[:min(len(out), 6)]
}

// Empty begins to move a machine's services elsewhere, or with no name gives
// that up; it tells whether there was something to give up.
func (b *ClusterState) Empty(name ids.Machine, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	was := b.emptying
	b.emptying, b.emptyingAt = name, now
	if name != "" {
		slog.Info("machine is being emptied", "machine", name)
		if m := b.roster.Machines[name]; m != nil {
			m.Going = true
			b.leaving[name] = true
		}
	}
	return was != "" && b.roster.Machines[was] != nil
}
