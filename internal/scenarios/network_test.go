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
		if strings.HasPrefix(from, worker+":") && isHeartbeat(r) {
			return fake.Duplicate
		}
		return fake.Deliver
	})
}

// isHeartbeat tells whether a request is a worker's heartbeat.
func isHeartbeat(r *http.Request) bool { return r.URL.Path == "/agent/beat" }

// isStartCommand tells whether a request has a worker start a task.
func isStartCommand(r *http.Request, body []byte) bool {
	return r.URL.Path == "/commands" && strings.Contains(string(body), `"start"`)
}

// isCommit tells whether a request is a transaction to the state service.
func isCommit(r *http.Request) bool { return r.URL.Path == "/commit" }

// isAssignment tells whether a request commits assignments of tasks.
func isAssignment(r *http.Request, body []byte) bool {
	return isCommit(r) && strings.Contains(string(body), `"places"`)
}

// isEviction tells whether a request commits permits for evictions.
func isEviction(r *http.Request, body []byte) bool {
	return isCommit(r) && strings.Contains(string(body), `"evictions"`)
}

// removesWaitingJobs tells whether a request commits that jobs no longer wait for dependencies.
func removesWaitingJobs(r *http.Request, body []byte) bool {
	return isCommit(r) && strings.Contains(string(body), `"remove":"job/wait/`)
}

// leaderRemovesWaitingJobs tells the same of a leader's request.
func leaderRemovesWaitingJobs(r *http.Request, body []byte) bool {
	return removesWaitingJobs(r, body) && strings.Contains(string(body), `pool/generation`)
}

// transactionKind is what a transaction to the state service does.
type transactionKind string

// The kinds of transaction.
const (
	noTransaction    transactionKind = ""
	anyTransaction   transactionKind = "any" // for scenarios with faults of every kind
	acquiresLease    transactionKind = "lease acquisition"
	raisesGeneration transactionKind = "generation raise"
	storesOutcome    transactionKind = "outcome"
	storesAssignment transactionKind = "assignment"
	createsJob       transactionKind = "submission"
	cancelsJob       transactionKind = "cancellation"
)

// kindOfTransaction tells what a request to the state service commits.
func kindOfTransaction(r *http.Request, body []byte) transactionKind {
	var txn struct {
		When []struct {
			Key   string
			Stamp uint64
		}
		Then []struct{ Put, Remove string }
	}
	if !isCommit(r) || json.Unmarshal(body, &txn) != nil {
		return noTransaction
	}
	var byLeader, creates, raises, acquires, ends bool
	for _, condition := range txn.When {
		byLeader = byLeader || condition.Key == "pool/generation"
		creates = creates || isJobKey(condition.Key) && condition.Stamp == 0
	}
	for _, op := range txn.Then {
		acquires = acquires || op.Put == "pool/owner"
		raises = raises || op.Put == "pool/generation"
		ends = ends || strings.HasPrefix(op.Put, "end/")
	}
	switch {
	case acquires:
		return acquiresLease
	case raises:
		return raisesGeneration
	case byLeader && ends:
		return storesOutcome
	case byLeader:
		return storesAssignment
	case creates:
		return createsJob
	}
	return cancelsJob
}

// isJobKey tells whether a key is that of a job's record.
func isJobKey(key string) bool {
	return strings.HasPrefix(key, "job/") && !strings.HasPrefix(key, "job/cancel/")
}
