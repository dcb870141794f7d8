package scenarios

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/intake"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// shardNodes are the controllers of scenarios with several shards.
var shardNodes = []string{"a", "b", "c", "d", "e"}

// shardNode is a controller in a cluster of several shards.
type shardNode struct {
	cluster      *testCluster
	name         string
	shards       *election.Shards
	cancel       context.CancelFunc
	startupError error
}

// shardCluster is controllers that lead three shards of the machines of a testCluster.
type shardCluster struct {
	*testCluster
	shardCount int
	nodes      map[string]*shardNode
}

// shardScenario runs f in a cluster of three shards, with as many machines in each as named.
func shardScenario(t *testing.T, machines int, run func(t *testing.T, c *shardCluster)) {
	scenario(t, func(t *testing.T, base *testCluster) {
		c := &shardCluster{testCluster: base, shardCount: 3, nodes: map[string]*shardNode{}}
		for shard := range c.shardCount {
			var hosts []string
			for i := range machines {
				hosts = append(hosts, fmt.Sprintf("m%d-%d", shard, i))
			}
			c.storeValue(record.KeysOf(ids.Shard(shard), c.shardCount).Hires()+"first", map[string]any{"hire": "first", "hosts": hosts})
		}
		for _, name := range shardNodes {
			c.startNode(name)
		}
		for shard := range c.shardCount {
			for i := range machines {
				worker := c.startWorker(fmt.Sprintf("m%d-%d", shard, i), []string{"north", "south"}[i%2])
				worker.ControllerNames, worker.Controllers = shardNodes, nil
				for _, name := range shardNodes {
					worker.Controllers = append(worker.Controllers, name+":8080")
				}
			}
		}
		run(t, c)
	})
}

// storeValue writes a key past all faults.
func (c *shardCluster) storeValue(key string, value any) {
	raw, _ := json.Marshal(value)
	client := state.NewClient("state:1", c.network.Client("test"), state.NewBudget(1000, 1000, 1, 0.5))
	if _, err := client.Commit(c.ctx, state.Txn{Ops: []state.Op{{Put: key, Value: raw}}}, state.Urgent); err != nil {
		c.t.Fatal(err)
	}
}

// shardSettings are a node's settings.
func (c *shardCluster) shardSettings(name string) *config.Settings {
	settings := c.nodeSettings("a")
	settings.HostName, settings.Peers = ids.Node(name), nil
	for _, other := range shardNodes {
		if other != name {
			settings.Peers = append(settings.Peers, config.Peer{HostName: ids.Node(other)})
		}
	}
	settings.Features = &config.Features{Shards: proto.Uint32(uint32(c.shardCount))}
	return settings
}

func (c *shardCluster) startNode(name string) *shardNode {
	settings := c.shardSettings(name)
	c.processes++
	writer := fmt.Sprintf("%s.%d", name, c.processes)
	ctx, cancel := context.WithCancel(c.ctx)
	store := state.NewClient("state:1", c.network.Client(name), state.NewBudget(800, 400, 5, 0.6))
	store.Budget().SetShardCount(c.shardCount)
	n := &shardNode{cluster: c.testCluster, name: name, cancel: cancel,
		shards: election.NewShards(settings, store, &worker.Commander{HTTP: c.network.Client(name), Timeout: 3 * time.Second}, writer)}
	n.shards.Refuse = func(err error) { n.startupError = err }
	for _, pool := range n.shards.Pools() {
		pool.Peers = shardPeers{cluster: c}
		pool.OnTerm = func(_ context.Context, term *election.Term) { term.Cluster.SetMachineTypes(instanceTypes()) }
	}
	jobs := &intake.JobService{Settings: settings, Store: store, Records: n.shards.Jobs(), LeaderNotifier: shardPeers{cluster: c}, Writer: writer, MachineTypes: instanceTypes}
	c.network.Listen(name+":8080", (&intake.Server{Jobs: jobs, Heartbeats: n.shards, Ready: func() bool { return true },
		ExplainByLeader: func(context.Context, ids.Job) ([]string, ids.Node, error) { return nil, "", nil },
		NodeStatus:      func() any { return nil }}).Handler())
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	go store.ProbeHealth(ctx, record.KeysOf(0, c.shardCount).Generation())
	go n.shards.Run(ctx)
	return n
}

