package scenarios

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// TestDiamondOfDependenciesRunsInOrderAcrossFailovers checks that a job starts only after the
// outcomes of all its dependencies are stored, and that every job that waits for an outcome learns
// of it. Just as a stage completes, the leader fails over or the state service rejects the requests
// of the leader only.
func TestDiamondOfDependenciesRunsInOrderAcrossFailovers(t *testing.T) {
	for name, injectFault := range map[string]func(c *testCluster){
		"no fault": func(*testCluster) {},
		"failover": func(c *testCluster) {
			if leader := c.leader(); leader != nil {
				leader.kill()
				time.Sleep(300 * time.Millisecond)
				c.startNode(leader.name)
			}
		},
		"response to move lost": func(c *testCluster) {
			lost := 0
			c.network.SetRule(func(_, _ string, r *http.Request, body []byte) fake.Outcome {
				if removesWaitingJobs(r, body) && lost < 2 {
					lost++
					return fake.DropResponse
				}
				return fake.Deliver
			})
		},
		"state service refuses leader": func(c *testCluster) {
			if leader := c.leader(); leader != nil {
				c.store.RefuseCaller(leader.name, true)
				time.AfterFunc(9*time.Second, func() { c.store.RefuseCaller(leader.name, false) })
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			scenario(t, func(t *testing.T, c *testCluster) {
				c.startPair()
				c.submit("a", newJob("job-1", "array", 2))
				c.submit("b", newJob("job-2", "array", 2).dependingOn("job-1"))
				c.submit("a", newJob("job-3", "gang", 2).dependingOn("job-1", "job-1"))
				c.submit("b", newJob("job-4", "array", 1).dependingOn("job-2", "job-3"))
				c.awaitRunning(5*time.Second, "job-1", 2)
				c.consistently(4*time.Second, "the others wait", func() bool {
					return c.bothNodesReport("job-2", "pending") && c.bothNodesReport("job-4", "pending") && c.noneRunning("job-2/0", "job-3/0")
				})
				c.completeJob("job-1")
				injectFault(c)
				c.eventually(40*time.Second, "the second stage runs", func() bool {
					return c.allRunning("job-2", 2) && c.allRunning("job-3", 2)
				})
				c.completeJob("job-2")
				injectFault(c)
				c.consistently(15*time.Second, "the last waits for both", func() bool { return c.noneRunning("job-4/0") })
				c.completeJob("job-3")
				injectFault(c)
				c.awaitRunning(40*time.Second, "job-4", 1)
				c.completeJob("job-4")
				c.eventually(20*time.Second, "all done", func() bool {
					return c.bothNodesReport("job-1", "done") && c.bothNodesReport("job-2", "done") && c.bothNodesReport("job-3", "done") && c.bothNodesReport("job-4", "done")
				})
				// A job whose dependencies are all done starts at once.
				c.submit("a", newJob("job-5", "array", 1).dependingOn("job-4", "job-1"))
				c.awaitRunning(15*time.Second, "job-5", 1)
				if code, out := c.call("b", "POST", "/v2/runs", newJob("job-4", "array", 1).dependingOn("job-99")); code != 200 || out["status"] != "done" {
					t.Errorf("a repeated submission of accepted job-4 returned %d %v", code, out)
				}
			})
		})
	}
}

// TestOutcomeNotYetStoredStartsNoDependent checks that a job does not start before the outcome of
// the job it depends on is stored: another node may confirm a cancellation first, or the leader may
// fail.
func TestOutcomeNotYetStoredStartsNoDependent(t *testing.T) {
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startNode("b")
		c.startWorker("m1", "north")
		time.Sleep(settleTime)
		c.submit("a", newJob("job-1", "array", 1))
		c.submit("b", newJob("job-2", "array", 1).dependingOn("job-1"))
		c.awaitRunning(5*time.Second, "job-1", 1)
		c.network.SetRule(func(_, _ string, r *http.Request, body []byte) fake.Outcome {
			if kindOfTransaction(r, body) == storesOutcome {
				return fake.Refuse
			}
			return fake.Deliver
		})
		c.completeJob("job-1")
		c.consistently(10*time.Second, "the dependent waits", func() bool {
			return c.workerNamed("m1").StartCount("job-2/0") == 0 && c.bothNodesReport("job-2", "pending")
		})
		status := c.cancelUntilAnswered("job-1")
		c.network.SetRule(nil)
		if status != "cancelled" {
			t.Fatalf("the cancellation of job-1 returned status %q", status)
		}
		c.consistently(20*time.Second, "the dependent is cancelled with it", func() bool {
			return c.workerNamed("m1").StartCount("job-2/0") == 0 && c.bothNodesReport("job-2", "cancelled")
		})
	})
}

// TestUnknownDependenciesAreRejected submits jobs whose dependencies were never accepted or are
// malformed. It checks that every node rejects them, and answers with 503 while it cannot decide.
func TestUnknownDependenciesAreRejected(t *testing.T) {
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startNode("b")
		time.Sleep(settleTime)
		c.submit("a", newJob("job-1", "array", 1))
		c.submit("a", newJob("job-2", "standing", 1))
		n := 10
		for _, test := range []struct {
			awaits any
			want   int
		}{
			{[]string{"job-404"}, 422}, {[]string{"job-1", "job-404"}, 422}, {[]string{"job-11"}, 422}, {[]string{"job-2"}, 422},
			{"job-1", 400}, {[]any{1}, 400}, {[]string{"run-1"}, 400}, {map[string]any{}, 400},
			{nil, 201}, {[]string{}, 201}, {[]string{"job-1", "job-1"}, 201},
		} {
			n++
			job := newJob(fmt.Sprintf("job-%d", n), "array", 1)
			job["awaits"] = test.awaits
			if n == 13 {
				job["awaits"] = []string{"job-13"} // a job that depends on itself, which was never accepted either
			}
			for i, node := range nodeNames {
				code, out := c.call(node, "POST", "/v2/runs", job)
				if want := test.want; code != want && !(i == 1 && want == 201 && code == 200) {
					t.Errorf("node %s returned %d %v, not %d, for a job with dependencies %v", node, code, out, want, job["awaits"])
				}
			}
		}
		c.network.SetRule(nil)
		c.store.SetDown(true)
		if code, _ := c.call("a", "POST", "/v2/runs", newJob("job-90", "array", 1).dependingOn("job-404")); code != 503 {
			t.Errorf("a submission that cannot be decided during the outage returned %d, not 503", code)
		}
		c.store.SetDown(false)
	})
}

