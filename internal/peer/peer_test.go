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

	"github.com/pebbletrail/pebbletrail/internal/claim"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// node is a controller without its users' side.
func node(ctx context.Context, name ids.Node, other ids.Node, n *fake.Net, p *fake.Pipes) (*claim.Elector, *Link) {
	set := &config.Settings{HostName: name, Own: config.Defaults(), Others: []config.Other{{HostName: other, PeerAddr: string(other)}}}
	set.Params.Workers = config.Workers{ReportS: 2, LeaseS: 20, GangWaitS: 30, GangPeerS: 5, CancelS: 40}
	set.Params.State = config.State{RPS: 500, WriteRPS: 200, ValueKB: 8, TxnOps: 12}
	set.Params.Teams = []config.Team{{Name: "red"}}
	set.Params.Limits.MaxSockets = 100
	st := state.NewClient("state:1", n.Client(string(name)), state.NewBudget(500, 200, 2, 0.6))
	pool := claim.NewElector(set, st, &worker.Commander{HTTP: n.Client(string(name)), Timeout: time.Second}, string(name)+".1")
	l := NewLink(set, claim.SingleShard(pool), st)
	l.Dial = p.Dial
	pool.Peers = l.ForShard(0)
	go l.Serve(p.Listen(string(name)))
	l.Run(ctx)
	go pool.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			st.Get(ctx, record.KeysOf(0, 1).Generation(), state.Urgent)
			time.Sleep(500 * time.Millisecond)
		}
	}()
	return pool, l
}

func TestNodesTellOneAnotherWhatSavesTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		n, s, p := fake.NewNet(), fake.NewStore(), fake.NewPipes()
		n.Listen("state:1", s)
		a, la := node(ctx, "a", "b", n, p)
		time.Sleep(2 * time.Second)
		if a.Cluster() == nil {
			t.Fatal("a does not own the pool")
		}
		if la.ForShard(0).AllStopped(ctx, 1) {
			t.Error("a node that does not answer confirmed that it stopped")
		}
		b, lb := node(ctx, "b", "a", n, p)
		time.Sleep(3 * time.Second)
		if !la.ForShard(0).AllStopped(ctx, 1) {
			t.Error("a node that never owned the pool does not confirm")
		}
		if lb.ForShard(0).AllStopped(ctx, 1) {
			t.Error("the owner confirmed that it stopped")
		}
		if !la.OthersServed() || !lb.OthersServed() {
			t.Error("the nodes do not know that the other is served")
		}
		// What b accepts, a learns at once, and b can explain it by asking a.
		rec := record.New(record.Spec{ID: "job-1", Team: "red", Shape: record.Array, Tasks: 1, Need: placement.Room{Cores: 1}}, 1, "b")
		raw, _ := json.Marshal(rec)
		a.Cluster().SetMachineTypes([]placement.Type{{Label: "small", Cores: 4, RAM: 16, Zones: []string{"north"}}})
		lb.NotifyLeader("job-1", 9, rec, raw)
		time.Sleep(time.Second)
		lines, leader, err := lb.Explain(ctx, "job-1")
		if err != nil || leader != "a" || !strings.Contains(strings.Join(lines, " "), "no machine has room") {
			t.Errorf("explained by %s as %q: %v", leader, lines, err)
		}
		// A higher generation makes the leader step down.
		if !a.Superseded(99) || a.Cluster() != nil {
			t.Error("the owner stays although a peer is ahead")
		}
		if b.Cluster() != nil {
			t.Error("b owns the pool beside a's hold")
		}
		cancel()
		p.Close()
		time.Sleep(time.Minute) // idle connections are given up
	})
}

func TestAllOthersAreAskedAtTheSameTime(t *testing.T) {
	// Guards against a takeover that waits for a timeout per controller that is
	// down, one after the other.
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		set := &config.Settings{HostName: "a", Own: config.Defaults(), Others: []config.Other{
			{HostName: "b", PeerAddr: "b"}, {HostName: "c", PeerAddr: "c"}, {HostName: "d", PeerAddr: "d"}, {HostName: "e", PeerAddr: "e"}}}
		l := NewLink(set, nil, nil)
		var dials atomic.Int32
		l.Dial = func(context.Context, string) (net.Conn, error) {
			dials.Add(1)
			time.Sleep(callTimeout)
			return nil, errors.New("no answer")
		}
		began := time.Now()
		if l.ForShard(0).AllStopped(ctx, 7) {
			t.Error("nobody answered, and yet all have stopped")
		}
		if d := time.Since(began); dials.Load() != 4 || d > callTimeout {
			t.Errorf("%d asked in %v", dials.Load(), d)
		}
	})
}
