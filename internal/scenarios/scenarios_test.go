package scenarios

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

func TestArrayRunsToCompletionAndStaysDone(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startNode("b")
		c.startWorker("m1", "north")
		c.eventually(15*time.Second, "a beat answered", func() bool { return c.store.Value("pool/owner") != nil })
		time.Sleep(8 * time.Second)
		c.submit("b", newJob("job-1", "array", 2))
		c.eventually(3*time.Second, "both tasks started quickly", func() bool { return len(c.machinesRunning("job-1/0")) == 1 && len(c.machinesRunning("job-1/1")) == 1 })
		c.workerNamed("m1").EndTask("job-1/0", "done")
		time.Sleep(5 * time.Second)
		if s := c.status("a", "job-1"); s != "running" {
			t.Fatalf("half done, but called %q", s)
		}
		c.workerNamed("m1").EndTask("job-1/1", "done")
		c.eventually(4*time.Second, "told done", func() bool { return c.status("a", "job-1") == "done" && c.status("b", "job-1") == "done" })
		// A repeat may come at any later time and gets the state, not a new job.
		time.Sleep(3 * time.Minute)
		if code, out := c.call("b", "POST", "/v2/runs", newJob("job-1", "array", 2)); code != 200 || out["status"] != "done" {
			t.Fatalf("a late repeat got %d %v", code, out)
		}
		c.consistently(10*time.Second, "nothing starts again", func() bool { return len(c.machinesRunning("job-1/0")) == 0 })
	})
}

func TestConcurrentLeadersStartTaskOnceAndDelayedTransactionIsVoid(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a := c.startNode("a")
		c.eventually(5*time.Second, "a owns the pool", func() bool { return a.elector.Cluster() != nil })
		c.startWorker("m1", "north")
		time.Sleep(8 * time.Second)
		b := c.startNode("b")
		time.Sleep(2 * time.Second)
		// a's commits of places are held back; it is cut from the state service
		// and from b, but not from the worker.
		c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			switch {
			case from == "a" && to == "state:1" && r.URL.Path == "/commit" && strings.Contains(string(body), `"places"`):
				return fake.HoldBack
			case from == "a" && to == "state:1" && !strings.HasPrefix(r.URL.Path, "/kv"):
				return fake.Drop
			case from == "a" && to == "b" || from == "b" && to == "a":
				return fake.Drop
			}
			return fake.Deliver
		})
		c.submit("b", newJob("job-2", "array", 1))
		c.eventually(15*time.Second, "b takes over", func() bool { return b.elector.Cluster() != nil })
		c.eventually(60*time.Second, "the task runs under b", func() bool { return len(c.machinesRunning("job-2/0")) == 1 })
		if n := c.network.ReleaseHeld(); n > 0 {
			t.Logf("%d late transactions delivered", n)
		}
		c.consistently(20*time.Second, "the task goes on undisturbed", func() bool { return len(c.machinesRunning("job-2/0")) == 1 })
		c.network.SetRule(nil)
		c.eventually(10*time.Second, "a steps down", func() bool { return a.elector.Cluster() == nil })
		if n := c.workerNamed("m1").StartCount("job-2/0"); n != 1 {
			t.Fatalf("started %d times", n)
		}
	})
}

func TestStartDelayedByMinutesIsRejected(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startWorker("m1", "north")
		c.startWorker("m2", "south")
		time.Sleep(10300 * time.Millisecond) // between beats: the start goes straight to the worker
		c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			if r.URL.Path == "/commands" && strings.Contains(string(body), `"start"`) {
				return fake.HoldBack
			}
			return fake.Deliver
		})
		c.submit("a", newJob("job-3", "array", 1))
		// The beats carry the same start, and it runs once.
		c.eventually(6*time.Second, "it runs by way of a beat", func() bool { return len(c.machinesRunning("job-3/0")) == 1 })
		machine := c.workerNamed(c.machinesRunning("job-3/0")[0])
		machine.EndTask("job-3/0", "done")
		c.eventually(4*time.Second, "done", func() bool { return c.status("a", "job-3") == "done" })
		time.Sleep(2 * time.Minute)
		if c.network.ReleaseHeld() == 0 {
			t.Fatal("no start was held back")
		}
		c.consistently(10*time.Second, "the late start begins nothing", func() bool { return len(c.machinesRunning("job-3/0")) == 0 })
		if n := machine.StartCount("job-3/0"); n != 1 {
			t.Fatalf("started %d times", n)
		}
	})
}

