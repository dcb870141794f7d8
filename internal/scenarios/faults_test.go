package scenarios

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// duplicateHeartbeats has every beat of a worker copied, for delivery later.
func (c *testCluster) duplicateHeartbeats(worker string) {
	c.network.SetRule(func(from, _ string, r *http.Request, _ []byte) fake.Outcome {
		if strings.HasPrefix(from, worker+":") && r.URL.Path == "/agent/beat" {
			return fake.Duplicate
		}
		return fake.Deliver
	})
}

func (c *testCluster) leader() *testNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if n.elector.Cluster() != nil {
			return n
		}
	}
	return nil
}

func TestDelayedHeartbeatCopiesChangeNothing(t *testing.T) {
	t.Parallel()
	// Guards against a copy, seconds or more than a lease old, that shows a task
	// as running which has ended and was cleared, or lacks one that runs now.
	for _, delay := range []time.Duration{3 * time.Second, 35 * time.Second} {
		scenario(t, func(t *testing.T, c *testCluster) {
			c.startNode("a")
			m1 := c.startWorker("m1", "north")
			c.startWorker("m2", "south")
			time.Sleep(10 * time.Second)
			c.duplicateHeartbeats("m1")
			c.submit("a", newJob("job-1", "array", 8))
			c.eventually(4*time.Second, "all run", func() bool { return len(m1.ActiveTasks()) == 4 })
			time.Sleep(7 * time.Second)
			for _, worker := range c.workers {
				for _, task := range worker.ActiveTasks() {
					worker.EndTask(task, "done")
				}
			}
			c.eventually(6*time.Second, "done", func() bool { return c.status("a", "job-1") == "done" })
			time.Sleep(6 * time.Second) // stored and cleared
			c.network.SetRule(nil)
			c.submit("a", newJob("job-2", "standing", 8))
			c.eventually(4*time.Second, "the next one runs", func() bool { return len(m1.ActiveTasks()) == 4 })
			time.Sleep(delay)
			if c.network.ReleaseHeld() < 3 {
				t.Fatal("no copies were kept")
			}
			c.consistently(25*time.Second, "replicas go on, nothing old begins", func() bool {
				return len(m1.ActiveTasks()) == 4 && len(c.machinesRunning("job-2/0")) == 1 && len(c.machinesRunning("job-1/0")) == 0
			})
			for _, worker := range c.workers {
				for i := range 8 {
					for _, job := range []string{"job-1/", "job-2/"} {
						if n := worker.StartCount(job + string(rune('0'+i))); n > 1 {
							t.Fatalf("%s%d started %d times on %s", job, i, n, worker.Name)
						}
					}
				}
			}
			if s := c.status("a", "job-1"); s != "done" {
				t.Fatalf("a done job is called %q", s)
			}
		})
	}
}

func TestNewLeaderHearingDelayedHeartbeatsFirstKeepsTaskRunning(t *testing.T) {
	t.Parallel()
	// The copies show job-1 running and know nothing of job-2, which runs there
	// now: the new leader hears them before anything else of that machine.
	scenario(t, func(t *testing.T, c *testCluster) {
		a := c.startNode("a")
		m1 := c.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		c.duplicateHeartbeats("m1")
		c.submit("a", newJob("job-1", "array", 1))
		c.eventually(4*time.Second, "it runs", func() bool { return len(c.machinesRunning("job-1/0")) == 1 })
		time.Sleep(7 * time.Second) // three beats
		c.network.SetRule(nil)
		m1.EndTask("job-1/0", "done")
		c.eventually(6*time.Second, "done", func() bool { return c.status("a", "job-1") == "done" })
		time.Sleep(6 * time.Second)
		c.submit("a", newJob("job-2", "array", 1))
		c.eventually(4*time.Second, "the next one runs", func() bool { return len(c.machinesRunning("job-2/0")) == 1 })
		time.Sleep(5 * time.Second)
		m1.SetSilent(true)
		a.kill()
		time.Sleep(200 * time.Millisecond)
		a = c.startNode("a")
		c.eventually(5*time.Second, "it owns the pool again", func() bool { return a.elector.Cluster() != nil })
		if c.network.ReleaseHeld() < 2 {
			t.Fatal("no copies were kept")
		}
		c.startWorker("m2", "south")
		time.Sleep(4 * time.Second)
		m1.SetSilent(false)
		c.consistently(30*time.Second, "job-2 goes on where it is", func() bool { return len(c.machinesRunning("job-2/0")) == 1 && c.machinesRunning("job-2/0")[0] == "m1" })
		if m1.StartCount("job-1/0") != 1 || m1.StartCount("job-2/0") != 1 || len(c.machinesRunning("job-1/0")) != 0 {
			t.Fatal("something was started again")
		}
		m1.EndTask("job-2/0", "done")
		c.eventually(8*time.Second, "done", func() bool { return c.status("a", "job-2") == "done" && c.status("a", "job-1") == "done" })
	})
}

