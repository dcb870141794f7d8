package scenarios

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// TestIsolatedLeaderIsReplacedOnceAndStepsDown isolates the leader for a minute and a half, by
// refused connections, dropped packets or held-back requests. It checks that the leader steps down
// afterwards and that leadership does not alternate between the nodes.
func TestIsolatedLeaderIsReplacedOnceAndStepsDown(t *testing.T) {
	t.Parallel()
	for kind, outcome := range map[string]fake.Outcome{"connections refused": fake.Refuse, "packets dropped": fake.Drop, "requests held back": fake.HoldBack} {
		scenario(t, func(t *testing.T, c *testCluster) {
			c.cloudListsMachines = true
			c.startPair()
			c.submit("a", newJob("job-1", "standing", 4))
			c.awaitRunning(4*time.Second, "job-1", 4)
			// The leader is isolated for a minute and a half.
			isolated := c.leader()
			successor := otherNode(isolated.name)
			twoHigher := ids.ReserveTokens(ids.ReserveTokens(isolated.elector.Cluster().Generation()).Last).Last
			c.network.SetRule(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
				if from == isolated.name || strings.HasPrefix(to, isolated.name+":") {
					return outcome
				}
				return fake.Deliver
			})
			// The other node takes over and accepts work.
			c.awaitLeadership(4*time.Second, c.nodes[successor])
			c.eventually(4*time.Second, "it accepts a job", func() bool {
				code, _ := c.call(successor, "POST", "/v2/runs", newJob("job-2", "array", 2))
				return code == 201 || code == 200
			})
			c.awaitRunning(20*time.Second, "job-2", 2)
			c.consistently(70*time.Second, "all tasks go on", func() bool {
				return c.allRunning("job-1", 4) && c.allRunning("job-2", 2)
			})
			// The partition ends, and the former leader steps down.
			c.network.SetRule(nil)
			c.network.ReleaseHeld()
			c.awaitStepDown(3*time.Second, isolated)
			c.consistently(25*time.Second, "leadership changed once, and all tasks go on", func() bool {
				cluster := c.nodes[successor].elector.Cluster()
				return cluster != nil && cluster.Generation() <= twoHigher && c.allRunning("job-1", 4) && c.allRunning("job-2", 2)
			})
			c.requireStartedOnce("job-1/0", "job-1/1", "job-1/2", "job-1/3", "job-2/0", "job-2/1")
			if s := c.status(isolated.name, "job-2"); s != "running" {
				t.Errorf("%s: the former leader reports the running job-2 as %q", kind, s)
			}
		})
	}
}

// TestZonePartitionBeyondLeaseDuringFailoverLosesNoWork checks that heartbeats, commands and
// responses of a partitioned zone do no harm if they arrive after the leases in that zone have
// expired. The tasks in that zone ended with their leases and run again. Those in the other zone
// must never stop.
func TestZonePartitionBeyondLeaseDuringFailoverLosesNoWork(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.cloudListsMachines = true
		c.startNode("a")
		c.startNode("b")
		for _, machine := range []string{"n1", "n2"} {
			c.startWorker(machine, "north")
		}
		for _, machine := range []string{"s1", "s2"} {
			c.startWorker(machine, "south")
		}
		time.Sleep(settleTime)
		c.submit("a", newJob("job-1", "standing", 4).with("spread", true, "urgency", "critical"))
		c.awaitRunning(5*time.Second, "job-1", 4)
		c.submit("b", newJob("job-2", "array", 4))
		c.awaitRunning(5*time.Second, "job-2", 4)
		// Zone south is partitioned, and the leader restarts meanwhile.
		var northTasks []string
		for _, worker := range c.workers[:2] {
			northTasks = append(northTasks, worker.ActiveTasks()...)
		}
		time.Sleep(5 * time.Second)
		c.network.SetRule(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
			for _, host := range []string{from, to} {
				if strings.HasPrefix(host, "s1:") || strings.HasPrefix(host, "s2:") {
					return fake.HoldBack
				}
			}
			return fake.Deliver
		})
		time.Sleep(4 * time.Second)
		c.submit("a", newJob("job-3", "array", 4)) // exceeds the quota until other jobs have ended
		leader := c.leader()
		leader.kill()
		time.Sleep(4 * time.Second)
		c.startNode(leader.name)
		// The partition lasts longer than the leases of the workers in zone south.
		c.consistently(32*time.Second, "work in the other zone goes on", func() bool {
			for _, task := range northTasks {
				if c.noneRunning(task) {
					return false
				}
			}
			return true
		})
		// The partition ends, and all requests that were held back arrive.
		c.network.SetRule(nil)
		if c.network.ReleaseHeld() < 10 {
			t.Fatal("fewer than 10 requests were held back")
		}
		c.awaitRunning(30*time.Second, "job-1", 4)
		for _, job := range []string{"job-2", "job-3"} {
			c.eventually(90*time.Second, job+" is done", func() bool {
				for _, worker := range c.workers {
					for _, task := range worker.ActiveTasks() {
						if !strings.HasPrefix(task, "job-1/") {
							worker.EndTask(task, "done")
						}
					}
				}
				return c.status("a", job) == "done" && c.status("b", job) == "done"
			})
		}
		c.requireStartedOnce(northTasks...) // the partition did not affect them
	})
}

