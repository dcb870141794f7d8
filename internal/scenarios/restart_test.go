package scenarios

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// TestControllersRestartedAtOnceKeepTasksRunning restarts, within a fraction of a second, the
// leader, then the candidate in the middle of its failover, then all controllers. It checks that
// the tasks keep running and are not started again.
func TestControllersRestartedAtOnceKeepTasksRunning(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startPair()
		c.submit("a", newJob("job-1", "standing", 4))
		c.awaitTask(4*time.Second, "job-1/3")
		restart := func(n *testNode) {
			n.kill()
			time.Sleep(150 * time.Millisecond)
			c.startNode(n.name)
		}
		awaitStableLeader := func() {
			c.awaitAnyLeader(10 * time.Second)
			time.Sleep(6 * time.Second)
		}
		// The leader restarts.
		restart(c.leader())
		awaitStableLeader()
		// The leader crashes, and the candidate restarts in the middle of its failover.
		leader := c.leader()
		leader.kill()
		// The other node takes over once the leader's lease has expired, and crashes at that moment.
		c.awaitAnyLeader(5 * time.Second)
		restart(c.leader())
		time.Sleep(100 * time.Millisecond)
		c.startNode(leader.name)
		awaitStableLeader()
		// Both controllers restart.
		for _, n := range []*testNode{c.nodes["a"], c.nodes["b"]} {
			n.kill()
		}
		c.startNode("a")
		c.startNode("b")
		awaitStableLeader()
		c.submit("b", newJob("job-2", "array", 2))
		c.awaitTask(5*time.Second, "job-2/1")
		for _, task := range []string{"job-1/0", "job-1/1", "job-1/2", "job-1/3"} {
			n := c.workerNamed("m1").StartCount(task) + c.workerNamed("m2").StartCount(task)
			if n != 1 || !c.isRunning(task) {
				t.Errorf("%s was started %d times, want once, and is on machines %v", task, n, c.machinesRunning(task))
			}
		}
	})
}

// TestRestartOfAllControllersDuringElectionIgnoresDelayedDuplicates checks that processes that have
// just started ignore duplicates of heartbeats, submissions and cancellations that were executed
// long ago.
func TestRestartOfAllControllersDuringElectionIgnoresDelayedDuplicates(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.cloudListsMachines = true
		c.startNode("a")
		c.startNode("b")
		m1 := c.startWorker("m1", "north")
		c.startWorker("m2", "south")
		time.Sleep(settleTime)
		// Copies of all heartbeats and of the users' requests are held back.
		c.network.SetRule(func(from, _ string, r *http.Request, _ []byte) fake.Outcome {
			if r.Method == "POST" && (from == "user" || isHeartbeat(r)) {
				return fake.Duplicate
			}
			return fake.Deliver
		})
		c.submit("a", newJob("job-1", "array", 2))
		c.submit("b", newJob("job-2", "standing", 2))
		c.submit("b", newJob("job-3", "standing", 2))
		c.eventually(5*time.Second, "they run", func() bool {
			return c.allRunning("job-1", 2) && c.allRunning("job-2", 2) && c.allRunning("job-3", 2)
		})
		time.Sleep(5 * time.Second)
		if code, _ := c.call("a", "POST", "/v2/runs/job-3/cancel", nil); code != 200 {
			t.Fatalf("the cancellation of job-3 returned %d", code)
		}
		for _, worker := range c.workers {
			worker.EndTask("job-1/0", "done")
			worker.EndTask("job-1/1", "done")
		}
		c.eventually(8*time.Second, "done and cancelled", func() bool {
			return c.status("a", "job-1") == "done" && c.status("b", "job-3") == "cancelled" && c.noneRunning("job-3/0")
		})
		time.Sleep(8 * time.Second)
		c.network.SetRule(nil)
		restartBoth := func() {
			for _, name := range nodeNames {
				if node := c.nodes[name]; node != nil {
					node.kill()
				}
			}
			time.Sleep(150 * time.Millisecond)
			c.startNode("a")
			c.startNode("b")
		}
		// Both controllers restart twice, and receive the copies during the election.
		restartBoth()
		time.Sleep(300 * time.Millisecond)
		restartBoth() // in the middle of the election
		time.Sleep(200 * time.Millisecond)
		if c.network.ReleaseHeld() < 8 {
			t.Fatal("fewer than 8 duplicates were held back")
		}
		m1.SetSilent(false)
		c.awaitAnyLeader(10 * time.Second)
		want := map[string]string{"job-1": "done", "job-2": "running", "job-3": "cancelled"}
		c.eventually(20*time.Second, "each node reports each job's status", func() bool {
			for id, status := range want {
				if c.status("a", id) != status || c.status("b", id) != status {
					return false
				}
			}
			return true
		})
		c.consistently(30*time.Second, "no past task starts, no running task stops", func() bool {
			return c.allRunning("job-2", 2) && c.noneRunning("job-1/0", "job-1/1", "job-3/0", "job-3/1")
		})
		c.requireStartedOnce("job-1/0", "job-1/1", "job-2/0", "job-2/1", "job-3/0", "job-3/1")
	})
}

