package scenarios

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// TestLeaderIsCertainOnlyWithinItsLease checks LeaseSurelyHeld, on which the deletion of machines
// rests: the cloud's API takes no fencing token.
func TestLeaderIsCertainOnlyWithinItsLease(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a := c.startNode("a")
		time.Sleep(5 * time.Second)
		term := a.elector.Term()
		if term == nil || !a.elector.LeaseSurelyHeld(term) {
			t.Fatal("a leader that renews its lease is not certain of it")
		}
		c.network.SetRule(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
			if from == "a" && to == "state:1" {
				return fake.Drop
			}
			return fake.Deliver
		})
		time.Sleep(1600 * time.Millisecond)
		if a.elector.LeaseSurelyHeld(term) {
			t.Error("a leader whose lease may have expired is certain of it")
		}
		c.network.SetRule(nil)
	})
}

// TestNewLeaderAsksOnlyRecentLeadersForConfirmation guards against controllers that are
// partitioned with a zone and lead nothing, and yet keep a new leader from trusting any lease
// expiry.
func TestNewLeaderAsksOnlyRecentLeadersForConfirmation(t *testing.T) {
	t.Parallel()
	for observed, want := range map[time.Duration]int{5 * time.Second: 0, 30 * time.Second: 1} {
		scenario(t, func(t *testing.T, c *testCluster) {
			a := c.startNode("a")
			c.awaitLeadership(5*time.Second, a)
			b := c.startNode("b")
			time.Sleep(observed)
			a.kill()
			c.awaitLeadership(5*time.Second, b)
			time.Sleep(time.Second)
			c.mu.Lock()
			defer c.mu.Unlock()
			if len(b.askedForConfirmation) != want || want == 1 && b.askedForConfirmation[0] != "a" {
				t.Errorf("after %v of a's leadership, asked %v", observed, b.askedForConfirmation)
			}
		})
	}
}

// TestFormerLeadersConfirmationShortensLeaseWait has the former leader's node confirm that it
// stopped, so that the new leader needn't wait for leases that the former one might have renewed.
func TestFormerLeadersConfirmationShortensLeaseWait(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a := c.startNode("a")
		c.startWorker("m1", "north")
		time.Sleep(8 * time.Second)
		c.submit("a", newJob("job-5", "array", 1))
		c.awaitTask(3*time.Second, "job-5/0")
		// The machine falls silent and the leader crashes.
		c.workerNamed("m1").SetSilent(true)
		b := c.startNode("b")
		a.kill()
		c.awaitLeadership(10*time.Second, b)
		failoverAt := time.Now()
		// The former leader's node is back, and confirms that it leads no more.
		c.startNode("a")
		c.startWorker("m2", "south")
		c.eventually(35*time.Second, "it runs on m2", func() bool {
			machines := c.machinesRunning("job-5/0")
			return len(machines) == 1 && machines[0] == "m2"
		})
		if elapsed := time.Since(failoverAt); elapsed > 30*time.Second {
			t.Fatalf("took %v although the former leader's node confirmed", elapsed)
		}
	})
}

// TestRestartedLeaderReleasesItsFormerLease restarts the leader's process: it leads again within a
// second, without waiting for its former lease to expire.
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
			t.Fatalf("started %d times", n)
		}
	})
}

// knownMachines counts the machines that a node has heard from, if it leads.
func knownMachines(n *testNode) int {
	if n.elector.Cluster() == nil {
		return 0
	}
	hints, _ := n.elector.Cluster().Hints(clusterstate.HintPosition{})
	return len(hints)
}

// TestNewLeaderProbesMachinesBeforeTheirHeartbeats has a new leader find a machine whose
// heartbeats don't arrive, by the hints that the former leader had passed on.
func TestNewLeaderProbesMachinesBeforeTheirHeartbeats(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a := c.startNode("a")
		b := c.startNode("b")
		c.startWorker("m1", "north")
		c.eventually(12*time.Second, "heard", func() bool {
			return knownMachines(a) == 1 || knownMachines(b) == 1
		})
		leader, successor := leaderFirst(a, b)
		successor.elector.ReceiveHints(leader.elector.Cluster().Hints(successor.elector.HintPosition()))
		c.workerNamed("m1").SetSilent(true) // so that only a probe can find it
		leader.kill()
		c.awaitLeadership(5*time.Second, successor)
		c.eventually(2*time.Second, "m1 is known", func() bool { return knownMachines(successor) == 1 })
	})
}

// TestStalledLeaderIsFencedBySuccessor guards against a leader that stalls with a start, responses
// and writes on their way, which arrive after a successor has acted.
func TestStalledLeaderIsFencedBySuccessor(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.inCloudList = true
		c.startPair()
		// The leader stalls: a start, then everything else is held back.
		stalled := c.leader()
		successor := otherNode(stalled.name)
		c.network.SetRule(func(from, _ string, _ *http.Request, body []byte) fake.Outcome {
			if from == stalled.name && strings.Contains(string(body), `"verb":"start"`) {
				return fake.HoldBack // the start, as the leader stalls
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
		// A successor takes over and works.
		c.awaitLeadership(8*time.Second, c.nodes[successor])
		c.awaitTask(30*time.Second, "job-1/0")
		c.submit(successor, newJob("job-2", "array", 3))
		c.awaitRunning(5*time.Second, "job-2", 3)
		time.Sleep(12 * time.Second)
		// What was held back arrives.
		c.network.SetRule(nil)
		if c.network.ReleaseHeld() == 0 {
			t.Fatal("nothing was held back")
		}
		c.awaitStepDown(3*time.Second, stalled)
		c.consistently(25*time.Second, "what runs goes on", func() bool {
			return c.allRunning("job-2", 3) && c.isRunning("job-1/0")
		})
		c.requireStartedOnce("job-1/0", "job-2/0", "job-2/1", "job-2/2")
	})
}

// TestConcurrentLeadersStartTaskOnceAndDelayedTransactionIsVoid partitions the leader from the
// state service and its peer but not from the worker, and delivers its held-back writes after the
// other node has taken over.
func TestConcurrentLeadersStartTaskOnceAndDelayedTransactionIsVoid(t *testing.T) {
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
		// The network heals.
		c.network.SetRule(nil)
		c.awaitStepDown(10*time.Second, a)
		if n := c.workerNamed("m1").StartCount("job-2/0"); n != 1 {
			t.Fatalf("started %d times", n)
		}
	})
}
