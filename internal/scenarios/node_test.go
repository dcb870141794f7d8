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

type testNode struct {
	cluster              *testCluster
	name                 string
	elector              *election.Elector
	askedForConfirmation []ids.Node // who was last asked to confirm that it stopped
	jobs                 *intake.JobService
	cancel               context.CancelFunc
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