// TestLeaderPartitionedFromStateServiceThenFromWorkersKeepsTasksRunning partitions first the leader
// from the state service, then its successor from the workers, and checks that all tasks keep
// running. During both partitions the controllers cannot reach each other.
func TestLeaderPartitionedFromStateServiceThenFromWorkersKeepsTasksRunning(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.cloudListsMachines = true
		c.startPair()
		c.submit("b", newJob("job-1", "standing", 4))
		c.awaitRunning(5*time.Second, "job-1", 4)
		partition := func(node string, hosts ...string) {
			c.network.SetRule(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
				if isBetween(from, to, "a", "b") {
					return fake.Refuse
				}
				for _, host := range hosts {
					if isBetween(from, to, node, host) {
						return fake.HoldBack
					}
				}
				return fake.Deliver
			})
		}
		// The leader is partitioned from the state service: the other node takes over.
		firstLeader := c.leader()
		partition(firstLeader.name, "state")
		successor := otherNode(firstLeader.name)
		c.awaitLeadership(6*time.Second, c.nodes[successor])
		c.consistently(30*time.Second, "replicas go on", func() bool { return c.allRunning("job-1", 4) })
		c.submit(successor, newJob("job-2", "array", 2))
		c.awaitRunning(6*time.Second, "job-2", 2)
		c.network.SetRule(nil)
		c.network.ReleaseHeld()
		time.Sleep(5 * time.Second)
		// The new leader is partitioned from the workers: it steps down.
		secondLeader := c.leader()
		partition(secondLeader.name, "m1", "m2")
		c.consistently(35*time.Second, "replicas go on, since the leader that hears no worker steps down", func() bool {
			return c.allRunning("job-1", 4) && c.allRunning("job-2", 2)
		})
		if c.leader() == secondLeader {
			t.Error("the leader that is partitioned from the workers did not step down")
		}
		c.network.SetRule(nil)
		c.network.ReleaseHeld()
		c.consistently(25*time.Second, "all tasks go on", func() bool {
			return c.allRunning("job-1", 4) && c.allRunning("job-2", 2)
		})
	})
}

// TestLeaderPartitionedFromWorkersStepsDownWithoutScaleIn partitions the leader from all workers,
// and checks that it steps down and returns none of the machines that it cannot reach.
func TestLeaderPartitionedFromWorkersStepsDownWithoutScaleIn(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a := c.startNode("a")
		b := c.startNode("b")
		for _, machine := range []string{"m1", "m2", "m3", "m4"} {
			c.startWorker(machine, "north")
		}
		c.eventually(10*time.Second, "a leader", func() bool {
			return a.elector.Cluster() != nil || b.elector.Cluster() != nil
		})
		leader, successor := leaderFirst(a, b)
		time.Sleep(settleTime)
		c.submit("a", newJob("job-19", "standing", 4))
		c.awaitTask(3*time.Second, "job-19/3")
		// The leader is partitioned from all workers.
		c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			if strings.HasPrefix(from, "m") && to == leader.name+":8080" || from == leader.name && strings.HasPrefix(to, "m") {
				return fake.Drop
			}
			return fake.Deliver
		})
		partitionedAt := time.Now()
		c.eventually(18*time.Second, "the other node leads", func() bool {
			if cluster := leader.elector.Cluster(); cluster != nil {
				if toTerminate := cluster.MachinesToTerminate(time.Now(), nil); len(toTerminate) > 0 {
					t.Fatalf("the leader returned machines %v although only this node is partitioned from them", toTerminate)
				}
				leader.elector.HandleRedirectedWorkers(successor.elector.RedirectedWorkers())
			}
			return successor.elector.Cluster() != nil
		})
		t.Logf("the leader stepped down %v after the start of the partition", time.Since(partitionedAt))
		c.consistently(40*time.Second, "the replicas go on", func() bool { return c.isRunning("job-19/3") })
		for _, worker := range c.workers {
			if worker.StartCount("job-19/3") > 1 {
				t.Fatal("job-19/3 was started again")
			}
		}
	})
}

