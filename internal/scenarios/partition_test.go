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
	for kind, outcome := range map[string]fake.Outcome{"reset": fake.Refuse, "silence": fake.Drop, "held back": fake.HoldBack} {
		scenario(t, func(t *testing.T, c *testCluster) {
			c.inCloudList = true
			c.startNode("a")
			c.startNode("b")
			c.startWorker("m1", "north")
			c.startWorker("m2", "south")
			time.Sleep(10 * time.Second)
			c.submit("a", newJob("job-1", "standing", 4))
			c.eventually(4*time.Second, "it runs", func() bool { return c.allRunning("job-1", 4) })
			isolated := c.leader()
			successor := map[string]string{"a": "b", "b": "a"}[isolated.name]
			generation := isolated.elector.Cluster().Generation()
			c.network.SetRule(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
				if from == isolated.name || strings.HasPrefix(to, isolated.name+":") {
					return outcome
				}
				return fake.Deliver
			})
			c.eventually(4*time.Second, "a successor", func() bool { return c.nodes[successor].elector.Cluster() != nil })
			c.eventually(4*time.Second, "it takes work", func() bool {
				code, _ := c.call(successor, "POST", "/v2/runs", newJob("job-2", "array", 2))
				return code == 201 || code == 200
			})
			c.eventually(20*time.Second, "new work runs", func() bool { return c.allRunning("job-2", 2) })
			c.consistently(70*time.Second, "all goes on", func() bool { return c.allRunning("job-1", 4) && c.allRunning("job-2", 2) })
			c.network.SetRule(nil)
			c.network.ReleaseHeld()
			c.eventually(3*time.Second, "the old owner follows", func() bool { return isolated.elector.Cluster() == nil })
			c.consistently(25*time.Second, "one change of owner, and all goes on", func() bool {
				cluster := c.nodes[successor].elector.Cluster()
				return cluster != nil && cluster.Generation() <= generation+2 && c.allRunning("job-1", 4) && c.allRunning("job-2", 2)
			})
			c.requireStartedOnce("job-1/0", "job-1/1", "job-1/2", "job-1/3", "job-2/0", "job-2/1")
			if s := c.status(isolated.name, "job-2"); s != "running" {
				t.Errorf("%s: the old owner calls a running job %q", kind, s)
			}
		})
	}
}

func TestManySmallJobsStayWithinStateServiceLimits(t *testing.T) {
	t.Parallel()
	// Guards against a guest's hundreds of one-task jobs within a minute: each costs a
	// creation, a claim and an end, and all together must stay below the changes that
	// the state service takes, a transaction below its own, and none be lost.
	scenario(t, func(t *testing.T, c *testCluster) {
		const perSecond, perTxn, jobs = 200, 12, 400
		changes := map[int64]int{}
		c.network.SetRule(func(_, to string, r *http.Request, body []byte) fake.Outcome {
			if r.URL.Path == "/commit" {
				var txn struct{ Then []json.RawMessage }
				json.Unmarshal(body, &txn)
				c.mu.Lock()
				changes[time.Now().Unix()] += len(txn.Then)
				c.mu.Unlock()
				if len(txn.Then) > perTxn {
					t.Errorf("%d changes in one transaction", len(txn.Then))
				}
			}
			return fake.Deliver
		})
		c.startNode("a")
		c.startNode("b")
		m1, m2 := c.startWorker("m1", "north"), c.startWorker("m2", "south")
		time.Sleep(10 * time.Second)
		c.eventually(100*time.Second, "all are accepted", func() bool {
			count := 0
			for i := range jobs {
				job := newJob(fmt.Sprintf("job-%d", i+1), "array", 1)
				job["cores"], job["ramGb"], job["guessS"] = 0.1, 0.1, 2
				code, _ := c.call([]string{"a", "b"}[i%2], "POST", "/v2/runs", job)
				switch code {
				case 200, 201:
					count++
				case 503:
				default:
					t.Fatalf("a submission got %d", code)
				}
				time.Sleep(2 * time.Millisecond)
				if i%20 == 0 {
					for _, worker := range []*fake.Worker{m1, m2} {
						for _, task := range worker.ActiveTasks() {
							worker.EndTask(task, "done")
						}
					}
				}
			}
			return count == jobs
		})
		completedJobs := func() (count int) {
			for _, worker := range []*fake.Worker{m1, m2} {
				for _, task := range worker.ActiveTasks() {
					worker.EndTask(task, "done")
				}
			}
			for i := range jobs {
				if c.store.Value("end/job-"+fmt.Sprint(i+1)) != nil {
					count++
				}
			}
			return count
		}
		c.eventually(60*time.Second, "all are done", func() bool { return completedJobs() == jobs })
		c.mu.Lock()
		defer c.mu.Unlock()
		for second, count := range changes {
			if count > 2*perSecond || count+changes[second+1]+changes[second+2] > 4*perSecond {
				t.Errorf("%d changes in a second", count)
			}
		}
		for i := range jobs {
			task := ids.Task{Job: ids.Job(fmt.Sprintf("job-%d", i+1))}.String()
			if count := m1.StartCount(task) + m2.StartCount(task); count != 1 {
				t.Fatalf("%s was started %d times", task, count)
			}
		}
	})
}
