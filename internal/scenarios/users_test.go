package scenarios

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// randomSource are drawn by many at once.
type randomSource struct {
	mu     sync.Mutex
	source *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{source: rand.New(rand.NewPCG(seed, 1))}
}

func (d *randomSource) intn(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source.IntN(n)
}

func (d *randomSource) milliseconds(from, to int) time.Duration {
	return time.Duration(from+d.intn(to-from+1)) * time.Millisecond
}

func (d *randomSource) node() string { return []string{"a", "b"}[d.intn(2)] }

// setRandomLatency makes calls take a few milliseconds, and one in twenty a few hundred.
func (w *testCluster) setRandomLatency(d *randomSource) {
	lag := func() time.Duration {
		if d.intn(20) == 0 {
			return d.milliseconds(50, 200)
		}
		return d.milliseconds(1, 8)
	}
	w.latency.Store(&lag)
}

// requestUntilDecided asks as users do, now at one node and now at another, until it is decided.
func (w *testCluster) requestUntilDecided(d *randomSource, method, path string, body any) (code int, status string) {
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
		var out map[string]any
		code, out = w.call(d.node(), method, path, body)
		switch code {
		case 200, 201, 400, 404, 422:
			status, _ = out["status"].(string)
			return code, status
		}
	}
	return code, ""
}

// nodeNames are all controllers' names; a scenario's users ask at each.
var nodeNames = []string{"a", "b"}

// askAllNodes asks at all nodes within milliseconds, and repeats the submission.
func (w *testCluster) askAllNodes(d *randomSource, s map[string]any) {
	var wg sync.WaitGroup
	for range 3 {
		for _, n := range nodeNames {
			gap := d.milliseconds(0, 6)
			wg.Go(func() {
				time.Sleep(gap)
				if gap%3 == 0 {
					w.call(n, "POST", "/v2/runs", s)
				} else {
					w.call(n, "GET", fmt.Sprintf("/v2/runs/%s", s["uid"]), nil)
				}
			})
		}
	}
	wg.Wait()
}

// awaitAgreement waits until all nodes call a job the same, which is over.
func (w *testCluster) awaitAgreement(within time.Duration, ids ...string) {
	w.t.Helper()
	for _, id := range ids {
		last := map[string]string{}
		w.eventually(within, id+" is over and told alike by all", func() bool {
			for _, n := range nodeNames {
				last[n] = w.status(n, id)
			}
			return last["a"] == last["b"] && (last["a"] == "done" || last["a"] == "cancelled")
		})
	}
}

func TestNodesAnswerConsistentlyWithinMilliseconds(t *testing.T) {
	t.Parallel()
	// Guards against a node that answers something older, or with 404, than another
	// one told just before: after an acceptance, an end and a confirmed cancel.
	for seed := range uint64(4) {
		parallelScenario(t, fmt.Sprint(seed), func(t *testing.T, w *testCluster) {
			d := newRandomSource(seed)
			w.startNode("a")
			w.startNode("b")
			w.startWorker("m1", "north")
			w.startWorker("m2", "south")
			time.Sleep(10 * time.Second)
			w.setRandomLatency(d)
			var ids []string
			var wg sync.WaitGroup
			for i := range 24 {
				id := fmt.Sprintf("job-%d", i+1)
				ids = append(ids, id)
				s := newJob(id, "array", 1+d.intn(2))
				wg.Go(func() {
					time.Sleep(d.milliseconds(0, 20000))
					if code, _ := w.requestUntilDecided(d, "POST", "/v2/runs", s); code != 201 {
						t.Errorf("a submission of %s got %d", id, code)
						return
					}
					w.askAllNodes(d, s)
					if how := d.intn(4); how < 2 {
						time.Sleep(time.Duration(how) * d.milliseconds(0, 1500))
						w.requestUntilDecided(d, "POST", "/v2/runs/"+id+"/cancel", nil)
						w.askAllNodes(d, s)
						return
					}
					for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(d.milliseconds(50, 300)) {
						for _, k := range w.workers {
							for n := range 2 {
								k.EndTask(fmt.Sprintf("%s/%d", id, n), "done")
							}
						}
						if w.status(d.node(), id) == "done" {
							w.askAllNodes(d, s)
							return
						}
					}
					t.Errorf("%s is not done", id)
				})
			}
			wg.Wait()
			w.awaitAgreement(10*time.Second, ids...)
			w.consistently(45*time.Second, "", func() bool { return true })
		})
	}
}

