package scenarios

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// TestLeaderIsCertainOnlyWithinItsLease checks HoldsLease, which must be false once the lease
// may have expired. The deletion of machines relies on it, because the API of the cloud takes no
// fencing token.
func TestLeaderIsCertainOnlyWithinItsLease(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a := c.startNode("a")
		time.Sleep(5 * time.Second)
		term := a.elector.Term()
		if term == nil || !a.elector.HoldsLease(term) {
			t.Fatal("a leader that renews its lease is not certain that it holds the lease")
		}
		c.network.SetRule(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
			if from == "a" && to == "state:1" {
				return fake.Drop
			}
			return fake.Deliver
		})
		time.Sleep(1600 * time.Millisecond)
		if a.elector.HoldsLease(term) {
			t.Error("a leader whose lease may have expired is certain that it holds the lease")
		}
		c.network.SetRule(nil)
	})
}

// TestNewLeaderAsksOnlyRecentLeadersForConfirmation checks that a new leader that has observed its
// predecessor for long enough asks only that node to confirm that it stopped. A controller that
// leads nothing and is partitioned together with a zone cannot answer, and must not keep the new
// leader from relying on the expiry of leases.
func TestNewLeaderAsksOnlyRecentLeadersForConfirmation(t *testing.T) {
	t.Parallel()
	for observedFor, want := range map[time.Duration]int{5 * time.Second: 0, 30 * time.Second: 1} {
		scenario(t, func(t *testing.T, c *testCluster) {
			a := c.startNode("a")
			c.awaitLeadership(5*time.Second, a)
			b := c.startNode("b")
			time.Sleep(observedFor)
			a.kill()
			c.awaitLeadership(5*time.Second, b)
			time.Sleep(time.Second)
			c.mu.Lock()
			defer c.mu.Unlock()
			if len(b.askedForConfirmation) != want || want == 1 && b.askedForConfirmation[0] != "a" {
				t.Errorf("a new leader that observed the leadership of a for %v asked nodes %v to confirm that they stopped", observedFor, b.askedForConfirmation)
			}
		})
	}
}

// TestFormerLeadersConfirmationShortensWaitForLeaseExpiry checks that a new leader does not wait
// for the expiry of leases that the former leader might have renewed, once the former leader's node
// has confirmed that it no longer leads.
func TestFormerLeadersConfirmationShortensWaitForLeaseExpiry(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a := c.startNode("a")
		c.startWorker("m1", "north")
		time.Sleep(8 * time.Second)
		c.submit("a", newJob("job-5", "array", 1))
		c.awaitTask(3*time.Second, "job-5/0")
		// The machine stops sending heartbeats, and the leader crashes.
		c.workerNamed("m1").SetSilent(true)
		b := c.startNode("b")
		a.kill()
		c.awaitLeadership(10*time.Second, b)
		failoverAt := time.Now()
		// The node of the former leader restarts and confirms that it no longer leads.
		c.startNode("a")
		c.startWorker("m2", "south")
		c.eventually(35*time.Second, "it runs on m2", func() bool {
			machines := c.machinesRunning("job-5/0")
			return len(machines) == 1 && machines[0] == "m2"
		})
		if elapsed := time.Since(failoverAt); elapsed > 30*time.Second {
			t.Fatalf("the task moved to m2 only after %v, although the node of the former leader could confirm that it stopped", elapsed)
		}
	})
}

// TestRestartedLeaderReleasesItsFormerLease restarts the process of the leader, and checks that it
// leads again within a second, without waiting for its former lease to expire.
func TestRestartedLeaderReleasesItsFormerLease(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a := c.startNode("a")
		c.startWorker("m1", "north")
		time.Sleep(settleTime)
		c.submit("a", newJob("job-15", "standing", 1))
		c.awaitTask(3*time.Second, "job-15/0")
		a.kill()
		time.Sleep(100 * time.Millisecond)
		restarted := c.startNode("a")
		c.awaitLeadership(time.Second, restarted)
		c.consistently(30*time.Second, "the replica goes on", func() bool { return c.isRunning("job-15/0") })
		if n := c.workerNamed("m1").StartCount("job-15/0"); n != 1 {
			t.Fatalf("job-15/0 was started %d times, not once", n)
		}
	})
}

// countKnownMachines returns the number of machines that a leader has heard from, and 0 for a node
// that does not lead.
func countKnownMachines(n *testNode) int {
	if n.elector.Cluster() == nil {
		return 0
	}
	hints, _ := n.elector.Cluster().Hints(clusterstate.HintPosition{})
	return len(hints)
}

