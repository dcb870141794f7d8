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

// TestUncertainTasksCountAgainstQuota stops the heartbeats of a machine, and checks that its task
// counts against the quota of the team until the lease of the machine has expired.
func TestUncertainTasksCountAgainstQuota(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startWorker("m1", "north")
		time.Sleep(settleTime)
		job := newJob("job-12", "array", 2) // the team's quota is 8 cores
		job["cores"] = 4
		c.submit("a", job)
		c.awaitTask(3*time.Second, "job-12/0")
		c.workerNamed("m1").SetSilent(true)
		c.startWorker("m2", "south")
		c.startWorker("m3", "south")
		c.awaitTask(10*time.Second, "job-12/1")
		job = newJob("job-13", "array", 1)
		job["cores"] = 4
		c.submit("a", job)
		// m1 sends no heartbeats, but its task may run there until the lease has expired.
		c.consistently(10*time.Second, "no third task of four cores", func() bool { return c.noneRunning("job-13/0") })
		c.eventually(40*time.Second, "both tasks run", func() bool {
			return c.isRunning("job-12/0") && c.isRunning("job-12/1")
		})
	})
}

// TestSpreadReplicaWaitsForMachineInOtherZone submits a job with two spread replicas while there
// are machines in one zone only, and checks that the second replica waits for a machine in the
// other zone.
func TestSpreadReplicaWaitsForMachineInOtherZone(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startWorker("m1", "north")
		c.startWorker("m2", "north")
		time.Sleep(settleTime)
		c.submit("a", newJob("job-16", "standing", 2).with("spread", true))
		c.consistently(10*time.Second, "only one replica in the only zone with machines", func() bool {
			return len(c.machinesRunning("job-16/0"))+len(c.machinesRunning("job-16/1")) <= 1
		})
		c.startWorker("m3", "south")
		c.eventually(10*time.Second, "the other replica runs too", func() bool {
			return c.isRunning("job-16/0") && c.isRunning("job-16/1")
		})
	})
}

// TestConsolidationStopsNothingDuringOutage asks the leader to move a replica while the state
// service is down, and checks that the leader does not stop a replica that it could not start
// elsewhere.
func TestConsolidationStopsNothingDuringOutage(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startWorker("m1", "north")
		c.startWorker("m2", "north")
		time.Sleep(settleTime)
		job := newJob("job-17", "standing", 1)
		c.submit("a", job)
		c.awaitTask(3*time.Second, "job-17/0")
		machine := c.machinesRunning("job-17/0")[0]
		// The replica moves to the other machine only if its image is in the cache there.
		c.submit("a", newJob("job-18", "array", 8))
		c.awaitTask(3*time.Second, "job-18/0")
		time.Sleep(3 * time.Second)
		for i := range 8 {
			for _, worker := range c.workers {
				worker.EndTask("job-18/"+string(rune('0'+i)), "done")
			}
		}
		time.Sleep(45 * time.Second)
		c.store.SetDown(true)
		time.Sleep(2 * time.Second)
		c.nodes["a"].elector.Cluster().Consolidate(ids.Machine(machine), time.Now())
		c.consistently(10*time.Second, "not moved while nothing can be stored", func() bool {
			return c.isRunning("job-17/0")
		})
		c.store.SetDown(false)
		c.eventually(10*time.Second, "moved afterwards", func() bool {
			machines := c.machinesRunning("job-17/0")
			return len(machines) == 1 && machines[0] != machine
		})
	})
}

// TestZoneBoundJobIsRescheduledWithinItsZone checks that tasks bound to a zone do not start in
// another zone that has capacity if their own zone has none or is unreachable, and that they start
// on a new machine in their zone.
func TestZoneBoundJobIsRescheduledWithinItsZone(t *testing.T) {
	t.Parallel()
	for _, kind := range []partitionKind{connectionRefused, requestsHeldBack, inboundLost} {
		for _, shape := range []string{"array", "standing", "gang"} {
			t.Run(fmt.Sprintf("%s, %s", kind, shape), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					c.startWorkers("north", "north", "south", "south")
					c.submitJob("a", newJob("job-1", shape, 4).with("cores", 2).with("yard", "north"))
					c.awaitRunning(6*time.Second, "job-1", 4)
					c.passTime(4 * time.Second)
					c.partition(kind, "m1")
					c.passTime(2 * time.Second)
					c.restartLeader(time.Second)
					c.passTime(20 * time.Second)
					c.partition(kind, "m1", "m2")
					c.passTime(cancelLimit)
					c.startWorker("m5", "north")
					c.passTime(20 * time.Second)
					c.heal()
					if shape == "gang" {
						// If a gang has lost a task, its other tasks end too.
						for _, worker := range c.workers {
							for _, task := range worker.ActiveTasks() {
								if len(worker.ActiveTasks()) < 4 {
									worker.EndTask(task, "peers")
								}
							}
						}
					}
					c.awaitRunning(90*time.Second, "job-1", 4)
				})
			})
		}
	}
}