func TestRequestsRacingTaskCompletionGetConsistentAnswers(t *testing.T) {
	t.Parallel()
	// Guards against two winners: whatever is told first, every node tells from then on.
	for seed := range uint64(4) {
		parallelScenario(t, fmt.Sprint(seed), func(t *testing.T, w *testCluster) {
			d := newRandomSource(seed)
			w.startNode("a")
			w.startNode("b")
			w.startWorker("m1", "north")
			w.startWorker("m2", "south")
			time.Sleep(10 * time.Second)
			w.setRandomLatency(d)
			for round := range 6 {
				var wg sync.WaitGroup
				var ids []string
				for i := range 8 {
					id := fmt.Sprintf("job-%d%d", round+1, i)
					ids = append(ids, id)
					if code, _ := w.requestUntilDecided(d, "POST", "/v2/runs", newJob(id, "array", 1)); code != 201 {
						t.Fatalf("a submission got %d", code)
					}
				}
				w.eventually(20*time.Second, "they run", func() bool {
					for _, id := range ids {
						if !w.allRunning(id, 1) {
							return false
						}
					}
					return true
				})
				for i, id := range ids {
					wg.Go(func() {
						time.Sleep(d.milliseconds(0, 500))
						for _, k := range w.workers {
							k.EndTask(id+"/0", "done")
						}
					})
					if i%4 != 3 {
						wg.Go(func() {
							time.Sleep(d.milliseconds(0, 800))
							w.requestUntilDecided(d, "POST", "/v2/runs/"+id+"/cancel", nil)
							w.askAllNodes(d, newJob(id, "array", 1))
						})
					}
					for range 4 {
						wg.Go(func() {
							time.Sleep(d.milliseconds(0, 1200))
							w.askAllNodes(d, newJob(id, "array", 1))
						})
					}
				}
				wg.Wait()
				w.awaitAgreement(10*time.Second, ids...)
			}
		})
	}
}

// transactionKind names what a transaction to the state service does.
func transactionKind(r *http.Request, body []byte) string {
	var txn struct {
		When []struct {
			Key   string
			Stamp uint64
		}
		Then []struct{ Put, Remove string }
	}
	if r.URL.Path != "/commit" || json.Unmarshal(body, &txn) != nil {
		return ""
	}
	var owns, fresh, raises, takes, ends bool
	for _, c := range txn.When {
		owns = owns || c.Key == "pool/generation"
		fresh = fresh || strings.HasPrefix(c.Key, "job/") && !strings.HasPrefix(c.Key, "job/cancel/") && c.Stamp == 0
	}
	for _, op := range txn.Then {
		takes = takes || op.Put == "pool/owner"
		raises = raises || op.Put == "pool/generation"
		ends = ends || strings.HasPrefix(op.Put, "end/")
	}
	switch {
	case takes:
		return "takeover"
	case raises:
		return "raise"
	case owns && ends:
		return "outcome"
	case owns:
		return "marker"
	case fresh:
		return "submission"
	}
	return "cancel"
}

func TestLostResponsesAndDelayedTransactionsAreReconciled(t *testing.T) {
	t.Parallel()
	// Guards against counting a transaction without an answer as one that was not
	// carried out, or will not be: half of one kind, or of all, get none. They are
	// carried out at once, while others read what they wrote, or 2 to 12 s later,
	// after newer ones of the same controller.
	for _, what := range []string{"submission", "cancel", "marker", "outcome", "takeover", "raise", "any"} {
		for fate, name := range map[fake.Outcome]string{fake.DropResponse: "answer lost", fake.Delay: "late"} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%s %s %d", what, name, seed), func(t *testing.T) {
					t.Parallel()
					scenario(t, func(t *testing.T, w *testCluster) {
						runTransactionFaults(t, w, newRandomSource(seed), what, fate, seed%2 == 1)
					})
				})
			}
		}
	}
}