// stopNode ends a node like a lost process.
func (c *shardCluster) stopNode(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[name].cancel()
	delete(c.nodes, name)
	c.network.Listen(name+":8080", nil)
}

// leaders names who leads each shard; empty where nobody does.
func (c *shardCluster) leaders() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, c.shardCount)
	for name, n := range c.nodes {
		for shard, pool := range n.shards.Pools() {
			if pool.Term() != nil {
				names[shard] = name
			}
		}
	}
	return names
}

// shardPeers are the other controllers, which tell one another only that they are up: the rest
// saves time.
type shardPeers struct{ cluster *shardCluster }

func (shardPeers) AllStopped(context.Context, ids.Generation, ...ids.Node) bool { return false }
func (shardPeers) Alone() bool                                                  { return false }
func (p shardPeers) Served(node ids.Node) bool {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	return p.cluster.nodes[string(node)] != nil
}
func (shardPeers) NotifyLeader(ids.Job, ids.Revision, *record.Record, json.RawMessage) <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

// accept submits a job, at another node each time it is told to come back.
func (c *shardCluster) accept(node int, job map[string]any) {
	c.t.Helper()
	for try := range 60 {
		if code, _ := c.call(shardNodes[(node+try)%len(shardNodes)], "POST", "/v2/runs", job); code == 201 || code == 200 {
			return
		}
		time.Sleep(time.Second)
	}
	c.t.Fatalf("%v was never accepted", job["uid"])
}

// completeRandomTasks lets whatever runs for a while end by itself, until the scenario ends.
func (c *shardCluster) completeRandomTasks(rng *rand.Rand) {
	for c.ctx.Err() == nil {
		select {
		case <-time.After(time.Second):
		case <-c.ctx.Done():
			return
		}
		for _, worker := range c.workers {
			for _, task := range worker.ActiveTasks() {
				if rng.IntN(3) == 0 {
					worker.EndTask(task, "done")
				}
			}
		}
	}
}

func TestQuotaHoldsAcrossFailingShardLeaders(t *testing.T) {
	t.Parallel()
	// Five controllers lead three shards; each has room for twice its team's limit. Jobs come
	// at all nodes at the same moment, some are cancelled; leaders die, are refused by the
	// state service, lose answers, and all of them end once. The rules are checked at each
	// start, quota among them.
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			shardScenario(t, 4, func(t *testing.T, c *shardCluster) {
				rng := rand.New(rand.NewPCG(seed, 9))
				go c.completeRandomTasks(rand.New(rand.NewPCG(seed, 10)))
				time.Sleep(5 * time.Second)
				if leaders := c.leaders(); slices.Contains(leaders, "") {
					t.Fatalf("led by %q", leaders)
				}
				const jobs = 24
				for i := range jobs {
					id := fmt.Sprint("job-", i)
					job := newJob(id, "array", 1+rng.IntN(4))
					if i%6 == 0 {
						job["shape"], job["pieces"] = "gang", 3
					}
					c.accept(i, job)
				}
				cancelled := map[string]bool{}
				for i := range 6 {
					time.Sleep(time.Duration(2+rng.IntN(6)) * time.Second)
					leader := c.leaders()[rng.IntN(c.shardCount)]
					switch {
					case leader == "":
					case i%3 == 0:
						c.stopNode(leader)
						time.Sleep(3 * time.Second)
						c.startNode(leader)
					case i%3 == 1:
						c.store.RefuseCaller(leader, true)
						time.Sleep(8 * time.Second)
						c.store.RefuseCaller(leader, false)
					default:
						c.network.SetRule(func(from, _ string, r *http.Request, _ []byte) fake.Outcome {
							if from == leader && r.URL.Path == "/commit" {
								return fake.DropResponse
							}
							return fake.Deliver
						})
						time.Sleep(4 * time.Second)
						c.network.SetRule(nil)
					}
					id := fmt.Sprint("job-", rng.IntN(jobs))
					if code, out := c.call(shardNodes[rng.IntN(5)], "POST", "/v2/runs/"+id+"/cancel", nil); code == 200 {
						cancelled[id] = out["status"] == "cancelled"
					}
					c.checkInvariants()
				}
				for _, name := range shardNodes {
					c.stopNode(name)
				}
				time.Sleep(2 * time.Second)
				for _, name := range shardNodes {
					c.startNode(name)
				}
				c.eventually(5*time.Minute, "every job is over, at every node", func() bool {
					for i := range jobs {
						id := fmt.Sprint("job-", i)
						want := "done"
						if cancelled[id] {
							want = "cancelled"
						}
						if c.status(shardNodes[i%5], id) != want {
							return false
						}
					}
					return true
				})
			})
		})
	}
}

