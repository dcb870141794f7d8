package scenarios

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// duplicateHeartbeats has every beat of a worker copied, for delivery later.
func (w *testCluster) duplicateHeartbeats(worker string) {
	w.network.SetRule(func(from, _ string, r *http.Request, _ []byte) fake.Outcome {
		if strings.HasPrefix(from, worker+":") && r.URL.Path == "/agent/beat" {
			return fake.Duplicate
		}
		return fake.Deliver
	})
}

func (w *testCluster) leader() *testNode {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
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
	for _, late := range []time.Duration{3 * time.Second, 35 * time.Second} {
		scenario(t, func(t *testing.T, w *testCluster) {
			w.startNode("a")
			m1 := w.startWorker("m1", "north")
			w.startWorker("m2", "south")
			time.Sleep(10 * time.Second)
			w.duplicateHeartbeats("m1")
			s := newJob("job-1", "array", 8)
			w.submit("a", s)
			w.eventually(4*time.Second, "all run", func() bool { return len(m1.ActiveTasks()) == 4 })
			time.Sleep(7 * time.Second)
			for _, k := range w.workers {
				for _, task := range k.ActiveTasks() {
					k.EndTask(task, "done")
				}
			}
			w.eventually(6*time.Second, "done", func() bool { return w.status("a", "job-1") == "done" })
			time.Sleep(6 * time.Second) // stored and cleared
			w.network.SetRule(nil)
			w.submit("a", newJob("job-2", "standing", 8))
			w.eventually(4*time.Second, "the next one runs", func() bool { return len(m1.ActiveTasks()) == 4 })
			time.Sleep(late)
			if w.network.ReleaseHeld() < 3 {
				t.Fatal("no copies were kept")
			}
			w.consistently(25*time.Second, "replicas go on, nothing old begins", func() bool {
				return len(m1.ActiveTasks()) == 4 && len(w.machinesRunning("job-2/0")) == 1 && len(w.machinesRunning("job-1/0")) == 0
			})
			for _, k := range w.workers {
				for i := range 8 {
					for _, job := range []string{"job-1/", "job-2/"} {
						if n := k.StartCount(job + string(rune('0'+i))); n > 1 {
							t.Fatalf("%s%d started %d times on %s", job, i, n, k.Name)
						}
					}
				}
			}
			if s := w.status("a", "job-1"); s != "done" {
				t.Fatalf("a done job is called %q", s)
			}
		})
	}
}

func TestNewLeaderHearingDelayedHeartbeatsFirstKeepsTaskRunning(t *testing.T) {
	t.Parallel()
	// The copies show job-1 running and know nothing of job-2, which runs there
	// now: the new leader hears them before anything else of that machine.
	scenario(t, func(t *testing.T, w *testCluster) {
		a := w.startNode("a")
		m1 := w.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		w.duplicateHeartbeats("m1")
		w.submit("a", newJob("job-1", "array", 1))
		w.eventually(4*time.Second, "it runs", func() bool { return len(w.machinesRunning("job-1/0")) == 1 })
		time.Sleep(7 * time.Second) // three beats
		w.network.SetRule(nil)
		m1.EndTask("job-1/0", "done")
		w.eventually(6*time.Second, "done", func() bool { return w.status("a", "job-1") == "done" })
		time.Sleep(6 * time.Second)
		w.submit("a", newJob("job-2", "array", 1))
		w.eventually(4*time.Second, "the next one runs", func() bool { return len(w.machinesRunning("job-2/0")) == 1 })
		time.Sleep(5 * time.Second)
		m1.SetSilent(true)
		a.kill()
		time.Sleep(200 * time.Millisecond)
		a = w.startNode("a")
		w.eventually(5*time.Second, "it owns the pool again", func() bool { return a.elector.Cluster() != nil })
		if w.network.ReleaseHeld() < 2 {
			t.Fatal("no copies were kept")
		}
		w.startWorker("m2", "south")
		time.Sleep(4 * time.Second)
		m1.SetSilent(false)
		w.consistently(30*time.Second, "job-2 goes on where it is", func() bool { return len(w.machinesRunning("job-2/0")) == 1 && w.machinesRunning("job-2/0")[0] == "m1" })
		if m1.StartCount("job-1/0") != 1 || m1.StartCount("job-2/0") != 1 || len(w.machinesRunning("job-1/0")) != 0 {
			t.Fatal("something was started again")
		}
		m1.EndTask("job-2/0", "done")
		w.eventually(8*time.Second, "done", func() bool { return w.status("a", "job-2") == "done" && w.status("a", "job-1") == "done" })
	})
}

