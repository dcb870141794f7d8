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

// TestNewLeaderStoresOutcomesOfCancelledDependents checks that a new leader stores the outcomes of
// the dependents of a cancelled job if the former leader crashed before it stored them. Otherwise
// the records of the dependents would remain, or the dependents would start.
func TestNewLeaderStoresOutcomesOfCancelledDependents(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startPair()
		c.submitChain(40)
		c.awaitRunning(5*time.Second, "job-1", 1)
		c.network.SetRule(func(_, _ string, r *http.Request, body []byte) fake.Outcome {
			if leaderRemovesWaitingJobs(r, body) {
				return fake.Refuse
			}
			return fake.Deliver
		})
		if status := c.cancelUntilAnswered("job-1"); status != "cancelled" {
			t.Fatalf("the cancellation of job-1 returned status %q", status)
		}
		time.Sleep(3 * time.Second)
		leader := c.leader()
		leader.kill()
		if n := c.store.CountKeys("job/wait/"); n != 39 {
			t.Fatalf("%d of 39 records of waiting jobs are stored before the failover", n)
		}
		c.eventually(10*time.Second, "another leads", func() bool { return c.leader() != nil && c.leader() != leader })
		c.network.SetRule(nil)
		c.startNode(leader.name)
		c.eventually(40*time.Second, "the outcomes are stored", func() bool {
			return c.store.CountKeys("job/") == 0 && c.store.CountKeys("end/") == 40
		})
		if n := c.countReported("cancelled", 1, 40); n != 40 {
			t.Errorf("%d of 40 jobs are reported as cancelled", n)
		}
		c.consistently(10*time.Second, "none of them starts", func() bool { return c.noneRunning("job-2/0") })
	})
}

// TestJobThatBecomesReadyDuringFailoverRuns checks that a job does not wait forever if the leader
// stores the last outcome that the job depends on and crashes before it makes the job schedulable.
// It also checks that no job is moved from the waiting jobs to the schedulable ones twice.
func TestJobThatBecomesReadyDuringFailoverRuns(t *testing.T) {
	t.Parallel()
	for name, outcomes := range map[string]struct {
		// What happens to the transactions that store the outcome of job-1, and to those that make its
		// dependents schedulable.
		end, move fake.Outcome
	}{
		"outcome stored, dependents not moved": {fake.Deliver, fake.Refuse},
		"response to outcome lost":             {fake.DropResponse, fake.Refuse},
		"response to move lost":                {fake.Deliver, fake.DropResponse},
		"outcome stored after failover":        {fake.Delay, fake.Refuse},
		"move executed late":                   {fake.Deliver, fake.Delay},
	} {
		for _, delay := range []time.Duration{300 * time.Millisecond, 1700 * time.Millisecond, 6 * time.Second} {
			if outcomes.end != fake.Delay && outcomes.move != fake.Delay && delay > time.Second {
				continue
			}
			parallelScenario(t, fmt.Sprint(name, " ", delay), func(t *testing.T, c *testCluster) {
				c.startPair()
				c.submitChain(2)
				c.submit("a", newJob("job-3", "array", 1).dependingOn("job-1"))
				c.awaitRunning(5*time.Second, "job-1", 1)
				leader := c.leader()
				c.network.SetDelay(func() time.Duration { return delay })
				killLeaderSoon := func() { time.AfterFunc(50*time.Millisecond, leader.kill) }
				var affected atomic.Int32
				c.network.SetRule(func(from, _ string, r *http.Request, body []byte) fake.Outcome {
					switch end := kindOfTransaction(r, body) == storesOutcome; {
					case from != leader.name:
					case leaderRemovesWaitingJobs(r, body):
						if affected.Add(1) == 1 {
							killLeaderSoon()
						}
						return outcomes.move
					case end && outcomes.end != fake.Deliver:
						if affected.Add(1) == 1 {
							killLeaderSoon()
						}
						return outcomes.end
					}
					return fake.Deliver
				})
				c.completeJob("job-1")
				c.eventually(15*time.Second, "another leads", func() bool {
					return c.leader() != nil && c.leader() != leader
				})
				c.eventually(40*time.Second, "its dependents run", func() bool {
					return c.allRunning("job-2", 1) && c.allRunning("job-3", 1)
				})
				c.startNode(leader.name)
				time.Sleep(delay)
				c.completeJob("job-2")
				c.completeJob("job-3")
				c.eventually(30*time.Second, "all are done", func() bool { return c.countReported("done", 1, 3) == 3 })
				if affected.Load() == 0 || c.store.CountKeys("job/") != 0 || c.store.CountKeys("end/") != 3 {
					t.Errorf("faults affected %d transactions, want at least one, and three outcomes but no other job records; store: %s", affected.Load(), c.store)
				}
			})
		}
	}
}