func TestTaskOfWorkerPartitionedDuringFailoverIsRescheduledAfterLeaseExpiry(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a := c.startNode("a")
		m1 := c.startWorker("m1", "north")
		time.Sleep(8 * time.Second)
		c.submit("a", newJob("job-4", "array", 1))
		c.eventually(3*time.Second, "it runs", func() bool { return len(c.machinesRunning("job-4/0")) == 1 })
		// m1 and a are cut off together: a goes on answering m1.
		c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			inside := func(host string) bool { return host == "a" || host == "a:8080" || strings.HasPrefix(host, "m1") }
			if inside(from) != inside(to) {
				return fake.Drop
			}
			return fake.Deliver
		})
		b := c.startNode("b")
		c.startWorker("m2", "south")
		c.eventually(15*time.Second, "b owns the pool", func() bool { return b.elector.Cluster() != nil })
		failoverAt := time.Now()
		// While a still answers, the task is on m1 and must not start on m2.
		c.eventually(3*time.Minute, "it runs on m2", func() bool {
			machines := c.machinesRunning("job-4/0")
			return len(machines) == 1 && machines[0] == "m2"
		})
		if elapsed := time.Since(failoverAt); elapsed < 36*time.Second {
			t.Fatalf("started elsewhere after only %v", elapsed)
		}
		if len(m1.ActiveTasks()) != 0 {
			t.Fatal("m1 still has it")
		}
		_ = a
	})
}

func TestFormerLeadersConfirmationShortensLeaseWait(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a := c.startNode("a")
		c.startWorker("m1", "north")
		time.Sleep(8 * time.Second)
		c.submit("a", newJob("job-5", "array", 1))
		c.eventually(3*time.Second, "it runs", func() bool { return len(c.machinesRunning("job-5/0")) == 1 })
		c.workerNamed("m1").SetSilent(true)
		b := c.startNode("b")
		a.kill()
		c.eventually(10*time.Second, "b owns the pool", func() bool { return b.elector.Cluster() != nil })
		failoverAt := time.Now()
		c.startNode("a")
		c.startWorker("m2", "south")
		c.eventually(35*time.Second, "it runs on m2", func() bool {
			machines := c.machinesRunning("job-5/0")
			return len(machines) == 1 && machines[0] == "m2"
		})
		if elapsed := time.Since(failoverAt); elapsed > 30*time.Second {
			t.Fatalf("took %v although the old owner's node confirmed", elapsed)
		}
	})
}

func TestCrashOfAllControllersDuringLongOutageLosesNoWork(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a, b := c.startNode("a"), c.startNode("b")
		c.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		c.submit("a", newJob("job-6", "standing", 1))
		c.submit("a", newJob("job-7", "array", 1))
		c.eventually(3*time.Second, "both run", func() bool { return len(c.machinesRunning("job-6/0")) == 1 && len(c.machinesRunning("job-7/0")) == 1 })
		c.store.SetDown(true)
		time.Sleep(8 * time.Second)
		a.kill()
		b.kill()
		time.Sleep(4 * time.Second)
		c.startNode("a")
		c.startNode("b")
		if code, _ := c.call("a", "POST", "/v2/runs", newJob("job-8", "array", 1)); code == 201 || code == 200 {
			t.Fatalf("accepted (%d) what could not be stored", code)
		}
		c.workerNamed("m1").EndTask("job-7/0", "done")
		time.Sleep(2 * time.Second)
		c.store.SetDown(false)
		c.eventually(12*time.Second, "the outcome is told", func() bool { return c.status("a", "job-7") == "done" })
		c.consistently(10*time.Second, "the replica went on", func() bool { return len(c.machinesRunning("job-6/0")) == 1 })
		if n := c.workerNamed("m1").StartCount("job-6/0"); n != 1 {
			t.Fatalf("the replica was started %d times", n)
		}
	})
}

