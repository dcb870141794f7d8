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
	scenario(t, func(t *testing.T, w *testCluster) {
		w.startNode("a")
		w.startNode("b")
		w.startWorker("m1", "north")
		w.eventually(15*time.Second, "a beat answered", func() bool { return w.store.Value("pool/owner") != nil })
		time.Sleep(8 * time.Second)
		w.submit("b", newJob("job-1", "array", 2))
		w.eventually(3*time.Second, "both tasks started quickly", func() bool { return len(w.machinesRunning("job-1/0")) == 1 && len(w.machinesRunning("job-1/1")) == 1 })
		w.workerNamed("m1").EndTask("job-1/0", "done")
		time.Sleep(5 * time.Second)
		if s := w.status("a", "job-1"); s != "running" {
			t.Fatalf("half done, but called %q", s)
		}
		w.workerNamed("m1").EndTask("job-1/1", "done")
		w.eventually(4*time.Second, "told done", func() bool { return w.status("a", "job-1") == "done" && w.status("b", "job-1") == "done" })
		// A repeat may come at any later time and gets the state, not a new job.
		time.Sleep(3 * time.Minute)
		if code, out := w.call("b", "POST", "/v2/runs", newJob("job-1", "array", 2)); code != 200 || out["status"] != "done" {
			t.Fatalf("a late repeat got %d %v", code, out)
		}
		w.consistently(10*time.Second, "nothing starts again", func() bool { return len(w.machinesRunning("job-1/0")) == 0 })
	})
}

func TestConcurrentLeadersStartTaskOnceAndDelayedTransactionIsVoid(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, w *testCluster) {
		a := w.startNode("a")
		w.eventually(5*time.Second, "a owns the pool", func() bool { return a.elector.Cluster() != nil })
		w.startWorker("m1", "north")
		time.Sleep(8 * time.Second)
		b := w.startNode("b")
		time.Sleep(2 * time.Second)
		// a's commits of places are held back; it is cut from the state service
		// and from b, but not from the worker.
		w.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
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
		w.submit("b", newJob("job-2", "array", 1))
		w.eventually(15*time.Second, "b takes over", func() bool { return b.elector.Cluster() != nil })
		w.eventually(60*time.Second, "the task runs under b", func() bool { return len(w.machinesRunning("job-2/0")) == 1 })
		if n := w.network.ReleaseHeld(); n > 0 {
			t.Logf("%d late transactions delivered", n)
		}
		w.consistently(20*time.Second, "the task goes on undisturbed", func() bool { return len(w.machinesRunning("job-2/0")) == 1 })
		w.network.SetRule(nil)
		w.eventually(10*time.Second, "a steps down", func() bool { return a.elector.Cluster() == nil })
		if n := w.workerNamed("m1").StartCount("job-2/0"); n != 1 {
			t.Fatalf("started %d times", n)
		}
	})
}

func TestStartDelayedByMinutesIsRejected(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, w *testCluster) {
		w.startNode("a")
		w.startWorker("m1", "north")
		w.startWorker("m2", "south")
		time.Sleep(10300 * time.Millisecond) // between beats: the start goes straight to the worker
		w.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			if r.URL.Path == "/commands" && strings.Contains(string(body), `"start"`) {
				return fake.HoldBack
			}
			return fake.Deliver
		})
		w.submit("a", newJob("job-3", "array", 1))
		// The beats carry the same start, and it runs once.
		w.eventually(6*time.Second, "it runs by way of a beat", func() bool { return len(w.machinesRunning("job-3/0")) == 1 })
		at := w.workerNamed(w.machinesRunning("job-3/0")[0])
		at.EndTask("job-3/0", "done")
		w.eventually(4*time.Second, "done", func() bool { return w.status("a", "job-3") == "done" })
		time.Sleep(2 * time.Minute)
		if w.network.ReleaseHeld() == 0 {
			t.Fatal("no start was held back")
		}
		w.consistently(10*time.Second, "the late start begins nothing", func() bool { return len(w.machinesRunning("job-3/0")) == 0 })
		if n := at.StartCount("job-3/0"); n != 1 {
			t.Fatalf("started %d times", n)
		}
	})
}

