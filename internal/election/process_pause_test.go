package election

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

func TestALeaderThatWakesProvesThatItStillOwnsBeforeItActs(t *testing.T) {
	t.Parallel()
	// Guards against the first moments after a standstill, in which what waited on
	// its connections is answered and machines look silent that nobody listened to.
	synctest.Test(t, func(t *testing.T) {
		settings := electionSettings()
		elector := NewElector(settings, nil, nil, "a.1")
		elector.pauses.onResume = elector.processResumed
		elector.recordsReadAt = time.Now // the records are read all the while: only the standstill counts here
		cluster := clusterOf(t, 12)
		term := &Term{Generation: 7, Cluster: cluster, renewedAt: time.Now(), loaded: make(chan struct{}), cancel: func() {}}
		close(term.loaded)
		elector.term = term
		beat := func(tick ids.SequenceNumber) int {
			_, code, _ := elector.Heartbeat(context.Background(), &worker.Report{Machine: "host-000001", Addr: "x:1", Type: "small", Zone: "north", Incarnation: 1, Sequence: tick, FencingToken: 7})
			return code
		}
		elector.pauses.lastPauseEnd(time.Now(), true)
		if code := beat(2); code != 200 {
			t.Fatalf("a beat got %d", code)
		}
		// It stands still for longer than its hold, well within its grace.
		time.Sleep(5 * time.Second)
		if code := beat(3); code != 503 {
			t.Errorf("right after it woke a beat got %d", code)
		}
		elector.pauses.lastPauseEnd(time.Now(), true) // its clock ticks again
		if elector.renewedSincePause(term) {
			t.Error("commands may go out before a renewal")
		}
		if gone := cluster.MachinesToTerminate(time.Now(), nil); len(gone) != 0 {
			t.Errorf("takes %v for silent", gone)
		}
		if _, err := elector.Explain("job-1"); err != nil {
			t.Error(err)
		}
		time.Sleep(100 * time.Millisecond)
		term.renewedAt = time.Now()
		if code := beat(4); code != 200 || !elector.renewedSincePause(term) {
			t.Errorf("once it has renewed a beat gets %d", code)
		}
		// A busy processor is no standstill.
		for range 20 {
			time.Sleep(900 * time.Millisecond)
			elector.pauses.lastPauseEnd(time.Now(), true)
		}
		if !elector.renewedSincePause(term) {
			t.Error("short delays count as a standstill")
		}
	})
}

func TestReasonsAreCurrentOrSaidNotToBe(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		elector := NewElector(electionSettings(), nil, nil, "a.1")
		cluster := clusterOf(t, 1)
		cluster.HandleRecord("job-1", 1, record.New(record.Spec{ID: "job-1", Class: "c", Team: "blue", Shape: record.Array, Priority: record.Normal, Tasks: 40, EstimatedDuration: 10,
			Resources: placement.Resources{Cores: 1, RAM: 1}, Image: "i", ImageGB: 1}, ids.TimestampOf(time.Now()), "user"), time.Now())
		cluster.Plan(time.Now())
		if _, err := elector.Explain("job-1"); err == nil {
			t.Error("who does not own the pool explains")
		}
		term := &Term{Generation: 7, Cluster: cluster, renewedAt: time.Now(), loaded: make(chan struct{}), cancel: func() {}}
		elector.term = term
		for _, c := range []struct {
			what string
			id   ids.Job
			then func()
		}{
			{"still reading the records", "job-1", func() { close(term.loaded) }},
			{"no machine has room", "job-1", func() {}},
			{"has not read of this job", "job-9", func() { time.Sleep(3 * time.Second) }},
			{"the state service has not answered", "job-1", func() {}},
		} {
			lines, err := elector.Explain(c.id)
			if err != nil || len(lines) == 0 || !strings.Contains(lines[0], c.what) {
				t.Errorf("want %q: %v, %v", c.what, lines, err)
			}
			c.then()
		}
	})
}
