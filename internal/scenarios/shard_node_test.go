package scenarios

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/intake"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// shardNode is a controller in a cluster of several shards.
type shardNode struct {
	cluster      *testCluster
	name         string
	shards       *election.Shards
	cancel       context.CancelFunc
	startupError error
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

// shardPeers are the other controllers, which tell one another only that they are up: the rest
// saves time.
type shardPeers struct{ cluster *shardCluster }

func (shardPeers) AllStopped(context.Context, ids.Generation, ...ids.Node) bool { return false }

func (shardPeers) Alone() bool { return false }

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
