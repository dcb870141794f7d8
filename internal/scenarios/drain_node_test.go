package scenarios

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/fleet"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/intake"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// drainNodes are the controllers of scenarios with drains.
var drainNodes = []string{"a", "b", "c", "d", "e"}

// drainNode is a controller in a cluster with drains.
type drainNode struct {
	cluster  *drainCluster
	name     string
	elector  *election.Elector
	rollouts *rollout.Service
	cancel   context.CancelFunc
}

// drainSettings are a node's settings.
func (c *drainCluster) drainSettings(name string) *config.Settings {
	settings := c.nodeSettings("a")
	settings.HostName, settings.Peers = ids.Node(name), nil
	for _, other := range drainNodes {
		if other != name {
			settings.Peers = append(settings.Peers, config.Peer{HostName: ids.Node(other)})
		}
	}
	if err := settings.ParseFeatures([]byte(c.features)); err != nil {
		c.t.Fatal(err)
	}
	return settings
}

func (c *drainCluster) startNode(name string) *drainNode {
	settings := c.drainSettings(name)
	c.processes++
	writer := fmt.Sprintf("%s.%d", name, c.processes)
	ctx, cancel := context.WithCancel(c.ctx)
	store := state.NewClient("state:1", c.network.Client(name), state.NewBudget(800, 400, 5, 0.6))
	n := &drainNode{cluster: c, name: name, cancel: cancel}
	rolloutCache := state.NewWatchCache(store, rollout.Prefix, 200*time.Millisecond)
	limits := rollout.Limits{ValueBytes: int(settings.Params.State.ValueKB * 1024), TxnOps: settings.Params.State.TxnOps}
	n.elector = election.NewElector(settings, store, &worker.Commander{HTTP: c.network.Client(name), Timeout: 3 * time.Second}, writer)
	n.elector.Peers = n
	n.elector.OnTerm = func(ctx context.Context, term *election.Term) {
		term.Cluster.SetMachineTypes(instanceTypes())
		runner := &rollout.Runner{Mirror: rolloutCache, Store: term.Committer, Fleet: term.Cluster, Writer: writer, Limits: limits}
		go runner.Run(ctx)
		provisioner := &fleet.Provisioner{Cloud: fleet.NewCloud("cloud:1", c.network.Client(name), 20), Cluster: term.Cluster, Store: term.Committer, Generation: term.Generation,
			Keys: record.KeysOf(0, 1), ConfirmLeadership: func() bool { return n.elector.LeaseSurelyHeld(term) }, ListInterval: 2 * time.Second}
		provisioner.Adopt(term.OpenHires)
		provisioner.Run(ctx)
	}
	n.rollouts = &rollout.Service{Mirror: rolloutCache, Client: store, Leader: n, Writer: writer, Limits: limits,
		Installation: func() rollout.Installation {
			return rollout.Installation{Zones: settings.Params.Zones, Types: []string{"small"}, Shards: settings.ShardCount()}
		}}
	jobs := &intake.JobService{Settings: settings, Store: store, Records: n.elector.Jobs(), LeaderNotifier: n, Writer: writer, MachineTypes: instanceTypes}
	c.network.Listen(name+":8080", (&intake.Server{Jobs: jobs, Heartbeats: n.elector, Ready: func() bool { return true },
		ExplainByLeader: func(context.Context, ids.Job) ([]string, ids.Node, error) { return nil, "", nil },
		NodeStatus:      func() any { return nil }}).Handler())
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	go store.ProbeHealth(ctx, record.KeysOf(0, 1).Generation())
	go rolloutCache.Run(ctx)
	go n.elector.Run(ctx)
	return n
}

// stopNode ends a node like a lost process.
func (c *drainCluster) stopNode(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.nodes[name]; n != nil {
		n.cancel()
	}
	delete(c.nodes, name)
	c.network.Listen(name+":8080", nil)
}

// leader is the node that leads; nil if none does.
func (c *drainCluster) leader() *drainNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range drainNodes {
		if n := c.nodes[name]; n != nil && n.elector.Cluster() != nil {
			return n
		}
	}
	return nil
}

// follower is a node that is up and does not lead.
func (c *drainCluster) follower() *drainNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range drainNodes {
		if n := c.nodes[name]; n != nil && n.elector.Cluster() == nil {
			return n
		}
	}
	c.t.Fatal("every node leads")
	return nil
}

func (n *drainNode) AllStopped(_ context.Context, generation ids.Generation, _ ...ids.Node) bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	all := true
	for name, other := range n.cluster.nodes {
		if name != n.name {
			all = !n.cluster.isPartitioned(n.name, name) && other.elector.Superseded(generation) && all
		}
	}
	return all
}

func (n *drainNode) Alone() bool { return false }

func (n *drainNode) Served(node ids.Node) bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.nodes[string(node)] != nil
}

func (n *drainNode) NotifyLeader(ids.Job, ids.Revision, *record.Record, json.RawMessage) <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

// PlanDrain asks the leader for a plan.
func (n *drainNode) PlanDrain(_ context.Context, spec *rollout.Spec) (*rollout.Preview, error) {
	leader := n.cluster.leader()
	if leader == nil {
		return nil, election.ErrNotLeader
	}
	return rollout.NewPreview(spec, leader.elector.Cluster().RolloutPlanner(), time.Now())
}

// DrainWaits asks the leader what machines wait for.
func (n *drainNode) DrainWaits(context.Context) (map[ids.Machine][]string, error) {
	leader := n.cluster.leader()
	if leader == nil {
		return nil, election.ErrNotLeader
	}
	return leader.elector.Cluster().DrainBlockers(), nil
}
