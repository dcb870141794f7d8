package scenarios

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// The gap: the state service refuses the leader alone, another controller confirms
// cancellations, and then it is out for all, for longer than cancel_s, while workers
// go on reporting to the old leader. cancel_s is 40 s here, a lease 20 s.
const cancelLimit = 40 * time.Second

// startWithReplicas is a test cluster in which replicas run on two machines, under a leader that is
// cut from the other controller.
func startWithReplicas(w *testCluster) (leader, other *testNode) {
	w.startNode("a")
	w.startNode("b")
	w.startWorker("m1", "north")
	w.startWorker("m2", "south")
	time.Sleep(10 * time.Second)
	w.submit("a", newJob("job-1", "standing", 4))
	w.submit("b", newJob("job-2", "standing", 2))
	w.eventually(5*time.Second, "replicas run", func() bool { return w.allRunning("job-1", 4) && w.allRunning("job-2", 2) })
	time.Sleep(3 * time.Second)
	leader = w.leader()
	return leader, w.nodes[map[string]string{"a": "b", "b": "a"}[leader.name]]
}

// partitionFromPeerAndState cuts a node from what of the state service's paths, and from its peer.
func (w *testCluster) partitionFromPeerAndState(n *testNode, paths ...string) {
	w.network.SetRule(func(from, to string, r *http.Request, _ []byte) fake.Outcome {
		if isBetween(from, to, "a", "b") {
			return fake.Drop
		}
		for _, p := range paths {
			if from == n.name && to == "state:1" && strings.HasPrefix(r.URL.Path, p) {
				return fake.Drop
			}
		}
		return fake.Deliver
	})
}

// confirmCancellation has a node confirm a cancellation, and returns when it did.
func (w *testCluster) confirmCancellation(at *testNode, job string) time.Time {
	w.t.Helper()
	w.eventually(3*time.Second, "cancellation of "+job+" confirmed", func() bool {
		code, out := w.call(at.name, "POST", "/v2/runs/"+job+"/cancel", nil)
		return code == 200 && out["status"] == "cancelled"
	})
	return time.Now()
}

// requireStopped checks that a job's tasks are gone within cancel_s of its confirmed
// cancellation, and stay away.
func (w *testCluster) requireStopped(told time.Time, job string, tasks int, after time.Duration) {
	w.t.Helper()
	gone := func() bool {
		for i := range tasks {
			if len(w.machinesRunning(job+"/"+string(rune('0'+i)))) > 0 {
				return false
			}
		}
		return true
	}
	w.eventually(time.Until(told.Add(cancelLimit)), job+" gone within cancel_s", gone)
	w.consistently(after, job+" stays away", gone)
}

func TestTasksCancelledWhileLeaderIsIsolatedStopDespiteOutage(t *testing.T) {
	t.Parallel()
	// Guards against a leader that keeps cancelled tasks alive or starts them: it was
	// refused alone when they were cancelled, then nobody was served for long.
	for _, outage := range []time.Duration{8 * time.Second, 25 * time.Second, 77 * time.Second} {
		scenario(t, func(t *testing.T, w *testCluster) {
			leader, other := startWithReplicas(w)
			w.partitionFromPeerAndState(leader, "/")
			time.Sleep(300 * time.Millisecond)
			told := w.confirmCancellation(other, "job-1")
			w.store.SetDown(true) // its hold lasts until the outage is over
			down := time.Now()
			time.Sleep(2 * time.Second)
			w.network.SetRule(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
				if isBetween(from, to, "a", "b") {
					return fake.Drop
				}
				return fake.Deliver
			})
			w.eventually(time.Until(down.Add(min(outage, 16*time.Second))), "", func() bool {
				if len(w.machinesRunning("job-2/0")) != 1 {
					t.Fatalf("what nobody cancelled ended after %v of the outage", time.Since(down))
				}
				return time.Since(down) > min(outage, 16*time.Second)-time.Second
			})
			if rest := time.Until(down.Add(outage)); outage < cancelLimit {
				time.Sleep(rest)
				w.store.SetDown(false)
			}
			w.requireStopped(told, "job-1", 4, 30*time.Second)
			w.store.SetDown(false)
			w.network.SetRule(nil)
			w.requireStopped(told, "job-1", 4, 40*time.Second)
			w.eventually(20*time.Second, "what was not cancelled runs", func() bool { return w.allRunning("job-2", 2) })
		})
	}
}

func TestLeaderThatCannotReadRenewsNoWorkerLeases(t *testing.T) {
	t.Parallel()
	// Guards against a leader whose renewals succeed while it can't read what was
	// cancelled: after an outage its hold has its full time, its reads may lag.
	scenario(t, func(t *testing.T, w *testCluster) {
		leader, other := startWithReplicas(w)
		w.partitionFromPeerAndState(leader, "/kv", "/follow")
		time.Sleep(14 * time.Second) // its open watch is over
		told := w.confirmCancellation(other, "job-1")
		w.requireStopped(told, "job-1", 4, 10*time.Second)
		if leader.elector.Cluster() == nil {
			t.Fatal("it did not keep the pool: the story shows nothing")
		}
		w.network.SetRule(nil)
		w.eventually(20*time.Second, "what was not cancelled runs", func() bool { return w.allRunning("job-2", 2) })
		w.eventually(20*time.Second, "the end is stored", func() bool { return w.store.Value("end/job-1") != nil })
	})
}

