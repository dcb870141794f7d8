package scenarios

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

func TestIsolatedLeaderIsReplacedOnceAndFollows(t *testing.T) {
	t.Parallel()
	// By reset and by silence, for a minute and a half: what it still believes to own
	// must not come back with it, nor may the pool go back and forth.
	for how, fate := range map[string]fake.Outcome{"reset": fake.Refuse, "silence": fake.Drop, "held back": fake.HoldBack} {
		scenario(t, func(t *testing.T, w *testCluster) {
			w.inCloudList = true
			w.startNode("a")
			w.startNode("b")
			w.startWorker("m1", "north")
			w.startWorker("m2", "south")
			time.Sleep(10 * time.Second)
			w.submit("a", newJob("job-1", "standing", 4))
			w.eventually(4*time.Second, "it runs", func() bool { return w.allRunning("job-1", 4) })
			old := w.leader()
			other := map[string]string{"a": "b", "b": "a"}[old.name]
			generation := old.elector.Cluster().Generation()
			w.network.SetRule(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
				if from == old.name || strings.HasPrefix(to, old.name+":") {
					return fate
				}
				return fake.Deliver
			})
			w.eventually(4*time.Second, "a successor", func() bool { return w.nodes[other].elector.Cluster() != nil })
			w.eventually(4*time.Second, "it takes work", func() bool {
				code, _ := w.call(other, "POST", "/v2/runs", newJob("job-2", "array", 2))
				return code == 201 || code == 200
			})
			w.eventually(20*time.Second, "new work runs", func() bool { return w.allRunning("job-2", 2) })
			w.consistently(70*time.Second, "all goes on", func() bool { return w.allRunning("job-1", 4) && w.allRunning("job-2", 2) })
			w.network.SetRule(nil)
			w.network.ReleaseHeld()
			w.eventually(3*time.Second, "the old owner follows", func() bool { return old.elector.Cluster() == nil })
			w.consistently(25*time.Second, "one change of owner, and all goes on", func() bool {
				cluster := w.nodes[other].elector.Cluster()
				return cluster != nil && cluster.Generation() <= generation+2 && w.allRunning("job-1", 4) && w.allRunning("job-2", 2)
			})
			w.requireStartedOnce("job-1/0", "job-1/1", "job-1/2", "job-1/3", "job-2/0", "job-2/1")
			if s := w.status(old.name, "job-2"); s != "running" {
				t.Errorf("%s: the old owner calls a running job %q", how, s)
			}
		})
	}
}

func TestManySmallJobsStayWithinStateServiceLimits(t *testing.T) {
	t.Parallel()
	// Guards against a guest's hundreds of one-task jobs within a minute: each costs a
	// creation, a claim and an end, and all together must stay below the changes that
	// the state service takes, a transaction below its own, and none be lost.
	scenario(t, func(t *testing.T, w *testCluster) {
		const perSecond, perTxn, jobs = 200, 12, 400
		changes := map[int64]int{}
		w.network.SetRule(func(_, to string, r *http.Request, body []byte) fake.Outcome {
			if r.URL.Path == "/commit" {
				var txn struct{ Then []json.RawMessage }
				json.Unmarshal(body, &txn)
				w.mu.Lock()
				changes[time.Now().Unix()] += len(txn.Then)
				w.mu.Unlock()
				if len(txn.Then) > perTxn {
					t.Errorf("%d changes in one transaction", len(txn.Then))
				}
			}
			return fake.Deliver
		})
		w.startNode("a")
		w.startNode("b")
		m1, m2 := w.startWorker("m1", "north"), w.startWorker("m2", "south")
		time.Sleep(10 * time.Second)
		w.eventually(100*time.Second, "all are accepted", func() bool {
			n := 0
			for i := range jobs {
				s := newJob(fmt.Sprintf("job-%d", i+1), "array", 1)
				s["cores"], s["ramGb"], s["guessS"] = 0.1, 0.1, 2
				code, _ := w.call([]string{"a", "b"}[i%2], "POST", "/v2/runs", s)
				switch code {
				case 200, 201:
					n++
				case 503:
				default:
					t.Fatalf("a submission got %d", code)
				}
				time.Sleep(2 * time.Millisecond)
				if i%20 == 0 {
					for _, k := range []*fake.Worker{m1, m2} {
						for _, task := range k.ActiveTasks() {
							k.EndTask(task, "done")
						}
					}
				}
			}
			return n == jobs
		})
		over := func() (n int) {
			for _, k := range []*fake.Worker{m1, m2} {
				for _, task := range k.ActiveTasks() {
					k.EndTask(task, "done")
				}
			}
			for i := range jobs {
				if w.store.Value("end/job-"+fmt.Sprint(i+1)) != nil {
					n++
				}
			}
			return n
		}
		w.eventually(60*time.Second, "all are done", func() bool { return over() == jobs })
		w.mu.Lock()
		defer w.mu.Unlock()
		for sec, n := range changes {
			if n > 2*perSecond || n+changes[sec+1]+changes[sec+2] > 4*perSecond {
				t.Errorf("%d changes in a second", n)
			}
		}
		for i := range jobs {
			task := ids.Task{Job: ids.Job(fmt.Sprintf("job-%d", i+1))}.String()
			if n := m1.StartCount(task) + m2.StartCount(task); n != 1 {
				t.Fatalf("%s was started %d times", task, n)
			}
		}
	})
}
