package claim

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/budget"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// drainView is what rollouts see of the fleet. The budgets are counted once for a view.
type drainView struct {
	cluster *ClusterState
	now     time.Time
	meter   *budget.Meter // made when it is first needed
}

// DrainView looks at the fleet as it is now.
func (b *ClusterState) DrainView() rollout.View { return b.drainView() }

// DrainPlanner is what plans are made from.
func (b *ClusterState) DrainPlanner() rollout.Planner { return b.drainView() }

func (b *ClusterState) drainView() *drainView { return &drainView{cluster: b, now: time.Now()} }

// Machine looks at one machine.
func (v *drainView) Machine(name ids.Machine) rollout.Machine {
	b := v.cluster
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.roster.Machines[name]
	if m == nil {
		gone := rollout.Machine{Gone: b.returned[name] || b.surelyUnlisted()}
		if b.disruption != nil {
			gone.Failed = b.disruption.lost[name]
		}
		return gone
	}
	seen := rollout.Machine{Kind: rollout.Kind{Type: m.Type, Zone: m.Zone, Spot: m.Spot}, Known: true, Up: m.Heard && !m.Doubtful(),
		Failed: b.whyFailed(m, v.now), Reclaimed: !m.TakenAt.IsZero(), Tasks: len(b.placesOn(name)), Rented: m.HeldSince}
	for p := range b.placesOn(name) {
		seen.Evicting = seen.Evicting || p.evicted
	}
	if b.disruption != nil {
		seen.NoRoom = b.disruption.noRoom[name]
	}
	return seen
}

// ordered is what rollouts want with a machine, if anything.
func (d *disruption) ordered(name ids.Machine) (order rollout.Order, ok bool) {
	if d == nil || d.orders == nil {
		return order, false
	}
	order, ok = d.orders.Machines[name]
	return order, ok
}

// Weigh tells how many steps emptying a machine takes, and what blocks it now.
func (v *drainView) Weigh(name ids.Machine) (weight rollout.Weight) {
	b := v.cluster
	b.mu.Lock()
	defer b.mu.Unlock()
	d, m := b.disruption, b.roster.Machines[name]
	if d == nil || m == nil {
		return weight
	}
	if _, ordered := d.ordered(name); ordered {
		weight.Blocked = slices.Clone(d.waits[name])
		return weight
	}
	if v.meter == nil {
		v.meter = b.disruptionMeter(v.now)
	}
	units, whys := b.evictionUnits(m, rollout.Order{})
	weight.Blocked = whys
	first, _ := firstOfEachTeam(units)
	for _, denial := range v.meter.Try(b.evictionRequests(first, v.now)...) {
		weight.Blocked = append(weight.Blocked, denial.String())
	}
	steps := map[string]int{}
	for _, u := range units {
		steps[u.team()]++
		weight.Steps = max(weight.Steps, steps[u.team()])
	}
	return weight
}

// surelyUnlisted tells that a machine this leader does not know is surely none: the cloud's list
// was read to its end so long after the takeover that it would name it.
func (b *ClusterState) surelyUnlisted() bool {
	return b.listBegan.Sub(b.began) > 3*b.set.Params.Cloud.ListLagS.Duration()
}

// whyFailed tells why a machine can't do its work; empty: it can, as far as known.
func (b *ClusterState) whyFailed(m *worker.Machine, now time.Time) string {
	switch {
	case m.Failed:
		return "it stopped by itself"
	case m.Draining != "":
		return m.Draining
	case m.Heard && m.Doubtful() && m.Silent(now) > silentFailure*b.set.Params.Workers.ReportS.Duration():
		return "nothing is heard of it any more"
	}
	return ""
}

// silentFailure is after how many report intervals of silence, with questions left unanswered, a
// replacement counts as failed.
const silentFailure = 4

// Machines lists all machines.
func (v *drainView) Machines() []ids.Machine {
	b := v.cluster
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.roster.Machines))
}

// BootTime is about how long a machine of a kind takes until it is up.
func (v *drainView) BootTime(kind rollout.Kind) time.Duration {
	b := v.cluster
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.types[kind.Type]; t != nil {
		return b.bootTime(t)
	}
	return 0
}

// StepTime is about how long a step takes: the permit is stored, the stop and the start are
// carried out and told, and the replica counts as up again.
func (v *drainView) StepTime() time.Duration {
	b := v.cluster
	return b.set.Params.Workers.ReportS.Duration() + b.set.Readiness().RunningFor
}

// HireAnswer tells what a hire of replacements has rented.
func (v *drainView) HireAnswer(name ids.Hire) (machines []ids.Machine, answered bool) {
	b := v.cluster
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.disruption == nil {
		return nil, false
	}
	machines, answered = b.disruption.answers[name]
	return machines, answered
}

// DrainHires are the replacements that rollouts want rented and that have no answer yet.
func (b *ClusterState) DrainHires() []rollout.HireRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.disruption == nil || b.disruption.orders == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(b.disruption.orders.Hires), func(h rollout.HireRequest) bool {
		_, answered := b.disruption.answers[h.Name]
		return answered
	})
}

// DrainHireAnswered notes what a hire has rented.
func (b *ClusterState) DrainHireAnswered(name ids.Hire, machines []ids.Machine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.disruption != nil && strings.HasPrefix(string(name), rollout.HirePrefix) {
		b.disruption.answers[name] = machines
	}
}

// ClosedZones are the zones that rollouts give up: nothing is rented there meanwhile.
func (b *ClusterState) ClosedZones() map[string]rollout.Name {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.disruption == nil || b.disruption.orders == nil {
		return nil
	}
	return maps.Clone(b.disruption.orders.ClosedZones)
}

// DrainWaits tells what the machines being emptied wait for.
func (b *ClusterState) DrainWaits() map[ids.Machine][]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	waits := map[ids.Machine][]string{}
	if b.disruption != nil {
		for name, why := range b.disruption.waits {
			waits[name] = slices.Clone(why)
		}
	}
	return waits
}
