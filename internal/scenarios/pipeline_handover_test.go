package scenarios

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// movesWaitingJobs tells whether a request moves waiting jobs to where they end or are claimed.
func movesWaitingJobs(r *http.Request, body []byte) bool {
	return r.URL.Path == "/commit" && strings.Contains(string(body), `"remove":"job/wait/`) && strings.Contains(string(body), `pool/generation`)
}

// submitChain submits jobs 1 to n, each of which awaits the one before.
func (w *testCluster) submitChain(n int) {
	w.submit("a", newJob("job-1", "array", 1))
	for i := 2; i <= n; i++ {
		w.submit(nodeNames[i%2], dependingOn(newJob(fmt.Sprintf("job-%d", i), "array", 1), fmt.Sprintf("job-%d", i-1)))
	}
}

// countReported counts the jobs from one number to another that both nodes call by a status.
func (w *testCluster) countReported(status string, from, to int) (n int) {
	for i := from; i <= to; i++ {
		if w.bothReport(fmt.Sprintf("job-%d", i), status) {
			n++
		}
	}
	return n
}

// startPair starts two nodes and two machines.
func (w *testCluster) startPair() {
	w.startNode("a")
	w.startNode("b")
	w.startWorker("m1", "north")
	w.startWorker("m2", "south")
	time.Sleep(10 * time.Second)
}

func TestCancellationInLongChainReachesOnlyDependents(t *testing.T) {
	t.Parallel()
	// Guards against a cancellation that stops part of the way down, or goes up.
	scenario(t, func(t *testing.T, w *testCluster) {
		w.startPair()
		w.submitChain(100)
		w.eventually(5*time.Second, "the first runs", func() bool { return w.allRunning("job-1", 1) })
		for _, step := range []struct{ cancel, waiting int }{{100, 98}, {50, 48}, {1, 0}} { // last, middle, first
			if how := w.cancelUntilAnswered(fmt.Sprintf("job-%d", step.cancel)); how != "cancelled" {
				t.Fatalf("the cancellation of %d is answered %q", step.cancel, how)
			}
			if n := w.countReported("cancelled", step.cancel, 100); n != 101-step.cancel {
				t.Errorf("%d of the %d from %d on are called cancelled", n, 101-step.cancel, step.cancel)
			}
			if n := w.countReported("pending", 2, step.cancel-1); step.cancel > 1 && n != step.cancel-2 {
				t.Errorf("%d of the %d before %d are called pending", n, step.cancel-2, step.cancel)
			}
			w.eventually(30*time.Second, "the ends are stored", func() bool { return w.store.CountKeys("job/wait/") == step.waiting })
		}
		w.eventually(30*time.Second, "the first's end too", func() bool { return w.store.CountKeys("job/") == 0 && w.store.CountKeys("end/") == 100 })
		w.consistently(20*time.Second, "nothing of them starts", func() bool { return len(w.machinesRunning("job-2/0"))+len(w.machinesRunning("job-50/0")) == 0 })
	})
}

func TestNewLeaderStoresOutcomesOfCancelledDependents(t *testing.T) {
	t.Parallel()
	// Guards against jobs cancelled by definition whose records are forgotten, or start,
	// when the leader that was to store their ends is gone.
	scenario(t, func(t *testing.T, w *testCluster) {
		w.startPair()
		w.submitChain(40)
		w.eventually(5*time.Second, "the first runs", func() bool { return w.allRunning("job-1", 1) })
		w.network.SetRule(func(_, _ string, r *http.Request, body []byte) fake.Outcome {
			if movesWaitingJobs(r, body) {
				return fake.Refuse
			}
			return fake.Deliver
		})
		if how := w.cancelUntilAnswered("job-1"); how != "cancelled" {
			t.Fatalf("the cancellation is answered %q", how)
		}
		time.Sleep(3 * time.Second)
		o := w.leader()
		o.kill()
		if n := w.store.CountKeys("job/wait/"); n != 39 {
			t.Fatalf("%d of 39 records are left", n)
		}
		w.eventually(10*time.Second, "another leads", func() bool { return w.leader() != nil && w.leader() != o })
		w.network.SetRule(nil)
		w.startNode(o.name)
		w.eventually(40*time.Second, "the ends are stored", func() bool { return w.store.CountKeys("job/") == 0 && w.store.CountKeys("end/") == 40 })
		if n := w.countReported("cancelled", 1, 40); n != 40 {
			t.Errorf("%d of 40 are called cancelled", n)
		}
		w.consistently(10*time.Second, "nothing of them starts", func() bool { return len(w.machinesRunning("job-2/0")) == 0 })
	})
}

