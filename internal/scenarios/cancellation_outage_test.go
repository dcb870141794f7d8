package scenarios

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// The scenarios in this file test cancellations that the other controller confirms while the leader
// cannot use the state service. In most of them the state service is then down for all controllers,
// in some for longer than cancelLimit, while workers keep sending heartbeats to the former leader.

// startWithReplicas starts a cluster in which the replicas of job-1 and job-2 run on two machines,
// and returns the leader and the other node.
func startWithReplicas(c *testCluster) (leader, other *testNode) {
	c.startPair()
	c.submit("a", newJob("job-1", "standing", 4))
	c.submit("b", newJob("job-2", "standing", 2))
	c.eventually(5*time.Second, "replicas run", func() bool { return c.allRunning("job-1", 4) && c.allRunning("job-2", 2) })
	time.Sleep(3 * time.Second)
	leader = c.leader()
	return leader, c.nodes[otherNode(leader.name)]
}

// partitionPeers partitions the two controllers from each other.
func (c *testCluster) partitionPeers() {
	c.network.SetRule(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
		if isBetween(from, to, "a", "b") {
			return fake.Drop
		}
		return fake.Deliver
	})
}

// partitionFromPeerAndState partitions a node from its peer, and drops its requests to the state
// service whose path begins with one of the given prefixes.
func (c *testCluster) partitionFromPeerAndState(n *testNode, paths ...string) {
	c.network.SetRule(func(from, to string, r *http.Request, _ []byte) fake.Outcome {
		if isBetween(from, to, "a", "b") {
			return fake.Drop
		}
		for _, path := range paths {
			if from == n.name && to == "state:1" && strings.HasPrefix(r.URL.Path, path) {
				return fake.Drop
			}
		}
		return fake.Deliver
	})
}

// TestTasksCancelledWhileLeaderIsIsolatedStopDespiteOutage checks that cancelled tasks stop in time
// and do not start again if the leader does not know of the cancellation: the leader is partitioned
// from the state service, the other node confirms the cancellation, and then the state service is
// down for all controllers for a while.
func TestTasksCancelledWhileLeaderIsIsolatedStopDespiteOutage(t *testing.T) {
	t.Parallel()
	for _, outage := range []time.Duration{8 * time.Second, 25 * time.Second, 77 * time.Second} {
		scenario(t, func(t *testing.T, c *testCluster) {
			leader, other := startWithReplicas(c)
			// The leader is isolated, and the other node confirms a cancellation.
			c.partitionFromPeerAndState(leader, "/")
			time.Sleep(300 * time.Millisecond)
			confirmedAt := c.cancelUntilConfirmed(other, "job-1")
			// Then the state service is down for all controllers.
			c.store.SetDown(true) // the lease of the leader does not expire during the outage
			outageStart := time.Now()
			time.Sleep(2 * time.Second)
			c.partitionPeers()
			// A job that was not cancelled keeps running for a while.
			c.eventually(time.Until(outageStart.Add(min(outage, 16*time.Second))), "", func() bool {
				if !c.isRunning("job-2/0") {
					t.Fatalf("job-2, which was not cancelled, stopped %v after the start of the outage", time.Since(outageStart))
				}
				return time.Since(outageStart) > min(outage, 16*time.Second)-time.Second
			})
			// The outage ends before the cancellation limit, or lasts longer than the limit.
			if remaining := time.Until(outageStart.Add(outage)); outage < cancelLimit {
				time.Sleep(remaining)
				c.store.SetDown(false)
			}
			c.requireStopped(confirmedAt, "job-1", 4, 30*time.Second)
			c.store.SetDown(false)
			c.network.SetRule(nil)
			c.requireStopped(confirmedAt, "job-1", 4, 40*time.Second)
			c.awaitRunning(20*time.Second, "job-2", 2)
		})
	}
}

// TestLeaderThatCannotReadRenewsNoWorkerLeases checks that a leader that can renew its own lease
// but cannot read which jobs were cancelled does not renew the leases of workers. This can happen
// after an outage: the lease of the leader has its full duration again, while its reads may lag
// behind.
func TestLeaderThatCannotReadRenewsNoWorkerLeases(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		leader, other := startWithReplicas(c)
		// The leader can write to the state service but not read.
		c.partitionFromPeerAndState(leader, "/kv", "/follow")
		time.Sleep(14 * time.Second) // until its open watch has ended
		// The other node confirms a cancellation.
		confirmedAt := c.cancelUntilConfirmed(other, "job-1")
		c.requireStopped(confirmedAt, "job-1", 4, 10*time.Second)
		if leader.elector.Cluster() == nil {
			t.Fatal("the leader stepped down, so the scenario did not test a leader that cannot read")
		}
		c.network.SetRule(nil)
		c.awaitRunning(20*time.Second, "job-2", 2)
		c.eventually(20*time.Second, "the outcome is stored", func() bool { return c.store.Value("end/job-1") != nil })
	})
}

