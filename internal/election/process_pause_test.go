package election

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

func TestLeaderRenewsItsLeaseAfterAPauseBeforeItActs(t *testing.T) {
	t.Parallel()
	// Guards against a leader that, right after a pause, answers requests that waited on its connections, or
	// treats machines as silent whose reports it did not read during the pause.
	synctest.Test(t, func(t *testing.T) {
		elector := NewElector(testSettings(), nil, nil, "a.1")
		cluster := clusterWithMachines(t, 12)
		term := leadWith(elector, cluster)
		close(term.loaded)
		heartbeat := func(sequence ids.SequenceNumber) (status int) {
			_, status, _ = elector.Heartbeat(context.Background(), &worker.Report{Machine: "host-000001", Addr: "x:1", Type: "small", Zone: "north", Incarnation: 1, Sequence: sequence, FencingToken: testGeneration})
			return status
		}
		elector.pauses.tick(time.Now())
		if status := heartbeat(2); status != http.StatusOK {
			t.Fatalf("a heartbeat got %d", status)
		}
		// The leader is paused for longer than its lease, but much less than its grace period.
		time.Sleep(5 * time.Second)
		if status := heartbeat(3); status != http.StatusServiceUnavailable {
			t.Errorf("right after the pause a heartbeat got %d", status)
		}
		elector.pauses.tick(time.Now()) // the pause detector runs again
		if term.authority.renewedSincePause() {
			t.Error("commands may go out before a renewal")
		}
		if silent := cluster.MachinesToTerminate(time.Now(), nil); len(silent) != 0 {
			t.Errorf("takes %v for silent", silent)
		}
		if _, err := elector.Explain("job-1"); err != nil {
			t.Error(err)
		}
		time.Sleep(100 * time.Millisecond)
		term.authority.renewed(time.Now())
		if status := heartbeat(4); status != http.StatusOK || !term.authority.renewedSincePause() {
			t.Errorf("once it has renewed a heartbeat gets %d", status)
		}
		// Short delays, as on a busy processor, don't count as a pause.
		for range 20 {
			time.Sleep(900 * time.Millisecond)
			elector.pauses.tick(time.Now())
		}
		if !term.authority.renewedSincePause() {
			t.Error("short delays count as a pause")
		}
	})
}