// completeTasksUntil has every task complete after a while, until over.
func (w *testCluster) completeTasksUntil(over <-chan struct{}, d *randomSource, from, to int) {
	ends := map[string]time.Time{}
	for {
		for _, k := range w.workers {
			for _, task := range k.ActiveTasks() {
				if at := ends[task]; at.IsZero() {
					ends[task] = time.Now().Add(d.milliseconds(from, to))
				} else if time.Now().After(at) {
					k.EndTask(task, "done")
				}
			}
		}
		select {
		case <-over:
			return
		case <-w.ctx.Done():
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func runTransactionFaults(t *testing.T, w *testCluster, d *randomSource, what string, fate fake.Outcome, holdDies bool) {
	w.startNode("a")
	w.startNode("b")
	w.startWorker("m1", "north")
	w.startWorker("m2", "south")
	time.Sleep(10 * time.Second)
	w.setRandomLatency(d)
	w.network.SetDelay(func() time.Duration { return d.milliseconds(2000, 12000) })
	var mu sync.Mutex // of hits
	hits := 0
	hit := func(from, to string, r *http.Request, body []byte) fake.Outcome {
		k := transactionKind(r, body)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case holdDies && what == "takeover" && hits > 0 && hits < 3 && strings.HasSuffix(r.URL.Path, "/renew"):
			return fake.Drop // so that the hold is gone when the takeover is carried out
		case what == "raise" && to != "state:1" && r.URL.Path == "/commands" && strings.Contains(string(body), `"start"`):
			return fake.HoldBack // an uncertain start, which only a raised generation turns away
		case k != "" && (what == "any" || k == what) && (hits == 0 || d.intn(2) == 0):
			hits++
			return fate
		}
		return fake.Deliver
	}
	w.submit("a", newJob("job-90", "array", 1)) // a pipeline, on which others hang
	w.submit("b", dependingOn(newJob("job-91", "array", 1), "job-90"))
	w.network.SetRule(hit)
	over := make(chan struct{})
	var wg, askers sync.WaitGroup
	ids := []string{"job-90", "job-91"}
	for i := range 16 {
		id := fmt.Sprintf("job-%d", i+1)
		ids = append(ids, id)
		s := newJob(id, "array", 1)
		cancelled := i%2 == 0
		if i%4 < 2 {
			dependingOn(s, []string{"job-90", "job-91"}[i%8/4])
		}
		wg.Go(func() {
			time.Sleep(time.Duration(i) * d.milliseconds(500, 2000))
			code, _ := w.requestUntilDecided(d, "POST", "/v2/runs", s)
			if code != 200 && code != 201 {
				t.Errorf("a submission of %s got %d", id, code)
				return
			}
			askers.Go(func() {
				for {
					select {
					case <-over:
						return
					case <-w.ctx.Done():
						return
					case <-time.After(d.milliseconds(300, 900)):
						w.call(d.node(), "GET", "/v2/runs/"+id, nil)
					}
				}
			})
			if what == "raise" {
				time.Sleep(d.milliseconds(50, 500)) // while the start is uncertain
			} else {
				time.Sleep(d.milliseconds(100, 6000))
			}
			if cancelled {
				if code, _ := w.requestUntilDecided(d, "POST", "/v2/runs/"+id+"/cancel", nil); code != 200 {
					t.Errorf("a cancel of %s got %d", id, code)
				}
			}
		})
	}
	askers.Go(func() { w.completeTasksUntil(over, d, 1000, 5000) })
	time.Sleep(5 * time.Second)
	if what == "takeover" || what == "any" {
		if o := w.leader(); o != nil {
			o.kill()
			time.Sleep(4 * time.Second)
			w.startNode(o.name)
		}
	}
	wg.Wait()
	// Luck may have spared all of the kind: then more jobs come until one is hit.
	spared := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return hits == 0
	}
	for i := 0; spared() && i < 60; i++ {
		id := fmt.Sprintf("job-%d", 200+i)
		ids = append(ids, id)
		w.requestUntilDecided(d, "POST", "/v2/runs", newJob(id, "array", 1))
		time.Sleep(d.milliseconds(10, 300))
		w.requestUntilDecided(d, "POST", "/v2/runs/"+id+"/cancel", nil)
	}
	w.network.SetRule(nil)
	w.network.ReleaseHeld()
	time.Sleep(13 * time.Second) // the last late one is carried out
	w.eventually(60*time.Second, "an owner", func() bool { return w.leader() != nil })
	w.awaitAgreement(90*time.Second, ids...)
	close(over)
	askers.Wait()
	if hits == 0 {
		t.Error("no transaction was hit")
	}
}

func TestInvalidOrUnschedulableJobsAreRejectedByEveryNode(t *testing.T) {
	t.Parallel()
	// Guards against accepting what can't run, and against refusing the repeat of what
	// was accepted; also right after both controllers came back.
	scenario(t, func(t *testing.T, w *testCluster) {
		w.startNode("a")
		w.startNode("b")
		w.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		w.submit("a", newJob("job-1", "array", 1))
		w.submit("b", newJob("job-2", "array", 1))
		w.call("b", "POST", "/v2/runs/job-2/cancel", nil)
		check := func() {
			n := 0
			refused := func(want int, change func(s map[string]any)) {
				n++
				id := fmt.Sprintf("job-%d", 100+n)
				s := newJob(id, "array", 1)
				change(s)
				for _, node := range nodeNames {
					if code, out := w.call(node, "POST", "/v2/runs", s); code != want {
						t.Errorf("%s answers %d %v, not %d, to %v", node, code, out, want, s)
					}
					if code, _ := w.call(node, "GET", "/v2/runs/"+id, nil); code != 404 {
						t.Errorf("%s answers %d for a job refused", node, code)
					}
				}
				for known, status := range map[string]string{"job-1": "running", "job-2": "cancelled"} {
					for _, node := range nodeNames {
						if code, out := w.call(node, "POST", "/v2/runs", newJob(known, "array", 1)); code != 200 || out["status"] != status {
							t.Errorf("%s answers %d %v to a repeat of %s", node, code, out, known)
						}
					}
				}
			}
			for f := range newJob("job-9", "array", 1) {
				refused(400, func(s map[string]any) { delete(s, f) })
				refused(400, func(s map[string]any) { s[f] = nil })
				refused(400, func(s map[string]any) { s[f] = []int{1} })
			}
			for f, bad := range map[string]any{"pieces": 0, "shape": "round", "urgency": "soon", "cores": -1, "dueS": -5, "pullGb": "1"} {
				refused(400, func(s map[string]any) { s[f] = bad })
			}
			refused(400, func(s map[string]any) { s["pieces"] = 1.5 })
			refused(400, func(s map[string]any) { s["pieces"] = 100001 })
			for f, never := range map[string]any{"owner": "nobody", "cores": 4.5, "accelerators": 1, "ramGb": 17, "builds": []string{"large"}, "yard": "east"} {
				refused(422, func(s map[string]any) { s[f] = never })
			}
			refused(422, func(s map[string]any) { s["builds"] = []string{} })
			refused(422, func(s map[string]any) { s["shape"], s["pieces"] = "gang", 9 })
			refused(422, func(s map[string]any) { s["shape"], s["pieces"] = "standing", 9 })
		}
		w.eventually(5*time.Second, "it runs", func() bool { return w.status("b", "job-1") == "running" })
		check()
		for _, n := range nodeNames {
			w.nodes[n].kill()
		}
		w.startNode("a")
		w.startNode("b")
		w.eventually(10*time.Second, "both answer", func() bool { return w.status("a", "job-1") == "running" && w.status("b", "job-1") == "running" })
		check()
	})
}

func TestSteadyStreamOfSmallJobsCompletesAcrossFailover(t *testing.T) {
	t.Parallel()
	// Guards against jobs that starve or stay without an answer under a steady rate of
	// small ones, a quarter of them cancelled, with a change of leader in the middle.
	for seed := range uint64(2) {
		parallelScenario(t, fmt.Sprint(seed), func(t *testing.T, w *testCluster) {
			d := newRandomSource(seed)
			w.startNode("a")
			w.startNode("b")
			w.startWorker("m1", "north")
			w.startWorker("m2", "south")
			w.startWorker("m3", "south")
			time.Sleep(10 * time.Second)
			w.setRandomLatency(d)
			over := make(chan struct{})
			var wg, ends sync.WaitGroup
			ends.Go(func() {
				since := map[string]time.Time{}
				for {
					for _, k := range w.workers {
						for _, task := range k.ActiveTasks() {
							if since[task].IsZero() {
								since[task] = time.Now()
							} else if time.Since(since[task]) > 800*time.Millisecond {
								k.EndTask(task, "done")
							}
						}
					}
					select {
					case <-over:
						return
					case <-w.ctx.Done():
						return
					case <-time.After(100 * time.Millisecond):
					}
				}
			})
			var mu sync.Mutex
			slowest := time.Duration(0)
			for i := range 480 {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * 250 * time.Millisecond)
					id := fmt.Sprintf("job-%d", i+1)
					began := time.Now()
					if code, _ := w.requestUntilDecided(d, "POST", "/v2/runs", newJob(id, "array", 1)); code != 201 && code != 200 {
						t.Errorf("the submission of %s got %d", id, code)
						return
					}
					if i%4 == 0 {
						time.Sleep(d.milliseconds(0, 2500))
						if code, _ := w.requestUntilDecided(d, "POST", "/v2/runs/"+id+"/cancel", nil); code != 200 {
							t.Errorf("the cancel of %s got %d", id, code)
						}
					}
					for {
						code, status := w.requestUntilDecided(d, "GET", "/v2/runs/"+id, nil)
						took := time.Since(began)
						if code != 200 || took > 30*time.Second {
							t.Errorf("%s after %v: %d %q", id, took, code, status)
							return
						}
						if status == "done" || status == "cancelled" {
							mu.Lock()
							slowest = max(slowest, took)
							mu.Unlock()
							return
						}
						time.Sleep(5 * time.Second)
					}
				})
			}
			time.Sleep(time.Minute)
			if o := w.leader(); o == nil {
				t.Error("nobody owns the pool")
			} else {
				o.kill()
				time.Sleep(5 * time.Second)
				w.startNode(o.name)
			}
			wg.Wait()
			close(over)
			ends.Wait()
			t.Logf("the slowest took %v", slowest)
		})
	}
}
