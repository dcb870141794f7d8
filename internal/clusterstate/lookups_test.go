package clusterstate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

func TestLookupOfFewOutcomesDoesNotScanHistory(t *testing.T) {
	// Guards against takeovers that cost more the longer the service has run: final records are kept
	// forever.
	synctest.Test(t, func(t *testing.T) {
		history := newJobHistory(t, 100000, 20000, 100400)
		cluster := newTestState()
		committer := newCommitter(cluster, history.client)
		for i := range 50 {
			id := numberedJob(200000 + i)
			cluster.submitWaiting(1, newWaitingRecord(id, record.Low, 0, numberedJob(100000+400*i)), time.Now())
		}
		before := history.calls
		committer.LookUpOnce(context.Background())
		if n := history.calls - before; n > commit.LookupReadsPerPass+1 {
			t.Errorf("one pass made %d calls, more than its limit", n)
		}
		runLookupsUntilDone(t, cluster, committer)
		if history.calls > 52 || history.store.Listed > 2*commit.LookupPageSize {
			t.Errorf("50 outcomes of 20000 took %d calls and %d listed records", history.calls, history.store.Listed)
		}
		if ready, cancelled := cluster.dependencies.graph.Counts(); ready != 49 || cancelled != 1 {
			t.Errorf("%d jobs are ready and %d cancelled, want 49 and 1", ready, cancelled)
		}
	})
}

func TestLookupOfAdjacentOutcomesReadsPages(t *testing.T) {
	// Guards against one call for each of thousands of outcomes, and against pages that leave out the first
	// or the last wanted outcome.
	synctest.Test(t, func(t *testing.T) {
		history := newJobHistory(t, 100000, 20000)
		cluster := newTestState()
		committer := newCommitter(cluster, history.client)
		for i := range 3000 {
			id := numberedJob(200000 + i)
			cluster.submitWaiting(1, newWaitingRecord(id, record.Low, 0, numberedJob(110000+i)), time.Now())
		}
		passes := runLookupsUntilDone(t, cluster, committer)
		if ready, _ := cluster.dependencies.graph.Counts(); ready != 3000 || passes > 2 || history.calls > 6+1 {
			t.Errorf("%d of 3000 jobs are ready after %d passes and %d calls", ready, passes, history.calls)
		}
	})
}

func TestLookupRetriesMissingOutcomeAfterDelay(t *testing.T) {
	// Guards against treating a page without the wanted record as an answer on how the job ended, and
	// against one missing record delaying the others.
	synctest.Test(t, func(t *testing.T) {
		history := newJobHistory(t, 100000, 100)
		cluster := newTestState()
		committer := newCommitter(cluster, history.client)
		for i := range 120 { // the last 20 dependencies did not end; one of them is live, unknown to the leader
			id := numberedJob(200000 + i)
			cluster.submitWaiting(1, newWaitingRecord(id, record.Low, 0, numberedJob(100000+i)), time.Now())
		}
		liveJob := numberedJob(100110)
		history.storeJobRecord(t, newRecord(liveJob, "red", record.Low, 1, 1))
		committer.LookUpOnce(context.Background())
		if ready, _ := cluster.dependencies.graph.Counts(); ready != 100 || cluster.jobs.Get(liveJob) == nil {
			t.Errorf("%d jobs are ready, want 100; the live dependency is known: %v", ready, cluster.jobs.Get(liveJob) != nil)
		}
		calls := history.calls
		committer.LookUpOnce(context.Background())
		if history.calls > calls {
			t.Errorf("%d calls before the retry delay for outcomes that were missing", history.calls-calls)
		}
		time.Sleep(lookupRetryDelay)
		committer.LookUpOnce(context.Background())
		if history.calls == calls {
			t.Error("missing outcomes are not looked up again after the retry delay")
		}
	})
}