func TestNewLeaderWithoutRecordsRenewsNoWorkerLeases(t *testing.T) {
	t.Parallel()
	// Guards against a successor without the records: it must neither answer beats
	// nor start or stop anything until it has read them all.
	scenario(t, func(t *testing.T, w *testCluster) {
		leader, other := startWithReplicas(w)
		w.network.SetRule(func(from, to string, r *http.Request, _ []byte) fake.Outcome {
			switch {
			case isBetween(from, to, "a", "b"), from == leader.name && to == "state:1":
				return fake.Drop
			case from == other.name && r.URL.Path == "/kv/none" && other.elector.Cluster() != nil:
				return fake.Drop // it reads nothing after its takeover
			}
			return fake.Deliver
		})
		told := w.confirmCancellation(other, "job-1")
		w.eventually(5*time.Second, "the other took over", func() bool { return other.elector.Cluster() != nil })
		w.store.SetDown(true)
		w.requireStopped(told, "job-1", 4, 30*time.Second)
		w.store.SetDown(false)
		w.network.SetRule(nil)
		w.requireStopped(told, "job-1", 4, 30*time.Second)
		w.eventually(30*time.Second, "what was not cancelled runs", func() bool { return w.allRunning("job-2", 2) })
	})
}

func TestDelayedStartOfCancelledTaskIsRejectedInNewWorkerIncarnation(t *testing.T) {
	t.Parallel()
	// Guards against a direct start held back while its job is cancelled and the token
	// that would turn it away can't be raised: the session must not outlive cancel_s.
	scenario(t, func(t *testing.T, w *testCluster) {
		w.startNode("a")
		m1 := w.startWorker("m1", "north")
		time.Sleep(10300 * time.Millisecond)
		held := func(from, to string, r *http.Request, body []byte) fake.Outcome {
			switch {
			case r.URL.Path == "/commands" && strings.Contains(string(body), `"start"`):
				return fake.HoldBack
			case r.URL.Path == "/agent/beat" && from != "user":
				return fake.Drop // so that no beat carries the start
			case r.URL.Path == "/commit" && strings.Contains(string(body), "pool/generation\",\"value") && !strings.Contains(string(body), "pool/owner"):
				return fake.Refuse // the token can't be raised
			}
			return fake.Deliver
		}
		w.network.SetRule(held)
		w.submit("a", newJob("job-1", "array", 1))
		time.Sleep(300 * time.Millisecond)
		told := w.confirmCancellation(w.nodes["a"], "job-1")
		w.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			if r.URL.Path == "/agent/beat" {
				return fake.Deliver
			}
			return held(from, to, r, body)
		})
		time.Sleep(time.Until(told.Add(cancelLimit)))
		if w.network.ReleaseHeld() == 0 {
			t.Fatal("no start was held back")
		}
		w.consistently(20*time.Second, "the late start begins nothing", func() bool { return len(m1.ActiveTasks()) == 0 })
		w.network.SetRule(nil)
		w.eventually(40*time.Second, "the end is stored", func() bool { return w.store.Value("end/job-1") != nil })
		w.submit("a", newJob("job-2", "array", 1))
		w.eventually(10*time.Second, "the machine takes new work", func() bool { return len(w.machinesRunning("job-2/0")) == 1 })
	})
}

func TestIsolatedLeaderStartsNothingAnotherNodeMayHaveCancelled(t *testing.T) {
	t.Parallel()
	// Guards against a start marked before the leader lost the state service and sent
	// long after, by a beat's answer or directly, of a job that another node cancelled.
	scenario(t, func(t *testing.T, w *testCluster) {
		w.startNode("a")
		w.startNode("b")
		m1 := w.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		leader := w.leader()
		other := w.nodes[map[string]string{"a": "b", "b": "a"}[leader.name]]
		cut := false
		w.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			switch {
			case r.URL.Path == "/commands" && strings.Contains(string(body), `"start"`):
				return fake.Drop // marked and sent, but it does not arrive
			case strings.HasPrefix(from, "m1:"):
				return fake.Refuse
			case cut && (isBetween(from, to, "a", "b") || from == leader.name && to == "state:1"):
				return fake.Drop
			}
			return fake.Deliver
		})
		w.submit("a", newJob("job-1", "array", 1))
		w.eventually(2*time.Second, "marked", func() bool { return strings.Contains(string(w.store.Value("job/job-1")), `"places"`) })
		cut = true
		w.confirmCancellation(other, "job-1")
		w.store.SetDown(true)
		time.Sleep(4 * time.Second)
		w.network.SetRule(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
			if isBetween(from, to, "a", "b") || from == leader.name && to == "state:1" {
				return fake.Drop
			}
			return fake.Deliver
		})
		w.consistently(30*time.Second, "not started", func() bool { return m1.StartCount("job-1/0") == 0 })
		w.store.SetDown(false)
		w.network.SetRule(nil)
		w.consistently(30*time.Second, "not started", func() bool { return m1.StartCount("job-1/0") == 0 })
	})
}