func TestWaitingGangReplacesLostTaskUnderSameAttempt(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startWorker("m1", "north")
		c.startWorker("m2", "south")
		time.Sleep(10 * time.Second)
		job := newJob("job-9", "gang", 2)
		job["cores"] = 3
		c.submit("a", job)
		c.eventually(3*time.Second, "both tasks are there", func() bool { return len(c.machinesRunning("job-9/0")) == 1 && len(c.machinesRunning("job-9/1")) == 1 })
		c.workerNamed("m1").SetTaskStatus("job-9/0", "waiting")
		c.workerNamed("m1").SetTaskStatus("job-9/1", "waiting")
		c.workerNamed("m2").SetTaskStatus("job-9/0", "waiting")
		c.workerNamed("m2").SetTaskStatus("job-9/1", "waiting")
		time.Sleep(5 * time.Second)
		lost := c.machinesRunning("job-9/0")[0]
		c.workerNamed(lost).SetSilent(true)
		c.startWorker("m3", "north")
		c.eventually(40*time.Second, "the lost task is replaced", func() bool {
			machines := c.machinesRunning("job-9/0")
			return len(machines) == 1 && machines[0] == "m3"
		})
		if start := c.workerNamed("m3").Starts[0]; start != "job-9/0#1" {
			t.Fatalf("replaced as %s, not under the same attempt", start)
		}
	})
}

func TestRunningGangThatLosesTaskRestartsAsWhole(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"running", "flushing"} {
		scenario(t, func(t *testing.T, c *testCluster) {
			c.startNode("a")
			c.startWorker("m1", "north")
			c.startWorker("m2", "south")
			time.Sleep(10 * time.Second)
			job := newJob("job-10", "gang", 2)
			job["cores"] = 3
			c.submit("a", job)
			c.eventually(3*time.Second, "both tasks are there", func() bool { return len(c.machinesRunning("job-10/0")) == 1 && len(c.machinesRunning("job-10/1")) == 1 })
			lost, remaining := c.workerNamed(c.machinesRunning("job-10/0")[0]), c.workerNamed(c.machinesRunning("job-10/1")[0])
			remaining.SetTaskStatus("job-10/1", status)
			time.Sleep(5 * time.Second)
			c.startWorker("m3", "north")
			lost.EndTask("job-10/0", "error")
			// Until the old attempt's other task has ended, no new attempt begins.
			c.consistently(12*time.Second, "no second attempt beside the first", func() bool { return len(c.machinesRunning("job-10/0")) == 0 })
			remaining.EndTask("job-10/1", "peers")
			c.eventually(10*time.Second, "a new attempt of both", func() bool { return len(c.machinesRunning("job-10/0")) == 1 && len(c.machinesRunning("job-10/1")) == 1 })
			for _, worker := range c.workers {
				for _, start := range worker.Starts {
					if !strings.HasSuffix(start, "#1") && !strings.HasSuffix(start, "#2") {
						t.Fatalf("unexpected start %s", start)
					}
				}
			}
		})
	}
}

