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
	large := newRecord("job-1", "blue", record.Normal, 60, 1)
	small := newRecord("job-2", "blue", record.Normal, 5, 1)
	large.Submitted = ids.TimestampOf(now.Add(-time.Second))
	cluster.submit(1, large, now)
	cluster.submit(2, small, now)
	if jobs := cluster.scheduler.Ranked(now); jobs[0].Record.Spec.ID != "job-2" {
		t.Error("the large job ranks first although both are new")
	}
	cluster.jobs.Get("job-1").Record.Submitted = ids.TimestampOf(now.Add(-5 * time.Minute))
	if jobs := cluster.scheduler.Ranked(now); jobs[0].Record.Spec.ID != "job-1" {
		t.Error("the large job does not rank first after five minutes")
	}
}

func TestLowPriorityRisesAtMostOneLevelOnceStarted(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	low := newRecord("job-1", "blue", record.Low, 60, 1)
	high := newRecord("job-2", "blue", record.High, 60, 1)
	low.Submitted = ids.TimestampOf(now.Add(-time.Hour))
	low.Attempt = 1
	cluster.submit(1, low, now)
	cluster.submit(2, high, now)
	if jobs := cluster.scheduler.Ranked(now); jobs[0].Record.Spec.ID != "job-2" {
		t.Error("the low job that has run before ranks above the high one")
	}
	// A job that has waited as long and has never started ranks first.
	cluster.jobs.Get("job-1").Record.Attempt = 0
	if jobs := cluster.scheduler.Ranked(now); jobs[0].Record.Spec.ID != "job-1" {
		t.Error("the low job that never started does not rank first")
	}
}

func TestQueueTimeCountsFromReadinessAndDeadlineFromSubmission(t *testing.T) {
	// Guards against a job that waited long for its dependencies counting as starving, or rising above
	// its priority, as soon as it is ready; and against counting its deadline from then on.
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		waited := newRecord("job-1", "blue", record.Low, 50, 1)
		waited.Submitted = ids.TimestampOf(now.Add(-200 * time.Second))
		waited.ReadyAt = ids.TimestampOf(now)
		waited.Spec.Deadline = 250
		cluster := newTestState()
		cluster.settings.Params.Teams[1].CPUs = 0
		cluster.submit(1, waited, now)
		cluster.submit(2, newRecord("job-2", "blue", record.Normal, 1, 1), now)
		cluster.jobs.Get("job-2").Record.Submitted = ids.TimestampOf(now.Add(60 * time.Second))
		job := cluster.jobs.Get("job-1")
		for _, test := range []struct {
			after          time.Duration
			first, starves bool
		}{
			{0, false, false},
			{44 * time.Second, false, false},
			{99 * time.Second, false, false},
			{101 * time.Second, true, true},
		} {
			at := now.Add(test.after)
			if first := cluster.scheduler.Ranked(at)[0] == job; first != test.first || job.Starving(at) != test.starves {
				t.Errorf("%v after the job became ready it ranks first: %v, and starves: %v", test.after, first, job.Starving(at))
			}
		}
		// Among low jobs it rises after 45 s.
		cluster.submit(3, newRecord("job-3", "blue", record.Low, 1, 1), now)
		cluster.jobs.Get("job-3").Record.Submitted = ids.TimestampOf(now.Add(20 * time.Second))
		for _, test := range []struct {
			after  time.Duration
			second bool
		}{
			{44 * time.Second, false},
			{46 * time.Second, true},
		} {
			ranked := cluster.scheduler.Ranked(now.Add(test.after))
			if got := ranked[1] == job; got != test.second {
				t.Errorf("%v after the job became ready it ranks above a small low job: %v", test.after, got)
			}
		}
		if left := deadline(&job.Record).Sub(now); left != 50*time.Second {
			t.Errorf("the deadline of the job is in %v, want 50 s", left)
		}
		// Of the 50 s left it runs for 10; the horizon is a quarter of the rest.
		if horizon := cluster.estimates.QueueHorizon(job); horizon != 10 {
			t.Errorf("the queue horizon of the job is %v s, want 10 s", horizon)
		}
	})
}

func TestStarvationCountsFromLastDependencyEnd(t *testing.T) {
	// Guards against a job that ranks above others, or has machines reserved, because of the time during
	// which it could not start.
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestState()
		cluster.submitWaiting(3, newWaitingRecord("job-2", record.Low, 0, "job-1"), time.Now())
		time.Sleep(300 * time.Second)
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		cluster.dependencies.recordOutcome("job-1", record.Done)
		cluster.dependencies.collectReadyMoves(func(change commit.Change) bool {
			cluster.recordStoredChange(change, 9)
			return true
		})
		job := cluster.jobs.Get("job-2")
		if job == nil {
			t.Fatal("the job still waits for its dependency")
		}
		if job.Starving(time.Now()) {
			t.Error("the job counts as waiting since its submission")
		}
		if got := job.Record.EligibleSince(); got != ids.TimestampOf(time.Now()) {
			t.Errorf("the queue time of the job counts from %v", got.Time())
		}
		if !job.Starving(time.Now().Add(workload.StarvationTime + time.Second)) {
			t.Error("the job never counts as starving")
		}
	})
}
