package scenarios

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// after is a job's description that awaits others.
func dependingOn(job map[string]any, jobs ...string) map[string]any {
	job["awaits"] = jobs
	return job
}

// completeJob lets every task of a job that is on a machine complete.
func (c *testCluster) completeJob(job string) {
	for _, worker := range c.workers {
		for _, task := range worker.ActiveTasks() {
			if strings.HasPrefix(task, job+"/") {
				worker.EndTask(task, "done")
			}
		}
	}
}

func (c *testCluster) bothReport(id, status string) bool {
	return c.status("a", id) == status && c.status("b", id) == status
}

func TestDiamondOfDependenciesRunsInOrderAcrossFailovers(t *testing.T) {
	// Guards against a start before the ends of all needed jobs are stored, and against
	// an end that is lost to those that await it: the leader ends, or loses the state
	// service alone, right as a stage does.
	for name, injectFault := range map[string]func(c *testCluster){
		"none": func(*testCluster) {},
		"the leader ends": func(c *testCluster) {
			if leader := c.leader(); leader != nil {
				leader.kill()
				time.Sleep(300 * time.Millisecond)
				c.startNode(leader.name)
			}
		},
		"a move's answer is lost": func(c *testCluster) {
			lost := 0
			c.network.SetRule(func(_, _ string, r *http.Request, body []byte) fake.Outcome {
				if r.URL.Path == "/commit" && strings.Contains(string(body), `"remove":"job/wait/`) && lost < 2 {
					lost++
					return fake.DropResponse
				}
				return fake.Deliver
			})
		},
		"the leader is refused": func(c *testCluster) {
			if leader := c.leader(); leader != nil {
				c.store.RefuseCaller(leader.name, true)
				time.AfterFunc(9*time.Second, func() { c.store.RefuseCaller(leader.name, false) })
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			scenario(t, func(t *testing.T, c *testCluster) {
				c.startNode("a")
				c.startNode("b")
				c.startWorker("m1", "north")
				c.startWorker("m2", "south")
				time.Sleep(10 * time.Second)
				c.submit("a", newJob("job-1", "array", 2))
				c.submit("b", dependingOn(newJob("job-2", "array", 2), "job-1"))
				c.submit("a", dependingOn(newJob("job-3", "gang", 2), "job-1", "job-1"))
				c.submit("b", dependingOn(newJob("job-4", "array", 1), "job-2", "job-3"))
				c.eventually(5*time.Second, "the first runs", func() bool { return c.allRunning("job-1", 2) })
				c.consistently(4*time.Second, "the others wait", func() bool {
					return c.bothReport("job-2", "pending") && c.bothReport("job-4", "pending") && len(c.machinesRunning("job-2/0"))+len(c.machinesRunning("job-3/0")) == 0
				})
				c.completeJob("job-1")
				injectFault(c)
				c.eventually(40*time.Second, "the second stage runs", func() bool { return c.allRunning("job-2", 2) && c.allRunning("job-3", 2) })
				c.completeJob("job-2")
				injectFault(c)
				c.consistently(15*time.Second, "the last waits for both", func() bool { return len(c.machinesRunning("job-4/0")) == 0 })
				c.completeJob("job-3")
				injectFault(c)
				c.eventually(40*time.Second, "the last runs", func() bool { return c.allRunning("job-4", 1) })
				c.completeJob("job-4")
				c.eventually(20*time.Second, "all done", func() bool {
					return c.bothReport("job-1", "done") && c.bothReport("job-2", "done") && c.bothReport("job-3", "done") && c.bothReport("job-4", "done")
				})
				// What is submitted when those it awaits are over starts at once.
				c.submit("a", dependingOn(newJob("job-5", "array", 1), "job-4", "job-1"))
				c.eventually(15*time.Second, "it runs", func() bool { return c.allRunning("job-5", 1) })
				if code, out := c.call("b", "POST", "/v2/runs", dependingOn(newJob("job-4", "array", 1), "job-99")); code != 200 || out["status"] != "done" {
					t.Errorf("a repeat of an accepted job got %d %v", code, out)
				}
			})
		})
	}
}