func TestTaskOfWorkerPartitionedDuringFailoverIsRescheduledAfterLeaseExpiry(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, w *testCluster) {
		a := w.startNode("a")
		m1 := w.startWorker("m1", "north")
		time.Sleep(8 * time.Second)
		w.submit("a", newJob("job-4", "array", 1))
		w.eventually(3*time.Second, "it runs", func() bool { return len(w.machinesRunning("job-4/0")) == 1 })
		// m1 and a are cut off together: a goes on answering m1.
		w.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			inside := func(h string) bool { return h == "a" || h == "a:8080" || strings.HasPrefix(h, "m1") }
			if inside(from) != inside(to) {
				return fake.Drop
			}
			return fake.Deliver
		})
		b := w.startNode("b")
		w.startWorker("m2", "south")
		w.eventually(15*time.Second, "b owns the pool", func() bool { return b.elector.Cluster() != nil })
		took := time.Now()
		// While a still answers, the task is on m1 and must not start on m2.
		w.eventually(3*time.Minute, "it runs on m2", func() bool { at := w.machinesRunning("job-4/0"); return len(at) == 1 && at[0] == "m2" })
		if d := time.Since(took); d < 36*time.Second {
			t.Fatalf("started elsewhere after only %v", d)
		}
		if len(m1.ActiveTasks()) != 0 {
			t.Fatal("m1 still has it")
		}
		_ = a
	})
}

func TestFormerLeadersConfirmationShortensLeaseWait(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, w *testCluster) {
		a := w.startNode("a")
		w.startWorker("m1", "north")
		time.Sleep(8 * time.Second)
		w.submit("a", newJob("job-5", "array", 1))
		w.eventually(3*time.Second, "it runs", func() bool { return len(w.machinesRunning("job-5/0")) == 1 })
		w.workerNamed("m1").SetSilent(true)
		b := w.startNode("b")
		a.kill()
		w.eventually(10*time.Second, "b owns the pool", func() bool { return b.elector.Cluster() != nil })
		took := time.Now()
		w.startNode("a")
		w.startWorker("m2", "south")
		w.eventually(35*time.Second, "it runs on m2", func() bool { at := w.machinesRunning("job-5/0"); return len(at) == 1 && at[0] == "m2" })
		if d := time.Since(took); d > 30*time.Second {
			t.Fatalf("took %v although the old owner's node confirmed", d)
		}
	})
}

func TestCrashOfAllControllersDuringLongOutageLosesNoWork(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, w *testCluster) {
		a, b := w.startNode("a"), w.startNode("b")
		w.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		w.submit("a", newJob("job-6", "standing", 1))
		w.submit("a", newJob("job-7", "array", 1))
		w.eventually(3*time.Second, "both run", func() bool { return len(w.machinesRunning("job-6/0")) == 1 && len(w.machinesRunning("job-7/0")) == 1 })
		w.store.SetDown(true)
		time.Sleep(8 * time.Second)
		a.kill()
		b.kill()
		time.Sleep(4 * time.Second)
		w.startNode("a")
		w.startNode("b")
		if code, _ := w.call("a", "POST", "/v2/runs", newJob("job-8", "array", 1)); code == 201 || code == 200 {
			t.Fatalf("accepted (%d) what could not be stored", code)
		}
		w.workerNamed("m1").EndTask("job-7/0", "done")
		time.Sleep(2 * time.Second)
		w.store.SetDown(false)
		w.eventually(12*time.Second, "the outcome is told", func() bool { return w.status("a", "job-7") == "done" })
		w.consistently(10*time.Second, "the replica went on", func() bool { return len(w.machinesRunning("job-6/0")) == 1 })
		if n := w.workerNamed("m1").StartCount("job-6/0"); n != 1 {
			t.Fatalf("the replica was started %d times", n)
		}
	})
}

