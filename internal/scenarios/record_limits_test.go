package scenarios

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// lowerLimits are limits to come that are too small for the record of storeLargeRecord.
const (
	lowerLimits     = "\n[params.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n"
	lowerValueBytes = 2048
	lowerTxnOps     = 4
)

// storeLargeRecord has a leader that knows of no limits to come run an array, of which every other
// task completes, so that its record exceeds the lower limits. Then that leader is killed, and both
// nodes start with the lower limits to come.
func storeLargeRecord(t *testing.T, c *testCluster, job string) {
	t.Helper()
	leader := c.startNode("a")
	c.startWorker("m1", "north")
	c.startWorker("m2", "south")
	time.Sleep(5 * time.Second)
	const tasks = 600
	description := newJob(job, "array", tasks)
	description["cores"], description["ramGb"] = 0.01, 0.01
	c.submit("a", description)
	c.eventually(60*time.Second, "all tasks run", func() bool {
		return len(c.workerNamed("m1").ActiveTasks())+len(c.workerNamed("m2").ActiveTasks()) == tasks
	})
	for _, worker := range c.workers {
		for _, task := range worker.ActiveTasks() {
			if strings.ContainsAny(task[len(task)-1:], "02468") {
				worker.EndTask(task, "done")
			}
		}
	}
	c.eventually(30*time.Second, "the outcomes are stored", func() bool {
		_, out := c.call("a", "GET", "/v2/runs/"+job, nil)
		return out["done"] == tasks/2.0 && len(c.store.Value("job/"+job)) > lowerValueBytes+500
	})
	leader.kill()
	c.upcomingLimits = lowerLimits
	c.startNode("a")
	c.startNode("b")
	c.awaitAnyLeader(10 * time.Second)
}

// TestCancellationIsStoredWhenRecordExceedsLimits guards against a job that can't be cancelled
// because its record was written under larger limits of the state service: cancellations got 503
// until enough tasks had ended. It also guards against a cancellation, stored apart from the
// record, that a new leader, a completion at the same moment or another node overlooks.
func TestCancellationIsStoredWhenRecordExceedsLimits(t *testing.T) {
	for name, test := range map[string]struct {
		lowered       bool // the limits of the state service are lower already
		before, after func(c *testCluster)
	}{
		"limits unchanged": {},
		"limits lowered":   {lowered: true},
		"limits lowered, failover afterwards": {lowered: true, after: func(c *testCluster) {
			leader := c.leader()
			leader.kill()
			time.AfterFunc(20*time.Second, func() { c.startNode(leader.name) })
		}},
		"limits lowered, state service refuses leader": {lowered: true, before: func(c *testCluster) {
			leader := c.leader()
			c.store.RefuseCaller(leader.name, true)
			time.AfterFunc(12*time.Second, func() { c.store.RefuseCaller(leader.name, false) })
		}},
		"limits lowered, job completes at the same moment": {lowered: true, before: func(c *testCluster) {
			// The leader knows that the job is done, but the cancellation is stored first, and
			// the leader can write but not read.
			leader := c.leader().name
			time.Sleep(3 * time.Second) // it has read the records
			c.network.SetRule(func(from, _ string, r *http.Request, body []byte) fake.Outcome {
				beforeCancellation := kindOfTransaction(r, body) == storesOutcome && strings.Contains(string(body), "end/job-1") && c.store.Value("job/cancel/job-1") == nil
				unreadable := from == leader && (r.URL.Path == "/follow" || r.URL.Path == "/kv/none") && c.store.Value("job/job-1") != nil
				if beforeCancellation || unreadable {
					return fake.Refuse
				}
				return fake.Deliver
			})
			c.completeJob("job-1")
			time.Sleep(12 * time.Second) // the watch that was open has ended
		}},
	} {
		t.Run(name, func(t *testing.T) {
			scenario(t, func(t *testing.T, c *testCluster) {
				storeLargeRecord(t, c, "job-1")
				c.submit("b", newJob("job-2", "array", 1).dependingOn("job-1"))
				if test.lowered {
					c.store.SetLimits(lowerValueBytes, lowerTxnOps)
				}
				if test.before != nil {
					test.before(c)
				}
				if status := c.cancelUntilAnswered("job-1"); status != "cancelled" {
					t.Fatalf("the cancellation is answered with %q", status)
				}
				if test.after != nil {
					test.after(c)
				}
				c.eventually(10*time.Second, "it and its dependent are reported as cancelled", func() bool {
					return c.isReportedAs("job-1", "cancelled") && c.isReportedAs("job-2", "cancelled")
				})
				c.eventually(10*time.Second, "a new dependent ends with it", func() bool {
					_, out := c.call("b", "POST", "/v2/runs", newJob("job-3", "array", 1).dependingOn("job-1"))
					return out["status"] == "cancelled" || c.isReportedAs("job-3", "cancelled")
				})
				c.eventually(40*time.Second, "no record of it is left", func() bool {
					return c.store.CountKeys("job/") == 0
				})
				c.eventually(30*time.Second, "every node still reports so", func() bool {
					return c.bothReport("job-1", "cancelled") && c.bothReport("job-2", "cancelled")
				})
				if c.store.TooLarge > 2 { // each node may learn the lower limits from one failure
					t.Errorf("%d writes were too large", c.store.TooLarge)
				}
			})
		})
	}
}

// TestJobWhoseRecordExceedsLimitsRunsToCompletion guards against a record that can never be stored
// again, since the set of completed tasks takes more than a value may hold: the machines are lost,
// or tasks stop, so that no more tasks complete.
func TestJobWhoseRecordExceedsLimitsRunsToCompletion(t *testing.T) {
	for name, injectFault := range map[string]func(c *testCluster){
		"the machines are lost": func(c *testCluster) {
			for _, worker := range c.workers {
				c.network.Listen(worker.Address, nil)
				worker.SetSilent(true)
			}
			c.startWorker("m3", "north")
			c.startWorker("m4", "south")
		},
		// Outcomes that the workers go on reporting must not be stored again and again.
		"some tasks complete, the others are stopped": func(c *testCluster) {
			time.Sleep(5 * time.Second)
			for _, worker := range c.workers {
				for i, task := range worker.ActiveTasks() {
					worker.EndTask(task, []string{"done", "stopped", "stopped"}[i%3])
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			scenario(t, func(t *testing.T, c *testCluster) {
				storeLargeRecord(t, c, "job-1")
				c.store.SetLimits(800, lowerTxnOps)
				c.upcomingLimits = "\n[params.state.next]\nvalue_kb = 0.78\ntxn_ops = 4\n"
				for _, name := range nodeNames {
					c.nodes[name].kill()
				}
				c.startNode("a")
				c.startNode("b")
				injectFault(c)
				var commits atomic.Int64
				c.network.SetRule(func(_, _ string, r *http.Request, _ []byte) fake.Outcome {
					if isCommit(r) {
						commits.Add(1)
					}
					return fake.Deliver
				})
				for range 600 {
					if time.Sleep(time.Second); c.store.Value("end/job-1") != nil {
						break
					}
					c.completeJob("job-1")
				}
				if commits.Load() > 100 {
					t.Errorf("%d transactions", commits.Load())
				}
				if c.status("a", "job-1") != "done" || c.store.TooLarge > 0 {
					t.Errorf("the job is %s, %d writes were too large; store: %s", c.status("a", "job-1"), c.store.TooLarge, c.store)
				}
			})
		})
	}
}