// TestTaskOfWorkerPartitionedDuringFailoverIsRescheduledAfterLeaseExpiry partitions a worker
// together with the leader, which keeps renewing the lease of the worker. It checks that the new
// leader starts the task elsewhere only once that lease must have expired.
func TestTaskOfWorkerPartitionedDuringFailoverIsRescheduledAfterLeaseExpiry(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		m1 := c.startWorker("m1", "north")
		time.Sleep(8 * time.Second)
		c.submit("a", newJob("job-4", "array", 1))
		c.awaitTask(3*time.Second, "job-4/0")
		// m1 and a are partitioned together: a keeps answering the heartbeats of m1.
		c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			isInPartition := func(host string) bool { return host == "a" || host == "a:8080" || strings.HasPrefix(host, "m1") }
			if isInPartition(from) != isInPartition(to) {
				return fake.Drop
			}
			return fake.Deliver
		})
		b := c.startNode("b")
		c.startWorker("m2", "south")
		c.awaitLeadership(15*time.Second, b)
		failoverAt := time.Now()
		// While a still answers, the task is on m1 and must not start on m2.
		c.eventually(3*time.Minute, "it runs on m2", func() bool {
			machines := c.machinesRunning("job-4/0")
			return len(machines) == 1 && machines[0] == "m2"
		})
		if elapsed := time.Since(failoverAt); elapsed < 36*time.Second {
			t.Fatalf("job-4/0 was started on m2 too early, %v after the failover", elapsed)
		}
		if len(m1.ActiveTasks()) != 0 {
			t.Fatal("job-4/0 is still on m1")
		}
	})
}

// TestMachineWithUndeliverableHeartbeatsRunsTaskUntilLeaseExpiry checks that a task runs on a
// machine that can be probed and commanded but whose heartbeats are refused, until the lease of the
// worker expires. This happens if the controllers have no sockets left for new workers.
func TestMachineWithUndeliverableHeartbeatsRunsTaskUntilLeaseExpiry(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.cloudListsMachines = true
		c.startNode("a")
		c.startNode("b")
		time.Sleep(90 * time.Second) // so long that no former leader can still renew leases
		c.network.SetRule(func(from, _ string, _ *http.Request, _ []byte) fake.Outcome {
			if strings.HasPrefix(from, "m1:") {
				return fake.Refuse
			}
			return fake.Deliver
		})
		// The leader finds m1 by a probe, and starts a task there directly.
		c.startWorker("m1", "north")
		c.eventually(5*time.Second, "the leader found m1", func() bool {
			return c.leader().elector.Cluster().Summary()["heard"] == 1
		})
		c.submit("a", newJob("job-1", "array", 1))
		c.awaitTask(3*time.Second, "job-1/0")
		// The lease of m1 expires, because no heartbeat of m1 is answered.
		c.startWorker("m2", "north")
		c.consistently(12*time.Second, "it runs on m1 only until the worker's lease expires", func() bool {
			return c.isRunning("job-1/0") && c.workerNamed("m2").StartCount("job-1/0") == 0
		})
		c.eventually(25*time.Second, "it runs on m2", func() bool { return c.workerNamed("m2").StartCount("job-1/0") == 1 })
	})
}

// TestFailoverDuringMachinePartitionLosesNoWork checks that tasks are not started again while they
// still run on machines that the leader cannot reach, and that tasks that ended with their leases
// are not lost. The team is at its quota, a job is cancelled meanwhile, and another one waits for
// its quota.
func TestFailoverDuringMachinePartitionLosesNoWork(t *testing.T) {
	t.Parallel()
	for _, kind := range []partitionKind{connectionRefused, packetsDropped, requestsHeldBack, inboundLost, outboundRefused} {
		for _, machines := range [][]string{{"m1"}, {"m2", "m3"}, {"m1", "m2", "m3"}} {
			t.Run(fmt.Sprintf("%s, %d machines", kind, len(machines)), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					c.startWorkers("north", "south", "south")
					c.submitJob("a", newJob("job-1", "array", 4))
					c.submitJob("b", newJob("job-2", "standing", 4))
					c.eventually(6*time.Second, "they run", func() bool {
						return c.allRunning("job-1", 4) && c.allRunning("job-2", 4)
					})
					c.passTime(5 * time.Second)
					// The machines are partitioned, and the leader restarts.
					leader := c.awaitLeader()
					other := otherNode(leader.name)
					c.partition(kind, machines...)
					c.passTime(time.Second)
					leader.kill()
					c.passTime(2 * time.Second)
					c.startNode(leader.name)
					// A third job waits for quota, and the second one is cancelled.
					c.submitJob(other, newJob("job-3", "array", 4))
					c.passTime(2 * time.Second)
					c.cancelJob(other, "job-2")
					c.passTime(cancelLimit + 5*time.Second)
					// The partition ends after the expiry of the leases and the cancellation limit.
					c.heal()
					c.passTime(5 * time.Second)
					c.completeJobs("job-1", "job-3")
				})
			})
		}
	}
}