func TestWaitingGangReplacesLostTaskUnderSameAttempt(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, w *testCluster) {
		w.startNode("a")
		w.startWorker("m1", "north")
		w.startWorker("m2", "south")
		time.Sleep(10 * time.Second)
		s := newJob("job-9", "gang", 2)
		s["cores"] = 3
		w.submit("a", s)
		w.eventually(3*time.Second, "both tasks are there", func() bool { return len(w.machinesRunning("job-9/0")) == 1 && len(w.machinesRunning("job-9/1")) == 1 })
		w.workerNamed("m1").SetTaskStatus("job-9/0", "waiting")
		w.workerNamed("m1").SetTaskStatus("job-9/1", "waiting")
		w.workerNamed("m2").SetTaskStatus("job-9/0", "waiting")
		w.workerNamed("m2").SetTaskStatus("job-9/1", "waiting")
		time.Sleep(5 * time.Second)
		gone := w.machinesRunning("job-9/0")[0]
		w.workerNamed(gone).SetSilent(true)
		w.startWorker("m3", "north")
		w.eventually(40*time.Second, "the lost task is replaced", func() bool { at := w.machinesRunning("job-9/0"); return len(at) == 1 && at[0] == "m3" })
		if n := w.workerNamed("m3").Starts[0]; n != "job-9/0#1" {
			t.Fatalf("replaced as %s, not under the same attempt", n)
		}
	})
}

func TestRunningGangThatLosesTaskRestartsAsWhole(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"running", "flushing"} {
		scenario(t, func(t *testing.T, w *testCluster) {
			w.startNode("a")
			w.startWorker("m1", "north")
			w.startWorker("m2", "south")
			time.Sleep(10 * time.Second)
			s := newJob("job-10", "gang", 2)
			s["cores"] = 3
			w.submit("a", s)
			w.eventually(3*time.Second, "both tasks are there", func() bool { return len(w.machinesRunning("job-10/0")) == 1 && len(w.machinesRunning("job-10/1")) == 1 })
			lost, other := w.workerNamed(w.machinesRunning("job-10/0")[0]), w.workerNamed(w.machinesRunning("job-10/1")[0])
			other.SetTaskStatus("job-10/1", status)
			time.Sleep(5 * time.Second)
			w.startWorker("m3", "north")
			lost.EndTask("job-10/0", "error")
			// Until the old attempt's other task has ended, no new attempt begins.
			w.consistently(12*time.Second, "no second attempt beside the first", func() bool { return len(w.machinesRunning("job-10/0")) == 0 })
			other.EndTask("job-10/1", "peers")
			w.eventually(10*time.Second, "a new attempt of both", func() bool { return len(w.machinesRunning("job-10/0")) == 1 && len(w.machinesRunning("job-10/1")) == 1 })
			for _, k := range w.workers {
				for _, st := range k.Starts {
					if !strings.HasSuffix(st, "#1") && !strings.HasSuffix(st, "#2") {
						t.Fatalf("unexpected start %s", st)
					}
				}
			}
		})
	}
}

func TestCancellationRacingStartLeavesNoTask(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, w *testCluster) {
		w.startNode("a")
		w.startNode("b")
		w.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		w.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			if r.URL.Path == "/commands" {
				return fake.HoldBack
			}
			return fake.Deliver
		})
		w.submit("a", newJob("job-11", "array", 1))
		time.Sleep(300 * time.Millisecond) // the marker is stored, the start under way
		if code, out := w.call("b", "POST", "/v2/runs/job-11/cancel", nil); code != 200 || out["status"] != "cancelled" {
			t.Fatalf("cancel answered %d %v", code, out)
		}
		w.eventually(38*time.Second, "gone for good", func() bool { return w.store.Value("end/job-11") != nil })
		w.network.ReleaseHeld()
		w.consistently(20*time.Second, "the late start is turned away", func() bool { return len(w.machinesRunning("job-11/0")) == 0 })
		if s := w.status("a", "job-11"); s != "cancelled" {
			t.Fatalf("called %q", s)
		}
	})
}

