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
	// Guards against transactions that exceed the limits, against more transactions than needed, and
	// against outcomes that delay an assignment write for which starts wait.
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		history := newJobHistory(t, 1, 1)
		history.client = history.newLeaderClient(80)
		cluster := newTestState()
		cluster.heartbeat("m1", "north", 1)
		committer := newCommitter(cluster, history.client)
		first := history.storeLiveJob(t, cluster, newRecord("job-500", "red", record.Low, 1, 1))
		history.storeWaitingJobs(t, cluster, newDependents(2000, "job-500")...)
		history.store.SetLimits(testValueBytes, cluster.settings.Params.State.TxnOps)
		cluster.cancelJob(first)
		if committer.CommitGroup(ctx); history.store.Value(record.FinalRecordKey("job-500")) == nil {
			t.Error("the final record of the cancelled job itself is not in the first transaction")
		}
		history.calls = 0
		assigned := history.storeLiveJob(t, cluster, newRecord("job-501", "red", record.Normal, 1, 1))
		cluster.Plan(time.Now())
		if committer.CommitGroup(ctx); assigned.StoredVersion != assigned.Version || len(assigned.Assignments) != 1 {
			t.Error("the assignment write waits for the outcomes of the cancelled jobs")
		}
		began := time.Now()
		for history.store.CountKeys(record.WaitPrefix) > 0 && time.Since(began) < 5*time.Minute {
			committer.CommitGroup(ctx)
			time.Sleep(20 * time.Millisecond)
		}
		took := time.Since(began)
		waiting, ended := history.store.CountKeys(record.WaitPrefix), history.store.CountKeys(record.FinalRecordPrefix)
		if history.store.TooLarge > 0 || waiting > 0 || ended != 1+2001 {
			t.Fatalf("%d transactions were too large, %d jobs wait, %d ended", history.store.TooLarge, waiting, ended)
		}
		// Two changes per job, 12 in a transaction, 80 per second for this controller.
		if history.calls > 2000/6+10 || took > 90*time.Second {
			t.Errorf("2000 outcomes took %d transactions and %v", history.calls, took)
		}
		if cluster.dependencies.graph.Len() != 0 || len(cluster.dependencies.waiting) != 0 || cluster.jobs.Len() != 1 {
			t.Errorf("%d jobs still wait", cluster.dependencies.graph.Len())
		}
	})
}

func TestReadyDependentsDoNotDelayAssignmentCommits(t *testing.T) {
	// Guards against the moves of ready jobs filling every transaction while starts wait for their
	// assignment write, and against moving the urgent jobs last.
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		history := newJobHistory(t, 1, 1)
		cluster := newTestState()
		cluster.heartbeat("m1", "north", 1)
		committer := newCommitter(cluster, history.client)
		history.storeLiveJob(t, cluster, newRecord("job-500", "red", record.Low, 1, 1))
		high := newWaitingRecord("job-9000", record.Low, 0, "job-500")
		dependents := append(newDependents(300, "job-500"), high, newWaitingRecord("job-9001", record.High, 0, "job-9000"))
		history.storeWaitingJobs(t, cluster, dependents...)
		assigned := history.storeLiveJob(t, cluster, newRecord("job-501", "red", record.Normal, 1, 1))
		cluster.dependencies.recordOutcome("job-500", record.Done)
		cluster.Plan(time.Now())
		committer.CommitGroup(ctx)
		if cluster.jobs.Get("job-9000") == nil {
			t.Error("the job that a high-priority job depends on is not among the first that move")
		}
		for range 2 {
			committer.CommitGroup(ctx)
		}
		if assigned.StoredVersion != assigned.Version || len(assigned.Assignments) != 1 {
			t.Error("the assignment write waits for the moves of hundreds of jobs")
		}
		for groups := 0; history.store.CountKeys(record.WaitPrefix) > 1; groups++ {
			if committer.CommitGroup(ctx); groups > 300/6+10 {
				t.Fatalf("%d jobs still wait after %d transactions", history.store.CountKeys(record.WaitPrefix), groups)
			}
		}
		if cluster.dependencies.graph.Len() != 1 || cluster.jobs.Len() != 2+301 {
			t.Errorf("%d jobs wait, want 1; %d are known", cluster.dependencies.graph.Len(), cluster.jobs.Len())
		}
	})
}

func TestWaitingJobsAddNoPlanningCost(t *testing.T) {
	// Guards against planning passes, and counts of a team's usage, that iterate over the waiting jobs.
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		cluster := newStateWithMachines(20)
		history := newJobHistory(t, 1, 100)
		cluster.submit(1, newRecord("job-500", "blue", record.Low, 100, 1), now)
		records := newDependents(5000, "job-500")
		for i := range 5000 {
			dependencies := []ids.Job{numberedJob(1000 + i), numberedJob(1 + i%100)}
			records = append(records, newWaitingRecord(numberedJob(10000+i), record.High, 1000, dependencies...))
		}
		history.storeWaitingJobs(t, cluster, records...)
		committer := newCommitter(cluster, history.client)
		history.calls = 0
		if passes := runLookupsUntilDone(t, cluster, committer); passes > 3 || history.calls > 3 {
			t.Errorf("the outcomes of the dependencies took %d passes and %d calls", passes, history.calls)
		}
		if ranked := len(cluster.scheduler.Ranked(now)); ranked != 1 || len(cluster.jobs.Ordered()) != 1 {
			t.Errorf("%d jobs are ranked and %d are queued, want one each", ranked, len(cluster.jobs.Ordered()))
		}
		cluster.Plan(now)
		cluster.markAllStored()
		before := machinesExamined(cluster)
		cluster.Plan(now)
		count, assigned := machinesExamined(cluster)-before, len(cluster.assignmentsOf("job-500"))
		if count > 20 || assigned != 80 {
			t.Errorf("%d machines were examined for one job, %d tasks of which are assigned", count, assigned)
		}
		if cluster.quota.Usage("red").Cores != 0 {
			t.Errorf("the waiting jobs count as %v cores of their team", cluster.quota.Usage("red").Cores)
		}
	})
}

