package clusterstate

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

func TestDiamondDependencyInheritsAndReleasesUrgency(t *testing.T) {
	// Guards against jobs that keep an inherited priority, and preempt others, when no urgent job
	// depends on them any more, whichever controller cancelled it; and against one branch losing the
	// inherited priority because the other branch loses it.
	for name, test := range map[string]struct {
		change        func(cluster *State, now time.Time)
		first, branch record.Priority // effective of job-1 and inherited by job-3, afterwards
	}{
		"nothing changes": {func(*State, time.Time) {}, record.High, record.High},
		"another controller cancels the urgent job": {func(cluster *State, now time.Time) {
			cluster.HandleWaitingJob("job-4", 9, nil, now)
		}, record.Low, record.Low},
		"the cancelled urgent job's outcome is looked up": {func(cluster *State, now time.Time) {
			cluster.HandleWaitingJob("job-4", 9, nil, now)
			cluster.dependencies.recordOutcome("job-4", record.Cancelled)
		}, record.Low, record.Low},
		"another controller cancels one branch and so the urgent job": {func(cluster *State, now time.Time) {
			cluster.HandleWaitingJob("job-2", 9, nil, now)
			cluster.dependencies.recordOutcome("job-2", record.Cancelled)
		}, record.Low, record.Low},
		"one branch is done": {func(cluster *State, now time.Time) {
			cluster.HandleWaitingJob("job-2", 9, nil, now)
			cluster.dependencies.recordOutcome("job-2", record.Done)
		}, record.High, record.High},
		"another urgent job depends on one branch, the first is gone": {func(cluster *State, now time.Time) {
			cluster.submitWaiting(5, newWaitingRecord("job-5", record.High, 100, "job-3"), now)
			cluster.HandleWaitingJob("job-4", 9, nil, now)
		}, record.High, record.High},
		"the first job is cancelled": {func(cluster *State, now time.Time) {
			cancelled := newRecord("job-1", "red", record.Low, 1, 1)
			cancelled.Status = record.Cancelling
			cluster.HandleRecord("job-1", 9, cancelled, now)
		}, record.Low, record.Low},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				cluster := newTestState()
				addDiamondPipeline(cluster, now)
				cluster.loaded = true
				first := cluster.jobs.Get("job-1")
				test.change(cluster, now)
				if got := first.EffectivePriority(); got != test.first {
					t.Errorf("the first job has priority %s, want %s", got, test.first)
				}
				if got := record.Priority(cluster.dependencies.graph.InheritedUrgency("job-3").Priority); got != test.branch {
					t.Errorf("the other branch inherits %s, want %s", got, test.branch)
				}
			})
		})
	}
}

func TestReadyJobKeepsInheritedUrgency(t *testing.T) {
	// Guards against a job that loses its inherited priority when it becomes ready.
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		cluster := newTestState()
		addDiamondPipeline(cluster, now)
		cluster.dependencies.recordOutcome("job-1", record.Done)
		waiting := cluster.dependencies.waiting["job-2"]
		moved := *waiting.Record
		cluster.dependencies.recordMove(commit.Change{Waiting: waiting, MovedRecord: &moved}, 5, now)
		job := cluster.jobs.Get("job-2")
		if job == nil {
			t.Fatal("the branch did not become ready")
		}
		if left := job.Inherited.Deadline.Sub(now); job.EffectivePriority() != record.High || left != 189*time.Second {
			t.Errorf("the branch that became ready lost its inherited urgency: %+v", job)
		}
	})
}

func TestInheritedPriorityPreemptsWithinTeamLimit(t *testing.T) {
	// Guards against a pipeline that is delayed by work of lower priority on a full fleet, and against
	// exceeding the team's limit because of an inherited priority.
	for _, hasUrgentDependent := range []bool{false, true} {
		t.Run(fmt.Sprintf("urgent dependent %v", hasUrgentDependent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				cluster := newTestState()
				cluster.setTeams(config.Team{Name: "red", CPUsMax: 3}, cluster.settings.Params.Teams[1])
				cluster.heartbeat("m1", "north", 1)
				cluster.heartbeat("m2", "north", 1)
				cluster.submit(1, newRecord("job-1", "blue", record.Normal, 8, 1), now)
				cluster.Plan(now)
				cluster.markAllStored()
				cluster.submit(2, newRecord("job-2", "red", record.Low, 8, 1), now)
				if hasUrgentDependent {
					cluster.submitWaiting(3, newWaitingRecord("job-3", record.High, 0, "job-2"), now)
				}
				for range 10 {
					cluster.Plan(now)
					cluster.markAllStored()
					cluster.removeStoppingAssignments()
					now = now.Add(time.Second)
					if used := cluster.quota.Usage("red").Cores; used > 3 {
						t.Fatalf("team red uses %v cores, more than its limit of 3", used)
					}
				}
				want := 0
				if hasUrgentDependent {
					want = 3
				}
				if low, normal := len(cluster.assignmentsOf("job-2")), len(cluster.assignmentsOf("job-1")); low != want || normal != 8-want {
					t.Errorf("%d tasks of the low job and %d of the normal one are assigned, want %d and %d", low, normal, want, 8-want)
				}
			})
		})
	}
}