func TestJobThatBecomesReadyDuringFailoverRuns(t *testing.T) {
	t.Parallel()
	// Guards against a job that waits for ever since the leader that stored the last end
	// that it awaited was gone before it moved the job; and against one moved twice.
	for name, fate := range map[string]struct {
		end, move fake.Outcome // of the transactions with the end, and with the move
	}{
		"the end is stored, the move is not":         {fake.Deliver, fake.Refuse},
		"the end's answer is lost":                   {fake.DropResponse, fake.Refuse},
		"the move's answer is lost":                  {fake.Deliver, fake.DropResponse},
		"the end is stored after the leader is gone": {fake.Delay, fake.Refuse},
		"the move is carried out late":               {fake.Deliver, fake.Delay},
	} {
		for _, delay := range []time.Duration{300 * time.Millisecond, 1700 * time.Millisecond, 6 * time.Second} {
			if fate.end != fake.Delay && fate.move != fake.Delay && delay > time.Second {
				continue
			}
			parallelScenario(t, fmt.Sprint(name, " ", delay), func(t *testing.T, w *testCluster) {
				w.startPair()
				w.submitChain(2)
				w.submit("a", dependingOn(newJob("job-3", "array", 1), "job-1"))
				w.eventually(5*time.Second, "the first runs", func() bool { return w.allRunning("job-1", 1) })
				o := w.leader()
				w.network.SetDelay(func() time.Duration { return delay })
				gone := func() { time.AfterFunc(50*time.Millisecond, o.kill) }
				var hits atomic.Int32
				w.network.SetRule(func(from, _ string, r *http.Request, body []byte) fake.Outcome {
					switch end := transactionKind(r, body) == "outcome"; {
					case from != o.name:
					case movesWaitingJobs(r, body):
						if hits.Add(1) == 1 {
							gone()
						}
						return fate.move
					case end && fate.end != fake.Deliver:
						if hits.Add(1) == 1 {
							gone()
						}
						return fate.end
					}
					return fake.Deliver
				})
				w.completeJob("job-1")
				w.eventually(15*time.Second, "another leads", func() bool { return w.leader() != nil && w.leader() != o })
				w.eventually(40*time.Second, "those that awaited it run", func() bool { return w.allRunning("job-2", 1) && w.allRunning("job-3", 1) })
				w.startNode(o.name)
				time.Sleep(delay)
				w.completeJob("job-2")
				w.completeJob("job-3")
				w.eventually(30*time.Second, "all are done", func() bool { return w.countReported("done", 1, 3) == 3 })
				if hits.Load() == 0 || w.store.CountKeys("job/") != 0 || w.store.CountKeys("end/") != 3 {
					t.Errorf("hit %d times; %s", hits.Load(), w.store)
				}
			})
		}
	}
}

