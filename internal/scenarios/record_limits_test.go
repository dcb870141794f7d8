package scenarios

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// Upcoming limits of the state service that are too small for the record that storeLargeRecord stores.
const (
	lowerLimitSettings = "\n[params.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n"
	lowerValueBytes    = 2048
	lowerTxnOps        = 4
)

// storeLargeRecord runs an array job under a leader that does not know of the upcoming limits, and
// completes every other task, so that the record of the job exceeds the lower limits. It then kills
// that leader and starts both nodes with the lower limits as upcoming limits.
func storeLargeRecord(t *testing.T, c *testCluster, job string) {
	t.Helper()
	leader := c.startNode("a")
	c.startWorker("m1", "north")
	c.startWorker("m2", "south")
	time.Sleep(5 * time.Second)
	const tasks = 600
	spec := newJob(job, "array", tasks)
	spec["cores"], spec["ramGb"] = 0.01, 0.01
	c.submit("a", spec)
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
	c.upcomingLimits = lowerLimitSettings
	c.startNode("a")
	c.startNode("b")
	c.awaitAnyLeader(10 * time.Second)
}

// TestCancellationIsStoredWhenRecordExceedsLimits checks that a job can be cancelled although its
// record was written under larger limits of the state service. Before cancellations had a record of
// their own, they were answered with 503 until enough tasks had ended. The test also checks that
// neither a new leader, nor a completion at the same moment, nor another node overlooks a
// cancellation that is stored apart from the record of the job.
func TestCancellationIsStoredWhenRecordExceedsLimits(t *testing.T) {
	for name, test := range map[string]struct {
		lowered       bool // the state service enforces the lower limits already
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
			// The leader knows that the job is done, but the cancellation is stored before the
			// outcome. The leader can write to the state service but not read.
			leader := c.leader().name
			time.Sleep(3 * time.Second) // until the leader has read the records
			c.network.SetRule(func(from, _ string, r *http.Request, body []byte) fake.Outcome {
				beforeCancellation := kindOfTransaction(r, body) == storesOutcome && strings.Contains(string(body), "end/job-1") && c.store.Value("job/cancel/job-1") == nil
				unreadable := from == leader && (r.URL.Path == "/follow" || r.URL.Path == "/kv/none") && c.store.Value("job/job-1") != nil
				if beforeCancellation || unreadable {
					return fake.Refuse
				}
				return fake.Deliver
			})
			c.completeJob("job-1")
			time.Sleep(12 * time.Second) // until the open watch has ended
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
					t.Fatalf("the cancellation of job-1 returned status %q", status)
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
					return c.bothNodesReport("job-1", "cancelled") && c.bothNodesReport("job-2", "cancelled")
				})
				if c.store.TooLarge > 2 { // each node may learn of the lower limits from one failed write
					t.Errorf("%d writes exceeded the limits of the state service", c.store.TooLarge)
				}
			})
		})
	}
}

// TestJobWhoseRecordExceedsLimitsRunsToCompletion checks that a job completes although its record
// can no longer be stored, because the set of completed tasks exceeds the size limit of a value.
// The set would shrink if more tasks completed, but the machines are lost, or the tasks stop.
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
		// Outcomes that the workers keep reporting must not be stored repeatedly.
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
					t.Errorf("%d transactions were sent while job-1 completed, more than 100", commits.Load())
				}
				if c.status("a", "job-1") != "done" || c.store.TooLarge > 0 {
					t.Errorf("job-1 is reported as %s, %d writes exceeded the limits of the state service; store: %s", c.status("a", "job-1"), c.store.TooLarge, c.store)
				}
			})
		})
	}
}