func TestInheritedDeadlineIncludesImagePullsOnceInstanceTypesKnown(t *testing.T) {
	// Guards against inherited deadlines that leave no time for image pulls during a leader's whole term:
	// the leader loads the records before it knows the instance types.
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		cluster := New(newTestSettings(), "w", testGeneration, now)
		addDiamondPipeline(cluster, now)
		first := cluster.jobs.Get("job-1")
		before := first.Inherited.Deadline.Sub(now)
		cluster.SetMachineTypes(testInstanceTypes())
		if after := first.Inherited.Deadline.Sub(now); before != 180*time.Second || after != 178*time.Second {
			t.Errorf("the first job has %v without the image pulls of two jobs, %v with them", before, after)
		}
	})
}

func TestPipelineInheritsAndReleasesUrgency(t *testing.T) {
	// Guards against a pipeline whose urgent last job is delayed because its first jobs wait behind
	// other users' jobs, and against first jobs that keep the urgency when the last job is gone.
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestState()
		now := time.Now()
		cluster.submit(1, newRecord("job-1", "red", record.Low, 1, 1), now)
		cluster.submit(2, newRecord("job-2", "red", record.Normal, 1, 1), now)
		cluster.submitWaiting(3, newWaitingRecord("job-3", record.Low, 0, "job-1"), now)
		// The last job arrives before one in the middle.
		cluster.submitWaiting(5, newWaitingRecord("job-5", record.High, 100, "job-4"), now)
		cluster.submitWaiting(4, newWaitingRecord("job-4", record.Low, 0, "job-3"), now)
		first := cluster.jobs.Get("job-1")
		if first.EffectivePriority() != record.High {
			t.Errorf("the first job has priority %s, want that of the last job", first.EffectivePriority())
		}
		// 100 s less three estimates of 10 s and image pulls of 1 s.
		if left := first.Inherited.Deadline.Sub(now); left < 66*time.Second || left > 68*time.Second {
			t.Errorf("the first job has %v left until its inherited deadline", left)
		}
		if ranked := cluster.scheduler.Ranked(now); len(ranked) != 2 || ranked[0] != first {
			t.Errorf("%d jobs are ranked, want 2, with the first job of the pipeline first", len(ranked))
		}
		cluster.HandleWaitingJob("job-5", 9, nil, now)
		if first.EffectivePriority() != record.Low || !first.Inherited.Deadline.IsZero() {
			t.Errorf("when the last job is gone, the first job still has priority %s and deadline %v", first.EffectivePriority(), first.Inherited.Deadline)
		}
	})
}

func TestLaddersAndLongChainsLoadWithoutPathExplosion(t *testing.T) {
	// Guards against a takeover, or a change of one job, whose cost grows with the number of paths through
	// a pipeline: a ladder of 40 layers has 2^40 paths.
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		cluster := newTestState()
		records, revisions := map[ids.Job]*record.Record{}, map[ids.Job]ids.Revision{}
		for n := range 2 {
			cluster.submit(1, newRecord(numberedJob(n), "red", record.Low, 1, 1), now)
		}
		// Two jobs per layer, each of which depends on both of the layer before. The estimates are such
		// that no two paths take the same time.
		for n := 2; n < 82; n++ {
			rec := newWaitingRecord(numberedJob(n), record.Priority(n%3), ids.Seconds(1e8-37*n%1000), numberedJob(n/2*2-2), numberedJob(n/2*2-1))
			rec.Spec.EstimatedDuration = 1 + ids.Seconds(n%2)*ids.Seconds(math.Exp2(float64(n/2)))*1e-6
			records[numberedJob(n)], revisions[numberedJob(n)] = rec, 1
		}
		cluster.submit(1, newRecord("job-100", "red", record.Low, 1, 1), now)
		for n := 101; n <= 5100; n++ {
			records[numberedJob(n)], revisions[numberedJob(n)] = newWaitingRecord(numberedJob(n), record.Low, 0, numberedJob(n-1)), 1
		}
		cluster.LoadWaitingJobs(records, revisions, now)
		cluster.submitWaiting(2, newWaitingRecord("job-90", record.Critical, 1e7, "job-80", "job-81"), now)
		cluster.submitWaiting(2, newWaitingRecord("job-6000", record.High, 100000, "job-5100"), now)
		if priority := cluster.jobs.Get("job-0").EffectivePriority(); priority != record.Critical {
			t.Errorf("the ladder's first job has priority %s, want that of its last job", priority)
		}
		first := cluster.jobs.Get("job-100")
		// 100,000 s less the estimates of 10 s and image pulls of 1 s of 5,001 jobs.
		if left := first.Inherited.Deadline.Sub(now); first.EffectivePriority() != record.High || left != (100000-5001*11)*time.Second {
			t.Errorf("the chain's first job has priority %s and %v left", first.EffectivePriority(), left)
		}
		cluster.HandleWaitingJob("job-90", 9, nil, now)
		cluster.cancelJob(first)
		priority := cluster.jobs.Get("job-0").EffectivePriority()
		if _, cancelled := cluster.dependencies.graph.Counts(); priority != record.High || cancelled != 5001 {
			t.Errorf("the ladder's first job has priority %s, %d jobs of the chain are cancelled", priority, cancelled)
		}
	})
}
