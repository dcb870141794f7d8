package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// testCluster connects controllers, which have no API server for users, to one fake store.
type testCluster struct {
	network *fake.Network
	pipes   *fake.PipeNetwork
}

func newTestCluster() *testCluster {
	cluster := &testCluster{network: fake.NewNetwork(), pipes: fake.NewPipeNetwork()}
	cluster.network.Listen("state:1", fake.NewStore())
	return cluster
}

// start starts a controller whose settings list one other controller.
func (c *testCluster) start(ctx context.Context, name, other ids.Node) (*election.Elector, *Link) {
	settings := &config.Settings{HostName: name, Operator: config.DefaultOperator(), Peers: []config.Peer{{HostName: other, PeerAddr: string(other)}}}
	settings.Params.Workers = config.WorkerIntervals{ReportS: 2, LeaseS: 20, GangWaitS: 30, GangPeerS: 5, CancelS: 40}
	settings.Params.State = config.StateLimits{RPS: 500, WriteRPS: 200, ValueKB: 8, TxnOps: 12}
	settings.Params.Teams = []config.Team{{Name: "red"}}
	settings.Params.Limits.MaxSockets = 100
	client := c.network.Client(string(name))
	store := state.NewClient("state:1", client, state.NewBudget(500, 200, 2, 0.6))
	elector := election.NewElector(settings, store, &worker.Commander{HTTP: client, Timeout: time.Second}, string(name)+".1")
	link := NewLink(settings, election.NewSingleShard(elector), store)
	link.connections.dial = c.pipes.Dial
	elector.Peers = link.ForShard(0)
	go link.Serve(c.pipes.Listen(string(name)))
	link.Run(ctx)
	go elector.Run(ctx)
	go pollStore(ctx, store)
	return elector, link
}

// pollStore calls the store at intervals, so that the controller counts it as reachable.
func pollStore(ctx context.Context, store *state.Client) {
	for ctx.Err() == nil {
		_, _, _ = store.Get(ctx, record.KeysOf(0, 1).Generation(), state.Urgent) // only whether the call succeeds matters
		time.Sleep(500 * time.Millisecond)
	}
}

func TestPeersConfirmTakeoversAndNotifyLeaderOfWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cluster := newTestCluster()
		a, linkA := cluster.start(ctx, "a", "b")
		time.Sleep(2 * time.Second)
		if a.Cluster() == nil {
			t.Fatal("a did not become leader")
		}
		if linkA.ForShard(0).AllConfirmStopped(ctx, 1) {
			t.Error("AllConfirmStopped is true although the other controller does not answer")
		}
		b, linkB := cluster.start(ctx, "b", "a")
		time.Sleep(3 * time.Second)
		if !linkA.ForShard(0).AllConfirmStopped(ctx, 1) {
			t.Error("AllConfirmStopped is false although the other controller never led")
		}
		if linkB.ForShard(0).AllConfirmStopped(ctx, 1) {
			t.Error("the leader confirmed that it stopped answering heartbeats")
		}
		if !linkA.AnyPeerReachesStore() || !linkB.AnyPeerReachesStore() {
			t.Error("a controller does not report that the other reaches the state service")
		}
		// b notifies the leader a of a job record that it accepted, and asks a to explain the job.
		rec := record.New(record.Spec{ID: "job-1", Team: "red", JobType: record.Array, Tasks: 1, Resources: placement.Resources{Cores: 1}}, 1, "b")
		raw, err := json.Marshal(rec)
		if err != nil {
			t.Fatal(err)
		}
		a.Cluster().SetMachineTypes([]placement.InstanceType{{Label: "small", Cores: 4, RAM: 16, Zones: []string{"north"}}})
		linkB.NotifyLeader("job-1", 9, rec, raw)
		time.Sleep(time.Second)
		lines, leader, err := linkB.Explain(ctx, "job-1")
		if err != nil || leader != "a" || !strings.Contains(strings.Join(lines, " "), "no machine has room") {
			t.Errorf("explanation by leader %q: got %q, %v", leader, lines, err)
		}
		// A higher generation makes the leader step down.
		if !a.ConfirmStopped(a.Cluster().Generation()+1) || a.Cluster() != nil {
			t.Error("the leader did not step down for a higher generation")
		}
		if b.Cluster() != nil {
			t.Error("b leads although the lease of a has not expired")
		}
		cancel()
		cluster.pipes.Close()
		time.Sleep(time.Minute) // lets idle connections reach their timeout
	})
}

func TestAllPeersAreAskedInParallel(t *testing.T) {
	// Guards against a takeover that asks the controllers one after the other and so waits for one
	// timeout per controller that is down.
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		settings := &config.Settings{HostName: "a", Operator: config.DefaultOperator(), Peers: []config.Peer{
			{HostName: "b", PeerAddr: "b"}, {HostName: "c", PeerAddr: "c"}, {HostName: "d", PeerAddr: "d"}, {HostName: "e", PeerAddr: "e"}}}
		link := NewLink(settings, nil, nil)
		var dials atomic.Int32
		link.connections.dial = func(context.Context, string) (net.Conn, error) {
			dials.Add(1)
			time.Sleep(callTimeout)
			return nil, errors.New("no answer")
		}
		began := time.Now()
		if link.ForShard(0).AllConfirmStopped(ctx, 7) {
			t.Error("AllConfirmStopped is true although no controller answered")
		}
		if took := time.Since(began); dials.Load() != 4 || took > callTimeout {
			t.Errorf("%d controllers asked in %v, want 4 within the call timeout", dials.Load(), took)
		}
	})
}
