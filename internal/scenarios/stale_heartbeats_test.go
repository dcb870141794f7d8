package scenarios

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestDelayedHeartbeatCopiesChangeNothing checks that a copy of a heartbeat that arrives seconds
// late, or later than a lease lasts, changes nothing, although it shows a completed task as running
// or lacks a task that runs now.
func TestDelayedHeartbeatCopiesChangeNothing(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{3 * time.Second, 35 * time.Second} {
		scenario(t, func(t *testing.T, c *testCluster) {
			c.startNode("a")
			m1 := c.startWorker("m1", "north")
			c.startWorker("m2", "south")
			time.Sleep(settleTime)
			// Copies of heartbeats that show job-1 running are held back.
			c.duplicateHeartbeats("m1")
			c.submit("a", newJob("job-1", "array", 8))
			c.eventually(4*time.Second, "all run", func() bool { return len(m1.ActiveTasks()) == 4 })
			time.Sleep(7 * time.Second)
			for _, worker := range c.workers {
				for _, task := range worker.ActiveTasks() {
					worker.EndTask(task, "done")
				}
			}
			c.awaitStatus(6*time.Second, "a", "job-1", "done")
			time.Sleep(6 * time.Second) // until its outcome is stored and its tasks are cleared
			// The replicas of job-2 run in place of job-1.
			c.network.SetRule(nil)
			c.submit("a", newJob("job-2", "standing", 8))
			c.eventually(4*time.Second, "the replicas run", func() bool { return len(m1.ActiveTasks()) == 4 })
			// The copies arrive.
			time.Sleep(delay)
			if c.network.ReleaseHeld() < 3 {
				t.Fatal("fewer than 3 duplicates of heartbeats were held back")
			}
			c.consistently(25*time.Second, "replicas go on, no past task starts", func() bool {
				return len(m1.ActiveTasks()) == 4 && c.isRunning("job-2/0") && c.noneRunning("job-1/0")
			})
			for _, worker := range c.workers {
				for i := range 8 {
					for _, job := range []string{"job-1/", "job-2/"} {
						if n := worker.StartCount(job + string(rune('0'+i))); n > 1 {
							t.Fatalf("%s%d was started %d times on %s", job, i, n, worker.Name)
						}
					}
				}
			}
			if s := c.status("a", "job-1"); s != "done" {
				t.Fatalf("the completed job-1 is reported as %q", s)
			}
		})
	}
}

// TestNewLeaderReceivingDelayedHeartbeatsFirstKeepsTaskRunning delivers copies of heartbeats to a
// new leader before anything else from that machine. The copies show job-1 running and lack job-2,
// which runs there now. The test checks that job-2 keeps running and no task starts again.
func TestNewLeaderReceivingDelayedHeartbeatsFirstKeepsTaskRunning(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a := c.startNode("a")
		m1 := c.startWorker("m1", "north")
		time.Sleep(settleTime)
		// Copies of heartbeats that show job-1 running are held back.
		c.duplicateHeartbeats("m1")
		c.submit("a", newJob("job-1", "array", 1))
		c.awaitTask(4*time.Second, "job-1/0")
		time.Sleep(7 * time.Second) // three heartbeats
		// job-1 completes, and job-2 runs on the same machine.
		c.network.SetRule(nil)
		m1.EndTask("job-1/0", "done")
		c.awaitStatus(6*time.Second, "a", "job-1", "done")
		time.Sleep(6 * time.Second)
		c.submit("a", newJob("job-2", "array", 1))
		c.awaitTask(4*time.Second, "job-2/0")
		time.Sleep(5 * time.Second)
		// The leader restarts and receives the copies first.
		m1.SetSilent(true)
		a.kill()
		time.Sleep(200 * time.Millisecond)
		a = c.startNode("a")
		c.awaitLeadership(5*time.Second, a)
		if c.network.ReleaseHeld() < 2 {
			t.Fatal("fewer than 2 duplicates of heartbeats were held back")
		}
		c.startWorker("m2", "south")
		time.Sleep(4 * time.Second)
		// The machine sends heartbeats again.
		m1.SetSilent(false)
		c.consistently(30*time.Second, "job-2 goes on on m1", func() bool {
			return c.isRunning("job-2/0") && c.machinesRunning("job-2/0")[0] == "m1"
		})
		if m1.StartCount("job-1/0") != 1 || m1.StartCount("job-2/0") != 1 || !c.noneRunning("job-1/0") {
			t.Fatal("a task of job-1 or job-2 was started again, or job-1/0 still runs")
		}
		m1.EndTask("job-2/0", "done")
		c.eventually(8*time.Second, "done", func() bool {
			return c.status("a", "job-2") == "done" && c.status("a", "job-1") == "done"
		})
	})
}

