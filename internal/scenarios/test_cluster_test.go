package scenarios

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/intake"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

const settings = `
host_name = "NODE"
area = "north"
client_listen = "NODE:8080"
cluster_listen = "NODE:8081"
[[others]]
host_name = "OTHER"
area = "south"
peer_addr = "OTHER:8081"
[services]
cloud = "cloud:1"
state = "state:1"
[params]
initial_size = 2
zones = ["north", "south"]
clock_error_ms = 100.0
[[params.teams]]
name = "red"
cpus = 2.0
cpus_max = 8.0
gpus = 0.0
gpus_max = 0.0
[params.workers]
report_s = 2.0
lease_s = 20.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 40.0
[params.state]
rps = 400.0
write_rps = 200.0
value_kb = 8.0
txn_ops = 12
[params.cloud]
rps = 5.0
list_lag_s = 5.0
[params.machine_limits]
cores = 1.0
ram_mb = 256.0
max_sockets = 400
`

// testCluster is two controllers and what surrounds them, in memory.
type testCluster struct {
	t       *testing.T
	ctx     context.Context
	net     *fake.Network
	lag     atomic.Pointer[func() time.Duration] // how long the network takes; none is no time
	store   *fake.Store
	mu      sync.Mutex
	nodes   map[string]*testNode
	workers []*fake.Worker
	lives   int
	rules   *rules
	listed  bool    // the leader is told the machines by the cloud's list
	next    string  // the limits to come of nodes started from now on, as settings
	valueKB float64 // the limit of values, if not that of the settings
	teams   []config.Team
}

type testNode struct {
	w      *testCluster
	name   string
	pool   *election.Elector
	asked  []ids.Node // who was last asked to confirm that it stopped
	jobs   *intake.JobService
	cancel context.CancelFunc
}

// scenario runs f in a cluster of its own, under a clock of its own.
func scenario(t *testing.T, f func(t *testing.T, w *testCluster)) {
	slog.SetLogLoggerLevel(slog.LevelError)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &testCluster{t: t, ctx: ctx, net: fake.NewNetwork(), store: fake.NewStore(), nodes: map[string]*testNode{}}
		w.net.Listen("state:1", w.store)
		w.net.SetLatency(func() time.Duration {
			if f := w.lag.Load(); f != nil {
				return (*f)()
			}
			return 0
		})
		w.rules = newRules(w.settings("a"), func(rule, what string) { t.Errorf("rule broken: %s: %s", rule, what) })
		defer synctest.Wait()
		defer cancel()
		defer w.rules.Overdue()
		f(t, w)
	})
}

// variant is one of several scenarios of a test, which go on beside one another.
func variant(t *testing.T, name string, f func(t *testing.T, w *testCluster)) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		scenario(t, f)
	})
}

func (w *testCluster) settings(name string) *config.Settings {
	other := map[string]string{"a": "b", "b": "a"}[name]
	set, err := config.Parse([]byte(strings.NewReplacer("NODE", name, "OTHER", other).Replace(settings + w.next)))
	if err != nil {
		w.t.Fatal(err)
	}
	set.Params.Teams = append(set.Params.Teams, w.teams...)
	if w.valueKB > 0 {
		set.Params.State.ValueKB, set.Params.State.CurrentValueKB = w.valueKB, w.valueKB
	}
	return set
}

func (w *testCluster) start(name string) *testNode {
	settings := w.settings(name)
	w.lives++
	writer := fmt.Sprintf("%s.%d", name, w.lives)
	ctx, cancel := context.WithCancel(w.ctx)
	store := state.NewClient("state:1", w.net.Client(name), state.NewBudget(400, 200, 2, 0.6))
	n := &testNode{w: w, name: name, cancel: cancel}
	n.pool = election.NewElector(settings, store, &worker.Commander{HTTP: w.net.Client(name), Timeout: 3 * time.Second}, writer)
	n.pool.Peers = n
	n.pool.OnTerm = func(ctx context.Context, term *election.Term) {
		term.Cluster.SetMachineTypes(types())
		for ctx.Err() == nil {
			term.Cluster.ReconcileCloudList(w.list(), time.Now())
			select {
			case <-ctx.Done():
			case <-time.After(2 * time.Second):
			}
		}
	}
	n.jobs = &intake.JobService{Settings: settings, Store: store, Records: n.pool.Jobs(), LeaderNotifier: n, Writer: writer, MachineTypes: types}
	w.net.Listen(name+":8080", (&intake.Server{Jobs: n.jobs, Heartbeats: n.pool, Ready: func() bool { return true },
		ExplainByLeader: func(context.Context, ids.Job) ([]string, ids.Node, error) { return nil, "", nil },
		NodeStatus:      func() any { return nil }}).Handler())
	w.mu.Lock()
	w.nodes[name] = n
	w.mu.Unlock()
	go store.ProbeHealth(ctx, record.KeysOf(0, 1).Generation())
	go n.pool.Run(ctx)
	return n
}

// list is the cloud's, in scenarios that have one.
func (w *testCluster) list() (ls []clusterstate.ListedMachine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listed {
		for _, k := range w.workers {
			ls = append(ls, clusterstate.ListedMachine{Name: ids.Machine(k.Name), Address: k.Address, Type: k.Type, Zone: k.Zone, Status: "running"})
		}
	}
	return ls
}

func types() []placement.InstanceType {
	return []placement.InstanceType{{Label: "small", Cores: 4, RAM: 16, CacheGB: 20, PullGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 30, Zones: []string{"north", "south"}}}
}

