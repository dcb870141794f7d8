package scenarios

import (
	"context"

	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// shardNode is a controller in a cluster of several shards.
type shardNode struct {
	*process
	shards       *election.Shards
	startupError error // the reason why the node refused to start
}

// startNode starts a controller that may lead any of the shards.
func (c *shardCluster) startNode(name string) *shardNode {
	n := &shardNode{process: c.newProcess(name, c.shardSettings(name), fiveNodeBudget())}
	n.store.Budget().SetShardCount(c.shardCount)
	n.shards = election.NewShards(n.settings, n.store, n.commander(), n.writer)
	n.shards.OnStoreUnusable = func(err error) { n.startupError = err }
	for _, elector := range n.shards.Electors() {
		elector.Peers = shardPeers{cluster: c}
		elector.OnTerm = func(_ context.Context, term *election.Term) { term.Cluster.SetMachineTypes(instanceTypes()) }
	}
	n.serve(n.shards.Jobs(), n.shards, shardPeers{cluster: c})
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	go n.store.ProbeHealth(n.ctx, record.KeysOf(0, c.shardCount).Generation())
	go n.shards.Run(n.ctx)
	return n
}

// stopNode ends a running node without a handover, as the loss of its process would.
func (c *shardCluster) stopNode(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[name].crash()
	delete(c.nodes, name)
}

// shardPeers is an elector's view of the other controllers. It reports only whether a controller runs:
// the other information that real controllers exchange only saves time.
type shardPeers struct {
	noopNotifier
	cluster *shardCluster
}

// AllConfirmStopped returns false: the other controllers never confirm that they stopped.
func (shardPeers) AllConfirmStopped(context.Context, ids.Generation, ...ids.Node) bool { return false }

// NoPeerUp returns false, because some of the five controllers are always up.
func (shardPeers) NoPeerUp() bool { return false }

// PeerReachesStore reports whether another node runs.
func (p shardPeers) PeerReachesStore(node ids.Node) bool {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	return p.cluster.nodes[string(node)] != nil
}