func TestControllersRestartedAtOnceKeepTasksRunning(t *testing.T) {
	t.Parallel()
	// The leader; the candidate in the middle of its takeover; all at once.
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startNode("b")
		c.startWorker("m1", "north")
		c.startWorker("m2", "south")
		time.Sleep(10 * time.Second)
		c.submit("a", newJob("job-1", "standing", 4))
		c.eventually(4*time.Second, "it runs", func() bool { return len(c.machinesRunning("job-1/3")) == 1 })
		restart := func(n *testNode) {
			n.kill()
			time.Sleep(150 * time.Millisecond)
			c.startNode(n.name)
		}
		awaitStableLeader := func() {
			c.eventually(10*time.Second, "an owner", func() bool { return c.leader() != nil })
			time.Sleep(6 * time.Second)
		}
		restart(c.leader())
		awaitStableLeader()
		leader := c.leader()
		leader.kill()
		// The other takes over about a hold's life later, and ends right then.
		c.eventually(5*time.Second, "a takeover", func() bool { return c.leader() != nil })
		restart(c.leader())
		time.Sleep(100 * time.Millisecond)
		c.startNode(leader.name)
		awaitStableLeader()
		for _, n := range []*testNode{c.nodes["a"], c.nodes["b"]} {
			n.kill()
		}
		c.startNode("a")
		c.startNode("b")
		awaitStableLeader()
		c.submit("b", newJob("job-2", "array", 2))
		c.eventually(5*time.Second, "new work runs", func() bool { return len(c.machinesRunning("job-2/1")) == 1 })
		for _, task := range []string{"job-1/0", "job-1/1", "job-1/2", "job-1/3"} {
			n := c.workerNamed("m1").StartCount(task) + c.workerNamed("m2").StartCount(task)
			if n != 1 || len(c.machinesRunning(task)) != 1 {
				t.Errorf("%s was started %d times and is on %v", task, n, c.machinesRunning(task))
			}
		}
	})
}

func TestMachineBackUnderItsNameRunsLostTaskAgainOnce(t *testing.T) {
	t.Parallel()
	// It lost its tasks and counts from the beginning again: what ran there
	// must run again, once.
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		m1 := c.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		c.submit("a", newJob("job-1", "array", 1))
		c.eventually(4*time.Second, "it runs", func() bool { return len(c.machinesRunning("job-1/0")) == 1 })
		time.Sleep(5 * time.Second)
		m1.SetSilent(true)
		m1.EndTask("job-1/0", "error") // it went with the machine
		c.workers = nil
		time.Sleep(200 * time.Millisecond)
		c.startWorker("m1", "north")
		c.startWorker("m2", "south")
		c.eventually(60*time.Second, "it runs again", func() bool { return len(c.machinesRunning("job-1/0")) == 1 })
		c.consistently(20*time.Second, "once", func() bool { return len(c.machinesRunning("job-1/0")) == 1 })
	})
}

func TestAcceptedJobsAreKnownSoonAfterOutage(t *testing.T) {
	t.Parallel()
	// One unanswered for 75 s after that counts as forgotten, on any node.
	scenario(t, func(t *testing.T, c *testCluster) {
		a, b := c.startNode("a"), c.startNode("b")
		m1 := c.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		c.submit("a", newJob("job-1", "array", 1))
		c.submit("b", newJob("job-2", "standing", 1))
		c.submit("b", newJob("job-3", "array", 9)) // more than there is room for
		c.eventually(4*time.Second, "they run", func() bool { return len(c.machinesRunning("job-1/0")) == 1 && len(c.machinesRunning("job-2/0")) == 1 })
		m1.EndTask("job-1/0", "done")
		c.eventually(5*time.Second, "done", func() bool { return c.status("a", "job-1") == "done" })
		if code, _ := c.call("a", "POST", "/v2/runs/job-3/cancel", nil); code != 200 {
			t.Fatalf("cancel answered %d", code)
		}
		c.store.SetDown(true)
		time.Sleep(10 * time.Second)
		a.kill()
		b.kill()
		time.Sleep(time.Second)
		c.startNode("a")
		c.startNode("b")
		time.Sleep(30 * time.Second)
		for _, node := range []string{"a", "b"} {
			if code, _ := c.call(node, "GET", "/v2/runs/job-2", nil); code != 503 {
				t.Fatalf("%s answered %d for what it cannot know in the outage", node, code)
			}
		}
		c.store.SetDown(false)
		want := map[string]string{"job-1": "done", "job-2": "running", "job-3": "cancelled"}
		c.eventually(20*time.Second, "each node knows each job", func() bool {
			for _, node := range []string{"a", "b"} {
				for id, status := range want {
					if c.status(node, id) != status {
						return false
					}
				}
			}
			return true
		})
		for id, status := range want {
			if code, out := c.call("b", "POST", "/v2/runs", newJob(id, "array", 1)); code != 200 || out["status"] != status {
				t.Errorf("a repeat of %s got %d %v", id, code, out)
			}
		}
		c.consistently(30*time.Second, "the cancelled one stays away", func() bool { return len(c.machinesRunning("job-3/0")) == 0 && c.status("a", "job-3") == "cancelled" })
	})
}
