package scenarios

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// testNode is one of the two controllers of a testCluster.
type testNode struct {
	*process
	elector              *election.Elector
	askedForConfirmation []ids.Node // the nodes last asked to confirm that they stopped
}

// startNode starts a controller in a new process, also if a controller of that name ran before.
func (c *testCluster) startNode(name string) *testNode {
	n := &testNode{process: c.newProcess(name, c.nodeSettings(name), state.NewBudget(400, 200, 2, 0.6))}
	n.elector = election.NewElector(n.settings, n.store, n.commander(), n.writer)
	n.elector.Peers = n
	n.elector.OnTerm = n.reconcileCloudList
	n.serve(n.elector.Jobs(), n.elector, n)
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	go n.store.ProbeHealth(n.ctx, record.KeysOf(0, 1).Generation())
	go n.elector.Run(n.ctx)
	return n
}

// reconcileCloudList passes the cloud's list of machines to the leader every two seconds until its
// term ends.
func (n *testNode) reconcileCloudList(ctx context.Context, term *election.Term) {
	term.Cluster.SetMachineTypes(instanceTypes())
	for ctx.Err() == nil {
		term.Cluster.ReconcileCloudList(n.cluster.cloudList(), time.Now())
		select {
		case <-ctx.Done():
		case <-time.After(2 * time.Second):
		}
	}
}

// AllConfirmStopped reports whether the other node runs, can be reached and confirms that it answers no
// heartbeats under an older generation.
func (n *testNode) AllConfirmStopped(_ context.Context, generation ids.Generation, of ...ids.Node) bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.askedForConfirmation = of
	for name, other := range n.cluster.nodes {
		if name != n.name && !n.cluster.isPartitioned(n.name, name) && other.elector.ConfirmStopped(generation) {
			return true
		}
	}
	return false
}

// NoPeerUp reports whether the other node is down or can't be reached.
func (n *testNode) NoPeerUp() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for name := range n.cluster.nodes {
		if name != n.name && !n.cluster.isPartitioned(n.name, name) {
			return false
		}
	}
	return true
}

// PeerReachesStore reports whether another node runs and can be reached.
func (n *testNode) PeerReachesStore(other ids.Node) bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.nodes[string(other)] != nil && !n.cluster.isPartitioned(n.name, string(other))
}

// NotifyLeader passes a written record to the electors of this node and of all nodes that it can
// reach: at once if this node leads, else after the network's latency.
func (n *testNode) NotifyLeader(id ids.Job, revision ids.Revision, rec *record.Record, raw json.RawMessage) <-chan struct{} {
	if delay := n.cluster.copyDelay; delay != nil {
		time.AfterFunc(delay(), func() {
			if copied, err := record.Decode(raw); err == nil {
				n.deliverRecord(id, revision, copied)
			}
		})
	}
	done := make(chan struct{})
	if latency := n.cluster.latency.Load(); latency != nil && n.elector.Cluster() == nil {
		go func() {
			defer close(done)
			select {
			case <-time.After((*latency)()):
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

// deliverRecord passes a record to the electors of this node and of all nodes that it can reach.
func (n *testNode) deliverRecord(id ids.Job, revision ids.Revision, rec *record.Record) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for name, other := range n.cluster.nodes {
		if name == n.name || !n.cluster.isPartitioned(n.name, name) {
			other.elector.HandleRecord(id, revision, rec)
		}
	}
}

// kill ends the node without a handover, as the loss of its process would.
func (n *testNode) kill() {
	n.cluster.mu.Lock()
	delete(n.cluster.nodes, n.name)
	n.cluster.mu.Unlock()
	n.crash()
}