// AllStopped asks the other node, if it lives and the network lets it.
func (n *testNode) AllStopped(_ context.Context, generation ids.Generation, of ...ids.Node) bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.asked = of
	for name, o := range n.w.nodes {
		if name != n.name && !n.w.cutOff(n.name, name) && o.pool.ConfirmStopped(generation) {
			return true
		}
	}
	return false
}

func (w *testCluster) cutOff(from, to string) bool {
	rule := w.net.CurrentRule()
	if rule == nil {
		return false
	}
	r, _ := http.NewRequest("POST", "http://"+to+"/peer", nil)
	return rule(from, to, r, nil) != fake.Deliver
}

// Alone tells that the other node is down or out of reach.
func (n *testNode) Alone() bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	for name := range n.w.nodes {
		if name != n.name && !n.w.cutOff(n.name, name) {
			return false
		}
	}
	return true
}

// Served tells that another node lives and can be reached.
func (n *testNode) Served(other ids.Node) bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.w.nodes[string(other)] != nil && !n.w.cutOff(n.name, string(other))
}

// NotifyLeader passes writes on: to its own pool at once, to the others as fast as the
// network is.
func (n *testNode) NotifyLeader(id ids.Job, revision ids.Revision, rec *record.Record, raw json.RawMessage) <-chan struct{} {
	done := make(chan struct{})
	if lag := n.w.lag.Load(); lag != nil && n.pool.Cluster() == nil {
		go func() {
			defer close(done)
			select {
			case <-time.After((*lag)()):
				n.tell(id, revision, rec)
			case <-n.w.ctx.Done():
			}
		}()
		return done
	}
	n.tell(id, revision, rec)
	close(done)
	return done
}

func (n *testNode) tell(id ids.Job, revision ids.Revision, rec *record.Record) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	for name, o := range n.w.nodes {
		if name == n.name || !n.w.cutOff(n.name, name) {
			o.pool.HandleRecord(id, revision, rec)
		}
	}
}

// kill ends a node like a lost process.
func (n *testNode) kill() {
	n.cancel()
	n.w.mu.Lock()
	delete(n.w.nodes, n.name)
	n.w.mu.Unlock()
	n.w.net.Listen(n.name+":8080", nil)
}

func (w *testCluster) worker(name, zone string) *fake.Worker {
	k := &fake.Worker{Name: name, Address: name + ":9000", Type: "small", Zone: zone, Network: w.net,
		Controllers: []string{"a:8080", "b:8080"}, ControllerNames: []string{"a", "b"}, HeartbeatInterval: 2 * time.Second, LeaseDuration: 20 * time.Second}
	k.NotifyEvents(w.rules.Event)
	w.mu.Lock()
	w.workers = append(w.workers, k)
	w.mu.Unlock()
	go k.Run(w.ctx)
	return k
}

// spec is a job of team red with tasks of one core.
func spec(id, shape string, tasks int) map[string]any {
	return map[string]any{"uid": id, "jobkind": "c", "owner": "red", "shape": shape, "urgency": "normal", "pieces": tasks,
		"cores": 1, "accelerators": 0, "ramGb": 1, "bundle": "img", "pullGb": 1, "together": false, "spread": false,
		"loaners": false, "guessS": 10, "bookmarkS": 0, "stashS": 0}
}

func (w *testCluster) call(node, method, path string, body any) (int, map[string]any) {
	raw, _ := json.Marshal(body)
	return w.observe(node, method, path, raw, func() (int, map[string]any) { return w.request(node, method, path, raw) })
}

func (w *testCluster) request(node, method, path string, raw []byte) (int, map[string]any) {
	ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+node+":8080"+path, bytes.NewReader(raw))
	res, err := w.net.Client("user").Do(req)
	if err != nil {
		return 0, nil
	}
	out := map[string]any{}
	json.NewDecoder(res.Body).Decode(&out)
	return res.StatusCode, out
}

func (w *testCluster) submit(node string, s map[string]any) {
	w.t.Helper()
	if code, out := w.call(node, "POST", "/v2/runs", s); code != 201 {
		w.t.Fatalf("submission answered %d %v", code, out)
	}
}

func (w *testCluster) status(node, id string) string {
	_, out := w.call(node, "GET", "/v2/runs/"+id, nil)
	s, _ := out["status"].(string)
	return s
}

// listWorkers are the workers that there are by now.
func (w *testCluster) listWorkers() []*fake.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.workers)
}

// on lists where a task is, by worker name.
func (w *testCluster) on(task string) (at []string) {
	for _, k := range w.listWorkers() {
		for _, t := range k.ActiveTasks() {
			if t == task {
				at = append(at, k.Name)
			}
		}
	}
	return at
}

// until waits for a condition, at most d.
func (w *testCluster) until(d time.Duration, what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(d); !f(); {
		if time.Now().After(end) {
			w.t.Fatalf("not within %v: %s; store: %s", d, what, w.store)
		}
		time.Sleep(100 * time.Millisecond)
		w.never()
	}
}

// hold watches that a condition stays true for d.
func (w *testCluster) hold(d time.Duration, what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if !f() {
			w.t.Fatalf("no longer true: %s", what)
		}
		w.never()
	}
}

// never samples what holds in every scenario, besides the rules that watch each event:
// no task on two machines.
func (w *testCluster) never() {
	w.t.Helper()
	w.rules.Overdue()
	seen := map[string]string{}
	for _, k := range w.listWorkers() {
		for _, t := range k.ActiveTasks() {
			if o := seen[t]; o != "" {
				w.t.Fatalf("%s runs on %s and on %s", t, o, k.Name)
			}
			seen[t] = k.Name
		}
	}
}

func (w *testCluster) worn(name string) *fake.Worker {
	for _, k := range w.listWorkers() {
		if k.Name == name {
			return k
		}
	}
	return nil
}