func TestControllersRestartedAtOnceKeepTasksRunning(t *testing.T) {
	t.Parallel()
	// The leader; the candidate in the middle of its takeover; all at once.
	scenario(t, func(t *testing.T, w *testCluster) {
		w.startNode("a")
		w.startNode("b")
		w.startWorker("m1", "north")
		w.startWorker("m2", "south")
		time.Sleep(10 * time.Second)
		w.submit("a", newJob("job-1", "standing", 4))
		w.eventually(4*time.Second, "it runs", func() bool { return len(w.machinesRunning("job-1/3")) == 1 })
		again := func(n *testNode) {
			n.kill()
			time.Sleep(150 * time.Millisecond)
			w.startNode(n.name)
		}
		settled := func() {
			w.eventually(10*time.Second, "an owner", func() bool { return w.leader() != nil })
			time.Sleep(6 * time.Second)
		}
		again(w.leader())
		settled()
		first := w.leader()
		first.kill()
		// The other takes over about a hold's life later, and ends right then.
		w.eventually(5*time.Second, "a takeover", func() bool { return w.leader() != nil })
		again(w.leader())
		time.Sleep(100 * time.Millisecond)
		w.startNode(first.name)
		settled()
		for _, n := range []*testNode{w.nodes["a"], w.nodes["b"]} {
			n.kill()
		}
		w.startNode("a")
		w.startNode("b")
		settled()
		w.submit("b", newJob("job-2", "array", 2))
		w.eventually(5*time.Second, "new work runs", func() bool { return len(w.machinesRunning("job-2/1")) == 1 })
		for _, task := range []string{"job-1/0", "job-1/1", "job-1/2", "job-1/3"} {
			n := w.workerNamed("m1").StartCount(task) + w.workerNamed("m2").StartCount(task)
			if n != 1 || len(w.machinesRunning(task)) != 1 {
				t.Errorf("%s was started %d times and is on %v", task, n, w.machinesRunning(task))
			}
		}
	})
}

func TestMachineBackUnderItsNameRunsLostTaskAgainOnce(t *testing.T) {
	t.Parallel()
	// It lost its tasks and counts from the beginning again: what ran there
	// must run again, once.
	scenario(t, func(t *testing.T, w *testCluster) {
		w.startNode("a")
		m1 := w.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		w.submit("a", newJob("job-1", "array", 1))
		w.eventually(4*time.Second, "it runs", func() bool { return len(w.machinesRunning("job-1/0")) == 1 })
		time.Sleep(5 * time.Second)
		m1.SetSilent(true)
		m1.EndTask("job-1/0", "error") // it went with the machine
		w.workers = nil
		time.Sleep(200 * time.Millisecond)
		w.startWorker("m1", "north")
		w.startWorker("m2", "south")
		w.eventually(60*time.Second, "it runs again", func() bool { return len(w.machinesRunning("job-1/0")) == 1 })
		w.consistently(20*time.Second, "once", func() bool { return len(w.machinesRunning("job-1/0")) == 1 })
	})
}

func TestAcceptedJobsAreKnownSoonAfterOutage(t *testing.T) {
	t.Parallel()
	// One unanswered for 75 s after that counts as forgotten, on any node.
	scenario(t, func(t *testing.T, w *testCluster) {
		a, b := w.startNode("a"), w.startNode("b")
		m1 := w.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		w.submit("a", newJob("job-1", "array", 1))
		w.submit("b", newJob("job-2", "standing", 1))
		w.submit("b", newJob("job-3", "array", 9)) // more than there is room for
		w.eventually(4*time.Second, "they run", func() bool { return len(w.machinesRunning("job-1/0")) == 1 && len(w.machinesRunning("job-2/0")) == 1 })
		m1.EndTask("job-1/0", "done")
		w.eventually(5*time.Second, "done", func() bool { return w.status("a", "job-1") == "done" })
		if code, _ := w.call("a", "POST", "/v2/runs/job-3/cancel", nil); code != 200 {
			t.Fatalf("cancel answered %d", code)
		}
		w.store.SetDown(true)
		time.Sleep(10 * time.Second)
		a.kill()
		b.kill()
		time.Sleep(time.Second)
		w.startNode("a")
		w.startNode("b")
		time.Sleep(30 * time.Second)
		for _, n := range []string{"a", "b"} {
			if code, _ := w.call(n, "GET", "/v2/runs/job-2", nil); code != 503 {
				t.Fatalf("%s answered %d for what it cannot know in the outage", n, code)
			}
		}
		w.store.SetDown(false)
		want := map[string]string{"job-1": "done", "job-2": "running", "job-3": "cancelled"}
		w.eventually(20*time.Second, "each node knows each job", func() bool {
			for _, n := range []string{"a", "b"} {
				for id, s := range want {
					if w.status(n, id) != s {
						return false
					}
				}
			}
			return true
		})
		for id, s := range want {
			if code, out := w.call("b", "POST", "/v2/runs", newJob(id, "array", 1)); code != 200 || out["status"] != s {
				t.Errorf("a repeat of %s got %d %v", id, code, out)
			}
		}
		w.consistently(30*time.Second, "the cancelled one stays away", func() bool { return len(w.machinesRunning("job-3/0")) == 0 && w.status("a", "job-3") == "cancelled" })
	})
}
