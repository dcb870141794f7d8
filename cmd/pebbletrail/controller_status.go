package main

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
)

// readyWithin is how recent the last successful call to the state service must be.
const readyWithin = 2500 * time.Millisecond

// ready tells whether users may be sent here.
func (c *controller) ready() bool {
	age, ok := c.state.SinceSuccess()
	if !ok {
		return false
	}
	// During an outage all nodes fare alike and go on answering; a node that alone
	// is not served sends its users elsewhere.
	return age < readyWithin || !c.link.OthersServed()
}

// status describes the node for GET /v2/status.
func (c *controller) status() any {
	electors := c.shards.Electors()
	leader, _ := electors[0].Leader()
	page := map[string]any{"node": c.settings.HostName, "version": version, "incarnation": c.incarnation, "owner": leader}
	page["took"], page["counts"] = measure.Process.Summary()
	if len(electors) > 1 {
		page["shards"] = statusOfShards(electors)
		return page
	}
	if cluster := electors[0].Cluster(); cluster != nil {
		page["pool"] = cluster.Summary()
	}
	return page
}

// shardStatus describes one shard as this node sees it.
type shardStatus struct {
	Shard  int      `json:"shard"`
	Leader ids.Node `json:"leader"`
	// Pool and Alarms are told by the leader only.
	Pool   any      `json:"pool,omitempty"`
	Alarms []string `json:"alarms,omitempty"`
}

func statusOfShards(electors []*election.Elector) (all []shardStatus) {
	for shard, elector := range electors {
		leader, _ := elector.Leader()
		status := shardStatus{Shard: shard, Leader: leader}
		if cluster := elector.Cluster(); cluster != nil {
			status.Pool, status.Alarms = cluster.Summary(), cluster.QuotaFaults()
		}
		all = append(all, status)
	}
	return all
}
