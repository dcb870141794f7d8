package clusterstate

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

func newWaitingRecord(id ids.Job, priority record.Priority, deadline ids.Seconds, dependsOn ...ids.Job) *record.Record {
	rec := newRecord(id, "red", priority, 1, 1)
	rec.Spec.DependsOn, rec.Spec.Deadline = dependsOn, deadline
	return rec
}

func TestPipelineInheritsAndReleasesUrgency(t *testing.T) {
	// Guards against a pipeline whose users care about its last job while its first
	// ones wait behind everybody else's; and against keeping that when it is over.
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestState()
		now := time.Now()
		cluster.HandleRecord("job-1", 1, newRecord("job-1", "red", record.Low, 1, 1), now)
		cluster.HandleRecord("job-2", 2, newRecord("job-2", "red", record.Normal, 1, 1), now)
		cluster.HandleWaitingJob("job-3", 3, newWaitingRecord("job-3", record.Low, 0, "job-1"), now)
		// The last is learned of before one in the middle.
		cluster.HandleWaitingJob("job-5", 5, newWaitingRecord("job-5", record.High, 100, "job-4"), now)
		cluster.HandleWaitingJob("job-4", 4, newWaitingRecord("job-4", record.Low, 0, "job-3"), now)
		first := cluster.jobs.Get("job-1")
		if first.EffectivePriority() != record.High {
			t.Errorf("the first has priority %s", first.EffectivePriority())
		}
		// 100 s less three estimates of 10 s and fetches of 1 s.
		if left := first.Inherited.Deadline.Sub(now); left < 66*time.Second || left > 68*time.Second {
			t.Errorf("the first has %v", left)
		}
		if ranked := cluster.scheduler.Ranked(now); len(ranked) != 2 || ranked[0] != first {
			t.Errorf("%d are ranked, or the first does not lead", len(ranked))
		}
		cluster.HandleWaitingJob("job-5", 9, nil, now)
		if first.EffectivePriority() != record.Low || !first.Inherited.Deadline.IsZero() {
			t.Errorf("with the last gone the first still has priority %s and %v", first.EffectivePriority(), first.Inherited.Deadline)
		}
	})
}

