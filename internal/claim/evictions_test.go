package claim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// drainBook is a cluster state with drains on and a service of four replicas, one on each of four
// machines, that are all up.
func drainBook(t *testing.T, now time.Time) *ClusterState {
	t.Helper()
	b := testBook()
	b.set.Features = &config.Features{Drains: &config.Drains{}}
	b.disruption = newDisruption(b.set)
	for i := range 4 {
		hear(b, ids.Machine(fmt.Sprint("m", i+1)), 1, now)
	}
	service := rec("job-1", "red", record.Normal, 4, 4)
	service.Spec.Shape = record.Service
	b.Learn("job-1", 1, service, now)
	b.CarryOut(rollout.NewOrders())
	b.Plan(now)
	b.store()
	j := b.jobs["job-1"]
	if len(j.places) != 4 {
		t.Fatalf("%d places", len(j.places))
	}
	for _, p := range j.places {
		p.sent, p.seen, p.status, p.ranSince = true, true, worker.Running, now.Add(-time.Minute)
	}
	return b
}

// hear has a machine report.
func hear(b *ClusterState, name ids.Machine, token ids.Generation, now time.Time) {
	m := b.roster.Ensure(name, now, now)
	m.Heard, m.Type, m.Zone, m.Session, m.Seen, m.HeartbeatAt, m.Token = true, "small", "north", 1, now, now, token
	b.shelve(b.hostOf(name))
}

// drainOrders empty the machines named.
func drainOrders(names ...ids.Machine) *rollout.Orders {
	orders := rollout.NewOrders()
	for _, name := range names {
		orders.Machines[name] = rollout.Order{Rollout: "spring", Wave: 1, Drain: true}
	}
	return orders
}

// evictNow looks at the evictions, whatever the time of the last look.
func evictNow(b *ClusterState, now time.Time) {
	b.disruption.looked = time.Time{}
	b.evict(now)
}

// stopping counts the replicas that are being stopped.
func stopping(b *ClusterState) (n int) {
	for _, p := range b.jobs["job-1"].places {
		if p.stopping {
			n++
		}
	}
	return n
}

func TestNothingIsStoppedBeforeItsPermitIsStoredOrWithoutTheStore(t *testing.T) {
	now := time.Now()
	b := drainBook(t, now)
	b.CarryOut(drainOrders("m1", "m2"))
	evictNow(b, now)
	if n := b.jobs["job-1"].Rec.Evicted(); n != 1 || stopping(b) != 0 {
		t.Fatalf("%d permits, %d stops before they are stored", n, stopping(b))
	}
	b.store()
	b.Storing = func() bool { return false }
	evictNow(b, now)
	if stopping(b) != 0 {
		t.Error("stopped while nothing could be started again")
	}
	if !strings.Contains(fmt.Sprint(b.DrainWaits()), "the state service does not answer") {
		t.Errorf("waits: %v", b.DrainWaits())
	}
	b.Storing = func() bool { return true }
	evictNow(b, now)
	if stopping(b) != 1 || b.jobs["job-1"].Rec.Evicted() != 1 {
		t.Errorf("%d stops, %d permits", stopping(b), b.jobs["job-1"].Rec.Evicted())
	}
}

func TestAPermitIsWithdrawnOnlyWhenNoEarlierStopCanTakeEffect(t *testing.T) {
	// The stop of an earlier leader may be on its way until the machine has seen this one's token.
	now := time.Now()
	b := drainBook(t, now)
	b.CarryOut(drainOrders("m1"))
	evictNow(b, now)
	b.store()
	b.CarryOut(rollout.NewOrders())
	evictNow(b, now)
	if n := b.jobs["job-1"].Rec.Evicted(); n != 1 {
		t.Fatalf("%d permits are left while an earlier stop may arrive", n)
	}
	for i := range 4 {
		hear(b, ids.Machine(fmt.Sprint("m", i+1)), b.first, now)
	}
	evictNow(b, now)
	if n := b.jobs["job-1"].Rec.Evicted(); n != 0 || stopping(b) != 0 {
		t.Errorf("%d permits are left, %d stops", n, stopping(b))
	}
}

func TestTheLeadersOwnMovesAskTheBudget(t *testing.T) {
	for _, c := range []struct {
		down  int
		moved int
	}{{0, 1}, {1, 0}} {
		now := time.Now()
		b := drainBook(t, now)
		for i := range c.down {
			b.jobs["job-1"].places[i].status = worker.Pulling
		}
		hear(b, "m5", 1, now)
		var from *Place
		for i, p := range b.jobs["job-1"].places {
			if i >= c.down {
				from = p
			}
		}
		for _, h := range b.hosts {
			b.holdsNow(h, b.roster.Machines[h.name], from.Job.Rec.Spec.Image, 1, 100)
		}
		b.moveReplica(b.roster.Machines[from.Machine], now)
		if n := b.jobs["job-1"].Rec.Evicted(); n != c.moved || stopping(b) != 0 {
			t.Errorf("with %d down: %d permits, %d stops without one", c.down, n, stopping(b))
		}
	}
}

