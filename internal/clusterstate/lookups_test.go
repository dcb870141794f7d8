package clusterstate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

func TestLookupOfFewOutcomesDoesNotScanHistory(t *testing.T) {
	// Guards against takeovers that cost more the longer the service has run: final
	// records are kept for ever.
	synctest.Test(t, func(t *testing.T) {
		history := newJobHistory(t, 100000, 20000, 100400)
		cluster := newTestState()
		committer := newCommitter(cluster, history.client)
		for k := range 50 {
			id := numberedJob(200000 + k)
			cluster.submitWaiting(1, newWaitingRecord(id, record.Low, 0, numberedJob(100000+400*k)), time.Now())
		}
		before := history.calls
		committer.LookUpOnce(context.Background())
		if n := history.calls - before; n > commit.LookupReadsPerPass+1 {
			t.Errorf("one pass made %d calls", n)
		}
		runLookupsUntilDone(t, cluster, committer)
		if history.calls > 52 || history.store.Listed > 2*commit.LookupPageSize {
			t.Errorf("50 ends of 20000 took %d calls and %d records in lists", history.calls, history.store.Listed)
		}
		if ready, cancelled := cluster.dependencies.graph.Counts(); ready != 49 || cancelled != 1 {
			t.Errorf("%d are ready and %d cancelled", ready, cancelled)
		}
	})
}

func TestLookupOfAdjacentOutcomesReadsPages(t *testing.T) {
	// Guards against a call for each of thousands, and against pages that skip the first
	// or last of those wanted.
	synctest.Test(t, func(t *testing.T) {
		history := newJobHistory(t, 100000, 20000)
		cluster := newTestState()
		committer := newCommitter(cluster, history.client)
		for k := range 3000 {
			id := numberedJob(200000 + k)
			cluster.submitWaiting(1, newWaitingRecord(id, record.Low, 0, numberedJob(110000+k)), time.Now())
		}
		passes := runLookupsUntilDone(t, cluster, committer)
		if ready, _ := cluster.dependencies.graph.Counts(); ready != 3000 || passes > 2 || history.calls > 6+1 {
			t.Errorf("%d of 3000 are ready after %d passes and %d calls", ready, passes, history.calls)
		}
	})
}

func TestLookupRetriesMissingOutcomeAfterDelay(t *testing.T) {
	// Guards against a page that lacks a wanted record being taken for one that tells
	// how the job ended, and against one that is missing holding up the others.
	synctest.Test(t, func(t *testing.T) {
		history := newJobHistory(t, 100000, 100)
		cluster := newTestState()
		committer := newCommitter(cluster, history.client)
		for k := range 120 { // the last 20 did not end; one of them is live, unknown to the leader
			id := numberedJob(200000 + k)
			cluster.submitWaiting(1, newWaitingRecord(id, record.Low, 0, numberedJob(100000+k)), time.Now())
		}
		raw, _ := newRecord(numberedJob(100110), "red", record.Low, 1, 1).Encode(8192)
		if _, err := history.client.Commit(context.Background(), state.Txn{Ops: []state.Op{{Put: record.JobKey(numberedJob(100110)), Value: raw}}}, state.Urgent); err != nil {
			t.Fatal(err)
		}
		committer.LookUpOnce(context.Background())
		if ready, _ := cluster.dependencies.graph.Counts(); ready != 100 || cluster.jobs.Get(numberedJob(100110)) == nil {
			t.Errorf("%d are ready, the live one is known: %v", ready, cluster.jobs.Get(numberedJob(100110)) != nil)
		}
		calls := history.calls
		committer.LookUpOnce(context.Background())
		if history.calls > calls {
			t.Errorf("%d calls at once for what was not there a moment ago", history.calls-calls)
		}
		time.Sleep(lookupRetryDelay)
		committer.LookUpOnce(context.Background())
		if history.calls == calls {
			t.Error("what was not there is not looked for again")
		}
	})
}
