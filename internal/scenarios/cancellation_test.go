package scenarios

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// TestCancellationRacingStartLeavesNoTask cancels a job while the start command of its task is in
// transit, and checks that the outcome of the job is stored and that the worker rejects the command
// when it arrives.
func TestCancellationRacingStartLeavesNoTask(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startNode("b")
		c.startWorker("m1", "north")
		time.Sleep(settleTime)
		c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			if r.URL.Path == "/commands" {
				return fake.HoldBack
			}
			return fake.Deliver
		})
		c.submit("a", newJob("job-11", "array", 1))
		time.Sleep(300 * time.Millisecond) // the assignment is stored, and the start command is in transit
		if code, out := c.call("b", "POST", "/v2/runs/job-11/cancel", nil); code != 200 || out["status"] != "cancelled" {
			t.Fatalf("the cancellation request returned %d %v", code, out)
		}
		c.eventually(38*time.Second, "its outcome is stored", func() bool { return c.store.Value("end/job-11") != nil })
		// The start command arrives.
		c.network.ReleaseHeld()
		c.consistently(20*time.Second, "the delayed start is rejected", func() bool { return c.noneRunning("job-11/0") })
		if s := c.status("a", "job-11"); s != "cancelled" {
			t.Fatalf("job-11 is reported as %q, not as cancelled", s)
		}
	})
}

// TestCancellationReachesZonePartitionedWithLeaderInTime checks that a task stops within the
// cancellation limit if its job is cancelled through the other node while the leader is partitioned
// together with the zone of the task. The leader must then stop renewing the leases of the workers
// in that zone.
func TestCancellationReachesZonePartitionedWithLeaderInTime(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startNode("b")
		c.startWorker("m1", "north")
		time.Sleep(settleTime)
		c.submit("a", newJob("job-1", "standing", 1))
		c.awaitTask(4*time.Second, "job-1/0")
		// The leader and the machine are partitioned together from the rest.
		leader := c.leader().name
		other := otherNode(leader)
		c.network.SetRule(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
			isInPartition := func(host string) bool {
				return host == leader || strings.HasPrefix(host, leader+":") || strings.HasPrefix(host, "m1:")
			}
			if isInPartition(from) != isInPartition(to) {
				return fake.HoldBack
			}
			return fake.Deliver
		})
		c.eventually(20*time.Second, "cancellation confirmed", func() bool {
			code, _ := c.call(other, "POST", "/v2/runs/job-1/cancel", nil)
			return code == 200
		})
		confirmedAt := time.Now()
		c.eventually(40*time.Second, "it stops within the cancellation limit", func() bool { return c.noneRunning("job-1/0") })
		if elapsed := time.Since(confirmedAt); elapsed < 15*time.Second {
			t.Errorf("job-1/0 stopped %v after the cancellation, too soon for a task in the partitioned zone", elapsed)
		}
	})
}

// TestLeaderPartitionedFromPeersReadsCancellationBeforeStart checks that the leader does not start
// a task after the job was reported to its user as cancelled. The leader stores the assignment, but
// the response to that transaction is delayed. Meanwhile the other node reads the assignment,
// stores the cancellation and confirms it to the user, but cannot reach the leader.
func TestLeaderPartitionedFromPeersReadsCancellationBeforeStart(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a := c.startNode("a")
		c.awaitLeadership(5*time.Second, a)
		c.startNode("b")
		c.startWorker("m1", "north")
		time.Sleep(settleTime)
		c.network.SetDelay(func() time.Duration { return 390 * time.Millisecond })
		c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			switch {
			case isBetween(from, to, "a", "b"):
				return fake.Refuse
			case kindOfTransaction(r, body) == storesAssignment:
				return fake.DelayResponse
			}
			return fake.Deliver
		})
		for i := range 16 { // at different times relative to the leader's reads of changes
			id := fmt.Sprintf("job-%d", i+1)
			time.Sleep(3*time.Second + time.Duration(i)*25*time.Millisecond)
			c.submit("a", newJob(id, "array", 1))
			time.Sleep(50 * time.Millisecond) // the assignment is stored
			if code, out := c.call("b", "POST", "/v2/runs/"+id+"/cancel", nil); code != 200 || out["status"] != "cancelled" {
				t.Fatalf("the cancellation request returned %d %v", code, out)
			}
			time.Sleep(time.Second) // no user sends requests to the leader, which would make it read the changes
			if n := c.workerNamed("m1").StartCount(id + "/0"); n > 0 {
				t.Errorf("%s was started although its cancellation was confirmed", id)
			}
		}
		c.network.SetRule(nil)
		c.passTime(cancelLimit + 5*time.Second) // the rules check that all tasks stop
	})
}

// TestCancellationsHoldWhileStateServiceIsSlowOrUnavailable checks that all nodes know of a
// cancellation that one node has confirmed, and that it takes effect in time, while every response
// of the state service is slow. In half of the cases the state service also rejects the requests of
// the leader, and soon afterwards those of all controllers for longer than the cancellation limit.
func TestCancellationsHoldWhileStateServiceIsSlowOrUnavailable(t *testing.T) {
	for _, latency := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond} {
		for _, unavailable := range []bool{false, true} {
			t.Run(fmt.Sprintf("latency %v, unavailable %t", latency, unavailable), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					c.startWorkers("north", "south")
					for i := range 4 {
						c.submitJob(nodeNames[i%2], newJob(fmt.Sprintf("job-%d", i+1), []string{"standing", "array"}[i/2], 2))
					}
					c.eventually(6*time.Second, "they run", func() bool {
						return c.allRunning("job-1", 2) && c.allRunning("job-4", 2)
					})
					c.store.SetLatency(latency)
					c.passTime(3 * time.Second)
					c.completeTask("job-4/0")
					c.cancelJob("a", "job-1")
					if unavailable {
						leader := c.awaitLeader()
						c.setFaults(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
							if isBetween(from, to, "a", "b") {
								return fake.Refuse // so that the other node cannot notify the leader either
							}
							return fake.Deliver
						})
						c.store.RefuseCaller(leader.name, true)
						c.cancelJob(otherNode(leader.name), "job-2")
						c.passTime(time.Second)
						c.store.SetDown(true)
						c.passTime(50 * time.Second)
						c.store.SetDown(false)
						c.store.RefuseCaller(leader.name, false)
						c.heal()
						c.passTime(5 * time.Second)
					} else {
						c.cancelJob("b", "job-2")
					}
					c.cancelJob("b", "job-3")
					c.passTime(20 * time.Second)
					c.store.SetLatency(0)
					c.passTime(leaseDuration + 5*time.Second)
					c.completeJobs("job-4")
				})
			})
		}
	}
}