// TestNewLeaderWithoutRecordsRenewsNoWorkerLeases checks that a new leader neither answers
// heartbeats nor starts or stops tasks before it has read all records.
func TestNewLeaderWithoutRecordsRenewsNoWorkerLeases(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		leader, other := startWithReplicas(c)
		// The leader is isolated, and its successor can't read the records.
		c.network.SetRule(func(from, to string, r *http.Request, _ []byte) fake.Outcome {
			switch {
			case isBetween(from, to, "a", "b"), from == leader.name && to == "state:1":
				return fake.Drop
			case from == other.name && r.URL.Path == "/kv/none" && other.elector.Cluster() != nil:
				return fake.Drop // the successor reads no records once it leads
			}
			return fake.Deliver
		})
		confirmedAt := c.cancelUntilConfirmed(other, "job-1")
		c.awaitLeadership(5*time.Second, other)
		// Then the state service is down for all controllers, for longer than the cancellation limit.
		c.store.SetDown(true)
		c.requireStopped(confirmedAt, "job-1", 4, 30*time.Second)
		c.store.SetDown(false)
		c.network.SetRule(nil)
		c.requireStopped(confirmedAt, "job-1", 4, 30*time.Second)
		c.awaitRunning(30*time.Second, "job-2", 2)
	})
}

// TestDelayedStartOfCancelledTaskIsRejectedInNewWorkerIncarnation checks that a worker rejects a
// start command that arrives long after the job was cancelled, even if the fencing token that would
// reject it could not be raised. The worker must begin a new incarnation within the cancellation
// limit, and reject commands to the earlier one.
func TestDelayedStartOfCancelledTaskIsRejectedInNewWorkerIncarnation(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		m1 := c.startWorker("m1", "north")
		time.Sleep(10300 * time.Millisecond)
		faults := func(from, to string, r *http.Request, body []byte) fake.Outcome {
			switch {
			case isStartCommand(r, body):
				return fake.HoldBack
			case isHeartbeat(r) && from != "user":
				return fake.Drop // so that no response to a heartbeat carries the start command
			case isCommit(r) && strings.Contains(string(body), "pool/generation\",\"value") && !strings.Contains(string(body), "pool/owner"):
				return fake.Refuse // the fencing token can't be raised
			}
			return fake.Deliver
		}
		c.network.SetRule(faults)
		// The start command is held back, and the job is cancelled.
		c.submit("a", newJob("job-1", "array", 1))
		time.Sleep(300 * time.Millisecond)
		confirmedAt := c.cancelUntilConfirmed(c.nodes["a"], "job-1")
		c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			if isHeartbeat(r) {
				return fake.Deliver
			}
			return faults(from, to, r, body)
		})
		// The start command arrives after the cancellation limit.
		time.Sleep(time.Until(confirmedAt.Add(cancelLimit)))
		if c.network.ReleaseHeld() == 0 {
			t.Fatal("no start command was held back")
		}
		c.consistently(20*time.Second, "the delayed start is rejected", func() bool { return len(m1.ActiveTasks()) == 0 })
		c.network.SetRule(nil)
		c.eventually(40*time.Second, "the outcome is stored", func() bool { return c.store.Value("end/job-1") != nil })
		c.submit("a", newJob("job-2", "array", 1))
		c.awaitTask(10*time.Second, "job-2/0")
	})
}

// TestIsolatedLeaderStartsNothingAnotherNodeMayHaveCancelled checks that an isolated leader does
// not send a start command, directly or in the response to a heartbeat, for a task that it assigned
// before it lost the state service: another node may have cancelled the job since then.
func TestIsolatedLeaderStartsNothingAnotherNodeMayHaveCancelled(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startNode("b")
		m1 := c.startWorker("m1", "north")
		time.Sleep(settleTime)
		leader := c.leader()
		other := c.nodes[otherNode(leader.name)]
		isolated := false
		c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			switch {
			case isStartCommand(r, body):
				return fake.Drop // the task is assigned, but its start command is lost
			case strings.HasPrefix(from, "m1:"):
				return fake.Refuse
			case isolated && (isBetween(from, to, "a", "b") || from == leader.name && to == "state:1"):
				return fake.Drop
			}
			return fake.Deliver
		})
		c.submit("a", newJob("job-1", "array", 1))
		c.eventually(2*time.Second, "assigned", func() bool {
			return strings.Contains(string(c.store.Value("job/job-1")), `"places"`)
		})
		// The leader is isolated, the other node confirms a cancellation, and an outage of the state
		// service begins.
		isolated = true
		c.cancelUntilConfirmed(other, "job-1")
		c.store.SetDown(true)
		time.Sleep(4 * time.Second)
		// The leader can reach the machine again.
		c.network.SetRule(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
			if isBetween(from, to, "a", "b") || from == leader.name && to == "state:1" {
				return fake.Drop
			}
			return fake.Deliver
		})
		c.consistently(30*time.Second, "not started", func() bool { return m1.StartCount("job-1/0") == 0 })
		c.store.SetDown(false)
		c.network.SetRule(nil)
		c.consistently(30*time.Second, "not started", func() bool { return m1.StartCount("job-1/0") == 0 })
	})
}
