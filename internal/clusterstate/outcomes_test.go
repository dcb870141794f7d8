package clusterstate

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// history is a store with the final records of many jobs, a client of it, and how many
// calls that one made.
type history struct {
	network *fake.Network
	store   *fake.Store
	state   *state.Client
	calls   int
}

// newHistory stores that jobs first to first+n-1 are done, but for those cancelled.
func newHistory(t *testing.T, first, n int, cancelled ...int) *history {
	h := &history{store: fake.NewStore(), network: fake.NewNetwork()}
	h.network.Listen("state:1", h.store)
	h.network.SetRule(func(string, string, *http.Request, []byte) fake.Outcome { h.calls++; return fake.Deliver })
	h.state = state.NewClient("state:1", h.network.Client("a"), state.NewBudget(1e6, 1e6, 1, 0.6))
	put := func(status record.Status, numbers ...int) {
		var txn state.Txn
		for _, k := range numbers {
			end := newRecord(numbered(k), "red", record.Low, 1, 1)
			end.Status = status
			raw, _ := end.Encode(8192)
			txn.Ops = append(txn.Ops, state.Op{Put: record.EndKey(numbered(k)), Value: raw})
		}
		if _, err := h.state.Commit(context.Background(), txn, state.Urgent); err != nil {
			t.Fatal(err)
		}
	}
	var all []int
	for k := first; k < first+n; k++ {
		if all = append(all, k); len(all) == 500 || k == first+n-1 {
			put(record.Done, all...)
			all = nil
		}
	}
	if len(cancelled) > 0 {
		put(record.Cancelled, cancelled...)
	}
	h.calls = 0
	return h
}

func numbered(n int) ids.Job { return ids.Job(fmt.Sprintf("job-%d", n)) }

// lookUpAll runs passes until nothing is left to look up, and tells how many.
func lookUpAll(t *testing.T, cluster *State, c *commit.Committer) (passes int) {
	t.Helper()
	for len(cluster.dependencies.lookups) > 0 {
		if passes++; passes > 100 {
			t.Fatalf("%d are still not known", len(cluster.dependencies.lookups))
		}
		c.LookUpOnce(context.Background())
		time.Sleep(commit.LookupInterval)
	}
	return passes
}

func TestLookingUpAFewEndsDoesNotReadAllThatEverEnded(t *testing.T) {
	// Guards against takeovers that cost more the longer the service has run: final
	// records are kept for ever.
	synctest.Test(t, func(t *testing.T) {
		h := newHistory(t, 100000, 20000, 100400)
		cluster := testBook()
		c := newCommitter(cluster, h.state)
		for k := range 50 {
			id := numbered(200000 + k)
			cluster.HandleWaitingJob(id, 1, waits(id, record.Low, 0, numbered(100000+400*k)), time.Now())
		}
		before := h.calls
		c.LookUpOnce(context.Background())
		if n := h.calls - before; n > commit.LookupReadsPerPass+1 {
			t.Errorf("one pass made %d calls", n)
		}
		lookUpAll(t, cluster, c)
		if h.calls > 52 || h.store.Listed > 2*commit.LookupPageSize {
			t.Errorf("50 ends of 20000 took %d calls and %d records in lists", h.calls, h.store.Listed)
		}
		if ready, cancelled := cluster.dependencies.graph.Counts(); ready != 49 || cancelled != 1 {
			t.Errorf("%d are ready and %d cancelled", ready, cancelled)
		}
	})
}

func TestManyEndsSideBySideAreReadByThePage(t *testing.T) {
	// Guards against a call for each of thousands, and against pages that skip the first
	// or last of those wanted.
	synctest.Test(t, func(t *testing.T) {
		h := newHistory(t, 100000, 20000)
		cluster := testBook()
		c := newCommitter(cluster, h.state)
		for k := range 3000 {
			id := numbered(200000 + k)
			cluster.HandleWaitingJob(id, 1, waits(id, record.Low, 0, numbered(110000+k)), time.Now())
		}
		passes := lookUpAll(t, cluster, c)
		if ready, _ := cluster.dependencies.graph.Counts(); ready != 3000 || passes > 2 || h.calls > 6+1 {
			t.Errorf("%d of 3000 are ready after %d passes and %d calls", ready, passes, h.calls)
		}
	})
}

func TestAnEndThatIsNotThereIsLookedForAgain(t *testing.T) {
	// Guards against a page that lacks a wanted record being taken for one that tells
	// how the job ended, and against one that is missing holding up the others.
	synctest.Test(t, func(t *testing.T) {
		h := newHistory(t, 100000, 100)
		cluster := testBook()
		c := newCommitter(cluster, h.state)
		for k := range 120 { // the last 20 did not end; one of them is live, unknown to the leader
			id := numbered(200000 + k)
			cluster.HandleWaitingJob(id, 1, waits(id, record.Low, 0, numbered(100000+k)), time.Now())
		}
		raw, _ := newRecord(numbered(100110), "red", record.Low, 1, 1).Encode(8192)
		if _, err := h.state.Commit(context.Background(), state.Txn{Ops: []state.Op{{Put: record.JobKey(numbered(100110)), Value: raw}}}, state.Urgent); err != nil {
			t.Fatal(err)
		}
		c.LookUpOnce(context.Background())
		if ready, _ := cluster.dependencies.graph.Counts(); ready != 100 || cluster.jobs.Get(numbered(100110)) == nil {
			t.Errorf("%d are ready, the live one is known: %v", ready, cluster.jobs.Get(numbered(100110)) != nil)
		}
		calls := h.calls
		c.LookUpOnce(context.Background())
		if h.calls > calls {
			t.Errorf("%d calls at once for what was not there a moment ago", h.calls-calls)
		}
		time.Sleep(lookupRetryDelay)
		c.LookUpOnce(context.Background())
		if h.calls == calls {
			t.Error("what was not there is not looked for again")
		}
	})
}