// TestStaleHeartbeatsDuringFailoverChangeNothing checks that a new leader does not treat a stale
// heartbeat as the current state of a machine if it is the first one received from that machine,
// whether the machine can be probed or not.
func TestStaleHeartbeatsDuringFailoverChangeNothing(t *testing.T) {
	t.Parallel()
	for _, content := range []string{"shows tasks that run elsewhere", "shows no tasks", "of an earlier incarnation", "shows completed task"} {
		for _, kind := range []partitionKind{noPartition, connectionRefused, requestsHeldBack, inboundLost} {
			t.Run(fmt.Sprintf("%s, %s", content, kind), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					m1 := c.startWorker("m1", "north")
					time.Sleep(settleTime)
					empty := c.lastHeartbeat("m1")
					c.submitJob("a", newJob("job-1", "array", 3))
					c.awaitRunning(5*time.Second, "job-1", 3)
					c.passTime(5 * time.Second)
					// The latest heartbeat becomes stale.
					stale := c.lastHeartbeat("m1")
					switch content {
					case "shows no tasks":
						stale = empty
					case "shows tasks that run elsewhere":
						c.startWorker("m2", "south")
						c.passTime(5 * time.Second)
						m1.EndTask("job-1/0", "error")
						c.eventually(20*time.Second, "it runs elsewhere", func() bool {
							return c.workerNamed("m2").StartCount("job-1/0") == 1
						})
					case "of an earlier incarnation":
						m1.SetSilent(true)
						c.passTime(leaseDuration + 5*time.Second)
						m1.SetSilent(false)
						c.awaitRunning(20*time.Second, "job-1", 3)
					case "shows completed task":
						c.completeTask("job-1/0")
					}
					c.passTime(8 * time.Second)
					// The leader crashes, and the machine may be partitioned. The stale heartbeat arrives first.
					leader := c.awaitLeader()
					leader.kill()
					if kind != noPartition {
						c.partition(kind, "m1")
					}
					if c.workerNamed("m2") == nil {
						c.startWorker("m2", "south")
					}
					c.awaitLeader()
					c.deliverToControllers(stale)
					// The stale heartbeat arrives again while both nodes are up, and once more after the partition.
					c.startNode(leader.name)
					c.passTime(3 * time.Second)
					c.deliverToControllers(stale)
					c.submitJob("a", newJob("job-2", "array", 5))
					c.passTime(6 * time.Second)
					c.heal()
					c.passTime(3 * time.Second)
					c.deliverToControllers(stale)
					c.passTime(leaseDuration + 5*time.Second)
					c.completeJobs("job-1", "job-2")
				})
			})
		}
	}
}

// TestStaleHeartbeatOfReplacedGangTaskChangesNothing checks that a stale heartbeat does not make a
// new leader start a gang task elsewhere. The heartbeat shows that an earlier start of the task has
// ended, but the task has since been started again on the same machine under the same attempt and waits
// for its gang there. The incarnation of the worker may have changed in between.
func TestStaleHeartbeatOfReplacedGangTaskChangesNothing(t *testing.T) {
	t.Parallel()
	for _, newIncarnation := range []bool{false, true} {
		for _, kind := range []partitionKind{noPartition, connectionRefused, requestsHeldBack, inboundLost} {
			t.Run(fmt.Sprintf("new incarnation %t, %s", newIncarnation, kind), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					c.startWorkers("north", "south")
					c.submitJob("a", newJob("job-1", "gang", 2).with("cores", 3))
					bothWaiting := func() bool {
						for _, worker := range c.workers {
							worker.SetTaskStatus("job-1/0", "waiting")
							worker.SetTaskStatus("job-1/1", "waiting")
						}
						return c.allRunning("job-1", 2)
					}
					c.eventually(5*time.Second, "both tasks are on machines", bothWaiting)
					c.passTime(5 * time.Second)
					// A task of the gang ends, a heartbeat shows its end, and it is replaced under the same attempt.
					machine := c.workerNamed(c.machinesRunning("job-1/0")[0])
					machine.EndTask("job-1/0", "no_room")
					c.passTime(100 * time.Millisecond)
					time.Sleep(2 * time.Second)
					var stale []byte
					c.mu.Lock()
					for _, heartbeat := range c.heartbeats[machine.Name] {
						if strings.Contains(string(heartbeat), `"no_room"`) {
							stale = heartbeat
						}
					}
					c.mu.Unlock()
					if stale == nil {
						t.Fatal("no heartbeat shows the end of job-1/0")
					}
					c.eventually(10*time.Second, "it is replaced", bothWaiting)
					if newIncarnation {
						machine.SetSilent(true)
						c.eventually(25*time.Second, "its lease has expired", func() bool { return c.noneRunning("job-1/0") })
						machine.SetSilent(false)
						c.eventually(15*time.Second, "it is replaced again", bothWaiting)
					}
					if c.machinesRunning("job-1/0")[0] != machine.Name || strings.TrimSuffix(machine.Starts[len(machine.Starts)-1], "#1") == machine.Starts[len(machine.Starts)-1] {
						t.Fatalf("job-1/0 was not replaced on the same machine under the same attempt: starts %v, now on %v", machine.Starts, c.machinesRunning("job-1/0"))
					}
					c.passTime(3 * time.Second)
					// The leader crashes, and its successor receives the stale heartbeat first.
					leader := c.awaitLeader()
					leader.kill()
					c.startWorker("m3", "south")
					if kind != noPartition {
						c.partition(kind, machine.Name)
					}
					c.awaitLeader()
					c.deliverToControllers(stale)
					c.startNode(leader.name)
					c.passTime(8 * time.Second)
					c.heal()
					c.passTime(leaseDuration + 5*time.Second)
					if !c.allRunning("job-1", 2) {
						t.Errorf("the two tasks of job-1 are on machines %v and %v, not on one each", c.machinesRunning("job-1/0"), c.machinesRunning("job-1/1"))
					}
				})
			})
		}
	}
}
