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

func TestStarvationCountsFromLastDependencyEnd(t *testing.T) {
	// Guards against a job that goes before others, or has machines set aside, for the time
	// in which it could not start.
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestState()
		cluster.HandleWaitingJob("job-2", 3, newWaitingRecord("job-2", record.Low, 0, "job-1"), time.Now())
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
