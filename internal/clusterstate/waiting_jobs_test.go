package clusterstate

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

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
		cluster.submit(1, newRecord("job-500", "blue", record.Low, 100, 1), now)
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
		if looks := machinesExamined(cluster) - before; looks > 20 || len(cluster.assignmentsOf("job-500")) != 80 {
			t.Errorf("%d machines were looked at for one job; %d of its tasks are placed", looks, len(cluster.assignmentsOf("job-500")))
		}
		if cluster.quota.Usage("red").Cores != 0 {
			t.Errorf("those that wait hold %v cores of their team", cluster.quota.Usage("red").Cores)
		}
	})
}

func TestWaitingJobsCostFollowsChanges(t *testing.T) {
	// Guards against passes over all that wait, and after a takeover against a call for
	// each of thousands of ends.
	synctest.Test(t, func(t *testing.T) {
		network, store := fake.NewNetwork(), fake.NewStore()
		network.Listen("state:1", store)
		calls := 0
		network.SetRule(func(string, string, *http.Request, []byte) fake.Outcome { calls++; return fake.Deliver })
		client := state.NewClient("state:1", network.Client("a"), state.NewBudget(1000, 1000, 1, 0.6))
		ctx := context.Background()
		cluster := newTestState()
		committer := newCommitter(cluster, client)
		records, revisions := map[ids.Job]*record.Record{}, map[ids.Job]ids.Revision{}
		for i := range 3000 {
			live, over := ids.Job(fmt.Sprintf("job-%d", 10000+i/10)), ids.Job(fmt.Sprintf("job-%d", 20000+i/10))
			id := ids.Job(fmt.Sprintf("job-%d", 30000+i))
			if i%10 == 0 {
				cluster.submit(1, newRecord(live, "red", record.Low, 1, 1), time.Now())
				end := newRecord(over, "red", record.Low, 1, 1)
				end.Status = record.Done
				raw, _ := end.Encode(8192)
				if _, err := client.Commit(ctx, state.Txn{Ops: []state.Op{{Put: record.EndKey(over), Value: raw}}}, state.Urgent); err != nil {
					t.Fatal(err)
				}
				time.Sleep(5 * time.Millisecond)
			}
			records[id], revisions[id] = newWaitingRecord(id, record.High, 100, live, over), 1
		}
		cluster.LoadWaitingJobs(records, revisions, time.Now())
		calls = 0
		committer.LookUpOnce(ctx)
		if calls > 5 || len(cluster.dependencies.lookups) != 0 {
			t.Errorf("%d calls for 300 ends, %d still not known", calls, len(cluster.dependencies.lookups))
		}
		if got := len(cluster.scheduler.Ranked(time.Now())); got != 300 {
			t.Errorf("%d jobs stand in line", got)
		}
		cluster.jobEnded("job-10000", record.Done)
		if ready, _ := cluster.dependencies.graph.Counts(); ready != 10 {
			t.Errorf("an end made %d ready, not 10", ready)
		}
		cluster.cancelJob(cluster.jobs.Get("job-10001"))
		if _, cancelled := cluster.dependencies.graph.Counts(); cancelled != 10 {
			t.Errorf("a cancellation ended %d, not 10", cancelled)
		}
	})
}

func TestFullWaitingRecordCanStillBeMoved(t *testing.T) {
	// Guards against a record that can be stored while it waits, but neither as claimable
	// nor as ended, so that the job would be stuck.
	const limit = 2048
	now := time.Now()
	for _, test := range []struct {
		needed record.Status
		needs  int
	}{{record.Done, 150}, {record.Done, 100}, {record.Cancelled, 150}, {record.Cancelled, 100}} {
		outcome := test.needed
		cluster := newTestState()
		cluster.settings.Params.State.ValueKB = limit / 1024
		rec := newRecord("job-9", "blue", record.Normal, 4, 1)
		rec.Spec.DependsOn = newDependencyIDs(test.needs)
		if _, ok := rec.EncodeWaiting(limit); !ok {
			t.Fatalf("%d names do not fit", test.needs)
		}
		cluster.mu.Lock()
		cluster.addWaitingJobs(now, &workload.WaitingJob{Record: rec, Revision: 3})
		for _, need := range rec.Spec.DependsOn {
			cluster.jobEnded(need, outcome)
		}
		var moves []commit.Change
		add := func(change commit.Change) bool { moves = append(moves, change); return true }
		if outcome == record.Done {
			cluster.collectReadyMoves(add)
		} else {
			cluster.collectCancelledMoves(add)
		}
		cluster.mu.Unlock()
		if len(moves) != 1 {
			t.Fatalf("%s: %d moves", outcome, len(moves))
		}
		raw := moves[0].Ops[1].Value
		if len(raw) > limit {
			t.Errorf("%s: %d bytes", outcome, len(raw))
		}
		if outcome == record.Done && float64(len(raw)) > limit*record.MaxSpecShare {
			t.Errorf("%d bytes leave little room for places", len(raw))
		}
		if decoded, err := record.Decode(raw); err != nil || outcome != record.Done && !strings.Contains(decoded.Events[len(decoded.Events)-1].Message, "which was cancelled") {
			t.Errorf("%s: read back as %+v, %v", outcome, decoded, err)
		}
	}
}