// TestNewLeaderProbesMachinesBeforeTheirHeartbeats checks that a new leader finds a machine whose
// heartbeats do not arrive, by means of the hints that the former leader passed on.
func TestNewLeaderProbesMachinesBeforeTheirHeartbeats(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a := c.startNode("a")
		b := c.startNode("b")
		c.startWorker("m1", "north")
		c.eventually(12*time.Second, "heard", func() bool {
			return countKnownMachines(a) == 1 || countKnownMachines(b) == 1
		})
		leader, successor := leaderFirst(a, b)
		successor.elector.ReceiveHints(leader.elector.Cluster().Hints(successor.elector.HintPosition()))
		c.workerNamed("m1").SetSilent(true) // so that only a probe can find it
		leader.kill()
		c.awaitLeadership(5*time.Second, successor)
		c.eventually(2*time.Second, "m1 is known", func() bool { return countKnownMachines(successor) == 1 })
	})
}

// TestStalledLeaderIsFencedBySuccessor checks that a start command, responses and writes of a
// stalled leader have no effect if they arrive after a successor has taken over.
func TestStalledLeaderIsFencedBySuccessor(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.cloudListsMachines = true
		c.startPair()
		// The leader stalls: first its start command is held back, then all its traffic.
		stalled := c.leader()
		successor := otherNode(stalled.name)
		c.network.SetRule(func(from, _ string, _ *http.Request, body []byte) fake.Outcome {
			if from == stalled.name && strings.Contains(string(body), `"verb":"start"`) {
				return fake.HoldBack // the start command that is in transit when the leader stalls
			}
			return fake.Deliver
		})
		c.submit(stalled.name, newJob("job-1", "array", 1))
		time.Sleep(60 * time.Millisecond)
		holdBackAll := func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
			if from == stalled.name || strings.HasPrefix(to, stalled.name+":") || to == stalled.name {
				return fake.HoldBack
			}
			return fake.Deliver
		}
		c.network.SetRule(holdBackAll)
		// A successor takes over and starts tasks.
		c.awaitLeadership(8*time.Second, c.nodes[successor])
		c.awaitTask(30*time.Second, "job-1/0")
		c.submit(successor, newJob("job-2", "array", 3))
		c.awaitRunning(5*time.Second, "job-2", 3)
		time.Sleep(12 * time.Second)
		// The requests that were held back arrive.
		c.network.SetRule(nil)
		if c.network.ReleaseHeld() == 0 {
			t.Fatal("no request was held back")
		}
		c.awaitStepDown(3*time.Second, stalled)
		c.consistently(25*time.Second, "what runs goes on", func() bool {
			return c.allRunning("job-2", 3) && c.isRunning("job-1/0")
		})
		c.requireStartedOnce("job-1/0", "job-2/0", "job-2/1", "job-2/2")
	})
}

// TestConcurrentLeadersStartTaskOnceDespiteDelayedTransactions partitions the leader from the state
// service and its peer but not from the worker, and delivers its delayed writes after the other
// node has taken over. It checks that the task starts only once.
func TestConcurrentLeadersStartTaskOnceDespiteDelayedTransactions(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a := c.startNode("a")
		c.awaitLeadership(5*time.Second, a)
		c.startWorker("m1", "north")
		time.Sleep(8 * time.Second)
		b := c.startNode("b")
		time.Sleep(2 * time.Second)
		// The state service holds back a's commits of assignments; a is partitioned from the
		// state service and from b, but not from the worker.
		c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			switch {
			case from == "a" && to == "state:1" && isAssignment(r, body):
				return fake.HoldBack
			case from == "a" && to == "state:1" && !strings.HasPrefix(r.URL.Path, "/kv"):
				return fake.Drop
			case from == "a" && to == "b" || from == "b" && to == "a":
				return fake.Drop
			}
			return fake.Deliver
		})
		c.submit("b", newJob("job-2", "array", 1))
		c.awaitLeadership(15*time.Second, b)
		c.awaitTask(60*time.Second, "job-2/0")
		// The writes of the former leader arrive.
		if n := c.network.ReleaseHeld(); n > 0 {
			t.Logf("%d delayed transactions delivered", n)
		}
		c.consistently(20*time.Second, "the task goes on undisturbed", func() bool { return c.isRunning("job-2/0") })
		// The partition ends.
		c.network.SetRule(nil)
		c.awaitStepDown(10*time.Second, a)
		if n := c.workerNamed("m1").StartCount("job-2/0"); n != 1 {
			t.Fatalf("job-2/0 was started %d times, not once", n)
		}
	})
}
