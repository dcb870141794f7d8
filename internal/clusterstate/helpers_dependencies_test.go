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

// testStoreBatch is how many records the helpers store in one transaction.
const testStoreBatch = 500

// jobHistory is a store with the final records of many jobs, a client of it, and the number of calls
// that the client has made.
type jobHistory struct {
	network *fake.Network
	store   *fake.Store
	client  *state.Client
	calls   int
}

// newJobHistory stores final records of count jobs from number first on: those in cancelled are
// cancelled, the others done.
func newJobHistory(t *testing.T, first, count int, cancelled ...int) *jobHistory {
	t.Helper()
	history := &jobHistory{store: fake.NewStore(), network: fake.NewNetwork()}
	history.network.Listen(testStoreAddress, history.store)
	history.network.SetRule(func(string, string, *http.Request, []byte) fake.Outcome {
		history.calls++
		return fake.Deliver
	})
	history.client = state.NewClient(testStoreAddress, history.network.Client("a"), state.NewBudget(1e6, 1e6, 1, 0.6))
	put := func(status record.Status, numbers ...int) {
		var txn state.Txn
		for _, number := range numbers {
			final := newRecord(numberedJob(number), "red", record.Low, 1, 1)
			final.Status = status
			raw, _ := final.Encode(testValueBytes)
			txn.Ops = append(txn.Ops, state.Op{Put: record.FinalRecordKey(numberedJob(number)), Value: raw})
		}
		if _, err := history.client.Commit(context.Background(), txn, state.Urgent); err != nil {
			t.Fatal(err)
		}
	}
	var batch []int
	for number := first; number < first+count; number++ {
		batch = append(batch, number)
		if len(batch) == testStoreBatch || number == first+count-1 {
			put(record.Done, batch...)
			batch = nil
		}
	}
	if len(cancelled) > 0 {
		put(record.Cancelled, cancelled...)
	}
	history.calls = 0
	return history
}

// numberedJob returns the ID of the job with the given number.
func numberedJob(number int) ids.Job { return ids.Job(fmt.Sprintf("job-%d", number)) }

// runLookupsUntilDone runs lookup passes until no outcome is left to look up, and returns the number of
// passes.
func runLookupsUntilDone(t *testing.T, cluster *State, committer *commit.Committer) (passes int) {
	t.Helper()
	for len(cluster.dependencies.lookups) > 0 {
		if passes++; passes > 100 {
			t.Fatalf("%d outcomes are still not known after 100 lookup passes", len(cluster.dependencies.lookups))
		}
		committer.LookUpOnce(context.Background())
		time.Sleep(commit.LookupInterval)
	}
	return passes
}

// storeWaitingJobs stores records of waiting jobs and loads them as a new leader does.
func (history *jobHistory) storeWaitingJobs(t *testing.T, cluster *State, records ...*record.Record) {
	t.Helper()
	byID, revisions := map[ids.Job]*record.Record{}, map[ids.Job]ids.Revision{}
	for len(records) > 0 {
		var txn state.Txn
		n := min(testStoreBatch, len(records))
		for _, rec := range records[:n] {
			raw, _ := rec.EncodeWaiting(testValueBytes)
			txn.Ops = append(txn.Ops, state.Op{Put: record.WaitKey(rec.Spec.ID), Value: raw})
		}
		revision, err := history.client.Commit(context.Background(), txn, state.Urgent)
		if err != nil {
			t.Fatal(err)
		}
		for _, rec := range records[:n] {
			byID[rec.Spec.ID] = rec
			revisions[rec.Spec.ID] = ids.Revision(revision)
		}
		records = records[n:]
	}
	cluster.LoadWaitingJobs(byID, revisions, time.Now())
}

// storeJobRecord stores the live record of a job and returns its revision.
func (history *jobHistory) storeJobRecord(t *testing.T, rec *record.Record) ids.Revision {
	t.Helper()
	raw, _ := rec.Encode(testValueBytes)
	txn := state.Txn{Ops: []state.Op{{Put: record.JobKey(rec.Spec.ID), Value: raw}}}
	revision, err := history.client.Commit(context.Background(), txn, state.Urgent)
	if err != nil {
		t.Fatal(err)
	}
	return ids.Revision(revision)
}

// storeLiveJob stores the live record of a job and passes it to the cluster state.
func (history *jobHistory) storeLiveJob(t *testing.T, cluster *State, rec *record.Record) *workload.Job {
	t.Helper()
	cluster.submit(history.storeJobRecord(t, rec), rec, time.Now())
	return cluster.jobs.Get(rec.Spec.ID)
}

// newDependents returns the records of count low-priority jobs, from job-1000 on, that depend on one job.
func newDependents(count int, dependency ids.Job) (records []*record.Record) {
	for i := range count {
		records = append(records, newWaitingRecord(numberedJob(1000+i), record.Low, 0, dependency))
	}
	return records
}

// newLeaderClient returns a client of the same store whose budget is the leader's share of the given number
// of writes per second.
func (history *jobHistory) newLeaderClient(writes float64) *state.Client {
	client := state.NewClient(testStoreAddress, history.network.Client("a"), state.NewBudget(1000, writes, 1, 0.6))
	client.Budget().RecordLeadershipChange(true)
	return client
}

// addDiamondPipeline submits a low-priority job, two low-priority ones that depend on it, and a
// high-priority one that depends on both.
func addDiamondPipeline(cluster *State, now time.Time) {
	cluster.submit(1, newRecord("job-1", "red", record.Low, 1, 1), now)
	cluster.submitWaiting(2, newWaitingRecord("job-2", record.Low, 0, "job-1"), now)
	cluster.submitWaiting(3, newWaitingRecord("job-3", record.Low, 0, "job-1"), now)
	cluster.submitWaiting(4, newWaitingRecord("job-4", record.High, 200, "job-2", "job-3"), now)
}

// newDependencyIDs returns the IDs of count jobs, which have a common prefix.
func newDependencyIDs(count int) (dependencies []ids.Job) {
	for i := range count {
		dependencies = append(dependencies, ids.Job(fmt.Sprintf("job-%06d", 412+37*i)))
	}
	return dependencies
}
