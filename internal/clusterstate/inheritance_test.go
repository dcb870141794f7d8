package clusterstate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// addDiamondPipeline is a low job, two low ones that await it, and a high one that awaits both.
func addDiamondPipeline(cluster *State, now time.Time) {
	cluster.HandleRecord("job-1", 1, newRecord("job-1", "red", record.Low, 1, 1), now)
	cluster.HandleWaitingJob("job-2", 2, newWaitingRecord("job-2", record.Low, 0, "job-1"), now)
	cluster.HandleWaitingJob("job-3", 3, newWaitingRecord("job-3", record.Low, 0, "job-1"), now)
	cluster.HandleWaitingJob("job-4", 4, newWaitingRecord("job-4", record.High, 200, "job-2", "job-3"), now)
}

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
			cluster.HandleWaitingJob("job-5", 5, newWaitingRecord("job-5", record.High, 100, "job-3"), now)
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
			cluster.HandleRecord("job-1", 1, newRecord("job-1", "blue", record.Normal, 8, 1), now)
			cluster.Plan(now)
			cluster.markAllStored()
			cluster.HandleRecord("job-2", 2, newRecord("job-2", "red", record.Low, 8, 1), now)
			if hasUrgentDependent {
				cluster.HandleWaitingJob("job-3", 3, newWaitingRecord("job-3", record.High, 0, "job-2"), now)
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
			if low, normal := len(cluster.jobs.Get("job-2").Assignments), len(cluster.jobs.Get("job-1").Assignments); low != want || normal != 8-want {
				t.Errorf("needed by a high job: %v; %d of its tasks are placed, and %d of the normal job's", hasUrgentDependent, low, normal)
			}
		}
	})
}

func TestQueueTimeCountsFromReadinessAndDeadlineFromSubmission(t *testing.T) {
	// Guards against a job that waited long for others counting as one that starves, or
	// rising above its priority, at once; and against a deadline that begins anew.
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		waited := newRecord("job-1", "blue", record.Low, 50, 1)
		waited.Submitted, waited.ReadyAt = ids.TimestampOf(now.Add(-200*time.Second)), ids.TimestampOf(now)
		waited.Spec.Deadline = 250
		cluster := newTestState()
		cluster.settings.Params.Teams[1].CPUs = 0
		cluster.HandleRecord("job-1", 1, waited, now)
		cluster.HandleRecord("job-2", 2, newRecord("job-2", "blue", record.Normal, 1, 1), now)
		cluster.jobs.Get("job-2").Record.Submitted = ids.TimestampOf(now.Add(60 * time.Second))
		job := cluster.jobs.Get("job-1")
		for _, test := range []struct {
			after          time.Duration
			first, starves bool
		}{{0, false, false}, {44 * time.Second, false, false}, {99 * time.Second, false, false}, {101 * time.Second, true, true}} {
			at := now.Add(test.after)
			if first := cluster.scheduler.Ranked(at)[0] == job; first != test.first || job.Starving(at) != test.starves {
				t.Errorf("%v after it is ready it goes first: %v, starves: %v", test.after, first, job.Starving(at))
			}
		}
		cluster.HandleRecord("job-3", 3, newRecord("job-3", "blue", record.Low, 1, 1), now) // among low jobs it rises after 45 s
		cluster.jobs.Get("job-3").Record.Submitted = ids.TimestampOf(now.Add(20 * time.Second))
		for after, first := range map[time.Duration]bool{44 * time.Second: false, 46 * time.Second: true} {
			order := cluster.scheduler.Ranked(now.Add(after))
			if got := order[1] == job; got != first {
				t.Errorf("%v after it is ready it goes before a small low job: %v", after, got)
			}
		}
		if left := deadline(&job.Record).Sub(now); left != 50*time.Second {
			t.Errorf("its deadline is in %v", left)
		}
		// Of 50 s 10 are its own; a quarter of the rest.
		if horizon := cluster.estimates.QueueHorizon(job); horizon != 10 {
			t.Errorf("it should get its turn within %v s", horizon)
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

func TestRemovalSeenBeforeTakeoverListingWins(t *testing.T) {
	// Guards against a job that its user cancelled while the new leader read the
	// records: it would count as waiting, and what awaits it would not end.
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		cluster := newTestState()
		cluster.HandleWaitingJob("job-2", 9, nil, now)
		cluster.HandleWaitingJob("job-4", 4, nil, now) // an earlier record of that key
		cluster.LoadWaitingJobs(map[ids.Job]*record.Record{
			"job-2": newWaitingRecord("job-2", record.Low, 0, "job-1"), "job-3": newWaitingRecord("job-3", record.Low, 0, "job-2"), "job-4": newWaitingRecord("job-4", record.Low, 0, "job-1"),
		}, map[ids.Job]ids.Revision{"job-2": 5, "job-3": 6, "job-4": 7}, now)
		if _, asked := cluster.dependencies.lookups["job-2"]; !asked || cluster.dependencies.waiting["job-2"] != nil || cluster.dependencies.waiting["job-4"] == nil {
			t.Errorf("it is looked up: %v; those that wait: %v", asked, cluster.dependencies.waiting)
		}
		cluster.jobEnded("job-2", record.Cancelled)
		if cancelledBy := cluster.dependencies.graph.CancelledBy("job-3"); cancelledBy != "job-2" {
			t.Errorf("what awaits it is cancelled by %q", cancelledBy)
		}
		cluster.HandleWaitingJob("job-9", 10, nil, now)
		if len(cluster.dependencies.departed) != 0 {
			t.Error("what came after the records is remembered")
		}
	})
}
