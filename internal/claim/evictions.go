package claim

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/budget"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// disruption is what the leader carries out for rollouts. What a team has down is worked out
// anew at each look, from the records and the reports (docs/drains.md).
type disruption struct {
	budgets *budget.Budgets
	ready   budget.Readiness
	// orders are nil until the stored rollouts were read.
	orders *rollout.Orders
	// answers are what hires of replacements have rented.
	answers map[ids.Hire][]ids.Machine
	// pending are evictions that were decided and are not stopped yet.
	pending map[*Place]*evictionStep
	// evicted are the jobs whose records hold evictions.
	evicted map[*Job]bool
	// waits are what the machines being emptied wait for, noRoom those whose tasks have no
	// room elsewhere.
	waits  map[ids.Machine][]string
	noRoom map[ids.Machine]bool
	// lost are replacements that were given up while they were observed, and why.
	lost   map[ids.Machine]string
	looked time.Time
	looks  int // at the teams' budgets, so far
}

// evictionStep is tasks whose permits were given together: none is stopped before the permits of
// all of them are stored.
type evictionStep struct {
	rollout rollout.Name
	wave    int
	// machine is the one that is emptied; a gang's other tasks are elsewhere. After a takeover
	// it is not known.
	machine ids.Machine
	stored  map[*Job]uint64 // by job, the version that holds its permits
}

// What the leader empties by itself stands as a rollout of a name that none has: replicas moved off
// machines that are to be returned, and machines on which tasks keep failing.
const (
	consolidation rollout.Name = "~consolidation"
	faulty        rollout.Name = "~faulty"
)

// evictEvery spaces the looks at what may be stopped.
const evictEvery = 200 * time.Millisecond

// newDisruption is nil where drains are off.
func newDisruption(set *config.Settings) *disruption {
	if !set.DrainsEnabled() || set.Shards() > 1 {
		return nil
	}
	return &disruption{budgets: set.Budgets(), ready: set.Readiness(), answers: map[ids.Hire][]ids.Machine{},
		pending: map[*Place]*evictionStep{}, evicted: map[*Job]bool{},
		waits: map[ids.Machine][]string{}, noRoom: map[ids.Machine]bool{},
		lost: map[ids.Machine]string{}}
}

// awaitsOrders tells that drains are on and the stored rollouts are not known yet: what is placed
// now might go to a machine that is being emptied.
func (d *disruption) awaitsOrders() bool { return d != nil && d.orders == nil }

// active tells whether a rollout empties machines now.
func (d *disruption) active(name rollout.Name) bool {
	for _, order := range d.orders.Machines {
		if order.Rollout == name && order.Drain {
			return true
		}
	}
	return false
}

// CarryOut replaces what rollouts want of the leader.
func (b *ClusterState) CarryOut(orders *rollout.Orders) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.disruption
	if d == nil {
		return
	}
	changed := d.orders == nil
	if !changed {
		for name := range d.orders.Machines {
			if _, still := orders.Machines[name]; !still {
				changed = b.cordon(name, false) || changed
			}
		}
	}
	for name := range orders.Machines {
		changed = b.cordon(name, true) || changed
	}
	d.orders = orders
	if changed {
		poke(b.wakePlan)
	}
}

// cordon marks a machine as closed to new work, or opens it; it tells whether that is a change.
func (b *ClusterState) cordon(name ids.Machine, cordoned bool) bool {
	m := b.roster.Machines[name]
	if m == nil || m.Cordoned == cordoned {
		return false
	}
	m.Cordoned = cordoned
	return true
}

// loadEvictions takes in the evictions of a record just read: their permits were given, and
// whether the stops went out is not known.
func (b *ClusterState) loadEvictions(j *Job) {
	d := b.disruption
	if d == nil || len(j.Rec.Evictions) == 0 {
		return
	}
	d.evicted[j] = true
	for i := range j.Rec.Evictions {
		e := &j.Rec.Evictions[i]
		step := &evictionStep{rollout: rollout.Name(e.Rollout), wave: e.Wave}
		e.Tasks.Each(func(task int) {
			if p := j.places[task]; p != nil && p.Attempt == e.Attempt {
				p.evicted = true
				d.pending[p] = step
			}
		})
	}
}

