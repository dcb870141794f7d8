package clusterstate

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// jobHistory is a store with the final records of many jobs, a client of it, and how many
// calls that one made.
type jobHistory struct {
	network *fake.Network
	store   *fake.Store
	client  *state.Client
	calls   int
}

// newJobHistory stores that jobs first to first+n-1 are done, but for those cancelled.
func newJobHistory(t *testing.T, first, count int, cancelled ...int) *jobHistory {
	history := &jobHistory{store: fake.NewStore(), network: fake.NewNetwork()}
	history.network.Listen("state:1", history.store)
	history.network.SetRule(func(string, string, *http.Request, []byte) fake.Outcome { history.calls++; return fake.Deliver })
	history.client = state.NewClient("state:1", history.network.Client("a"), state.NewBudget(1e6, 1e6, 1, 0.6))
	put := func(status record.Status, numbers ...int) {
		var txn state.Txn
		for _, number := range numbers {
			final := newRecord(numberedJob(number), "red", record.Low, 1, 1)
			final.Status = status
			raw, _ := final.Encode(8192)
			txn.Ops = append(txn.Ops, state.Op{Put: record.EndKey(numberedJob(number)), Value: raw})
		}
		if _, err := history.client.Commit(context.Background(), txn, state.Urgent); err != nil {
			t.Fatal(err)
		}
	}
	var all []int
	for number := first; number < first+count; number++ {
		if all = append(all, number); len(all) == 500 || number == first+count-1 {
			put(record.Done, all...)
			all = nil
		}
	}
	if len(cancelled) > 0 {
		put(record.Cancelled, cancelled...)
	}
	history.calls = 0
	return history
}

func numberedJob(number int) ids.Job { return ids.Job(fmt.Sprintf("job-%d", number)) }

// runLookupsUntilDone runs passes until nothing is left to look up, and tells how many.
func runLookupsUntilDone(t *testing.T, cluster *State, committer *commit.Committer) (passes int) {
	t.Helper()
	for len(cluster.dependencies.lookups) > 0 {
		if passes++; passes > 100 {
			t.Fatalf("%d are still not known", len(cluster.dependencies.lookups))
		}
		committer.LookUpOnce(context.Background())
		time.Sleep(commit.LookupInterval)
	}
	return passes
}

// storeWaitingJobs stores jobs that wait and loads them like a new leader.
func (history *jobHistory) storeWaitingJobs(t *testing.T, cluster *State, records ...*record.Record) {
	byID, revisions := map[ids.Job]*record.Record{}, map[ids.Job]ids.Revision{}
	for len(records) > 0 {
		var txn state.Txn
		n := min(500, len(records))
		for _, rec := range records[:n] {
			raw, _ := rec.EncodeWaiting(8192)
			txn.Ops = append(txn.Ops, state.Op{Put: record.WaitKey(rec.Spec.ID), Value: raw})
		}
		epoch, err := history.client.Commit(context.Background(), txn, state.Urgent)
		if err != nil {
			t.Fatal(err)
		}
		for _, rec := range records[:n] {
			byID[rec.Spec.ID] = rec
			revisions[rec.Spec.ID] = ids.Revision(epoch)
		}
		records = records[n:]
	}
	cluster.LoadWaitingJobs(byID, revisions, time.Now())
}

// storeLiveJob stores a claimable job and loads it.
func (history *jobHistory) storeLiveJob(t *testing.T, cluster *State, rec *record.Record) *workload.Job {
	raw, _ := rec.Encode(8192)
	epoch, err := history.client.Commit(context.Background(), state.Txn{Ops: []state.Op{{Put: record.JobKey(rec.Spec.ID), Value: raw}}}, state.Urgent)
	if err != nil {
		t.Fatal(err)
	}
	cluster.submit(ids.Revision(epoch), rec, time.Now())
	return cluster.jobs.Get(rec.Spec.ID)
}

// newDependents is n low jobs from job-1000 on that await one.
func newDependents(count int, dependency ids.Job) (records []*record.Record) {
	for i := range count {
		records = append(records, newWaitingRecord(numberedJob(1000+i), record.Low, 0, dependency))
	}
	return records
}

// newLeaderClient is a client of the same store that is the leader's, and whose service allows
// so many changes a second.
func (history *jobHistory) newLeaderClient(writes float64) *state.Client {
	client := state.NewClient("state:1", history.network.Client("a"), state.NewBudget(1000, writes, 1, 0.6))
	client.Budget().LeadershipChanged(true)
	return client
}

// addDiamondPipeline is a low job, two low ones that await it, and a high one that awaits both.
func addDiamondPipeline(cluster *State, now time.Time) {
	cluster.submit(1, newRecord("job-1", "red", record.Low, 1, 1), now)
	cluster.submitWaiting(2, newWaitingRecord("job-2", record.Low, 0, "job-1"), now)
	cluster.submitWaiting(3, newWaitingRecord("job-3", record.Low, 0, "job-1"), now)
	cluster.submitWaiting(4, newWaitingRecord("job-4", record.High, 200, "job-2", "job-3"), now)
}

// newDependencyIDs are the names of n jobs, which begin alike.
func newDependencyIDs(count int) (dependencies []ids.Job) {
	for i := range count {
		dependencies = append(dependencies, ids.Job(fmt.Sprintf("job-%06d", 412+37*i)))
	}
	return dependencies
}
