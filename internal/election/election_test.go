package election

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/claim"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// electionSettings are those of a small pool.
func electionSettings() *config.Settings {
	s := &config.Settings{Operator: config.DefaultOperator()}
	s.Params.Workers = config.WorkerIntervals{ReportS: 2, LeaseS: 20, GangWaitS: 30, GangPeerS: 5, CancelS: 40}
	s.Params.State = config.StateLimits{RPS: 100, WriteRPS: 100, ValueKB: 8, TxnOps: 12}
	s.Params.Teams = []config.Team{{Name: "red", CPUs: 4, CPUsMax: 40}, {Name: "blue", CPUs: 4}}
	s.Params.Zones = []string{"north", "south"}
	return s
}

// clusterOf is the state of a leader that has heard so many machines of four cores.
func clusterOf(t *testing.T, machines int) *claim.ClusterState {
	t.Helper()
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	t.Cleanup(func() { slog.SetDefault(old) })
	cluster := claim.NewClusterState(electionSettings(), "w", 7, time.Now())
	cluster.SetMachineTypes([]placement.InstanceType{{Label: "small", Cores: 4, RAM: 16, CacheGB: 20, PullGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 30, Zones: []string{"north", "south"}}})
	for i := range machines {
		name := ids.Machine(fmt.Sprintf("host-%06d", i))
		cluster.ReconcileHeartbeat(&worker.Report{Machine: name, Addr: string(name) + ":1", Type: "small", Zone: []string{"north", "south"}[i%2], Incarnation: 1, Sequence: 1, FencingToken: 7}, true, true)
	}
	return cluster
}