// TestJobWaitingForDependenciesUsesNoQuota checks that jobs that wait for dependencies use none of
// the quota of their team and do not start although there is capacity, and that their explanations
// name what they wait for.
func TestJobWaitingForDependenciesUsesNoQuota(t *testing.T) {
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startNode("b")
		c.startWorker("m1", "north")
		c.startWorker("m2", "north")
		time.Sleep(settleTime)
		c.submit("a", newJob("job-1", "array", 1))
		for i := range 30 {
			job := newJob(fmt.Sprintf("job-%d", 100+i), "array", 8)
			job["dueS"] = 30
			c.submit("b", job.dependingOn("job-1"))
		}
		c.submit("a", newJob("job-2", "array", 7)) // job-1 and job-2 use the whole quota of the team
		c.eventually(5*time.Second, "the jobs without dependencies run", func() bool {
			return c.allRunning("job-1", 1) && c.allRunning("job-2", 7)
		})
		time.Sleep(25 * time.Second)
		_, out := c.call("b", "GET", "/v2/runs/job-100/explain", nil)
		if now := fmt.Sprint(out["now"]); !strings.Contains(now, "awaits job-1: running") || !strings.Contains(now, "at risk") {
			t.Errorf("the explanation of job-100 lacks the dependency or the risk: %v", out)
		}
	})
}

// TestJobWithManyDependenciesFitsSmallValueLimit checks that a job is accepted even if the names of
// its dependencies do not fit into one value together with its description. Such a job must also be
// able to start, and to be cancelled by its user or through a dependency.
func TestJobWithManyDependenciesFitsSmallValueLimit(t *testing.T) {
	t.Parallel()
	for name, finishScenario := range map[string]func(c *testCluster, dependencies []string){
		"it runs": func(c *testCluster, dependencies []string) {
			for _, id := range dependencies[1:] {
				c.completeJob(id)
			}
			c.consistently(8*time.Second, "it waits for the last dependency", func() bool {
				return c.bothNodesReport("job-900000", "pending")
			})
			c.completeJob(dependencies[0])
			c.awaitRunning(15*time.Second, "job-900000", 1)
			c.completeJob("job-900000")
			c.awaitRunning(15*time.Second, "job-900001", 1)
			c.completeJob("job-900001")
			c.eventually(15*time.Second, "all are done", func() bool {
				return c.bothNodesReport("job-900000", "done") && c.bothNodesReport("job-900001", "done")
			})
			// A restarted node has no outcome in memory and reads them from the state service.
			c.nodes["b"].kill()
			c.startNode("b")
			c.eventually(10*time.Second, "it answers", func() bool { return c.status("b", dependencies[0]) == "done" })
			c.submit("b", newSmallJob("job-900002").dependingOn(dependencies...))
			c.awaitRunning(15*time.Second, "job-900002", 1)
		},
		"its user cancels it": func(c *testCluster, dependencies []string) {
			if status := c.cancelUntilAnswered("job-900000"); status != "cancelled" {
				c.t.Errorf("the cancellation of job-900000 returned status %q", status)
			}
			c.eventually(5*time.Second, "its dependent is cancelled", func() bool {
				return c.bothNodesReport("job-900001", "cancelled")
			})
			c.eventually(20*time.Second, "the outcomes are stored", func() bool {
				return c.store.CountKeys("job/wait/") == 0
			})
			if !c.bothNodesReport(dependencies[0], "running") {
				c.t.Error("the cancellation of job-900000 affected a job that it depends on")
			}
		},
		"a dependency is cancelled": func(c *testCluster, dependencies []string) {
			c.cancelUntilAnswered(dependencies[149])
			c.eventually(5*time.Second, "it is cancelled, and its dependent", func() bool {
				return c.bothNodesReport("job-900000", "cancelled") && c.bothNodesReport("job-900001", "cancelled")
			})
			c.eventually(20*time.Second, "the outcomes are stored", func() bool {
				return c.store.CountKeys("job/wait/") == 0
			})
			if _, out := c.call("b", "GET", "/v2/runs/job-900001/explain", nil); !strings.Contains(fmt.Sprint(out["now"]), "cancelled with "+dependencies[149]) {
				c.t.Errorf("the explanation of job-900001 does not name the cancelled dependency: %v", out)
			}
		},
	} {
		parallelScenario(t, name, func(t *testing.T, c *testCluster) {
			c.valueLimitKB = 2
			c.store.SetLimits(2048, 12)
			c.startPair()
			dependencies := c.submitFanIn(newRandomSource(1), 150)
			c.eventually(20*time.Second, "they run", func() bool {
				for _, id := range dependencies {
					if !c.allRunning(id, 1) {
						return false
					}
				}
				return true
			})
			finishScenario(c, dependencies)
			if c.store.TooLarge > 0 {
				t.Errorf("%d transactions exceeded the limits of the state service", c.store.TooLarge)
			}
		})
	}
}
