package scenarios

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// isBetween reports whether a request goes between two hosts, in either direction. The names of
// the two hosts are given without a port.
func isBetween(from, to, first, second string) bool {
	isHost := func(host, name string) bool { return host == name || strings.HasPrefix(host, name+":") }
	return isHost(from, first) && isHost(to, second) || isHost(from, second) && isHost(to, first)
}

// isPartitioned reports whether the network would not deliver a request from one node to another.
func (c *testCluster) isPartitioned(from, to string) bool {
	rule := c.network.Rule()
	if rule == nil {
		return false
	}
	r, _ := http.NewRequest("POST", "http://"+to+"/peer", nil)
	return rule(from, to, r, nil) != fake.Deliver
}

// setRandomLatency gives the network a latency of 1 to 8 ms, and of 50 to 200 ms for one request in
// twenty.
func (c *testCluster) setRandomLatency(random *randomSource) {
	latency := func() time.Duration {
		if random.intn(20) == 0 {
			return random.milliseconds(50, 200)
		}
		return random.milliseconds(1, 8)
	}
	c.latency.Store(&latency)
}

// duplicateHeartbeats makes the network keep a copy of every heartbeat of a worker for later
// delivery.
func (c *testCluster) duplicateHeartbeats(worker string) {
	c.network.SetRule(func(from, _ string, r *http.Request, _ []byte) fake.Outcome {
		if strings.HasPrefix(from, worker+":") && isHeartbeat(r) {
			return fake.Duplicate
		}
		return fake.Deliver
	})
}

// isHeartbeat reports whether a request is a worker's heartbeat.
func isHeartbeat(r *http.Request) bool { return r.URL.Path == "/agent/beat" }

// isStartCommand reports whether a request commands a worker to start a task.
func isStartCommand(r *http.Request, body []byte) bool {
	return r.URL.Path == "/commands" && strings.Contains(string(body), `"start"`)
}

// isCommit reports whether a request sends a transaction to the state service.
func isCommit(r *http.Request) bool { return r.URL.Path == "/commit" }

// isAssignment reports whether a request commits assignments of tasks.
func isAssignment(r *http.Request, body []byte) bool {
	return isCommit(r) && strings.Contains(string(body), `"places"`)
}

// isEviction reports whether a request commits permits for evictions.
func isEviction(r *http.Request, body []byte) bool {
	return isCommit(r) && strings.Contains(string(body), `"evictions"`)
}

// removesWaitingJobs reports whether a request commits the removal of jobs from those that wait for
// dependencies.
func removesWaitingJobs(r *http.Request, body []byte) bool {
	return isCommit(r) && strings.Contains(string(body), `"remove":"job/wait/`)
}

// leaderRemovesWaitingJobs reports whether a leader's request commits the removal of jobs from those
// that wait for dependencies.
func leaderRemovesWaitingJobs(r *http.Request, body []byte) bool {
	return removesWaitingJobs(r, body) && strings.Contains(string(body), `pool/generation`)
}

// transactionKind is the purpose of a transaction to the state service.
type transactionKind string

// The kinds of transaction.
const (
	noTransaction    transactionKind = ""
	anyTransaction   transactionKind = "any" // stands for all kinds, in scenarios only
	acquiresLease    transactionKind = "lease acquisition"
	raisesGeneration transactionKind = "generation raise"
	storesOutcome    transactionKind = "outcome"
	storesAssignment transactionKind = "assignment"
	createsJob       transactionKind = "submission"
	cancelsJob       transactionKind = "cancellation"
)

// kindOfTransaction returns the kind of transaction that a request to the state service commits.
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

// isJobKey reports whether a key is the key of a job's record.
func isJobKey(key string) bool {
	return strings.HasPrefix(key, "job/") && !strings.HasPrefix(key, "job/cancel/")
}
