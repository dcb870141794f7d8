package scenarios

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
)

// settingsTemplate is the settings file of a controller, whose names are filled in.
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

// The times of the settings, by which scenarios are laid out.
const (
	heartbeatInterval = 2 * time.Second  // report_s: between heartbeats of a worker
	leaseDuration     = 20 * time.Second // lease_s: how long a worker runs on after its last answered heartbeat
	cancelLimit       = 40 * time.Second // cancel_s: when a task must have stopped after its cancellation was confirmed
)

// zones are those in which there are machines.
var zones = []string{"north", "south"}

// testCluster is two controllers with what surrounds them: a network, a state service, workers and
// users, all in memory. Its methods make up the steps of a scenario's timeline.
type testCluster struct {
	t              *testing.T
	ctx            context.Context
	network        *fake.Network
	latency        atomic.Pointer[func() time.Duration] // of the network; nil is none
	store          *fake.Store
	mu             sync.Mutex
	nodes          map[string]*testNode
	workers        []*fake.Worker
	processes      int
	rules          *rules
	inCloudList    bool    // the leader learns of the machines from the cloud's list
	upcomingLimits string  // settings of limits to come, for nodes started from now on
	valueLimitKB   float64 // of the state service, if it differs from the settings'
	teams          []config.Team
}

// scenario runs a scenario in a cluster of its own, under a fake clock of its own.
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

// parallelScenario runs a scenario as a subtest, in parallel with the others of the test.
func parallelScenario(t *testing.T, name string, run func(t *testing.T, c *testCluster)) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		scenario(t, run)
	})
}

// nodeSettings are those of one of the two controllers.
func (c *testCluster) nodeSettings(name string) *config.Settings {
	other := otherNode(name)
	settings, err := config.Parse([]byte(strings.NewReplacer("NODE", name, "OTHER", other).Replace(settingsTemplate + c.upcomingLimits)))
	if err != nil {
		c.t.Fatal(err)
	}
	settings.Params.Teams = append(settings.Params.Teams, c.teams...)
	if c.valueLimitKB > 0 {
		settings.Params.State.ValueKB, settings.Params.State.CurrentValueKB = c.valueLimitKB, c.valueLimitKB
	}
	return settings
}

// instanceTypes are those that the cloud offers.
func instanceTypes() []placement.InstanceType {
	return []placement.InstanceType{{Label: "small", Cores: 4, RAM: 16, CacheGB: 20, PullGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 30, Zones: zones}}
}

// cloudList is the cloud's list of machines: empty unless the scenario has inCloudList.
func (c *testCluster) cloudList() (machines []clusterstate.ListedMachine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inCloudList {
		for _, worker := range c.workers {
			machines = append(machines, clusterstate.ListedMachine{Name: ids.Machine(worker.Name), Address: worker.Address, Type: worker.Type, Zone: worker.Zone, Status: "running"})
		}
	}
	return machines
}

// startWorker starts a machine with its worker.
func (c *testCluster) startWorker(name, zone string) *fake.Worker {
	worker := &fake.Worker{Name: name, Address: name + ":9000", Type: "small", Zone: zone, Network: c.network,
		Controllers: apiAddresses(nodeNames), ControllerNames: nodeNames, HeartbeatInterval: heartbeatInterval, LeaseDuration: leaseDuration}
	worker.NotifyEvents(c.rules.TaskEvent)
	c.mu.Lock()
	c.workers = append(c.workers, worker)
	c.mu.Unlock()
	go worker.Run(c.ctx)
	return worker
}

// listWorkers returns the workers started so far.
func (c *testCluster) listWorkers() []*fake.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.workers)
}

// workerNamed returns the first worker of a name, or nil.
func (c *testCluster) workerNamed(name string) *fake.Worker {
	for _, worker := range c.listWorkers() {
		if worker.Name == name {
			return worker
		}
	}
	return nil
}

// leader returns a node that leads, or nil.
func (c *testCluster) leader() *testNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if n.elector.Cluster() != nil {
			return n
		}
	}
	return nil
}

// leaderFirst returns two nodes in order, the one that leads first.
func leaderFirst(a, b *testNode) (leader, successor *testNode) {
	if a.elector.Cluster() == nil {
		return b, a
	}
	return a, b
}

// settleTime is enough for a first leader to be elected and to hear from all machines.
const settleTime = 10 * time.Second

// startPair starts both controllers and a machine in each zone, and lets them settle.
func (c *testCluster) startPair() {
	c.startNode("a")
	c.startNode("b")
	c.startWorkers("north", "south")
}

// startWorkers starts machines m1, m2 and so on, one in each of the zones named, and lets them
// settle.
func (c *testCluster) startWorkers(zones ...string) {
	for i, zone := range zones {
		c.startWorker(fmt.Sprintf("m%d", i+1), zone)
	}
	time.Sleep(settleTime)
}

// sleep waits for d, but not beyond the end of the scenario: for goroutines beside its timeline.
func (c *testCluster) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.ctx.Done():
	}
}