func TestLaddersAndLongChainsLoadWithoutPathExplosion(t *testing.T) {
	// Guards against a takeover, or a change of one job, that takes a step for each path
	// through a pipeline: a ladder of 40 layers has 2^40.
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		cluster := newTestState()
		records, revisions := map[ids.Job]*record.Record{}, map[ids.Job]ids.Revision{}
		job := func(n int) ids.Job { return ids.Job(fmt.Sprintf("job-%d", n)) }
		for n := range 2 {
			cluster.HandleRecord(job(n), 1, newRecord(job(n), "red", record.Low, 1, 1), now)
		}
		// Two jobs a layer, each of which awaits both of the layer before. The estimates
		// are such that no two paths take the same time.
		for n := 2; n < 82; n++ {
			rec := newWaitingRecord(job(n), record.Priority(n%3), ids.Seconds(1e8-37*n%1000), job(n/2*2-2), job(n/2*2-1))
			rec.Spec.EstimatedDuration = 1 + ids.Seconds(n%2)*ids.Seconds(math.Exp2(float64(n/2)))*1e-6
			records[job(n)], revisions[job(n)] = rec, 1
		}
		cluster.HandleRecord("job-100", 1, newRecord("job-100", "red", record.Low, 1, 1), now)
		for n := 101; n <= 5100; n++ {
			records[job(n)], revisions[job(n)] = newWaitingRecord(job(n), record.Low, 0, job(n-1)), 1
		}
		cluster.LoadWaitingJobs(records, revisions, now)
		cluster.HandleWaitingJob("job-90", 2, newWaitingRecord("job-90", record.Critical, 1e7, "job-80", "job-81"), now)
		cluster.HandleWaitingJob("job-6000", 2, newWaitingRecord("job-6000", record.High, 100000, "job-5100"), now)
		if priority := cluster.jobs.Get("job-0").EffectivePriority(); priority != record.Critical {
			t.Errorf("the ladder's first has priority %s", priority)
		}
		first := cluster.jobs.Get("job-100")
		// 100,000 s less the estimates of 10 s and fetches of 1 s of 5,001 jobs.
		if left := first.Inherited.Deadline.Sub(now); first.EffectivePriority() != record.High || left != (100000-5001*11)*time.Second {
			t.Errorf("the chain's first has priority %s and %v", first.EffectivePriority(), left)
		}
		cluster.HandleWaitingJob("job-90", 9, nil, now)
		cluster.cancelJob(first)
		if _, cancelled := cluster.dependencies.graph.Counts(); cluster.jobs.Get("job-0").EffectivePriority() != record.High || cancelled != 5001 {
			t.Errorf("the ladder's first has priority %s, %d of the chain are cancelled", cluster.jobs.Get("job-0").EffectivePriority(), cancelled)
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
				cluster.HandleRecord(live, 1, newRecord(live, "red", record.Low, 1, 1), time.Now())
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

func TestRecordsRewrittenSmallerAfterValueLimitDrops(t *testing.T) {
	// Guards against a value that no longer fits being sent again and again, and
	// against taking tasks off a record that may be on machines.
	synctest.Test(t, func(t *testing.T) {
		network, store := fake.NewNetwork(), fake.NewStore()
		network.Listen("state:1", store)
		client := state.NewClient("state:1", network.Client("a"), state.NewBudget(1000, 1000, 1, 0.6))
		ctx := context.Background()
		old := newStateWithMachines(t, 60)
		rec := newRecord("job-1", "blue", record.Normal, 300, 0.5)
		old.HandleRecord("job-1", 1, rec, time.Now())
		old.Plan(time.Now())
		full := old.jobs.Get("job-1").Record
		full.Status, full.Assignments, full.Writer = record.Claimed, workload.GroupAssignments(old.jobs.Get("job-1").Assignments), "old"
		for k := range 12 {
			full.Events = append(full.Events, record.Event{Message: fmt.Sprintf("event %d %s", k, strings.Repeat("x", 60))})
		}
		raw, ok := full.Encode(8192)
		const lower = 520
		if _, fits := full.Encode(lower); !ok || fits || len(old.jobs.Get("job-1").Assignments) < 100 {
			t.Fatalf("a record of %d bytes with %d places shows nothing", len(raw), len(old.jobs.Get("job-1").Assignments))
		}
		epoch, err := client.Commit(ctx, state.Txn{Ops: []state.Op{{Put: record.JobKey("job-1"), Value: raw}}}, state.Urgent)
		if err != nil {
			t.Fatal(err)
		}
		cluster := newStateWithMachines(t, 60)
		cluster.settings.Params.State.ValueKB, cluster.settings.Params.State.TxnOps = lower/1024.0, 4
		store.SetLimits(lower, 4)
		stored, err := record.Decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		cluster.Load(map[ids.Job]*record.Record{"job-1": stored}, map[ids.Job]ids.Revision{"job-1": ids.Revision(epoch)}, ids.Revision(epoch), time.Now())
		committer := newCommitter(cluster, client)
		job := cluster.jobs.Get("job-1")
		assigned := len(job.Assignments)
		cluster.markChanged(job)
		cluster.markUrgent(job)
		for range 5 {
			committer.CommitGroup(ctx)
			time.Sleep(time.Second)
		}
		if store.TooLarge > 0 || len(job.Assignments) != assigned {
			t.Fatalf("%d writes were too large, %d of %d places are left", store.TooLarge, len(job.Assignments), assigned)
		}
		seconds := 0
		for sequence := ids.SequenceNumber(2); job.Unfinished() > 0 && seconds < 300; sequence++ {
			cluster.Plan(time.Now())
			committer.CommitGroup(ctx)
			cluster.NextBatches(1000)
			cluster.heartbeatAll(sequence, func(assignment *workload.Assignment) string {
				if (assignment.TaskIndex*7+int(sequence))%3 == 0 {
					return "done"
				}
				return ""
			})
			time.Sleep(time.Second)
			seconds++
		}
		for range 5 {
			committer.CommitGroup(ctx)
			time.Sleep(time.Second)
		}
		if store.TooLarge > 0 || store.Value(record.EndKey("job-1")) == nil {
			t.Errorf("%d writes were too large; after %d s the end is stored: %v", store.TooLarge, seconds, store.Value(record.EndKey("job-1")) != nil)
		}
	})
}