func TestJobsDependOnJobsOfOtherShards(t *testing.T) {
	t.Parallel()
	// Each job awaits the one before it, wherever that is; then one in the middle of a second
	// chain is cancelled, and what follows it ends with it.
	shardScenario(t, 2, func(t *testing.T, c *shardCluster) {
		time.Sleep(5 * time.Second)
		chain := func(first int) (names []string) {
			for i := range 6 {
				job := newJob(fmt.Sprint("job-", first+i), "array", 1)
				if i > 0 {
					job["awaits"] = []string{names[i-1]}
				}
				names = append(names, job["uid"].(string))
				c.accept(i, job)
			}
			return names
		}
		shards := map[ids.Shard]bool{}
		for _, id := range chain(100) {
			shards[ids.ShardOf(ids.Job(id), c.shardCount)] = true
			c.eventually(20*time.Second, id+" runs", func() bool { return len(c.machinesRunning(id+"/0")) == 1 })
			c.workerNamed(c.machinesRunning(id + "/0")[0]).EndTask(id+"/0", "done")
		}
		if len(shards) != c.shardCount {
			t.Fatalf("the chain lies in %d shards", len(shards))
		}
		second := chain(200)
		c.eventually(20*time.Second, "the first runs", func() bool { return len(c.machinesRunning(second[0]+"/0")) == 1 })
		c.eventually(10*time.Second, "the cancellation is confirmed", func() bool {
			code, _ := c.call("b", "POST", "/v2/runs/"+second[2]+"/cancel", nil)
			return code == 200
		})
		c.workerNamed(c.machinesRunning(second[0] + "/0")[0]).EndTask(second[0]+"/0", "done")
		c.eventually(20*time.Second, "what does not need the cancelled one goes on", func() bool { return len(c.machinesRunning(second[1]+"/0")) == 1 })
		for _, id := range second[2:] {
			c.eventually(10*time.Second, id+" is told as cancelled", func() bool { return c.status("d", id) == "cancelled" })
		}
		c.eventually(30*time.Second, "their ends are stored", func() bool { return c.store.CountKeys("job/wait/") == 0 })
	})
}

