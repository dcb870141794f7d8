package scenarios

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// isBetween tells whether a request goes between two hosts, in either direction. Hosts are given
// without their ports.
func isBetween(from, to, first, second string) bool {
	is := func(host, name string) bool { return host == name || strings.HasPrefix(host, name+":") }
	return is(from, first) && is(to, second) || is(from, second) && is(to, first)
}

// isPartitioned tells whether a request from one node to another would not be delivered.
func (c *testCluster) isPartitioned(from, to string) bool {
	rule := c.network.CurrentRule()
	if rule == nil {
		return false
	}
	r, _ := http.NewRequest("POST", "http://"+to+"/peer", nil)
	return rule(from, to, r, nil) != fake.Deliver
}

// setRandomLatency makes calls take a few milliseconds, and one in twenty a few hundred.
func (c *testCluster) setRandomLatency(random *randomSource) {
	latency := func() time.Duration {
		if random.intn(20) == 0 {
			return random.milliseconds(50, 200)
		}
		return random.milliseconds(1, 8)
	}
	c.latency.Store(&latency)
}

// duplicateHeartbeats has every heartbeat of a worker duplicated, for delivery later.
func (c *testCluster) duplicateHeartbeats(worker string) {
	c.network.SetRule(func(from, _ string, r *http.Request, _ []byte) fake.Outcome {
		if strings.HasPrefix(from, worker+":") && r.URL.Path == "/agent/beat" {
			return fake.Duplicate
		}
		return fake.Deliver
	})
}

// transactionKind tells what a request to the state service commits: "" if it is no transaction.
func transactionKind(r *http.Request, body []byte) string {
	var txn struct {
		When []struct {
			Key   string
			Stamp uint64
		}
		Then []struct{ Put, Remove string }
	}
	if r.URL.Path != "/commit" || json.Unmarshal(body, &txn) != nil {
		return ""
	}
	var byLeader, creates, raisesGeneration, acquiresLease, storesOutcome bool
	for _, condition := range txn.When {
		byLeader = byLeader || condition.Key == "pool/generation"
		creates = creates || strings.HasPrefix(condition.Key, "job/") && !strings.HasPrefix(condition.Key, "job/cancel/") && condition.Stamp == 0
	}
	for _, op := range txn.Then {
		acquiresLease = acquiresLease || op.Put == "pool/owner"
		raisesGeneration = raisesGeneration || op.Put == "pool/generation"
		storesOutcome = storesOutcome || strings.HasPrefix(op.Put, "end/")
	}
	switch {
	case acquiresLease:
		return "takeover"
	case raisesGeneration:
		return "raise"
	case byLeader && storesOutcome:
		return "outcome"
	case byLeader:
		return "marker"
	case creates:
		return "submission"
	}
	return "cancel"
}

// movesWaitingJobs tells whether a request commits that jobs no longer wait for dependencies.
func movesWaitingJobs(r *http.Request, body []byte) bool {
	return r.URL.Path == "/commit" && strings.Contains(string(body), `"remove":"job/wait/`) && strings.Contains(string(body), `pool/generation`)
}