func TestWaitingJobsCostFollowsChanges(t *testing.T) {
	// Guards against iterating over all waiting jobs when one job changes, and against one call for each of
	// thousands of outcomes after a takeover.
	synctest.Test(t, func(t *testing.T) {
		network, _, client := newTestStore()
		calls := 0
		network.SetRule(func(string, string, *http.Request, []byte) fake.Outcome {
			calls++
			return fake.Deliver
		})
		ctx := context.Background()
		cluster := newTestState()
		committer := newCommitter(cluster, client)
		records, revisions := map[ids.Job]*record.Record{}, map[ids.Job]ids.Revision{}
		for i := range 3000 {
			live, ended, id := numberedJob(10000+i/10), numberedJob(20000+i/10), numberedJob(30000+i)
			if i%10 == 0 {
				cluster.submit(1, newRecord(live, "red", record.Low, 1, 1), time.Now())
				final := newRecord(ended, "red", record.Low, 1, 1)
				final.Status = record.Done
				raw, _ := final.Encode(testValueBytes)
				txn := state.Txn{Ops: []state.Op{{Put: record.FinalRecordKey(ended), Value: raw}}}
				if _, err := client.Commit(ctx, txn, state.Urgent); err != nil {
					t.Fatal(err)
				}
				time.Sleep(5 * time.Millisecond)
			}
			records[id] = newWaitingRecord(id, record.High, 100, live, ended)
			revisions[id] = 1
		}
		cluster.LoadWaitingJobs(records, revisions, time.Now())
		calls = 0
		committer.LookUpOnce(ctx)
		if calls > 5 || len(cluster.dependencies.lookups) != 0 {
			t.Errorf("%d calls for 300 outcomes, %d still not known", calls, len(cluster.dependencies.lookups))
		}
		if got := len(cluster.scheduler.Ranked(time.Now())); got != 300 {
			t.Errorf("%d jobs are ranked, want 300", got)
		}
		cluster.dependencies.recordOutcome("job-10000", record.Done)
		if ready, _ := cluster.dependencies.graph.Counts(); ready != 10 {
			t.Errorf("the end of a job made %d jobs ready, want 10", ready)
		}
		cluster.cancelJob(cluster.jobs.Get("job-10001"))
		if _, cancelled := cluster.dependencies.graph.Counts(); cancelled != 10 {
			t.Errorf("a cancellation cancelled %d dependents, want 10", cancelled)
		}
	})
}

func TestFullWaitingRecordCanStillBeMoved(t *testing.T) {
	// Guards against a record that can be stored while the job waits but that is too large as the record of
	// a ready or an ended job, so that the job would wait forever.
	const limit = 2048
	now := time.Now()
	for _, test := range []struct {
		outcome      record.Status // of the dependencies
		dependencies int
	}{
		{record.Done, 150},
		{record.Done, 100},
		{record.Cancelled, 150},
		{record.Cancelled, 100},
	} {
		t.Run(fmt.Sprintf("%d dependencies that are %s", test.dependencies, test.outcome), func(t *testing.T) {
			outcome := test.outcome
			cluster := newTestState()
			cluster.settings.Params.State.ValueKB = limit / 1024
			rec := newRecord("job-9", "blue", record.Normal, 4, 1)
			rec.Spec.DependsOn = newDependencyIDs(test.dependencies)
			if _, ok := rec.EncodeWaiting(limit); !ok {
				t.Fatalf("a waiting record with %d dependencies does not fit", test.dependencies)
			}
			cluster.mu.Lock()
			cluster.dependencies.addWaitingJobs(now, &workload.WaitingJob{Record: rec, Revision: 3})
			for _, dependency := range rec.Spec.DependsOn {
				cluster.dependencies.recordOutcome(dependency, outcome)
			}
			var moves []commit.Change
			add := func(change commit.Change) bool {
				moves = append(moves, change)
				return true
			}
			if outcome == record.Done {
				cluster.dependencies.collectReadyMoves(add)
			} else {
				cluster.dependencies.collectCancelledMoves(add)
			}
			cluster.mu.Unlock()
			if len(moves) != 1 {
				t.Fatalf("%d moves, want 1", len(moves))
			}
			raw := moves[0].Ops[1].Value
			if len(raw) > limit {
				t.Errorf("the moved record has %d bytes, more than the limit", len(raw))
			}
			if outcome == record.Done && float64(len(raw)) > limit*record.MaxSpecShare {
				t.Errorf("a moved record of %d bytes leaves too little space for assignments", len(raw))
			}
			decoded, err := record.Decode(raw)
			if err != nil {
				t.Fatalf("decode the moved record: %v", err)
			}
			if outcome == record.Done {
				return
			}
			if lastEvent := decoded.Events[len(decoded.Events)-1].Message; !strings.Contains(lastEvent, "which was cancelled") {
				t.Errorf("the last event of the moved record does not name the cancelled dependency: %+v", decoded)
			}
		})
	}
}