// TestUrgentJobsStartFirstOverSlowNetwork checks that, while calls to the state service and to the
// workers are slow, no task starts twice, exceeds the quota or starts before urgent tasks that were
// submitted later, also across a failover.
func TestUrgentJobsStartFirstOverSlowNetwork(t *testing.T) {
	t.Parallel()
	for _, latency := range []time.Duration{100 * time.Millisecond, 350 * time.Millisecond} {
		for _, failover := range []bool{false, true} {
			t.Run(fmt.Sprintf("latency %v, failover %t", latency, failover), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					c.startWorkers("north", "south")
					c.submitJob("a", newJob("job-1", "array", 4).with("cores", 2))
					c.awaitRunning(6*time.Second, "job-1", 4)
					c.setFaults(func(_, to string, r *http.Request, _ []byte) fake.Outcome {
						if to == "state:1" && isCommit(r) || strings.HasSuffix(to, ":9000") {
							c.sleep(latency)
						}
						return fake.Deliver
					})
					var normal, urgent []string
					for i := range 8 {
						job := newJob(fmt.Sprintf("job-%d", i+2), "array", 2).with("cores", 2)
						if i >= 6 {
							job["urgency"] = "critical"
							urgent = append(urgent, job.id())
						} else {
							normal = append(normal, job.id())
						}
						c.submitJob(nodeNames[i%2], job)
					}
					if failover {
						c.restartLeader(500 * time.Millisecond)
						c.awaitLeader()
					}
					c.passTime(5 * time.Second)
					c.completeJobs(append(append([]string{"job-1"}, urgent...), normal...)...)
					lastUrgentStart := time.Time{}
					for _, id := range urgent {
						for i := range 2 {
							if started := c.rules.FirstStart(fmt.Sprintf("%s/%d", id, i)); started.After(lastUrgentStart) {
								lastUrgentStart = started
							}
						}
					}
					for _, id := range normal {
						for i := range 2 {
							if started := c.rules.FirstStart(fmt.Sprintf("%s/%d", id, i)); started.Before(lastUrgentStart) {
								t.Errorf("%s/%d started %v before the last start of an urgent task", id, i, lastUrgentStart.Sub(started))
							}
						}
					}
				})
			})
		}
	}
}

// TestUrgentJobStartsByPreemptionWhenTeamIsAtQuota checks that quota freed by the preemption of
// tasks of lower urgency goes to the urgent job and not back to tasks of lower urgency. Otherwise the
// urgent job, especially a gang as large as the quota, would never start, and other tasks would be
// stopped, or unassigned before their start, again and again.
func TestUrgentJobStartsByPreemptionWhenTeamIsAtQuota(t *testing.T) {
	t.Parallel()
	for _, shape := range []string{"gang", "array"} {
		for _, urgency := range []string{"high", "critical"} {
			for _, latency := range []time.Duration{0, 60 * time.Millisecond, 200 * time.Millisecond} {
				for _, submitDelay := range []time.Duration{0, 5 * time.Second} {
					t.Run(fmt.Sprintf("%s %s, latency %v, submitted after %v", urgency, shape, latency, submitDelay), func(t *testing.T) {
						t.Parallel()
						faultScenario(t, func(t *testing.T, c *faultCluster) {
							c.startWorkers("north", "south", "south")
							c.setFaults(func(_, to string, r *http.Request, body []byte) fake.Outcome {
								if isAssignment(r, body) || to == "m2:9000" {
									c.sleep(latency)
								}
								return fake.Deliver
							})
							for i, lowerUrgency := range []string{"low", "normal"} {
								c.submitJob("a", newJob(fmt.Sprintf("job-%d", i+1), "array", 12).with("urgency", lowerUrgency))
							}
							c.passTime(submitDelay)
							urgent := newJob("job-3", shape, 4).with("cores", 2)
							urgent["urgency"] = urgency
							c.submitJob("b", urgent)
							c.awaitRunning(60*time.Second, "job-3", 4)
							for i := range 4 {
								c.completeTask(fmt.Sprintf("job-3/%d", i))
							}
							c.completeJobs("job-3", "job-2", "job-1")
						})
					})
				}
			}
		}
	}
}