func TestCancellationRacingStartLeavesNoTask(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startNode("b")
		c.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			if r.URL.Path == "/commands" {
				return fake.HoldBack
			}
			return fake.Deliver
		})
		c.submit("a", newJob("job-11", "array", 1))
		time.Sleep(300 * time.Millisecond) // the marker is stored, the start under way
		if code, out := c.call("b", "POST", "/v2/runs/job-11/cancel", nil); code != 200 || out["status"] != "cancelled" {
			t.Fatalf("cancel answered %d %v", code, out)
		}
		c.eventually(38*time.Second, "gone for good", func() bool { return c.store.Value("end/job-11") != nil })
		c.network.ReleaseHeld()
		c.consistently(20*time.Second, "the late start is turned away", func() bool { return len(c.machinesRunning("job-11/0")) == 0 })
		if s := c.status("a", "job-11"); s != "cancelled" {
			t.Fatalf("called %q", s)
		}
	})
}

func TestUncertainTasksCountAgainstQuota(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		job := newJob("job-12", "array", 2) // the team's limit is 8 cores
		job["cores"] = 4
		c.submit("a", job)
		c.eventually(3*time.Second, "one runs", func() bool { return len(c.machinesRunning("job-12/0")) == 1 })
		c.workerNamed("m1").SetSilent(true)
		c.startWorker("m2", "south")
		c.startWorker("m3", "south")
		c.eventually(10*time.Second, "the other runs", func() bool { return len(c.machinesRunning("job-12/1")) == 1 })
		job = newJob("job-13", "array", 1)
		job["cores"] = 4
		c.submit("a", job)
		// m1 is silent: its task may be there until the lease has lapsed.
		c.consistently(10*time.Second, "no third task of four cores", func() bool { return len(c.machinesRunning("job-13/0")) == 0 })
		c.eventually(40*time.Second, "all is known again", func() bool { return len(c.machinesRunning("job-12/0")) == 1 && len(c.machinesRunning("job-12/1")) == 1 })
	})
}

func TestCommitWithLostResponseIsReadBack(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		lost := 0
		c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			if r.URL.Path == "/commit" && strings.Contains(string(body), `"places"`) && lost < 2 {
				lost++
				return fake.DropResponse
			}
			return fake.Deliver
		})
		c.submit("a", newJob("job-14", "array", 1))
		c.eventually(12*time.Second, "it runs all the same", func() bool { return len(c.machinesRunning("job-14/0")) == 1 })
		c.workerNamed("m1").EndTask("job-14/0", "done")
		c.eventually(8*time.Second, "done", func() bool { return c.status("a", "job-14") == "done" })
		if lost == 0 {
			t.Fatal("no answer was lost")
		}
	})
}

func TestRestartedLeaderReleasesItsFormerLease(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a := c.startNode("a")
		c.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		c.submit("a", newJob("job-15", "standing", 1))
		c.eventually(3*time.Second, "it runs", func() bool { return len(c.machinesRunning("job-15/0")) == 1 })
		a.kill()
		time.Sleep(100 * time.Millisecond)
		restarted := c.startNode("a")
		c.eventually(time.Second, "it owns the pool at once", func() bool { return restarted.elector.Cluster() != nil })
		c.consistently(30*time.Second, "the replica goes on", func() bool { return len(c.machinesRunning("job-15/0")) == 1 })
		if n := c.workerNamed("m1").StartCount("job-15/0"); n != 1 {
			t.Fatalf("started %d times", n)
		}
	})
}

func TestSpreadReplicaWaitsForMachineInOtherZone(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startWorker("m1", "north")
		c.startWorker("m2", "north")
		time.Sleep(10 * time.Second)
		job := newJob("job-16", "standing", 2)
		job["spread"] = true
		c.submit("a", job)
		c.consistently(10*time.Second, "only one replica in the one zone", func() bool { return len(c.machinesRunning("job-16/0"))+len(c.machinesRunning("job-16/1")) <= 1 })
		c.startWorker("m3", "south")
		c.eventually(10*time.Second, "the other follows", func() bool { return len(c.machinesRunning("job-16/0")) == 1 && len(c.machinesRunning("job-16/1")) == 1 })
	})
}

