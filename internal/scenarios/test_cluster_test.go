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

const settingsTemplate = `
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
	t              *testing.T
	ctx            context.Context
	network        *fake.Network
	latency        atomic.Pointer[func() time.Duration] // how long the network takes; none is no time
	store          *fake.Store
	mu             sync.Mutex
	nodes          map[string]*testNode
	workers        []*fake.Worker
	processes      int
	rules          *rules
	inCloudList    bool    // the leader is told the machines by the cloud's list
	upcomingLimits string  // the limits to come of nodes started from now on, as settings
	valueLimitKB   float64 // the limit of values, if not that of the settings
	teams          []config.Team
}

type testNode struct {
	cluster              *testCluster
	name                 string
	elector              *election.Elector
	askedForConfirmation []ids.Node // who was last asked to confirm that it stopped
	jobs                 *intake.JobService
	cancel               context.CancelFunc
}

// scenario runs f in a cluster of its own, under a clock of its own.
func scenario(t *testing.T, run func(t *testing.T, c *testCluster)) {
	slog.SetLogLoggerLevel(slog.LevelError)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := &testCluster{t: t, ctx: ctx, network: fake.NewNetwork(), store: fake.NewStore(), nodes: map[string]*testNode{}}
		c.network.Listen("state:1", c.store)
		c.network.SetLatency(func() time.Duration {
			if latency := c.latency.Load(); latency != nil {
				return (*latency)()
			}
			return 0
		})
		c.rules = newRules(c.nodeSettings("a"), func(rule, what string) { t.Errorf("rule broken: %s: %s", rule, what) })
		defer synctest.Wait()
		defer cancel()
		defer c.rules.CheckCancelled()
		run(t, c)
	})
}

// parallelScenario is one of several scenarios of a test, which go on beside one another.
func parallelScenario(t *testing.T, name string, run func(t *testing.T, c *testCluster)) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		scenario(t, run)
	})
}

func (c *testCluster) nodeSettings(name string) *config.Settings {
	other := map[string]string{"a": "b", "b": "a"}[name]
	set, err := config.Parse([]byte(strings.NewReplacer("NODE", name, "OTHER", other).Replace(settingsTemplate + c.upcomingLimits)))
	if err != nil {
		c.t.Fatal(err)
	}
	set.Params.Teams = append(set.Params.Teams, c.teams...)
	if c.valueLimitKB > 0 {
		set.Params.State.ValueKB, set.Params.State.CurrentValueKB = c.valueLimitKB, c.valueLimitKB
	}
	return set
}

func (c *testCluster) startNode(name string) *testNode {
	settings := c.nodeSettings(name)
	c.processes++
	writer := fmt.Sprintf("%s.%d", name, c.processes)
	ctx, cancel := context.WithCancel(c.ctx)
	store := state.NewClient("state:1", c.network.Client(name), state.NewBudget(400, 200, 2, 0.6))
	n := &testNode{cluster: c, name: name, cancel: cancel}
	n.elector = election.NewElector(settings, store, &worker.Commander{HTTP: c.network.Client(name), Timeout: 3 * time.Second}, writer)
	n.elector.Peers = n
	n.elector.OnTerm = func(ctx context.Context, term *election.Term) {
		term.Cluster.SetMachineTypes(instanceTypes())
		for ctx.Err() == nil {
			term.Cluster.ReconcileCloudList(c.cloudList(), time.Now())
			select {
			case <-ctx.Done():
			case <-time.After(2 * time.Second):
			}
		}
	}
	n.jobs = &intake.JobService{Settings: settings, Store: store, Records: n.elector.Jobs(), LeaderNotifier: n, Writer: writer, MachineTypes: instanceTypes}
	c.network.Listen(name+":8080", (&intake.Server{Jobs: n.jobs, Heartbeats: n.elector, Ready: func() bool { return true },
		ExplainByLeader: func(context.Context, ids.Job) ([]string, ids.Node, error) { return nil, "", nil },
		NodeStatus:      func() any { return nil }}).Handler())
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	go store.ProbeHealth(ctx, record.KeysOf(0, 1).Generation())
	go n.elector.Run(ctx)
	return n
}

// cloudList is the cloud's, in scenarios that have one.
func (c *testCluster) cloudList() (machines []claim.ListedMachine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inCloudList {
		for _, worker := range c.workers {
			machines = append(machines, claim.ListedMachine{Name: ids.Machine(worker.Name), Address: worker.Address, Type: worker.Type, Zone: worker.Zone, Status: "running"})
		}
	}
	return machines
}

func instanceTypes() []placement.InstanceType {
	return []placement.InstanceType{{Label: "small", Cores: 4, RAM: 16, CacheGB: 20, PullGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 30, Zones: []string{"north", "south"}}}
}

// AllStopped asks the other node, if it lives and the network lets it.
func (n *testNode) AllStopped(_ context.Context, generation ids.Generation, of ...ids.Node) bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.askedForConfirmation = of
	for name, other := range n.cluster.nodes {
		if name != n.name && !n.cluster.isPartitioned(n.name, name) && other.elector.Superseded(generation) {
			return true
		}
	}
	return false
}

func (c *testCluster) isPartitioned(from, to string) bool {
	rule := c.network.CurrentRule()
	if rule == nil {
		return false
	}
	r, _ := http.NewRequest("POST", "http://"+to+"/peer", nil)
	return rule(from, to, r, nil) != fake.Deliver
}

// Alone tells that the other node is down or out of reach.
func (n *testNode) Alone() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for name := range n.cluster.nodes {
		if name != n.name && !n.cluster.isPartitioned(n.name, name) {
			return false
		}
	}
	return true
}

// Served tells that another node lives and can be reached.
func (n *testNode) Served(other ids.Node) bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.nodes[string(other)] != nil && !n.cluster.isPartitioned(n.name, string(other))
}

// NotifyLeader passes writes on: to its own pool at once, to the others as fast as the
// network is.
func (n *testNode) NotifyLeader(id ids.Job, revision ids.Revision, rec *record.Record, raw json.RawMessage) <-chan struct{} {
	done := make(chan struct{})
	if lag := n.cluster.latency.Load(); lag != nil && n.elector.Cluster() == nil {
		go func() {
			defer close(done)
			select {
			case <-time.After((*lag)()):
				n.deliverRecord(id, revision, rec)
			case <-n.cluster.ctx.Done():
			}
		}()
		return done
	}
	n.deliverRecord(id, revision, rec)
	close(done)
	return done
}

func (n *testNode) deliverRecord(id ids.Job, revision ids.Revision, rec *record.Record) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for name, other := range n.cluster.nodes {
		if name == n.name || !n.cluster.isPartitioned(n.name, name) {
			other.elector.HandleRecord(id, revision, rec)
		}
	}
}

// kill ends a node like a lost process.
func (n *testNode) kill() {
	n.cancel()
	n.cluster.mu.Lock()
	delete(n.cluster.nodes, n.name)
	n.cluster.mu.Unlock()
	n.cluster.network.Listen(n.name+":8080", nil)
}

func (c *testCluster) startWorker(name, zone string) *fake.Worker {
	worker := &fake.Worker{Name: name, Address: name + ":9000", Type: "small", Zone: zone, Network: c.network,
		Controllers: []string{"a:8080", "b:8080"}, ControllerNames: []string{"a", "b"}, HeartbeatInterval: 2 * time.Second, LeaseDuration: 20 * time.Second}
	worker.NotifyEvents(c.rules.TaskEvent)
	c.mu.Lock()
	c.workers = append(c.workers, worker)
	c.mu.Unlock()
	go worker.Run(c.ctx)
	return worker
}

// newJob is a job of team red with tasks of one core.
func newJob(id, shape string, tasks int) map[string]any {
	return map[string]any{"uid": id, "jobkind": "c", "owner": "red", "shape": shape, "urgency": "normal", "pieces": tasks,
		"cores": 1, "accelerators": 0, "ramGb": 1, "bundle": "img", "pullGb": 1, "together": false, "spread": false,
		"loaners": false, "guessS": 10, "bookmarkS": 0, "stashS": 0}
}

func (c *testCluster) call(node, method, path string, body any) (int, map[string]any) {
	raw, _ := json.Marshal(body)
	return c.observeCall(node, method, path, raw, func() (int, map[string]any) { return c.request(node, method, path, raw) })
}

func (c *testCluster) request(node, method, path string, raw []byte) (int, map[string]any) {
	ctx, cancel := context.WithTimeout(c.ctx, 5*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+node+":8080"+path, bytes.NewReader(raw))
	res, err := c.network.Client("user").Do(req)
	if err != nil {
		return 0, nil
	}
	out := map[string]any{}
	json.NewDecoder(res.Body).Decode(&out)
	return res.StatusCode, out
}

func (c *testCluster) submit(node string, job map[string]any) {
	c.t.Helper()
	if code, out := c.call(node, "POST", "/v2/runs", job); code != 201 {
		c.t.Fatalf("submission answered %d %v", code, out)
	}
}

func (c *testCluster) status(node, id string) string {
	_, out := c.call(node, "GET", "/v2/runs/"+id, nil)
	s, _ := out["status"].(string)
	return s
}

// listWorkers are the workers that there are by now.
func (c *testCluster) listWorkers() []*fake.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.workers)
}

// machinesRunning lists where a task is, by worker name.
func (c *testCluster) machinesRunning(task string) (machines []string) {
	for _, worker := range c.listWorkers() {
		for _, active := range worker.ActiveTasks() {
			if active == task {
				machines = append(machines, worker.Name)
			}
		}
	}
	return machines
}

// eventually waits for a condition, at most d.
func (c *testCluster) eventually(timeout time.Duration, what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(timeout); !condition(); {
		if time.Now().After(end) {
			c.t.Fatalf("not within %v: %s; store: %s", timeout, what, c.store)
		}
		time.Sleep(100 * time.Millisecond)
		c.checkInvariants()
	}
}

// consistently watches that a condition stays true for d.
func (c *testCluster) consistently(duration time.Duration, what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if !condition() {
			c.t.Fatalf("no longer true: %s", what)
		}
		c.checkInvariants()
	}
}

// checkInvariants samples what holds in every scenario, besides the rules that watch each event:
// no task on two machines.
func (c *testCluster) checkInvariants() {
	c.t.Helper()
	c.rules.CheckCancelled()
	runningOn := map[string]string{}
	for _, worker := range c.listWorkers() {
		for _, task := range worker.ActiveTasks() {
			if other := runningOn[task]; other != "" {
				c.t.Fatalf("%s runs on %s and on %s", task, other, worker.Name)
			}
			runningOn[task] = worker.Name
		}
	}
}

func (c *testCluster) workerNamed(name string) *fake.Worker {
	for _, worker := range c.listWorkers() {
		if worker.Name == name {
			return worker
		}
	}
	return nil
}