// evict looks at what may be stopped for rollouts, and has it stopped.
func (b *ClusterState) evict(now time.Time) {
	d := b.disruption
	if d == nil || now.Sub(d.looked) < evictEvery || len(d.orders.Machines) == 0 && len(d.evicted) == 0 && len(b.leaving) == 0 {
		return
	}
	d.looked = now
	d.looks++
	b.settleEvictions(now)
	b.withdrawEvictions()
	clear(d.waits)
	clear(d.noRoom)
	if !b.Storing() {
		for name := range d.orders.Machines {
			b.waitsFor(name, "the state service does not answer: nothing is stopped that could not be started again")
		}
		return
	}
	meter := b.disruptionMeter(now)
	b.stopEvicted(meter, now)
	orders := b.drainOrders()
	for _, name := range slices.Sorted(maps.Keys(orders)) {
		switch order := orders[name]; {
		case order.Drain:
			b.emptyMachine(name, order, meter, now)
		case order.Return:
			b.waitsFor(name, "the cloud has not confirmed its return yet")
		}
	}
}

// drainOrders are the machines that rollouts want emptied or returned, and those that the leader
// empties because tasks keep failing there.
func (b *ClusterState) drainOrders() map[ids.Machine]rollout.Order {
	orders := maps.Clone(b.disruption.orders.Machines)
	for name := range b.leaving {
		_, ordered := orders[name]
		if m := b.roster.Machines[name]; !ordered && m != nil && m.Draining != "" && m.TakenAt.IsZero() {
			orders[name] = rollout.Order{Rollout: faulty, Drain: true, Stop: true}
		}
	}
	return orders
}

func (b *ClusterState) waitsFor(machine ids.Machine, why ...string) {
	b.disruption.waits[machine] = append(b.disruption.waits[machine], why...)
}

// disruptionMeter counts what every team has down or interrupted now.
func (b *ClusterState) disruptionMeter(now time.Time) *budget.Meter {
	d := b.disruption
	meter := budget.NewMeter(d.budgets)
	for id, j := range b.jobs {
		s := &j.Rec.Spec
		switch {
		case !j.claimable():
		case s.Shape == record.Service:
			up := 0
			for _, p := range j.places {
				if b.replicaUp(p, now) {
					up++
				}
			}
			meter.CountService(s.Team, id, s.Tasks, up)
		case len(j.Rec.Evictions) > 0:
			meter.CountInterrupted(s.Team, j.Rec.Evicted())
		}
	}
	return meter
}

// replicaUp tells whether a replica counts as up.
func (b *ClusterState) replicaUp(p *Place, now time.Time) bool {
	return b.disruption.ready.Up(b.replica(p), now)
}

// replica is what this leader knows of one replica.
func (b *ClusterState) replica(p *Place) budget.Replica {
	r := budget.Replica{Running: p.seen && p.status == worker.Running, RunningSince: p.ranSince, Leaving: p.stopping || p.evicted}
	if m := b.roster.Machines[p.Machine]; m != nil && m.Heard && !m.Doubtful() && m.Session == p.Session {
		r.HeardAt = m.Seen
	}
	return r
}

// settleEvictions takes evictions off the records of tasks that run again, or need not any more.
func (b *ClusterState) settleEvictions(now time.Time) {
	d := b.disruption
	for j := range d.evicted {
		if b.jobs[j.Rec.Spec.ID] != j || len(j.Rec.Evictions) == 0 {
			delete(d.evicted, j)
			continue
		}
		if j.Rec.KeepEvictions(func(task int, attempt ids.Attempt) bool { return b.stillDown(j, task, attempt, now) }) {
			b.touch(j)
		}
	}
}

// stillDown tells whether a task that was evicted under an attempt does not run again yet.
func (b *ClusterState) stillDown(j *Job, task int, attempt ids.Attempt, now time.Time) bool {
	p := j.places[task]
	switch {
	case !j.claimable() || j.Rec.Finished.Has(task):
		return false
	case p == nil || p.Attempt == attempt:
		return true
	case j.Rec.Spec.Shape == record.Service:
		return !b.replicaUp(p, now)
	}
	return !p.seen || p.status != worker.Running
}