func TestCancellationPropagatesToDependents(t *testing.T) {
	// Guards against a job that waits for ever, or starts, after one that it needs was
	// cancelled, wherever in its life that was; and against nodes that disagree.
	for name, cancel := range map[string]func(c *testCluster) string{
		"running": func(c *testCluster) string { return c.cancelUntilAnswered("job-1") },
		"at its end": func(c *testCluster) string {
			c.completeJob("job-1")
			return c.cancelUntilAnswered("job-1")
		},
		"while the leader is refused": func(c *testCluster) string {
			leader := c.leader()
			c.store.RefuseCaller(leader.name, true)
			time.AfterFunc(8*time.Second, func() { c.store.RefuseCaller(leader.name, false) })
			return c.cancelUntilAnswered("job-1")
		},
		"as the leader ends": func(c *testCluster) string {
			leader := c.leader()
			leader.kill()
			time.AfterFunc(3*time.Second, func() { c.startNode(leader.name) })
			return c.cancelUntilAnswered("job-1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			scenario(t, func(t *testing.T, c *testCluster) {
				c.startNode("a")
				c.startNode("b")
				c.startWorker("m1", "north")
				c.startWorker("m2", "south")
				time.Sleep(10 * time.Second)
				c.submit("a", newJob("job-1", "array", 1))
				last := "job-1"
				var chain []string
				for i := 2; i < 12; i++ { // a long chain, and a wide fan at its end
					id := fmt.Sprintf("job-%d", i)
					c.submit("b", dependingOn(newJob(id, "array", 1), last))
					chain, last = append(chain, id), id
				}
				for i := 20; i < 40; i++ {
					id := fmt.Sprintf("job-%d", i)
					c.submit("a", dependingOn(newJob(id, "array", 1), last, "job-1"))
					chain = append(chain, id)
				}
				c.eventually(5*time.Second, "the first runs", func() bool { return c.allRunning("job-1", 1) })
				var submission sync.WaitGroup
				submission.Go(func() { // a submission that races with the cancellation
					time.Sleep(15 * time.Millisecond)
					for range 20 {
						if code, _ := c.call("b", "POST", "/v2/runs", dependingOn(newJob("job-50", "array", 1), "job-1")); code == 200 || code == 201 {
							return
						}
						time.Sleep(time.Second)
					}
				})
				// Whoever reads the records can tell, before any of the ends is stored.
				c.network.SetRule(func(_, _ string, r *http.Request, body []byte) fake.Outcome {
					if r.URL.Path == "/commit" && strings.Contains(string(body), `"remove":"job/wait/`) {
						return fake.Refuse
					}
					return fake.Deliver
				})
				status := cancel(c)
				if status != "done" {
					c.eventually(2*time.Second, "all that follow are told as cancelled", func() bool {
						for _, id := range slices.Backward(chain) { // the last first: no answer may rest on another
							if c.status("a", id) != "cancelled" && c.status("b", id) != "cancelled" {
								return false
							}
						}
						return true
					})
				}
				c.network.SetRule(nil)
				submission.Wait()
				if status == "done" {
					c.eventually(30*time.Second, "the next one goes on", func() bool { return c.allRunning("job-2", 1) })
					return
				}
				c.eventually(25*time.Second, "all that follow are cancelled at both nodes", func() bool {
					for _, id := range append(chain, "job-50") {
						if !c.bothReport(id, "cancelled") {
							return false
						}
					}
					return true
				})
				c.submit("a", dependingOn(newJob("job-60", "array", 1), "job-11"))
				if !c.bothReport("job-60", "cancelled") {
					t.Error("a job that names a cancelled one is not cancelled")
				}
				c.eventually(60*time.Second, "their ends are stored", func() bool { return c.store.CountKeys("job/") == 0 })
				c.consistently(30*time.Second, "and nothing of them starts", func() bool {
					return len(c.machinesRunning("job-2/0"))+len(c.machinesRunning("job-50/0"))+len(c.machinesRunning("job-30/0")) == 0
				})
				if code, out := c.call("a", "GET", "/v2/runs/job-30/explain", nil); code != 200 || !strings.Contains(fmt.Sprint(out["trail"]), "job-1, which was cancelled") {
					t.Errorf("explained as %v", out)
				}
			})
		})
	}
}

// cancelUntilAnswered cancels a job as its user does, until it is answered.
func (c *testCluster) cancelUntilAnswered(job string) string {
	for range 40 {
		for _, node := range []string{"a", "b"} {
			if code, out := c.call(node, "POST", "/v2/runs/"+job+"/cancel", nil); code == 200 {
				return fmt.Sprint(out["status"])
			}
		}
		time.Sleep(time.Second)
	}
	c.t.Errorf("the cancellation of %s is not answered", job)
	return ""
}

