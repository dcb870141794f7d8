package scenarios

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// fiveNodeNames lists the controllers of scenarios with rollouts or with several shards.
var fiveNodeNames = []string{"a", "b", "c", "d", "e"}

// fiveNodeSettings returns the settings of one of five controllers, without features.
func (c *testCluster) fiveNodeSettings(name string) *config.Settings {
	settings := c.nodeSettings("a")
	settings.HostName, settings.Peers = ids.Node(name), nil
	for _, other := range fiveNodeNames {
		if other != name {
			settings.Peers = append(settings.Peers, config.Peer{HostName: ids.Node(other)})
		}
	}
	return settings
}

// fiveNodeBudget returns the request budget of one of five controllers at the state service.
func fiveNodeBudget() *state.Budget { return state.NewBudget(800, 400, 5, 0.6) }

// submitToAny submits a job to the five controllers in turn, beginning with the one at index first,
// until one accepts it.
func (c *testCluster) submitToAny(first int, job jobSpec) {
	c.t.Helper()
	for try := range 60 {
		node := fiveNodeNames[(first+try)%len(fiveNodeNames)]
		if code, _ := c.call(node, "POST", "/v2/runs", job); code == 201 || code == 200 {
			return
		}
		time.Sleep(time.Second)
	}
	c.t.Fatalf("no controller accepted the submission of %v", job.id())
}
