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
const cancelS = 40 * time.Second

// gapped is a test cluster in which replicas run on two machines, under a leader that is
// cut from the other controller.
func gapped(w *testCluster) (leader, other *testNode) {
	w.start("a")
	w.start("b")
	w.worker("m1", "north")
	w.worker("m2", "south")
	time.Sleep(10 * time.Second)
	w.submit("a", spec("job-1", "standing", 4))
	w.submit("b", spec("job-2", "standing", 2))
	w.until(5*time.Second, "replicas run", func() bool { return w.everywhere("job-1", 4) && w.everywhere("job-2", 2) })
	time.Sleep(3 * time.Second)
	leader = w.leader()
	return leader, w.nodes[map[string]string{"a": "b", "b": "a"}[leader.name]]
}

// without cuts a node from what of the state service's paths, and from its peer.
func (w *testCluster) without(n *testNode, paths ...string) {
	w.net.SetRule(func(from, to string, r *http.Request, _ []byte) fake.Outcome {
		if touches(from, to, "a", "b") {
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

// cancelled has a node confirm a cancellation, and returns when it did.
func (w *testCluster) cancelled(at *testNode, job string) time.Time {
	w.t.Helper()
	w.until(3*time.Second, "cancellation of "+job+" confirmed", func() bool {
		code, out := w.call(at.name, "POST", "/v2/runs/"+job+"/cancel", nil)
		return code == 200 && out["status"] == "cancelled"
	})
	return time.Now()
}

// goneBy checks that a job's tasks are gone within cancel_s of its confirmed
// cancellation, and stay away.
func (w *testCluster) goneBy(told time.Time, job string, tasks int, after time.Duration) {
	w.t.Helper()
	gone := func() bool {
		for i := range tasks {
			if len(w.on(job+"/"+string(rune('0'+i)))) > 0 {
				return false
			}
		}
		return true
	}
	w.until(time.Until(told.Add(cancelS)), job+" gone within cancel_s", gone)
	w.hold(after, job+" stays away", gone)
}

func TestTasksCancelledWhileLeaderIsIsolatedStopDespiteOutage(t *testing.T) {
	t.Parallel()
	// Guards against a leader that keeps cancelled tasks alive or starts them: it was
	// refused alone when they were cancelled, then nobody was served for long.
	for _, outage := range []time.Duration{8 * time.Second, 25 * time.Second, 77 * time.Second} {
		scenario(t, func(t *testing.T, w *testCluster) {
			leader, other := gapped(w)
			w.without(leader, "/")
			time.Sleep(300 * time.Millisecond)
			told := w.cancelled(other, "job-1")
			w.store.SetDown(true) // its hold lasts until the outage is over
			down := time.Now()
			time.Sleep(2 * time.Second)
			w.net.SetRule(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
				if touches(from, to, "a", "b") {
					return fake.Drop
				}
				return fake.Deliver
			})
			w.until(time.Until(down.Add(min(outage, 16*time.Second))), "", func() bool {
				if len(w.on("job-2/0")) != 1 {
					t.Fatalf("what nobody cancelled ended after %v of the outage", time.Since(down))
				}
				return time.Since(down) > min(outage, 16*time.Second)-time.Second
			})
			if rest := time.Until(down.Add(outage)); outage < cancelS {
				time.Sleep(rest)
				w.store.SetDown(false)
			}
			w.goneBy(told, "job-1", 4, 30*time.Second)
			w.store.SetDown(false)
			w.net.SetRule(nil)
			w.goneBy(told, "job-1", 4, 40*time.Second)
			w.until(20*time.Second, "what was not cancelled runs", func() bool { return w.everywhere("job-2", 2) })
		})
	}
}

func TestLeaderThatCannotReadRenewsNoWorkerLeases(t *testing.T) {
	t.Parallel()
	// Guards against a leader whose renewals succeed while it can't read what was
	// cancelled: after an outage its hold has its full time, its reads may lag.
	scenario(t, func(t *testing.T, w *testCluster) {
		leader, other := gapped(w)
		w.without(leader, "/kv", "/follow")
		time.Sleep(14 * time.Second) // its open watch is over
		told := w.cancelled(other, "job-1")
		w.goneBy(told, "job-1", 4, 10*time.Second)
		if leader.pool.Cluster() == nil {
			t.Fatal("it did not keep the pool: the story shows nothing")
		}
		w.net.SetRule(nil)
		w.until(20*time.Second, "what was not cancelled runs", func() bool { return w.everywhere("job-2", 2) })
		w.until(20*time.Second, "the end is stored", func() bool { return w.store.Value("end/job-1") != nil })
	})
}

func TestNewLeaderWithoutRecordsRenewsNoWorkerLeases(t *testing.T) {
	t.Parallel()
	// Guards against a successor without the records: it must neither answer beats
	// nor start or stop anything until it has read them all.
	scenario(t, func(t *testing.T, w *testCluster) {
		leader, other := gapped(w)
		w.net.SetRule(func(from, to string, r *http.Request, _ []byte) fake.Outcome {
			switch {
			case touches(from, to, "a", "b"), from == leader.name && to == "state:1":
				return fake.Drop
			case from == other.name && r.URL.Path == "/kv/none" && other.pool.Cluster() != nil:
				return fake.Drop // it reads nothing after its takeover
			}
			return fake.Deliver
		})
		told := w.cancelled(other, "job-1")
		w.until(5*time.Second, "the other took over", func() bool { return other.pool.Cluster() != nil })
		w.store.SetDown(true)
		w.goneBy(told, "job-1", 4, 30*time.Second)
		w.store.SetDown(false)
		w.net.SetRule(nil)
		w.goneBy(told, "job-1", 4, 30*time.Second)
		w.until(30*time.Second, "what was not cancelled runs", func() bool { return w.everywhere("job-2", 2) })
	})
}

func TestDelayedStartOfCancelledTaskIsRejectedInNewWorkerIncarnation(t *testing.T) {
	t.Parallel()
	// Guards against a direct start held back while its job is cancelled and the token
	// that would turn it away can't be raised: the session must not outlive cancel_s.
	scenario(t, func(t *testing.T, w *testCluster) {
		w.start("a")
		m1 := w.worker("m1", "north")
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
		w.net.SetRule(held)
		w.submit("a", spec("job-1", "array", 1))
		time.Sleep(300 * time.Millisecond)
		told := w.cancelled(w.nodes["a"], "job-1")
		w.net.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			if r.URL.Path == "/agent/beat" {
				return fake.Deliver
			}
			return held(from, to, r, body)
		})
		time.Sleep(time.Until(told.Add(cancelS)))
		if w.net.ReleaseHeld() == 0 {
			t.Fatal("no start was held back")
		}
		w.hold(20*time.Second, "the late start begins nothing", func() bool { return len(m1.ActiveTasks()) == 0 })
		w.net.SetRule(nil)
		w.until(40*time.Second, "the end is stored", func() bool { return w.store.Value("end/job-1") != nil })
		w.submit("a", spec("job-2", "array", 1))
		w.until(10*time.Second, "the machine takes new work", func() bool { return len(w.on("job-2/0")) == 1 })
	})
}

func TestIsolatedLeaderStartsNothingAnotherNodeMayHaveCancelled(t *testing.T) {
	t.Parallel()
	// Guards against a start marked before the leader lost the state service and sent
	// long after, by a beat's answer or directly, of a job that another node cancelled.
	scenario(t, func(t *testing.T, w *testCluster) {
		w.start("a")
		w.start("b")
		m1 := w.worker("m1", "north")
		time.Sleep(10 * time.Second)
		leader := w.leader()
		other := w.nodes[map[string]string{"a": "b", "b": "a"}[leader.name]]
		cut := false
		w.net.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			switch {
			case r.URL.Path == "/commands" && strings.Contains(string(body), `"start"`):
				return fake.Drop // marked and sent, but it does not arrive
			case strings.HasPrefix(from, "m1:"):
				return fake.Refuse
			case cut && (touches(from, to, "a", "b") || from == leader.name && to == "state:1"):
				return fake.Drop
			}
			return fake.Deliver
		})
		w.submit("a", spec("job-1", "array", 1))
		w.until(2*time.Second, "marked", func() bool { return strings.Contains(string(w.store.Value("job/job-1")), `"places"`) })
		cut = true
		w.cancelled(other, "job-1")
		w.store.SetDown(true)
		time.Sleep(4 * time.Second)
		w.net.SetRule(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
			if touches(from, to, "a", "b") || from == leader.name && to == "state:1" {
				return fake.Drop
			}
			return fake.Deliver
		})
		w.hold(30*time.Second, "not started", func() bool { return m1.StartCount("job-1/0") == 0 })
		w.store.SetDown(false)
		w.net.SetRule(nil)
		w.hold(30*time.Second, "not started", func() bool { return m1.StartCount("job-1/0") == 0 })
	})
}
