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
	// Guards against a priority that stays with jobs, and displaces others, when nobody
	// urgent needs them any more, whoever cancelled what; and against one branch losing
	// it because the other does.
	for name, test := range map[string]struct {
		change        func(cluster *State, now time.Time)
		first, branch record.Priority // of job-1 and job-3 afterwards
	}{
		"nothing": {func(*State, time.Time) {}, record.High, record.High},
		"the urgent one is cancelled at another node": {func(cluster *State, now time.Time) {
			cluster.HandleWaitingJob("job-4", 9, nil, now)
		}, record.Low, record.Low},
		"its end is read": {func(cluster *State, now time.Time) {
			cluster.HandleWaitingJob("job-4", 9, nil, now)
			cluster.jobEnded("job-4", record.Cancelled)
		}, record.Low, record.Low},
		"one branch is cancelled at another node, so the urgent one is": {func(cluster *State, now time.Time) {
			cluster.HandleWaitingJob("job-2", 9, nil, now)
			cluster.jobEnded("job-2", record.Cancelled)
		}, record.Low, record.Low},
		"one branch is done": {func(cluster *State, now time.Time) {
			cluster.HandleWaitingJob("job-2", 9, nil, now)
			cluster.jobEnded("job-2", record.Done)
		}, record.High, record.High},
		"another urgent one needs one branch, the first goes": {func(cluster *State, now time.Time) {
			cluster.submitWaiting(5, newWaitingRecord("job-5", record.High, 100, "job-3"), now)
			cluster.HandleWaitingJob("job-4", 9, nil, now)
		}, record.High, record.High},
		"the first is cancelled": {func(cluster *State, now time.Time) {
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
					t.Errorf("the first has priority %s, not %s", got, test.first)
				}
				if got := record.Priority(cluster.dependencies.graph.InheritedUrgency("job-3").Priority); got != test.branch {
					t.Errorf("the other branch inherits %s, not %s", got, test.branch)
				}
			})
		})
	}
}

func TestReadyJobKeepsInheritedUrgency(t *testing.T) {
	// Guards against a job that becomes claimable as what its user called it.
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		cluster := newTestState()
		addDiamondPipeline(cluster, now)
		cluster.jobEnded("job-1", record.Done)
		waiting := cluster.dependencies.waiting["job-2"]
		moved := *waiting.Record
		cluster.waitingJobMoved(commit.Change{Waiting: waiting, Becomes: &moved}, 5, now)
		if job := cluster.jobs.Get("job-2"); job == nil || job.EffectivePriority() != record.High || job.Inherited.Deadline.Sub(now) != 189*time.Second {
			t.Errorf("the branch that moved is %+v", job)
		}
	})
}

func TestInheritedPriorityPreemptsWithinTeamLimit(t *testing.T) {
	// Guards against a pipeline held up by lesser work on a full fleet, and against its
	// priority lifting it over its team's limit.
	synctest.Test(t, func(t *testing.T) {
		for _, hasUrgentDependent := range []bool{false, true} {
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
				for assignment := range cluster.capacity.AssignmentsOn("m1") {
					if assignment.Stopping {
						cluster.removeAssignment(assignment)
					}
				}
				for assignment := range cluster.capacity.AssignmentsOn("m2") {
					if assignment.Stopping {
						cluster.removeAssignment(assignment)
					}
				}
				now = now.Add(time.Second)
				if used := cluster.quota.Usage("red").Cores; used > 3 {
					t.Fatalf("its team has %v cores, 3 at most", used)
				}
			}
			want := 0
			if hasUrgentDependent {
				want = 3
			}
			if low, normal := len(cluster.assignmentsOf("job-2")), len(cluster.assignmentsOf("job-1")); low != want || normal != 8-want {
				t.Errorf("needed by a high job: %v; %d of its tasks are placed, and %d of the normal job's", hasUrgentDependent, low, normal)
			}
		}
	})
}

func TestInheritedDeadlineIncludesImagePullsOnceInstanceTypesKnown(t *testing.T) {
	// Guards against deadlines that leave no time for fetches for as long as a leader
	// leads: it reads the records before it knows the types.
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		cluster := New(newTestSettings(), "w", 7, now)
		addDiamondPipeline(cluster, now)
		first := cluster.jobs.Get("job-1")
		before := first.Inherited.Deadline.Sub(now)
		cluster.SetMachineTypes(testInstanceTypes())
		if after := first.Inherited.Deadline.Sub(now); before != 180*time.Second || after != 178*time.Second {
			t.Errorf("the first has %v without the fetches of two jobs, %v with them", before, after)
		}
	})
}

func TestPipelineInheritsAndReleasesUrgency(t *testing.T) {
	// Guards against a pipeline whose users care about its last job while its first
	// ones wait behind everybody else's; and against keeping that when it is over.
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestState()
		now := time.Now()
		cluster.submit(1, newRecord("job-1", "red", record.Low, 1, 1), now)
		cluster.submit(2, newRecord("job-2", "red", record.Normal, 1, 1), now)
		cluster.submitWaiting(3, newWaitingRecord("job-3", record.Low, 0, "job-1"), now)
		// The last is learned of before one in the middle.
		cluster.submitWaiting(5, newWaitingRecord("job-5", record.High, 100, "job-4"), now)
		cluster.submitWaiting(4, newWaitingRecord("job-4", record.Low, 0, "job-3"), now)
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
			cluster.submit(1, newRecord(job(n), "red", record.Low, 1, 1), now)
		}
		// Two jobs a layer, each of which awaits both of the layer before. The estimates
		// are such that no two paths take the same time.
		for n := 2; n < 82; n++ {
			rec := newWaitingRecord(job(n), record.Priority(n%3), ids.Seconds(1e8-37*n%1000), job(n/2*2-2), job(n/2*2-1))
			rec.Spec.EstimatedDuration = 1 + ids.Seconds(n%2)*ids.Seconds(math.Exp2(float64(n/2)))*1e-6
			records[job(n)], revisions[job(n)] = rec, 1
		}
		cluster.submit(1, newRecord("job-100", "red", record.Low, 1, 1), now)
		for n := 101; n <= 5100; n++ {
			records[job(n)], revisions[job(n)] = newWaitingRecord(job(n), record.Low, 0, job(n-1)), 1
		}
		cluster.LoadWaitingJobs(records, revisions, now)
		cluster.submitWaiting(2, newWaitingRecord("job-90", record.Critical, 1e7, "job-80", "job-81"), now)
		cluster.submitWaiting(2, newWaitingRecord("job-6000", record.High, 100000, "job-5100"), now)
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