func TestDelayedTransactionDoesNotReviveCancelledJob(t *testing.T) {
	t.Parallel()
	// Guards against a move of an older leader, or of the same one, that is carried out
	// after the job's user cancelled it while it waited.
	for name, trouble := range map[string]func(w *testCluster, o *testNode){
		"the leader stays": func(*testCluster, *testNode) {},
		"the leader ends":  func(_ *testCluster, o *testNode) { o.kill() },
		"the leader is refused": func(w *testCluster, o *testNode) {
			w.store.RefuseCaller(o.name, true)
			time.AfterFunc(9*time.Second, func() { w.store.RefuseCaller(o.name, false) })
		},
	} {
		for _, delay := range []time.Duration{200 * time.Millisecond, 3 * time.Second, 12 * time.Second} {
			parallelScenario(t, fmt.Sprint(name, " ", delay), func(t *testing.T, w *testCluster) {
				w.startPair()
				w.submitChain(3)
				w.eventually(5*time.Second, "the first runs", func() bool { return w.allRunning("job-1", 1) })
				o := w.leader()
				w.network.SetDelay(func() time.Duration { return delay })
				var late atomic.Int32
				w.network.SetRule(func(from, _ string, r *http.Request, body []byte) fake.Outcome {
					switch {
					case from != o.name || !movesWaitingJobs(r, body):
						return fake.Deliver
					case late.Add(1) > 1:
						return fake.Refuse
					}
					return fake.Delay
				})
				w.completeJob("job-1")
				w.eventually(15*time.Second, "a move is on its way", func() bool { return late.Load() > 0 })
				trouble(w, o)
				if how := w.cancelUntilAnswered("job-2"); how != "cancelled" {
					t.Fatalf("the cancellation is answered %q", how)
				}
				time.Sleep(delay + time.Second)
				w.network.SetRule(nil)
				if w.countReported("cancelled", 2, 3); w.nodes[o.name] == nil {
					w.startNode(o.name)
				}
				w.consistently(40*time.Second, "it does not run", func() bool { return len(w.machinesRunning("job-2/0"))+len(w.machinesRunning("job-3/0")) == 0 })
				if n := w.countReported("cancelled", 2, 3); n != 2 || w.store.CountKeys("job/") != 0 {
					t.Errorf("%d of 2 are called cancelled; %s", n, w.store)
				}
			})
		}
	}
}

func TestFailoverWithTenThousandWaitingJobsTakesFewCalls(t *testing.T) {
	t.Parallel()
	// Guards against a call for each record that waits.
	scenario(t, func(t *testing.T, w *testCluster) {
		w.startNode("a")
		time.Sleep(3 * time.Second)
		w.submit("a", newJob("job-1", "array", 1))
		w.nodes["a"].kill()
		put := func(entries map[string]string) {
			var ops []string
			for key, value := range entries {
				ops = append(ops, fmt.Sprintf(`{"put":%q,"value":%s}`, key, value))
			}
			body := `{"when":[],"then":[` + strings.Join(ops, ",") + `]}`
			res, err := w.network.Client("seed").Post("http://state:1/commit", "application/json", strings.NewReader(body))
			if err != nil || res.StatusCode != 200 {
				t.Fatal(res, err)
			}
		}
		stored := func(id, status, awaits string) string {
			return fmt.Sprintf(`{"spec":{"id":%q,"team":"red","shape":"array","priority":0,"tasks":1,"need":{"cores":1},"awaits":[%s]},`+
				`"status":%q,"submitted":1700000000000,"attempt":0,"generation":0,"finished":"","writer":"u","seq":1}`, id, awaits, status)
		}
		const waiting, ended = 10000, 300
		entries := map[string]string{}
		for i := range ended {
			id := fmt.Sprintf("job-%d", 5000+i)
			entries["end/"+id] = stored(id, "done", "")
		}
		for i := range waiting {
			id := fmt.Sprintf("job-%d", 100000+i)
			entries["job/wait/"+id] = "[" + stored(id, "queued", fmt.Sprintf(`"job-1","job-%d"`, 5000+i%ended)) + "]"
		}
		put(entries)
		calls := map[string]int{}
		w.network.SetRule(func(from, to string, r *http.Request, _ []byte) fake.Outcome {
			if to == "state:1" && !strings.HasPrefix(r.URL.Path, "/holds") && r.URL.Path != "/follow" && r.URL.Path != "/kv/none" {
				w.mu.Lock()
				calls[strings.SplitN(strings.TrimPrefix(r.URL.Path, "/"), "/", 2)[0]+" "+r.URL.Query().Get("under")]++
				w.mu.Unlock()
			}
			return fake.Deliver
		})
		w.startNode("b")
		w.startWorker("m1", "north")
		w.eventually(20*time.Second, "the one that waits for nobody runs", func() bool { return w.allRunning("job-1", 1) })
		time.Sleep(3 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if calls["kv job/"] > waiting/1000+2 || calls["kv end/"] > 2 || calls["kv "] > 20 || calls["commit "] > 20 {
			t.Errorf("the takeover took %v", calls)
		}
	})
}
