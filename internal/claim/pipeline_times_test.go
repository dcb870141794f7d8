package claim

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

func TestWaitingCountsFromTheEndOfTheLastJobAwaited(t *testing.T) {
	// Guards against a job that goes before others, or has machines set aside, for the time
	// in which it could not start.
	synctest.Test(t, func(t *testing.T) {
		b := testBook()
		committer := NewCommitter(b, nil, "a", 1)
		b.LearnWaiting("job-2", 3, waits("job-2", record.Low, 0, "job-1"), time.Now())
		time.Sleep(300 * time.Second)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.finally("job-1", record.Done)
		committer.waitingOnes(false, func(p pending) bool { b.stored(p, 9); return true })
		j := b.jobs["job-2"]
		if j == nil {
			t.Fatal("it still waits")
		}
		if j.starves(time.Now()) {
			t.Error("it counts as waiting since its submission")
		}
		if got := j.Rec.Since(); got != ids.WallOf(time.Now()) {
			t.Errorf("its waiting counts from %v", got.Time())
		}
		if !j.starves(time.Now().Add(starving + time.Second)) {
			t.Error("it never counts as waiting for long")
		}
	})
}
