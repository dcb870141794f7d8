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

// settingsTemplate is the settings file of a controller. NODE and OTHER are replaced by the names
// of the controller and of its peer.
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

// Durations in settingsTemplate on which the timelines of scenarios depend.
const (
	heartbeatInterval = 2 * time.Second  // report_s: interval between heartbeats of a worker
	leaseDuration     = 20 * time.Second // lease_s: worker's run time after its last answered heartbeat
	cancelLimit       = 40 * time.Second // cancel_s: from confirmed cancellation to the stop of all tasks
)

// zones are the zones in which the cloud has machines.
var zones = []string{"north", "south"}

// testCluster is a cluster of two controllers with a network, a state service, workers and users,
// all in memory. Its methods are the steps of a scenario's timeline.
type testCluster struct {
	t                  *testing.T
	ctx                context.Context
	network            *fake.Network
	copyDelay          func() time.Duration                 // after which a copy of a controller's message to the leader arrives; nil for no copies
	latency            atomic.Pointer[func() time.Duration] // of the network; nil means no latency
	store              *fake.Store
	mu                 sync.Mutex
	nodes              map[string]*testNode
	workers            []*fake.Worker
	processes          int
	rules              *rules
	cloudListsMachines bool    // whether the cloud lists the machines to the leader
	upcomingLimits     string  // settings of announced limits, for nodes started from now on
	valueLimitKB       float64 // value size limit of the state service; zero means that of the settings
	teams              []config.Team
}

// scenario runs a scenario in a new cluster with its own fake clock.
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
		c.rules = newRules(c.nodeSettings("a"), func(rule, detail string) { t.Errorf("rule violated: %s: %s", rule, detail) })
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

// nodeSettings returns the settings of one of the two controllers.
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

// instanceTypes returns the machine types that the cloud offers.
func instanceTypes() []placement.InstanceType {
	return []placement.InstanceType{{Label: "small", Cores: 4, RAM: 16, CacheGB: 20, PullGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 30, Zones: zones}}
}

// cloudList returns the cloud's list of machines, which is empty unless cloudListsMachines is set.
func (c *testCluster) cloudList() (machines []clusterstate.ListedMachine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cloudListsMachines {
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
	worker.NotifyEvents(c.rules.ObserveTaskEvent)
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

// workerNamed returns the first worker with a name, or nil.
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

// leaderFirst returns the two nodes in an order that puts the leader first.
func leaderFirst(a, b *testNode) (leader, successor *testNode) {
	if a.elector.Cluster() == nil {
		return b, a
	}
	return a, b
}

// settleTime is long enough for the first leader to be elected and to receive a heartbeat from
// every machine.
const settleTime = 10 * time.Second

// startPair starts both controllers and a machine in each zone, and waits for settleTime.
func (c *testCluster) startPair() {
	c.startNode("a")
	c.startNode("b")
	c.startWorkers("north", "south")
}

// startWorkers starts machines m1, m2 and so on, one for each of the zones given, and waits for
// settleTime.
func (c *testCluster) startWorkers(zones ...string) {
	for i, zone := range zones {
		c.startWorker(fmt.Sprintf("m%d", i+1), zone)
	}
	time.Sleep(settleTime)
}

// sleep waits for d or until the scenario ends, whichever comes first. Goroutines that run beside
// the scenario's timeline use it.
func (c *testCluster) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.ctx.Done():
	}
}