func TestUncertainTasksCountAgainstQuota(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, w *testCluster) {
		w.startNode("a")
		w.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		s := newJob("job-12", "array", 2) // the team's limit is 8 cores
		s["cores"] = 4
		w.submit("a", s)
		w.eventually(3*time.Second, "one runs", func() bool { return len(w.machinesRunning("job-12/0")) == 1 })
		w.workerNamed("m1").SetSilent(true)
		w.startWorker("m2", "south")
		w.startWorker("m3", "south")
		w.eventually(10*time.Second, "the other runs", func() bool { return len(w.machinesRunning("job-12/1")) == 1 })
		s = newJob("job-13", "array", 1)
		s["cores"] = 4
		w.submit("a", s)
		// m1 is silent: its task may be there until the lease has lapsed.
		w.consistently(10*time.Second, "no third task of four cores", func() bool { return len(w.machinesRunning("job-13/0")) == 0 })
		w.eventually(40*time.Second, "all is known again", func() bool { return len(w.machinesRunning("job-12/0")) == 1 && len(w.machinesRunning("job-12/1")) == 1 })
	})
}

func TestCommitWithLostResponseIsReadBack(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, w *testCluster) {
		w.startNode("a")
		w.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		lost := 0
		w.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			if r.URL.Path == "/commit" && strings.Contains(string(body), `"places"`) && lost < 2 {
				lost++
				return fake.DropResponse
			}
			return fake.Deliver
		})
		w.submit("a", newJob("job-14", "array", 1))
		w.eventually(12*time.Second, "it runs all the same", func() bool { return len(w.machinesRunning("job-14/0")) == 1 })
		w.workerNamed("m1").EndTask("job-14/0", "done")
		w.eventually(8*time.Second, "done", func() bool { return w.status("a", "job-14") == "done" })
		if lost == 0 {
			t.Fatal("no answer was lost")
		}
	})
}

func TestRestartedLeaderReleasesItsFormerLease(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, w *testCluster) {
		a := w.startNode("a")
		w.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		w.submit("a", newJob("job-15", "standing", 1))
		w.eventually(3*time.Second, "it runs", func() bool { return len(w.machinesRunning("job-15/0")) == 1 })
		a.kill()
		time.Sleep(100 * time.Millisecond)
		again := w.startNode("a")
		w.eventually(time.Second, "it owns the pool at once", func() bool { return again.elector.Cluster() != nil })
		w.consistently(30*time.Second, "the replica goes on", func() bool { return len(w.machinesRunning("job-15/0")) == 1 })
		if n := w.workerNamed("m1").StartCount("job-15/0"); n != 1 {
			t.Fatalf("started %d times", n)
		}
	})
}

func TestSpreadReplicaWaitsForMachineInOtherZone(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, w *testCluster) {
		w.startNode("a")
		w.startWorker("m1", "north")
		w.startWorker("m2", "north")
		time.Sleep(10 * time.Second)
		s := newJob("job-16", "standing", 2)
		s["spread"] = true
		w.submit("a", s)
		w.consistently(10*time.Second, "only one replica in the one zone", func() bool { return len(w.machinesRunning("job-16/0"))+len(w.machinesRunning("job-16/1")) <= 1 })
		w.startWorker("m3", "south")
		w.eventually(10*time.Second, "the other follows", func() bool { return len(w.machinesRunning("job-16/0")) == 1 && len(w.machinesRunning("job-16/1")) == 1 })
	})
}

