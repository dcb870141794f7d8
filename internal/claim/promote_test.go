package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// storeWaiting stores jobs that wait and loads them like a new leader.
func (h *history) storeWaiting(t *testing.T, b *ClusterState, recs ...*record.Record) {
	byID, stamps := map[ids.Job]*record.Record{}, map[ids.Job]ids.Revision{}
	for len(recs) > 0 {
		var txn state.Txn
		n := min(500, len(recs))
		for _, r := range recs[:n] {
			raw, _ := r.EncodeWaiting(8192)
			txn.Then = append(txn.Then, state.Op{Put: record.WaitKey(r.Spec.ID), Value: raw})
		}
		epoch, err := h.state.Commit(context.Background(), txn, state.Urgent)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range recs[:n] {
			byID[r.Spec.ID], stamps[r.Spec.ID] = r, ids.Revision(epoch)
		}
		recs = recs[n:]
	}
	b.LoadWaiting(byID, stamps, time.Now())
}

// storeLive stores a claimable job and loads it.
func (h *history) storeLive(t *testing.T, b *ClusterState, r *record.Record) *Job {
	raw, _ := r.Encode(8192)
	epoch, err := h.state.Commit(context.Background(), state.Txn{Then: []state.Op{{Put: record.JobKey(r.Spec.ID), Value: raw}}}, state.Urgent)
	if err != nil {
		t.Fatal(err)
	}
	b.Learn(r.Spec.ID, ids.Revision(epoch), r, time.Now())
	return b.jobs[r.Spec.ID]
}

// fan is n low jobs from job-1000 on that await one.
func fan(n int, on ids.Job) (recs []*record.Record) {
	for k := range n {
		recs = append(recs, waits(numbered(1000+k), record.Low, 0, on))
	}
	return recs
}

func TestTwoThousandThatAwaitACancelledJobEndInBoundedGroups(t *testing.T) {
	// Guards against transactions over the limits, more of them than it takes, and ends
	// that keep a marker waiting for which tasks wait.
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		h := newHistory(t, 1, 1)
		h.state = h.leader(80)
		b := testBook()
		b.hear("m1", "north", 1)
		c := NewCommitter(b, h.state, "a", 0)
		first := h.storeLive(t, b, rec("job-500", "red", record.Low, 1, 1))
		h.storeWaiting(t, b, fan(2000, "job-500")...)
		h.store.SetLimits(8192, b.set.Params.State.TxnOps)
		b.cancel(first)
		if c.Step(ctx); h.store.Value(record.EndKey("job-500")) == nil {
			t.Error("the end of the cancelled job itself is not in the first group")
		}
		h.calls = 0
		marker := h.storeLive(t, b, rec("job-501", "red", record.Normal, 1, 1))
		b.Plan(time.Now())
		if c.Step(ctx); marker.saved != marker.version || len(marker.places) != 1 {
			t.Error("a marker waits for the ends of those that were cancelled")
		}
		began := time.Now()
		for h.store.Count(record.WaitPrefix) > 0 && time.Since(began) < 5*time.Minute {
			c.Step(ctx)
			time.Sleep(20 * time.Millisecond)
		}
		took := time.Since(began)
		if h.store.TooLarge > 0 || h.store.Count(record.WaitPrefix) > 0 || h.store.Count(record.EndPrefix) != 1+2001 {
			t.Fatalf("%d transactions were too large, %d jobs wait, %d ended", h.store.TooLarge, h.store.Count(record.WaitPrefix), h.store.Count(record.EndPrefix))
		}
		// Two changes for each, 12 in a transaction, 80 a second for this node.
		if h.calls > 2000/6+10 || took > 90*time.Second {
			t.Errorf("2000 ends took %d transactions and %v", h.calls, took)
		}
		if b.pipes.graph.Len() != 0 || len(b.pipes.waits) != 0 || len(b.jobs) != 1 {
			t.Errorf("%d still wait", b.pipes.graph.Len())
		}
	})
}

// leader is a client of the same store that is the leader's, and whose service allows
// so many changes a second.
func (h *history) leader(writes float64) *state.Client {
	c := state.NewClient("state:1", h.network.Client("a"), state.NewBudget(1000, writes, 1, 0.6))
	c.Budget().SetLeader(true)
	return c
}

func TestAnEndThatHundredsAwaitKeepsNoMarkerWaiting(t *testing.T) {
	// Guards against moves of jobs that became ready filling every transaction while
	// starts wait for their marker; and against the urgent ones moving last.
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		h := newHistory(t, 1, 1)
		b := testBook()
		b.hear("m1", "north", 1)
		c := NewCommitter(b, h.state, "a", 0)
		h.storeLive(t, b, rec("job-500", "red", record.Low, 1, 1))
		high := waits("job-9000", record.Low, 0, "job-500")
		h.storeWaiting(t, b, append(fan(300, "job-500"), high, waits("job-9001", record.High, 0, "job-9000"))...)
		marker := h.storeLive(t, b, rec("job-501", "red", record.Normal, 1, 1))
		b.finally("job-500", record.Done)
		b.Plan(time.Now())
		c.Step(ctx)
		if b.jobs["job-9000"] == nil {
			t.Error("the one that a high job awaits is not among the first that move")
		}
		for range 2 {
			c.Step(ctx)
		}
		if marker.saved != marker.version || len(marker.places) != 1 {
			t.Error("a marker waits for the moves of hundreds")
		}
		for groups := 0; h.store.Count(record.WaitPrefix) > 1; groups++ {
			if c.Step(ctx); groups > 300/6+10 {
				t.Fatalf("%d still wait after %d groups", h.store.Count(record.WaitPrefix), groups)
			}
		}
		if b.pipes.graph.Len() != 1 || len(b.jobs) != 2+301 {
			t.Errorf("%d wait, %d are known", b.pipes.graph.Len(), len(b.jobs))
		}
	})
}

func TestTenThousandThatWaitCostAPlanningPassNothing(t *testing.T) {
	// Guards against planning, and what it counts per team, walking those that wait.
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		b := fleet(t, 20)
		h := newHistory(t, 1, 100)
		b.Learn("job-500", 1, rec("job-500", "blue", record.Low, 100, 1), now)
		recs := fan(5000, "job-500")
		for k := range 5000 {
			recs = append(recs, waits(numbered(10000+k), record.High, 1000, numbered(1000+k), numbered(1+k%100)))
		}
		h.storeWaiting(t, b, recs...)
		c := NewCommitter(b, h.state, "a", 0)
		h.calls = 0
		if passes := lookUpAll(t, c); passes > 3 || h.calls > 3 {
			t.Errorf("the ends that they await took %d passes and %d calls", passes, h.calls)
		}
		if ranked := len(b.ranked(now)); ranked != 1 || len(b.line) != 1 {
			t.Errorf("%d are ranked, %d stand in line", ranked, len(b.line))
		}
		b.Plan(now)
		b.store()
		before := b.machinesExamined
		b.Plan(now)
		if looks := b.machinesExamined - before; looks > 20 || len(b.jobs["job-500"].places) != 80 {
			t.Errorf("%d machines were looked at for one job; %d of its tasks are placed", looks, len(b.jobs["job-500"].places))
		}
		if b.quota.Used("red").Cores != 0 {
			t.Errorf("those that wait hold %v cores of their team", b.quota.Used("red").Cores)
		}
	})
}
