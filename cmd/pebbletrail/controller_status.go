package main

import (
	"time"

	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/measure"
)

// readyMaxStoreAge is the maximum time since the last successful call to the state service for the node to
// count as ready.
const readyMaxStoreAge = 2500 * time.Millisecond

// ready reports whether this node may receive requests from users.
func (c *controller) ready() bool {
	age, ok := c.state.SinceSuccess()
	if !ok {
		return false
	}
	// During an outage of the state service all nodes are affected and stay ready. If only this node can't
	// reach it, users must be routed to other nodes.
	return age < readyMaxStoreAge || !c.link.AnyPeerReachesStore()
}

// status returns the response of GET /v2/status.
func (c *controller) status() any {
	electors := c.shards.Electors()
	leader, _ := electors[0].Leader()
	response := map[string]any{"node": c.settings.HostName, "version": version, "incarnation": c.incarnation, "owner": leader}
	response["took"], response["counts"] = measure.Default.Summary()
	if len(electors) > 1 {
		response["shards"] = shardStatuses(electors)
		return response
	}
	if cluster := electors[0].Cluster(); cluster != nil {
		response["pool"] = cluster.Summary()
	}
	return response
}

// shardStatus is the status of one shard as known to this node.
type shardStatus struct {
	Shard  int      `json:"shard"`
	Leader ids.Node `json:"leader"`
	// Pool and Alarms are set only by the shard's leader.
	Pool   any      `json:"pool,omitempty"`
	Alarms []string `json:"alarms,omitempty"`
}

func shardStatuses(electors []*election.Elector) (all []shardStatus) {
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