// withdrawEvictions takes back permits of rollouts that empty nothing any more, where surely no
// stop is under way: this leader sent none, and the machine has seen its token, so that it turns
// away those of earlier leaders.
func (b *ClusterState) withdrawEvictions() {
	d := b.disruption
	for p, step := range d.pending {
		j, m := p.Job, b.roster.Machines[p.Machine]
		if j.places[p.Index] != p || p.stopping {
			delete(d.pending, p)
			continue
		}
		if b.carriesOn(step, p) || m == nil || !m.Heard || m.Token < b.first || !p.seen {
			continue
		}
		p.evicted = false
		delete(d.pending, p)
		j.Rec.KeepEvictions(func(task int, attempt ids.Attempt) bool { return task != p.Index || attempt != p.Attempt })
		b.touch(j)
	}
}

// keptForMoved is what a job must leave of its team's limit to tasks that rollouts have stopped and
// that are not placed again: else lesser work that waits would take it, and a replica that was only
// to be moved would stay down.
func (b *ClusterState) keptForMoved(j *Job) (kept placement.Room) {
	d := b.disruption
	if d == nil {
		return kept
	}
	for moved := range d.evicted {
		if moved == j || moved.Rec.Spec.Team != j.Rec.Spec.Team || !moved.claimable() || j.priority() > moved.priority() {
			continue
		}
		for i := range moved.Rec.Evictions {
			moved.Rec.Evictions[i].Tasks.Each(func(task int) {
				if moved.places[task] == nil && !moved.Rec.Finished.Has(task) {
					kept = kept.Plus(moved.Rec.Spec.Need)
				}
			})
		}
	}
	return kept
}

// stopEvicted stops the tasks whose permits are stored, if the budgets still allow it.
func (b *ClusterState) stopEvicted(meter *budget.Meter, now time.Time) {
	d := b.disruption
	places := slices.SortedFunc(maps.Keys(d.pending), func(x, y *Place) int {
		return cmp.Or(cmp.Compare(x.Job.Rec.Spec.ID, y.Job.Rec.Spec.ID), cmp.Compare(x.Index, y.Index))
	})
	for _, p := range places {
		step := d.pending[p]
		if !step.isStored() || !b.carriesOn(step, p) || !p.seen {
			continue
		}
		if denial := meter.Confirm(b.evictionRequest(p.Job, p, now)); denial != nil {
			b.waitsFor(p.Machine, denial.String())
			continue
		}
		delete(d.pending, p)
		b.stop(p, p.leewayWanted(), b.whyEvicted(step, p))
	}
}

// carriesOn tells whether what an eviction was decided for is still wanted.
func (b *ClusterState) carriesOn(step *evictionStep, p *Place) bool {
	m := b.roster.Machines[cmp.Or(step.machine, p.Machine)]
	switch step.rollout {
	case consolidation:
		return m != nil && m.Going
	case faulty:
		return m != nil && m.Draining != ""
	}
	return b.disruption.active(step.rollout)
}

// whyEvicted is what the job's trail says of a stop.
func (b *ClusterState) whyEvicted(step *evictionStep, p *Place) string {
	switch step.rollout {
	case consolidation:
		return movedOff(p.Machine)
	case faulty:
		return drainedText(b.roster.Machines[cmp.Or(step.machine, p.Machine)])
	}
	return fmt.Sprintf("moved from %s by rollout %s, wave %d", p.Machine, step.rollout, step.wave)
}

// isStored tells whether the permits of the whole step are in the store.
func (s *evictionStep) isStored() bool {
	for j, version := range s.stored {
		if j.saved < version {
			return false
		}
	}
	return true
}

// evictionRequest is what it takes of a team's budget to stop a task, or its whole gang. A pending
// eviction's replica is up for this although it counts as down.
func (b *ClusterState) evictionRequest(j *Job, p *Place, now time.Time) budget.Request {
	s := &j.Rec.Spec
	request := budget.Request{Team: s.Team, Job: s.ID, Service: s.Shape == record.Service}
	switch s.Shape {
	case record.Service:
		replica := b.replica(p)
		replica.Leaving = false
		request.Up = b.disruption.ready.Up(replica, now)
	case record.Gang:
		request.Tasks = len(j.places)
	default:
		request.Tasks = 1
	}
	return request
}