func TestConsolidationStopsNothingDuringOutage(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, w *testCluster) {
		w.startNode("a")
		w.startWorker("m1", "north")
		w.startWorker("m2", "north")
		time.Sleep(10 * time.Second)
		s := newJob("job-17", "standing", 1)
		w.submit("a", s)
		w.eventually(3*time.Second, "it runs", func() bool { return len(w.machinesRunning("job-17/0")) == 1 })
		at := w.machinesRunning("job-17/0")[0]
		// The image must be on the other machine too, or nothing moves there.
		w.submit("a", newJob("job-18", "array", 8))
		w.eventually(3*time.Second, "arrays run", func() bool { return len(w.machinesRunning("job-18/0")) == 1 })
		time.Sleep(3 * time.Second)
		for i := range 8 {
			for _, k := range w.workers {
				k.EndTask("job-18/"+string(rune('0'+i)), "done")
			}
		}
		time.Sleep(45 * time.Second)
		w.store.SetDown(true)
		time.Sleep(2 * time.Second)
		w.nodes["a"].elector.Cluster().Consolidate(ids.Machine(at), time.Now())
		w.consistently(10*time.Second, "not moved while nothing can be stored", func() bool { return len(w.machinesRunning("job-17/0")) == 1 })
		w.store.SetDown(false)
		w.eventually(10*time.Second, "moved afterwards", func() bool { n := w.machinesRunning("job-17/0"); return len(n) == 1 && n[0] != at })
	})
}

// knownMachines counts the machines that a node, if it owns the pool, has heard.
func knownMachines(n *testNode) int {
	if n.elector.Cluster() == nil {
		return 0
	}
	hs, _ := n.elector.Cluster().Hints(claim.HintPosition{})
	return len(hs)
}

func TestNewLeaderProbesMachinesBeforeTheirHeartbeats(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, w *testCluster) {
		a := w.startNode("a")
		b := w.startNode("b")
		w.startWorker("m1", "north")
		w.eventually(12*time.Second, "heard", func() bool {
			return knownMachines(a) == 1 || knownMachines(b) == 1
		})
		first, second := a, b
		if a.elector.Cluster() == nil {
			first, second = b, a
		}
		second.elector.ReceiveHints(first.elector.Cluster().Hints(second.elector.HintPosition()))
		w.workerNamed("m1").SetSilent(true) // so that only being asked tells of it
		first.kill()
		w.eventually(5*time.Second, "a successor", func() bool { return second.elector.Cluster() != nil })
		w.eventually(2*time.Second, "m1 is known", func() bool { return knownMachines(second) == 1 })
	})
}

func TestLeaderPartitionedFromWorkersStepsDownWithoutScaleIn(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, w *testCluster) {
		a := w.startNode("a")
		b := w.startNode("b")
		for _, m := range []string{"m1", "m2", "m3", "m4"} {
			w.startWorker(m, "north")
		}
		w.eventually(10*time.Second, "an owner", func() bool { return a.elector.Cluster() != nil || b.elector.Cluster() != nil })
		first, second := a, b
		if a.elector.Cluster() == nil {
			first, second = b, a
		}
		time.Sleep(10 * time.Second)
		w.submit("a", newJob("job-19", "standing", 4))
		w.eventually(3*time.Second, "it runs", func() bool { return len(w.machinesRunning("job-19/3")) == 1 })
		w.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			if strings.HasPrefix(from, "m") && to == first.name+":8080" || from == first.name && strings.HasPrefix(to, "m") {
				return fake.Drop
			}
			return fake.Deliver
		})
		cut := time.Now()
		w.eventually(18*time.Second, "the other node owns the pool", func() bool {
			if o := first.elector.Cluster(); o != nil {
				if gone := o.MachinesToTerminate(time.Now(), nil); len(gone) > 0 {
					t.Fatalf("returned %v although this node alone is cut off", gone)
				}
				first.elector.HandleRedirectedWorkers(second.elector.RedirectedWorkers())
			}
			return second.elector.Cluster() != nil
		})
		t.Logf("gave way %v after the cut", time.Since(cut))
		w.consistently(40*time.Second, "the replicas go on", func() bool { return len(w.machinesRunning("job-19/3")) == 1 })
		for _, k := range w.workers {
			if k.StartCount("job-19/3") > 1 {
				t.Fatal("restarted")
			}
		}
	})
}