func TestConsolidationStopsNothingDuringOutage(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startWorker("m1", "north")
		c.startWorker("m2", "north")
		time.Sleep(10 * time.Second)
		job := newJob("job-17", "standing", 1)
		c.submit("a", job)
		c.eventually(3*time.Second, "it runs", func() bool { return len(c.machinesRunning("job-17/0")) == 1 })
		machine := c.machinesRunning("job-17/0")[0]
		// The image must be on the other machine too, or nothing moves there.
		c.submit("a", newJob("job-18", "array", 8))
		c.eventually(3*time.Second, "arrays run", func() bool { return len(c.machinesRunning("job-18/0")) == 1 })
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
		c.consistently(10*time.Second, "not moved while nothing can be stored", func() bool { return len(c.machinesRunning("job-17/0")) == 1 })
		c.store.SetDown(false)
		c.eventually(10*time.Second, "moved afterwards", func() bool {
			machines := c.machinesRunning("job-17/0")
			return len(machines) == 1 && machines[0] != machine
		})
	})
}

// knownMachines counts the machines that a node, if it owns the pool, has heard.
func knownMachines(n *testNode) int {
	if n.elector.Cluster() == nil {
		return 0
	}
	hints, _ := n.elector.Cluster().Hints(claim.HintPosition{})
	return len(hints)
}

func TestNewLeaderProbesMachinesBeforeTheirHeartbeats(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a := c.startNode("a")
		b := c.startNode("b")
		c.startWorker("m1", "north")
		c.eventually(12*time.Second, "heard", func() bool {
			return knownMachines(a) == 1 || knownMachines(b) == 1
		})
		leader, successor := a, b
		if a.elector.Cluster() == nil {
			leader, successor = b, a
		}
		successor.elector.ReceiveHints(leader.elector.Cluster().Hints(successor.elector.HintPosition()))
		c.workerNamed("m1").SetSilent(true) // so that only being asked tells of it
		leader.kill()
		c.eventually(5*time.Second, "a successor", func() bool { return successor.elector.Cluster() != nil })
		c.eventually(2*time.Second, "m1 is known", func() bool { return knownMachines(successor) == 1 })
	})
}

func TestLeaderPartitionedFromWorkersStepsDownWithoutScaleIn(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a := c.startNode("a")
		b := c.startNode("b")
		for _, machine := range []string{"m1", "m2", "m3", "m4"} {
			c.startWorker(machine, "north")
		}
		c.eventually(10*time.Second, "an owner", func() bool { return a.elector.Cluster() != nil || b.elector.Cluster() != nil })
		leader, successor := a, b
		if a.elector.Cluster() == nil {
			leader, successor = b, a
		}
		time.Sleep(10 * time.Second)
		c.submit("a", newJob("job-19", "standing", 4))
		c.eventually(3*time.Second, "it runs", func() bool { return len(c.machinesRunning("job-19/3")) == 1 })
		c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			if strings.HasPrefix(from, "m") && to == leader.name+":8080" || from == leader.name && strings.HasPrefix(to, "m") {
				return fake.Drop
			}
			return fake.Deliver
		})
		partitionedAt := time.Now()
		c.eventually(18*time.Second, "the other node owns the pool", func() bool {
			if cluster := leader.elector.Cluster(); cluster != nil {
				if terminated := cluster.MachinesToTerminate(time.Now(), nil); len(terminated) > 0 {
					t.Fatalf("returned %v although this node alone is cut off", terminated)
				}
				leader.elector.HandleRedirectedWorkers(successor.elector.RedirectedWorkers())
			}
			return successor.elector.Cluster() != nil
		})
		t.Logf("gave way %v after the cut", time.Since(partitionedAt))
		c.consistently(40*time.Second, "the replicas go on", func() bool { return len(c.machinesRunning("job-19/3")) == 1 })
		for _, worker := range c.workers {
			if worker.StartCount("job-19/3") > 1 {
				t.Fatal("restarted")
			}
		}
	})
}