// TestDelayedTransactionDoesNotStartCancelledJob checks that a cancelled job does not run if a
// transaction that makes it schedulable is executed after the cancellation, whether a former or the
// current leader sent it.
func TestDelayedTransactionDoesNotStartCancelledJob(t *testing.T) {
	t.Parallel()
	for name, injectFault := range map[string]func(c *testCluster, leader *testNode){
		"no failover": func(*testCluster, *testNode) {},
		"failover":    func(_ *testCluster, leader *testNode) { leader.kill() },
		"state service refuses leader": func(c *testCluster, leader *testNode) {
			c.store.RefuseCaller(leader.name, true)
			time.AfterFunc(9*time.Second, func() { c.store.RefuseCaller(leader.name, false) })
		},
	} {
		for _, delay := range []time.Duration{200 * time.Millisecond, 3 * time.Second, 12 * time.Second} {
			parallelScenario(t, fmt.Sprint(name, " ", delay), func(t *testing.T, c *testCluster) {
				c.startPair()
				c.submitChain(3)
				c.awaitRunning(5*time.Second, "job-1", 1)
				leader := c.leader()
				c.network.SetDelay(func() time.Duration { return delay })
				var moves atomic.Int32
				c.network.SetRule(func(from, _ string, r *http.Request, body []byte) fake.Outcome {
					switch {
					case from != leader.name || !leaderRemovesWaitingJobs(r, body):
						return fake.Deliver
					case moves.Add(1) > 1:
						return fake.Refuse
					}
					return fake.Delay
				})
				c.completeJob("job-1")
				c.eventually(15*time.Second, "a transaction is on its way", func() bool { return moves.Load() > 0 })
				injectFault(c, leader)
				if status := c.cancelUntilAnswered("job-2"); status != "cancelled" {
					t.Fatalf("the cancellation of job-2 returned status %q", status)
				}
				time.Sleep(delay + time.Second)
				c.network.SetRule(nil)
				if c.countReported("cancelled", 2, 3); c.nodes[leader.name] == nil {
					c.startNode(leader.name)
				}
				c.consistently(40*time.Second, "it does not run", func() bool { return c.noneRunning("job-2/0", "job-3/0") })
				if n := c.countReported("cancelled", 2, 3); n != 2 || c.store.CountKeys("job/") != 0 {
					t.Errorf("%d of 2 jobs are reported as cancelled; store: %s", n, c.store)
				}
			})
		}
	}
}

// TestFailoverWithTenThousandWaitingJobsTakesFewCalls checks that a new leader does not call the
// state service once for each record of a waiting job.
func TestFailoverWithTenThousandWaitingJobsTakesFewCalls(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		time.Sleep(3 * time.Second)
		c.submit("a", newJob("job-1", "array", 1))
		c.nodes["a"].kill()
		storeAll := func(entries map[string]string) {
			var ops []string
			for key, value := range entries {
				ops = append(ops, fmt.Sprintf(`{"put":%q,"value":%s}`, key, value))
			}
			body := `{"when":[],"then":[` + strings.Join(ops, ",") + `]}`
			res, err := c.network.Client("seed").Post("http://state:1/commit", "application/json", strings.NewReader(body))
			if err != nil || res.StatusCode != 200 {
				t.Fatal(res, err)
			}
		}
		storedJob := func(id, status, dependencies string) string {
			return fmt.Sprintf(`{"spec":{"id":%q,"team":"red","shape":"array","priority":0,"tasks":1,"need":{"cores":1},"awaits":[%s]},`+
				`"status":%q,"submitted":1700000000000,"attempt":0,"generation":0,"finished":"","writer":"u","seq":1}`, id, dependencies, status)
		}
		const waiting, ended = 10000, 300
		entries := map[string]string{}
		for i := range ended {
			id := fmt.Sprintf("job-%d", 5000+i)
			entries["end/"+id] = storedJob(id, "done", "")
		}
		for i := range waiting {
			id := fmt.Sprintf("job-%d", 100000+i)
			entries["job/wait/"+id] = "[" + storedJob(id, "queued", fmt.Sprintf(`"job-1","job-%d"`, 5000+i%ended)) + "]"
		}
		storeAll(entries)
		calls := map[string]int{}
		c.network.SetRule(func(from, to string, r *http.Request, _ []byte) fake.Outcome {
			if to == "state:1" && !strings.HasPrefix(r.URL.Path, "/holds") && r.URL.Path != "/follow" && r.URL.Path != "/kv/none" {
				c.mu.Lock()
				calls[strings.SplitN(strings.TrimPrefix(r.URL.Path, "/"), "/", 2)[0]+" "+r.URL.Query().Get("under")]++
				c.mu.Unlock()
			}
			return fake.Deliver
		})
		c.startNode("b")
		c.startWorker("m1", "north")
		c.awaitRunning(20*time.Second, "job-1", 1)
		time.Sleep(3 * time.Second)
		c.mu.Lock()
		defer c.mu.Unlock()
		if calls["kv job/"] > waiting/1000+2 || calls["kv end/"] > 2 || calls["kv "] > 20 || calls["commit "] > 20 {
			t.Errorf("the failover took too many calls to the state service: %v", calls)
		}
	})
}
