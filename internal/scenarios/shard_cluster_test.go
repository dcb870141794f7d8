package scenarios

import (
	"encoding/json"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// shardCluster is a cluster of five controllers that lead three shards of machines.
type shardCluster struct {
	*testCluster
	shardCount int
	nodes      map[string]*shardNode
}

// shardScenario runs a scenario in a cluster with the given number of machines in each of its three
// shards.
func shardScenario(t *testing.T, machines int, run func(t *testing.T, c *shardCluster)) {
	scenario(t, func(t *testing.T, base *testCluster) {
		c := &shardCluster{testCluster: base, shardCount: 3, nodes: map[string]*shardNode{}}
		for shard := range c.shardCount {
			var hosts []string
			for i := range machines {
				hosts = append(hosts, fmt.Sprintf("m%d-%d", shard, i))
			}
			c.storeValue(record.KeysOf(ids.Shard(shard), c.shardCount).ProvisioningRequests()+"first", map[string]any{"hire": "first", "hosts": hosts})
		}
		for _, name := range fiveNodeNames {
			c.startNode(name)
		}
		for shard := range c.shardCount {
			for i := range machines {
				worker := c.startWorker(fmt.Sprintf("m%d-%d", shard, i), zones[i%2])
				worker.ControllerNames, worker.Controllers = fiveNodeNames, apiAddresses(fiveNodeNames)
			}
		}
		run(t, c)
	})
}

// storeValue writes a value to the state service directly, without a controller and its conditions.
func (c *shardCluster) storeValue(key string, value any) {
	raw, _ := json.Marshal(value)
	client := state.NewClient("state:1", c.network.Client("test"), state.NewBudget(1000, 1000, 1, 0.5))
	if _, err := client.Commit(c.ctx, state.Txn{Ops: []state.Op{{Put: key, Value: raw}}}, state.Urgent); err != nil {
		c.t.Fatal(err)
	}
}

// shardSettings returns the settings of a node.
func (c *shardCluster) shardSettings(name string) *config.Settings {
	settings := c.fiveNodeSettings(name)
	settings.Features = &config.Features{Shards: proto.Uint32(uint32(c.shardCount))}
	return settings
}

// leaders returns the name of the leader of each shard: "" for a shard without a leader.
func (c *shardCluster) leaders() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, c.shardCount)
	for name, n := range c.nodes {
		for shard, elector := range n.shards.Electors() {
			if elector.Term() != nil {
				names[shard] = name
			}
		}
	}
	return names
}
