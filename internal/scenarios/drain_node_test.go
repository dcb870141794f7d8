package scenarios

import (
	"context"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/fleet"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// drainNode is a controller in a cluster with rollouts.
type drainNode struct {
	*process
	noopNotifier
	cluster  *drainCluster
	elector  *election.Elector
	rollouts *rollout.Service
}

// drainSettings returns the settings of a node.
func (c *drainCluster) drainSettings(name string) *config.Settings {
	settings := c.fiveNodeSettings(name)
	if err := settings.ParseFeatures([]byte(c.features)); err != nil {
		c.t.Fatal(err)
	}
	return settings
}

// startNode starts a controller that executes rollouts and provisions machines while it leads.
func (c *drainCluster) startNode(name string) *drainNode {
	n := &drainNode{process: c.newProcess(name, c.drainSettings(name), fiveNodeBudget()), cluster: c}
	rolloutCache := state.NewWatchCache(n.store, rollout.Prefix, 200*time.Millisecond)
	limits := rollout.Limits{ValueBytes: int(n.settings.Params.State.ValueKB * 1024), TxnOps: n.settings.Params.State.TxnOps}
	n.elector = election.NewElector(n.settings, n.store, n.commander(), n.writer)
	n.elector.Peers = n
	n.elector.OnTerm = func(ctx context.Context, term *election.Term) {
		term.Cluster.SetMachineTypes(instanceTypes())
		runner := &rollout.Runner{Mirror: rolloutCache, Store: term.Committer, Fleet: term.Cluster, Writer: n.writer, Limits: limits}
		go runner.Run(ctx)
		n.provision(ctx, term)
	}
	n.rollouts = &rollout.Service{Mirror: rolloutCache, Client: n.store, Leader: n, Writer: n.writer, Limits: limits,
		Installation: func() rollout.Installation {
			return rollout.Installation{Zones: n.settings.Params.Zones, Types: []string{"small"}, Shards: n.settings.ShardCount()}
		}}
	n.serve(n.elector.Jobs(), n.elector, n)
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	go n.store.ProbeHealth(n.ctx, record.KeysOf(0, 1).Generation())
	go rolloutCache.Run(n.ctx)
	go n.elector.Run(n.ctx)
	return n
}

// provision provisions and deletes machines for the leader until its term ends.
func (n *drainNode) provision(ctx context.Context, term *election.Term) {
	provisioner := &fleet.Provisioner{
		Cloud:             fleet.NewCloud("cloud:1", n.cluster.network.Client(n.name), 20),
		Cluster:           term.Cluster,
		Store:             term.Committer,
		Generation:        term.Generation,
		Keys:              record.KeysOf(0, 1),
		ConfirmLeadership: func() bool { return n.elector.HoldsLease(term) },
		ListInterval:      2 * time.Second,
	}
	provisioner.LoadRequests(term.OpenProvisioningRequests)
	provisioner.Run(ctx)
}

// stopNode ends a node, if it runs, without a handover, as the loss of its process would.
func (c *drainCluster) stopNode(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.nodes[name]; n != nil {
		n.crash()
	}
	delete(c.nodes, name)
}

// leader returns the node that leads, or nil.
func (c *drainCluster) leader() *drainNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range fiveNodeNames {
		if n := c.nodes[name]; n != nil && n.elector.Cluster() != nil {
			return n
		}
	}
	return nil
}

// follower returns a node that runs and does not lead.
func (c *drainCluster) follower() *drainNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range fiveNodeNames {
		if n := c.nodes[name]; n != nil && n.elector.Cluster() == nil {
			return n
		}
	}
	c.t.Fatal("no follower: every running node leads")
	return nil
}

// AllConfirmStopped reports whether every other running node can be reached and confirms that it answers no
// heartbeats under an older generation. It asks all of them, also after one has not confirmed.
func (n *drainNode) AllConfirmStopped(_ context.Context, generation ids.Generation, _ ...ids.Node) bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	all := true
	for name, other := range n.cluster.nodes {
		if name != n.name {
			all = !n.cluster.isPartitioned(n.name, name) && other.elector.ConfirmStopped(generation) && all
		}
	}
	return all
}

// NoPeerUp returns false, because some of the five controllers are always up.
func (n *drainNode) NoPeerUp() bool { return false }

// PeerReachesStore reports whether another node runs.
func (n *drainNode) PeerReachesStore(node ids.Node) bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.nodes[string(node)] != nil
}

// PlanDrain returns the leader's plan of a rollout.
func (n *drainNode) PlanDrain(_ context.Context, spec *rollout.Spec) (*rollout.Plan, error) {
	leader := n.cluster.leader()
	if leader == nil {
		return nil, election.ErrNotLeader
	}
	return rollout.NewPlan(spec, leader.elector.Cluster().RolloutPlanner(), time.Now())
}

// DrainBlockers returns the reasons that block the drain of each machine, as known to the leader.
func (n *drainNode) DrainBlockers(context.Context) (map[ids.Machine][]string, error) {
	leader := n.cluster.leader()
	if leader == nil {
		return nil, election.ErrNotLeader
	}
	return leader.elector.Cluster().DrainBlockers(), nil
}
