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
	// treats machines as silent because it did not read their reports during the pause.
	synctest.Test(t, func(t *testing.T) {
		elector := NewElector(testSettings(), nil, nil, "a.1")
		cluster := clusterWithMachines(t, 12)
		term := startTestTerm(elector, cluster)
		close(term.loaded)
		heartbeat := func(sequence ids.SequenceNumber) (status int) {
			_, status, _ = elector.Heartbeat(context.Background(), &worker.Report{Machine: "host-000001", Addr: "x:1", Type: "small", Zone: "north", Incarnation: 1, Sequence: sequence, FencingToken: testGeneration})
			return status
		}
		elector.pauses.tick(time.Now())
		if status := heartbeat(2); status != http.StatusOK {
			t.Fatalf("heartbeat before the pause: status %d, want 200", status)
		}
		// The leader is paused for longer than its lease, but much less than its grace period.
		time.Sleep(5 * time.Second)
		if status := heartbeat(3); status != http.StatusServiceUnavailable {
			t.Errorf("heartbeat right after the pause: status %d, want 503", status)
		}
		elector.pauses.tick(time.Now()) // the pause detector runs again
		if term.authority.renewedSincePause() {
			t.Error("commands may be sent after the pause before a renewal")
		}
		if silent := cluster.MachinesToTerminate(time.Now(), nil); len(silent) != 0 {
			t.Errorf("machines treated as silent after the pause: %v, want none", silent)
		}
		if _, err := elector.Explain("job-1"); err != nil {
			t.Error(err)
		}
		time.Sleep(100 * time.Millisecond)
		term.authority.recordRenewal(time.Now())
		if status := heartbeat(4); status != http.StatusOK || !term.authority.renewedSincePause() {
			t.Errorf("heartbeat after the renewal: status %d, want 200 and commands allowed", status)
		}
		// Short delays, as on a busy processor, don't count as a pause.
		for range 20 {
			time.Sleep(900 * time.Millisecond)
			elector.pauses.tick(time.Now())
		}
		if !term.authority.renewedSincePause() {
			t.Error("delays below the threshold count as a pause")
		}
	})
}
