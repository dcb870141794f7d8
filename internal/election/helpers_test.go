package election

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// testGeneration is the generation of terms in tests.
const testGeneration ids.Generation = 7

// testSettings returns the settings of a small pool.
func testSettings() *config.Settings {
	settings := &config.Settings{Operator: config.DefaultOperator()}
	settings.Params.Workers = config.WorkerIntervals{ReportS: 2, LeaseS: 20, GangWaitS: 30, GangPeerS: 5, CancelS: 40}
	settings.Params.State = config.StateLimits{RPS: 100, WriteRPS: 100, ValueKB: 8, TxnOps: 12}
	settings.Params.Teams = []config.Team{{Name: "red", CPUs: 4, CPUsMax: 40}, {Name: "blue", CPUs: 4}}
	settings.Params.Zones = []string{"north", "south"}
	return settings
}

// clusterWithMachines returns the cluster state of a leader to which the given number of machines, of four
// cores each, have reported.
func clusterWithMachines(t *testing.T, machines int) *clusterstate.State {
	t.Helper()
	defaultLogger := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	t.Cleanup(func() { slog.SetDefault(defaultLogger) })
	cluster := clusterstate.New(testSettings(), "w", testGeneration, time.Now())
	cluster.SetMachineTypes([]placement.InstanceType{{Label: "small", Cores: 4, RAM: 16, CacheGB: 20, PullGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 30, Zones: []string{"north", "south"}}})
	for i := range machines {
		name := ids.Machine(fmt.Sprintf("host-%06d", i))
		cluster.ReconcileHeartbeat(&worker.Report{Machine: name, Addr: string(name) + ":1", Type: "small", Zone: []string{"north", "south"}[i%2], Incarnation: 1, Sequence: 1, FencingToken: testGeneration})
	}
	return cluster
}

// startTestTerm makes an elector the leader of a term whose lease was granted just now. The term's records
// are not loaded yet, but the authority always treats them as just read, so that its decisions depend
// only on renewals and pauses.
func startTestTerm(elector *Elector, cluster *clusterstate.State) *Term {
	elector.current.term = &Term{
		Generation: testGeneration,
		Cluster:    cluster,
		authority:  newAuthority(elector.settings, elector.pauses, time.Now, time.Now()),
		loaded:     make(chan struct{}),
		cancel:     func() {},
	}
	return elector.current.term
}