func TestOutcomeNotYetStoredStartsNoDependent(t *testing.T) {
	// Guards against a next stage that starts on an outcome not stored yet: another node
	// may confirm a cancellation first, or the leader may end.
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startNode("b")
		c.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		c.submit("a", newJob("job-1", "array", 1))
		c.submit("b", dependingOn(newJob("job-2", "array", 1), "job-1"))
		c.eventually(5*time.Second, "the first runs", func() bool { return c.allRunning("job-1", 1) })
		c.network.SetRule(func(_, _ string, r *http.Request, body []byte) fake.Outcome {
			if transactionKind(r, body) == "outcome" {
				return fake.Refuse
			}
			return fake.Deliver
		})
		c.completeJob("job-1")
		c.consistently(10*time.Second, "the next waits", func() bool { return c.workerNamed("m1").StartCount("job-2/0") == 0 && c.bothReport("job-2", "pending") })
		status := c.cancelUntilAnswered("job-1")
		c.network.SetRule(nil)
		if status != "cancelled" {
			t.Fatalf("the cancellation is answered %q", status)
		}
		c.consistently(20*time.Second, "and is cancelled with it", func() bool {
			return c.workerNamed("m1").StartCount("job-2/0") == 0 && c.bothReport("job-2", "cancelled")
		})
	})
}

func TestCancelledJobLeavesIndependentBranchRunning(t *testing.T) {
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startNode("b")
		c.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		c.submit("a", newJob("job-1", "array", 1))
		c.submit("a", dependingOn(newJob("job-2", "array", 1), "job-1"))
		c.submit("b", dependingOn(newJob("job-3", "array", 1), "job-1"))
		c.submit("b", dependingOn(newJob("job-4", "array", 1), "job-2", "job-3"))
		if status := c.cancelUntilAnswered("job-2"); status != "cancelled" {
			t.Fatalf("a job that waits is called %q when cancelled", status)
		}
		if !c.bothReport("job-4", "cancelled") || !c.bothReport("job-3", "pending") {
			t.Errorf("the last is %s, the other branch %s", c.status("a", "job-4"), c.status("a", "job-3"))
		}
		c.eventually(5*time.Second, "the first runs", func() bool { return c.allRunning("job-1", 1) })
		c.completeJob("job-1")
		c.eventually(10*time.Second, "the other branch runs", func() bool { return c.allRunning("job-3", 1) })
		c.consistently(20*time.Second, "the cancelled ones do not", func() bool { return len(c.machinesRunning("job-2/0"))+len(c.machinesRunning("job-4/0")) == 0 })
	})
}

func TestUnknownDependenciesAreRejected(t *testing.T) {
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startNode("b")
		time.Sleep(10 * time.Second)
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
				job["awaits"] = []string{"job-13"} // itself was never accepted either
			}
			for i, node := range []string{"a", "b"} {
				code, out := c.call(node, "POST", "/v2/runs", job)
				if want := test.want; code != want && !(i == 1 && want == 201 && code == 200) {
					t.Errorf("%s answers %d %v, not %d, to awaits %v", node, code, out, want, job["awaits"])
				}
			}
		}
		c.network.SetRule(nil)
		c.store.SetDown(true)
		if code, _ := c.call("a", "POST", "/v2/runs", dependingOn(newJob("job-90", "array", 1), "job-404")); code != 503 {
			t.Errorf("what can't be decided now gets %d", code)
		}
		c.store.SetDown(false)
	})
}

func TestJobWaitingForDependenciesUsesNoQuota(t *testing.T) {
	// Guards against waiting jobs that take part of their team's limit, or start when
	// there is room for them, and against reasons that do not name what they wait for.
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startNode("b")
		c.startWorker("m1", "north")
		c.startWorker("m2", "north")
		time.Sleep(10 * time.Second)
		c.submit("a", newJob("job-1", "array", 1))
		for i := range 30 {
			job := newJob(fmt.Sprintf("job-%d", 100+i), "array", 8)
			job["dueS"] = 30
			c.submit("b", dependingOn(job, "job-1"))
		}
		c.submit("a", newJob("job-2", "array", 7)) // with job-1 all that the team may have
		c.eventually(5*time.Second, "those that wait for nobody run", func() bool { return c.allRunning("job-1", 1) && c.allRunning("job-2", 7) })
		time.Sleep(25 * time.Second)
		_, out := c.call("b", "GET", "/v2/runs/job-100/explain", nil)
		if now := fmt.Sprint(out["now"]); !strings.Contains(now, "awaits job-1: running") || !strings.Contains(now, "at risk") {
			t.Errorf("explained as %v", out)
		}
	})
}