// TestCrashOfAllControllersDuringLongOutageLosesNoWork crashes all controllers during an outage of
// the state service that lasts longer than the lease of the leader. It checks that no job is
// accepted during the outage, and that a task that completed during the outage is reported
// afterwards.
func TestCrashOfAllControllersDuringLongOutageLosesNoWork(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a, b := c.startNode("a"), c.startNode("b")
		c.startWorker("m1", "north")
		time.Sleep(settleTime)
		c.submit("a", newJob("job-6", "standing", 1))
		c.submit("a", newJob("job-7", "array", 1))
		c.eventually(3*time.Second, "both run", func() bool { return c.isRunning("job-6/0") && c.isRunning("job-7/0") })
		// The state service is down for 14 s, and both controllers restart meanwhile.
		c.store.SetDown(true)
		time.Sleep(8 * time.Second)
		a.kill()
		b.kill()
		time.Sleep(4 * time.Second)
		c.startNode("a")
		c.startNode("b")
		if code, _ := c.call("a", "POST", "/v2/runs", newJob("job-8", "array", 1)); code == 201 || code == 200 {
			t.Fatalf("a submission that could not be stored during the outage was accepted with %d", code)
		}
		c.workerNamed("m1").EndTask("job-7/0", "done")
		time.Sleep(2 * time.Second)
		// The outage ends.
		c.store.SetDown(false)
		c.awaitStatus(12*time.Second, "a", "job-7", "done")
		c.consistently(10*time.Second, "the replica went on", func() bool { return c.isRunning("job-6/0") })
		if n := c.workerNamed("m1").StartCount("job-6/0"); n != 1 {
			t.Fatalf("job-6/0 was started %d times, not once", n)
		}
	})
}

// TestMachineRestartedUnderSameNameRerunsLostTaskOnce restarts a machine under its former name. The
// machine has lost its tasks, and its sequence numbers begin again. The test checks that the lost
// task runs again, once.
func TestMachineRestartedUnderSameNameRerunsLostTaskOnce(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		m1 := c.startWorker("m1", "north")
		time.Sleep(settleTime)
		c.submit("a", newJob("job-1", "array", 1))
		c.awaitTask(4*time.Second, "job-1/0")
		time.Sleep(5 * time.Second)
		// The machine restarts within a fraction of a second.
		m1.SetSilent(true)
		m1.EndTask("job-1/0", "error") // the task was lost with the machine
		c.workers = nil
		time.Sleep(200 * time.Millisecond)
		c.startWorker("m1", "north")
		c.startWorker("m2", "south")
		c.awaitTask(60*time.Second, "job-1/0")
		c.consistently(20*time.Second, "it runs once", func() bool { return c.isRunning("job-1/0") })
	})
}

// TestRepeatedFailoversLoseNoWork checks that no task is lost or started again while leadership
// changes ten times in two minutes, also during an outage of the state service, and while all
// controllers are down for longer than a lease.
func TestRepeatedFailoversLoseNoWork(t *testing.T) {
	t.Parallel()
	for _, downtime := range []time.Duration{50 * time.Millisecond, 900 * time.Millisecond, 5 * time.Second} {
		for _, pattern := range []string{"leader restarts", "outages", "all restart", "all down beyond lease"} {
			t.Run(fmt.Sprintf("%s, downtime %v", pattern, downtime), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					c.startWorkers("north", "south")
					c.submitJob("a", newJob("job-1", "standing", 4))
					c.submitJob("b", newJob("job-2", "array", 2))
					c.eventually(6*time.Second, "they run", func() bool {
						return c.allRunning("job-1", 4) && c.allRunning("job-2", 2)
					})
					c.submitJob("a", newJob("job-3", "array", 6)) // four of its tasks wait for quota
					for i := range 10 {
						if pattern == "outages" {
							c.store.SetDown(i%5 >= 3)
						}
						var down []string
						if leader := c.leader(); leader != nil && pattern != "all restart" {
							leader.kill()
							down = append(down, leader.name)
						} else if pattern != "outages" {
							for _, name := range nodeNames {
								if node := c.nodes[name]; node != nil {
									node.kill()
									down = append(down, name)
								}
							}
						}
						c.passTime(downtime)
						if pattern == "all down beyond lease" && i == 5 {
							for _, name := range nodeNames {
								if node := c.nodes[name]; node != nil {
									node.kill()
									down = append(down, name)
								}
							}
							c.passTime(leaseDuration + 5*time.Second) // longer than a worker's lease
						}
						for _, name := range down {
							c.startNode(name)
						}
						c.passTime(11 * time.Second)
					}
					c.store.SetDown(false)
					c.awaitRunning(60*time.Second, "job-1", 4)
					if pattern == "leader restarts" && downtime < time.Second {
						c.requireStartedOnce("job-1/0", "job-1/1", "job-1/2", "job-1/3", "job-2/0", "job-2/1")
					}
					c.cancelJob("a", "job-1")
					c.completeJobs("job-2", "job-3")
				})
			})
		}
	}
}