// TestCancellationsHoldDuringLeadershipChange checks that cancelled tasks stop and do not start
// again when the former leader does not learn of the cancellation and the new leader does not learn
// of the tasks. The leader is partitioned from the state service and its peer but not from workers
// and users, or its process ends. Jobs are cancelled through the other node, at once and later.
func TestCancellationsHoldDuringLeadershipChange(t *testing.T) {
	for _, event := range []string{"leader partitioned", "leader crashes", "leader restarts"} {
		for _, cancelDelay := range []time.Duration{0, 800 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("%s, cancelled after %v", event, cancelDelay), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					c.startWorkers("north", "south")
					for i := range 4 {
						c.submitJob(nodeNames[i%2], newJob(fmt.Sprintf("job-%d", i+1), []string{"standing", "array"}[i%2], 2))
					}
					c.eventually(6*time.Second, "they run", func() bool {
						return c.allRunning("job-1", 2) && c.allRunning("job-4", 2)
					})
					c.passTime(3 * time.Second)
					leader := c.awaitLeader()
					other := otherNode(leader.name)
					c.submitJob(other, newJob("job-5", "array", 2)) // waits for quota, or its start commands are in transit
					if event == "leader partitioned" {
						c.setFaults(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
							if isBetween(from, to, leader.name, "state") || isBetween(from, to, leader.name, other) {
								return fake.Drop
							}
							return fake.Deliver
						})
					} else {
						leader.kill()
					}
					c.passTime(cancelDelay)
					c.cancelJob(other, "job-1")
					if event == "leader restarts" {
						c.startNode(leader.name)
					}
					c.cancelJob(other, "job-2")
					c.passTime(time.Second)
					c.cancelJob(other, "job-5")
					c.passTime(cancelLimit + 5*time.Second)
					if n := c.nodes[other]; n.elector.Cluster() == nil && event != "leader restarts" {
						t.Error("the other node does not lead after the leader failed")
					}
					c.heal()
					if event == "leader crashes" {
						c.startNode(leader.name)
					}
					c.passTime(5 * time.Second)
					c.cancelJob(leader.name, "job-3")
					c.passTime(5 * time.Second)
					c.completeJobs("job-4")
				})
			})
		}
	}
}

// TestQuotaHoldsWhileCancelledTasksAreUnreachable checks that the quota of cancelled jobs is not
// given to other jobs before the cancelled tasks have ended. The team is at its quota, machines
// hang or are partitioned, and the leader fails over before or after the cancellations.
func TestQuotaHoldsWhileCancelledTasksAreUnreachable(t *testing.T) {
	t.Parallel()
	for _, kind := range []partitionKind{connectionRefused, packetsDropped, requestsHeldBack, inboundLost, outboundRefused, machinesHang} {
		for _, failoverLast := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, failover last %t", kind, failoverLast), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					c.startWorkers("north", "south", "north", "south")
					for i := range 4 {
						c.submitJob("a", newJob(fmt.Sprintf("job-%d", i+1), "standing", 1).with("cores", 2))
						c.awaitRunning(5*time.Second, fmt.Sprintf("job-%d", i+1), 1)
					}
					var unreachable []string
					for _, id := range []string{"job-1/0", "job-3/0", "job-4/0"} {
						unreachable = append(unreachable, c.machinesRunning(id)...)
					}
					c.submitJob("b", newJob("job-5", "array", 6).with("cores", 2))
					c.passTime(4 * time.Second)
					c.partition(kind, unreachable...)
					if kind == machinesHang {
						for _, name := range unreachable {
							c.workerNamed(name).SetHung(true)
						}
					}
					c.passTime(500 * time.Millisecond)
					leader := c.awaitLeader()
					failOver := func() {
						leader.kill()
						c.passTime(time.Second)
						c.startNode(leader.name)
					}
					if !failoverLast {
						failOver()
					}
					for i, id := range []string{"job-1", "job-3", "job-4"} {
						c.cancelJob(nodeNames[i%2], id)
					}
					if failoverLast {
						failOver()
					}
					if kind == machinesHang { // one machine resumes before its lease expires, the others afterwards
						c.passTime(12 * time.Second)
						c.workerNamed(unreachable[0]).SetHung(false)
						c.passTime(33 * time.Second)
						for _, name := range unreachable {
							c.workerNamed(name).SetHung(false)
						}
					} else {
						c.passTime(cancelLimit + 5*time.Second)
					}
					c.heal()
					c.passTime(3 * time.Second)
					if !c.isRunning("job-2/0") {
						t.Error("job-2, which was not cancelled, does not run")
					}
					c.cancelJob("a", "job-2")
					c.completeJobs("job-5")
				})
			})
		}
	}
}