func TestAMachineOnWhichTasksFailIsEmptiedWithinTheBudget(t *testing.T) {
	now := time.Now()
	b := drainBook(t, now)
	for _, name := range []ids.Machine{"m1", "m2"} {
		b.roster.Machines[name].Draining = "tasks keep failing there"
		b.leaving[name] = true
	}
	b.drains(now)
	if stopping(b) != 0 {
		t.Fatal("stopped without a permit")
	}
	evictNow(b, now)
	b.store()
	evictNow(b, now)
	if n := stopping(b); n != 1 {
		t.Errorf("%d replicas stopped at a time", n)
	}
}

func TestAGangIsMovedWholeOffAMachineOnWhichTasksFail(t *testing.T) {
	// Its tasks on other machines must be stopped with the one there, or they end as failed and
	// nothing is saved.
	now := time.Now()
	b := drainBook(t, now)
	interrupted := uint32(2)
	b.set.Features.Drains.DefaultBudget = &config.DisruptionBudget{TasksInterrupted: &interrupted}
	b.disruption.budgets = b.set.Budgets()
	for _, name := range []ids.Machine{"m5", "m6"} {
		hear(b, name, b.first, now)
	}
	gang := rec("job-2", "red", record.Normal, 2, 4)
	gang.Spec.Shape, gang.Spec.Checkpoint, gang.Spec.Save = record.Gang, 10, 1
	b.Learn("job-2", 1, gang, now)
	b.Plan(now)
	b.store()
	for _, p := range b.jobs["job-2"].places {
		p.sent, p.seen, p.status, p.ranSince = true, true, worker.Running, now.Add(-time.Minute)
	}
	b.roster.Machines["m5"].Draining = "tasks keep failing there"
	b.leaving["m5"] = true
	for range 3 {
		evictNow(b, now)
		b.store()
	}
	stopped := 0
	for _, p := range b.jobs["job-2"].places {
		if p.stopping && p.leeway > 0 {
			stopped++
		}
	}
	if stopped != 2 {
		t.Errorf("%d of 2 tasks are told to save and stop", stopped)
	}
}

func TestRoomElsewhereMayBeOnAMachineWithAccelerators(t *testing.T) {
	// Where nothing else has room, or a rollout that rents first would wait for ever.
	now := time.Now()
	b := drainBook(t, now)
	b.SetTypes(append(testTypes(), placement.Type{Label: "dear", Cores: 8, Accels: 2, RAM: 64, Zones: []string{"north"}}))
	j := b.jobs["job-1"]
	if h := b.roomFor(j, nil, nil, now); h != nil {
		t.Fatalf("room on %s, which is full", h.name)
	}
	hear(b, "m9", 1, now)
	b.roster.Machines["m9"].Type = "dear"
	b.shelve(b.hostOf("m9"))
	if h := b.roomFor(j, nil, nil, now); h == nil || h.name != "m9" {
		t.Errorf("room on %v", h)
	}
}

func TestWithoutDrainsAPassLooksAtNoBudget(t *testing.T) {
	// Counted: a pass costs nothing more where drains are off, and one look in evictEvery where
	// a rollout is under way.
	now := time.Now()
	off := testBook()
	hear(off, "m1", 1, now)
	off.Plan(now)
	if off.disruption != nil {
		t.Error("drains are on without their feature")
	}
	b := drainBook(t, now)
	for range 100 {
		b.Plan(now)
	}
	if b.disruption.looks != 0 {
		t.Errorf("%d looks without a rollout", b.disruption.looks)
	}
	b.CarryOut(drainOrders("m1"))
	for i := range 100 {
		b.Plan(now.Add(time.Duration(i) * 10 * time.Millisecond))
	}
	if most := int(time.Second/evictEvery) + 1; b.disruption.looks > most {
		t.Errorf("%d looks within a second", b.disruption.looks)
	}
}

func TestEvictionsSurviveInTheRecord(t *testing.T) {
	r := rec("job-1", "red", record.Normal, 3, 1)
	r.Evict(0, 1, "spring", 1)
	r.Evict(1, 1, "spring", 1)
	r.Evict(0, 2, "spring", 2)
	raw, fits := r.Encode(8192)
	if !fits {
		t.Fatal("does not fit")
	}
	back, err := record.Decode(raw)
	if err != nil || back.Evicted() != 2 {
		t.Fatalf("%d evicted tasks: %v", back.Evicted(), err)
	}
	if attempt, evicted := back.EvictedAttempt(0); !evicted || attempt != 2 {
		t.Errorf("task 0 under attempt %d", attempt)
	}
	if !back.KeepEvictions(func(task int, _ ids.Attempt) bool { return task != 0 }) || back.Evicted() != 1 {
		t.Errorf("%d left", back.Evicted())
	}
	for i := range 2000 {
		back.Evict(2*i, 1, "spring", 3)
	}
	if back.EvictionsFit(8192) {
		t.Error("thousands of evictions take no more than their share of a value")
	}
}
