package clusterstate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

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
			byID[rec.Spec.ID], revisions[rec.Spec.ID] = rec, ids.Revision(epoch)
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
	cluster.HandleRecord(rec.Spec.ID, ids.Revision(epoch), rec, time.Now())
	return cluster.jobs.Get(rec.Spec.ID)
}

// newDependents is n low jobs from job-1000 on that await one.
func newDependents(count int, dependency ids.Job) (records []*record.Record) {
	for i := range count {
		records = append(records, newWaitingRecord(numberedJob(1000+i), record.Low, 0, dependency))
	}
	return records
}

func TestDependentsOfCancelledJobEndInBoundedTransactions(t *testing.T) {
	// Guards against transactions over the limits, more of them than it takes, and ends
	// that keep a marker waiting for which tasks wait.
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		history := newJobHistory(t, 1, 1)
		history.client = history.newLeaderClient(80)
		cluster := newTestState()
		cluster.heartbeat("m1", "north", 1)
		committer := newCommitter(cluster, history.client)
		first := history.storeLiveJob(t, cluster, newRecord("job-500", "red", record.Low, 1, 1))
		history.storeWaitingJobs(t, cluster, newDependents(2000, "job-500")...)
		history.store.SetLimits(8192, cluster.settings.Params.State.TxnOps)
		cluster.cancelJob(first)
		if committer.CommitGroup(ctx); history.store.Value(record.EndKey("job-500")) == nil {
			t.Error("the end of the cancelled job itself is not in the first group")
		}
		history.calls = 0
		marker := history.storeLiveJob(t, cluster, newRecord("job-501", "red", record.Normal, 1, 1))
		cluster.Plan(time.Now())
		if committer.CommitGroup(ctx); marker.StoredVersion != marker.Version || len(marker.Assignments) != 1 {
			t.Error("a marker waits for the ends of those that were cancelled")
		}
		began := time.Now()
		for history.store.CountKeys(record.WaitPrefix) > 0 && time.Since(began) < 5*time.Minute {
			committer.CommitGroup(ctx)
			time.Sleep(20 * time.Millisecond)
		}
		took := time.Since(began)
		if history.store.TooLarge > 0 || history.store.CountKeys(record.WaitPrefix) > 0 || history.store.CountKeys(record.EndPrefix) != 1+2001 {
			t.Fatalf("%d transactions were too large, %d jobs wait, %d ended", history.store.TooLarge, history.store.CountKeys(record.WaitPrefix), history.store.CountKeys(record.EndPrefix))
		}
		// Two changes for each, 12 in a transaction, 80 a second for this node.
		if history.calls > 2000/6+10 || took > 90*time.Second {
			t.Errorf("2000 ends took %d transactions and %v", history.calls, took)
		}
		if cluster.dependencies.graph.Len() != 0 || len(cluster.dependencies.waiting) != 0 || cluster.jobs.Len() != 1 {
			t.Errorf("%d still wait", cluster.dependencies.graph.Len())
		}
	})
}

// newLeaderClient is a client of the same store that is the leader's, and whose service allows
// so many changes a second.
func (history *jobHistory) newLeaderClient(writes float64) *state.Client {
	client := state.NewClient("state:1", history.network.Client("a"), state.NewBudget(1000, writes, 1, 0.6))
	client.Budget().LeadershipChanged(true)
	return client
}

func TestReadyDependentsDoNotDelayAssignmentCommits(t *testing.T) {
	// Guards against moves of jobs that became ready filling every transaction while
	// starts wait for their marker; and against the urgent ones moving last.
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		history := newJobHistory(t, 1, 1)
		cluster := newTestState()
		cluster.heartbeat("m1", "north", 1)
		committer := newCommitter(cluster, history.client)
		history.storeLiveJob(t, cluster, newRecord("job-500", "red", record.Low, 1, 1))
		high := newWaitingRecord("job-9000", record.Low, 0, "job-500")
		history.storeWaitingJobs(t, cluster, append(newDependents(300, "job-500"), high, newWaitingRecord("job-9001", record.High, 0, "job-9000"))...)
		marker := history.storeLiveJob(t, cluster, newRecord("job-501", "red", record.Normal, 1, 1))
		cluster.jobEnded("job-500", record.Done)
		cluster.Plan(time.Now())
		committer.CommitGroup(ctx)
		if cluster.jobs.Get("job-9000") == nil {
			t.Error("the one that a high job awaits is not among the first that move")
		}
		for range 2 {
			committer.CommitGroup(ctx)
		}
		if marker.StoredVersion != marker.Version || len(marker.Assignments) != 1 {
			t.Error("a marker waits for the moves of hundreds")
		}
		for groups := 0; history.store.CountKeys(record.WaitPrefix) > 1; groups++ {
			if committer.CommitGroup(ctx); groups > 300/6+10 {
				t.Fatalf("%d still wait after %d groups", history.store.CountKeys(record.WaitPrefix), groups)
			}
		}
		if cluster.dependencies.graph.Len() != 1 || cluster.jobs.Len() != 2+301 {
			t.Errorf("%d wait, %d are known", cluster.dependencies.graph.Len(), cluster.jobs.Len())
		}
	})
}

func TestWaitingJobsAddNoPlanningCost(t *testing.T) {
	// Guards against planning, and what it counts per team, walking those that wait.
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		cluster := newStateWithMachines(t, 20)
		history := newJobHistory(t, 1, 100)
		cluster.HandleRecord("job-500", 1, newRecord("job-500", "blue", record.Low, 100, 1), now)
		records := newDependents(5000, "job-500")
		for k := range 5000 {
			records = append(records, newWaitingRecord(numberedJob(10000+k), record.High, 1000, numberedJob(1000+k), numberedJob(1+k%100)))
		}
		history.storeWaitingJobs(t, cluster, records...)
		committer := newCommitter(cluster, history.client)
		history.calls = 0
		if passes := runLookupsUntilDone(t, cluster, committer); passes > 3 || history.calls > 3 {
			t.Errorf("the ends that they await took %d passes and %d calls", passes, history.calls)
		}
		if ranked := len(cluster.scheduler.Ranked(now)); ranked != 1 || len(cluster.jobs.Ordered()) != 1 {
			t.Errorf("%d are ranked, %d stand in line", ranked, len(cluster.jobs.Ordered()))
		}
		cluster.Plan(now)
		cluster.markAllStored()
		before := machinesExamined(cluster)
		cluster.Plan(now)
		if looks := machinesExamined(cluster) - before; looks > 20 || len(cluster.jobs.Get("job-500").Assignments) != 80 {
			t.Errorf("%d machines were looked at for one job; %d of its tasks are placed", looks, len(cluster.jobs.Get("job-500").Assignments))
		}
		if cluster.quota.Usage("red").Cores != 0 {
			t.Errorf("those that wait hold %v cores of their team", cluster.quota.Usage("red").Cores)
		}
	})
}