func TestUnknownMachineBelongsToOneShardOnlyAfterProvisioning(t *testing.T) {
	t.Parallel()
	// Guards against a machine that two leaders command: one whose hire is not answered yet,
	// and that reports already, belongs to whom the answer will name.
	shardScenario(t, 1, func(t *testing.T, c *shardCluster) {
		time.Sleep(5 * time.Second)
		key := record.KeysOf(2, c.shardCount).Hires() + "h-s2-1-1"
		c.storeValue(key, map[string]any{"hire": "h-s2-1-1", "count": 1})
		for _, name := range []string{"hired", "stranger"} {
			worker := c.startWorker(name, "north")
			worker.ControllerNames, worker.Controllers = shardNodes, []string{"a:8080", "b:8080", "c:8080", "d:8080", "e:8080"}
		}
		owners := func(machine ids.Machine) (shards []int) {
			for _, n := range c.nodes {
				for shard := range c.shardCount {
					if n.shards.Owns(ids.Shard(shard), machine) && !slices.Contains(shards, shard) {
						shards = append(shards, shard)
					}
				}
			}
			return shards
		}
		time.Sleep(5 * time.Second)
		if provisioned, unknown := owners("hired"), owners("stranger"); len(provisioned)+len(unknown) > 0 {
			t.Fatalf("while a hire is open its machine belongs to %v, a stranger to %v", provisioned, unknown)
		}
		c.storeValue(key, map[string]any{"hire": "h-s2-1-1", "count": 1, "hosts": []string{"hired"}})
		time.Sleep(5 * time.Second)
		if provisioned, unknown := owners("hired"), owners("stranger"); !slices.Equal(provisioned, []int{2}) || !slices.Equal(unknown, []int{0}) {
			t.Errorf("the hired machine belongs to %v, the stranger to %v", provisioned, unknown)
		}
	})
}

func TestShardLeadershipSpreadsAndIsReturned(t *testing.T) {
	t.Parallel()
	shardScenario(t, 1, func(t *testing.T, c *shardCluster) {
		spread := func() bool {
			led := c.leaders()
			return !slices.Contains(led, "") && led[0] != led[1] && led[1] != led[2] && led[0] != led[2]
		}
		c.eventually(time.Minute, "each of three controllers leads a shard", spread)
		for _, name := range []string{"a", "b", "d", "e"} {
			c.stopNode(name)
		}
		c.eventually(time.Minute, "the one left leads all", func() bool { return slices.Equal(c.leaders(), []string{"c", "c", "c"}) })
		for _, name := range []string{"a", "b", "d", "e"} {
			c.startNode(name)
		}
		c.eventually(2*time.Minute, "shards are given back", spread)
	})
}

func TestStoreWithDifferentShardLayoutIsRejected(t *testing.T) {
	t.Parallel()
	shardScenario(t, 1, func(t *testing.T, c *shardCluster) {
		time.Sleep(5 * time.Second)
		// A version that knows one shard only never leads here.
		oneShardNode := c.testCluster.startNode("a")
		time.Sleep(20 * time.Second)
		if oneShardNode.elector.Term() != nil {
			t.Error("a controller of one shard leads the pool beside the leaders of three")
		}
		c.shardCount = 2
		node := c.startNode("e")
		time.Sleep(2 * time.Second)
		if !errors.Is(node.startupError, election.ErrOtherLayout) || !strings.Contains(node.startupError.Error(), "3, not 2") {
			t.Errorf("two shards on a store of three: %v", node.startupError)
		}
		c.shardCount = 3
		c.stopNode("d")
		c.storeValue(quota.LedgerKey("red"), map[string]any{"form": 9})
		node = c.startNode("d")
		time.Sleep(2 * time.Second)
		if !errors.Is(node.startupError, quota.ErrBadLedger) || !strings.Contains(node.startupError.Error(), "newer form") {
			t.Errorf("a ledger of a newer version: %v", node.startupError)
		}
	})
	scenario(t, func(t *testing.T, single *testCluster) {
		single.startNode("a")
		single.startWorker("m1", "north")
		time.Sleep(8 * time.Second)
		single.submit("a", newJob("job-1", "array", 1))
		c := &shardCluster{testCluster: single, shardCount: 3, nodes: map[string]*shardNode{}}
		node := c.startNode("e")
		time.Sleep(2 * time.Second)
		if !errors.Is(node.startupError, election.ErrJobsStored) {
			t.Errorf("three shards on a store with a job of one: %v", node.startupError)
		}
	})
}
