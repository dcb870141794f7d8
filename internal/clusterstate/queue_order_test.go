package clusterstate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

func TestSmallJobsRankFirstUntilLargeJobHasWaited(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	large, small := newRecord("job-1", "blue", record.Normal, 60, 1), newRecord("job-2", "blue", record.Normal, 5, 1)
	large.Submitted = ids.TimestampOf(now.Add(-time.Second))
	cluster.HandleRecord("job-1", 1, large, now)
	cluster.HandleRecord("job-2", 2, small, now)
	if jobs := cluster.scheduler.Ranked(now); jobs[0].Record.Spec.ID != "job-2" {
		t.Error("the large job goes first although both are new")
	}
	cluster.jobs.Get("job-1").Record.Submitted = ids.TimestampOf(now.Add(-5 * time.Minute))
	if jobs := cluster.scheduler.Ranked(now); jobs[0].Record.Spec.ID != "job-1" {
		t.Error("the large job never gets its turn")
	}
}

func TestLowPriorityRisesAtMostOneLevelOnceStarted(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	low, high := newRecord("job-1", "blue", record.Low, 60, 1), newRecord("job-2", "blue", record.High, 60, 1)
	low.Submitted = ids.TimestampOf(now.Add(-time.Hour))
	low.Attempt = 1
	cluster.HandleRecord("job-1", 1, low, now)
	cluster.HandleRecord("job-2", 2, high, now)
	if jobs := cluster.scheduler.Ranked(now); jobs[0].Record.Spec.ID != "job-2" {
		t.Error("low work overtook high work")
	}
	// But what has not begun at all for so long does, for its first start.
	cluster.jobs.Get("job-1").Record.Attempt = 0
	if jobs := cluster.scheduler.Ranked(now); jobs[0].Record.Spec.ID != "job-1" {
		t.Error("a job that never began waits on")
	}
}

func TestQueueTimeCountsFromReadinessAndDeadlineFromSubmission(t *testing.T) {
	// Guards against a job that waited long for others counting as one that starves, or
	// rising above its priority, at once; and against a deadline that begins anew.
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		waited := newRecord("job-1", "blue", record.Low, 50, 1)
		waited.Submitted = ids.TimestampOf(now.Add(-200 * time.Second))
		waited.ReadyAt = ids.TimestampOf(now)
		waited.Spec.Deadline = 250
		cluster := newTestState()
		cluster.settings.Params.Teams[1].CPUs = 0
		cluster.HandleRecord("job-1", 1, waited, now)
		cluster.submit(2, newRecord("job-2", "blue", record.Normal, 1, 1), now)
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
		cluster.submit(3, newRecord("job-3", "blue", record.Low, 1, 1), now) // among low jobs it rises after 45 s
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

func TestStarvationCountsFromLastDependencyEnd(t *testing.T) {
	// Guards against a job that goes before others, or has machines set aside, for the time
	// in which it could not start.
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestState()
		cluster.submitWaiting(3, newWaitingRecord("job-2", record.Low, 0, "job-1"), time.Now())
		time.Sleep(300 * time.Second)
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		cluster.jobEnded("job-1", record.Done)
		cluster.collectReadyMoves(func(change commit.Change) bool { cluster.changeStored(change, 9); return true })
		job := cluster.jobs.Get("job-2")
		if job == nil {
			t.Fatal("it still waits")
		}
		if job.Starving(time.Now()) {
			t.Error("it counts as waiting since its submission")
		}
		if got := job.Record.EligibleSince(); got != ids.TimestampOf(time.Now()) {
			t.Errorf("its waiting counts from %v", got.Time())
		}
		if !job.Starving(time.Now().Add(workload.StarvationTime + time.Second)) {
			t.Error("it never counts as waiting for long")
		}
	})
}
