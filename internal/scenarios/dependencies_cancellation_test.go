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

// TestCancellationPropagatesToDependents checks that a job does not wait forever, or start, after a
// job it depends on was cancelled, whatever the status of that job was, and that all nodes report
// the same status for it.
func TestCancellationPropagatesToDependents(t *testing.T) {
	for name, cancel := range map[string]func(c *testCluster) string{
		"of a running job": func(c *testCluster) string { return c.cancelUntilAnswered("job-1") },
		"as the job completes": func(c *testCluster) string {
			c.completeJob("job-1")
			return c.cancelUntilAnswered("job-1")
		},
		"while the state service refuses the leader": func(c *testCluster) string {
			leader := c.leader()
			c.store.RefuseCaller(leader.name, true)
			time.AfterFunc(8*time.Second, func() { c.store.RefuseCaller(leader.name, false) })
			return c.cancelUntilAnswered("job-1")
		},
		"as the leader fails over": func(c *testCluster) string {
			leader := c.leader()
			leader.kill()
			time.AfterFunc(3*time.Second, func() { c.startNode(leader.name) })
			return c.cancelUntilAnswered("job-1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			scenario(t, func(t *testing.T, c *testCluster) {
				c.startPair()
				c.submit("a", newJob("job-1", "array", 1))
				last := "job-1"
				var dependents []string
				for i := 2; i < 12; i++ { // a long chain, and many dependents of its last job
					id := fmt.Sprintf("job-%d", i)
					c.submit("b", newJob(id, "array", 1).dependingOn(last))
					dependents, last = append(dependents, id), id
				}
				for i := 20; i < 40; i++ {
					id := fmt.Sprintf("job-%d", i)
					c.submit("a", newJob(id, "array", 1).dependingOn(last, "job-1"))
					dependents = append(dependents, id)
				}
				c.awaitRunning(5*time.Second, "job-1", 1)
				var submission sync.WaitGroup
				submission.Go(func() { // a submission that races with the cancellation
					time.Sleep(15 * time.Millisecond)
					for range 20 {
						if code, _ := c.call("b", "POST", "/v2/runs", newJob("job-50", "array", 1).dependingOn("job-1")); code == 200 || code == 201 {
							return
						}
						time.Sleep(time.Second)
					}
				})
				// The nodes must report dependents as cancelled before any outcome of a dependent is stored.
				c.network.SetRule(func(_, _ string, r *http.Request, body []byte) fake.Outcome {
					if removesWaitingJobs(r, body) {
						return fake.Refuse
					}
					return fake.Deliver
				})
				status := cancel(c)
				if status != "done" {
					c.eventually(2*time.Second, "all dependents are reported as cancelled", func() bool {
						for _, id := range slices.Backward(dependents) { // last job first, so that no answer relies on another
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
					c.awaitRunning(30*time.Second, "job-2", 1)
					return
				}
				c.eventually(25*time.Second, "all dependents are cancelled at both nodes", func() bool {
					for _, id := range append(dependents, "job-50") {
						if !c.bothNodesReport(id, "cancelled") {
							return false
						}
					}
					return true
				})
				c.submit("a", newJob("job-60", "array", 1).dependingOn("job-11"))
				if !c.bothNodesReport("job-60", "cancelled") {
					t.Error("job-60, submitted with a dependency on the cancelled job-11, is not cancelled")
				}
				c.eventually(60*time.Second, "their outcomes are stored", func() bool {
					return c.store.CountKeys("job/") == 0
				})
				c.consistently(30*time.Second, "none of them starts", func() bool {
					return c.noneRunning("job-2/0", "job-50/0", "job-30/0")
				})
				if code, out := c.call("a", "GET", "/v2/runs/job-30/explain", nil); code != 200 || !strings.Contains(fmt.Sprint(out["trail"]), "job-1, which was cancelled") {
					t.Errorf("the explanation of job-30 does not name the cancelled job-1: %v", out)
				}
			})
		})
	}
}

// TestCancelledJobLeavesIndependentBranchRunning cancels one of the two branches of a diamond of
// dependencies, and checks that the jobs that depend on that branch are cancelled while the other
// branch runs.
func TestCancelledJobLeavesIndependentBranchRunning(t *testing.T) {
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startNode("b")
		c.startWorker("m1", "north")
		time.Sleep(settleTime)
		c.submit("a", newJob("job-1", "array", 1))
		c.submit("a", newJob("job-2", "array", 1).dependingOn("job-1"))
		c.submit("b", newJob("job-3", "array", 1).dependingOn("job-1"))
		c.submit("b", newJob("job-4", "array", 1).dependingOn("job-2", "job-3"))
		if status := c.cancelUntilAnswered("job-2"); status != "cancelled" {
			t.Fatalf("the cancellation of waiting job-2 returned status %q", status)
		}
		if !c.bothNodesReport("job-4", "cancelled") || !c.bothNodesReport("job-3", "pending") {
			t.Errorf("job-4 is %s, want cancelled; job-3 is %s, want pending", c.status("a", "job-4"), c.status("a", "job-3"))
		}
		c.awaitRunning(5*time.Second, "job-1", 1)
		c.completeJob("job-1")
		c.awaitRunning(10*time.Second, "job-3", 1)
		c.consistently(20*time.Second, "the cancelled ones do not run", func() bool {
			return c.noneRunning("job-2/0", "job-4/0")
		})
	})
}

// TestAllNodesReportConfirmedCancellation checks that no node reports a job as pending after
// another node has confirmed the cancellation of a job it depends on. This includes jobs far down
// the chain and jobs submitted at the same time.
func TestAllNodesReportConfirmedCancellation(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		parallelScenario(t, fmt.Sprint(seed), func(t *testing.T, c *testCluster) {
			random := newRandomSource(seed)
			c.startNode("a")
			c.startNode("b")
			c.startWorker("m1", "north")
			time.Sleep(settleTime)
			c.setRandomLatency(random)
			for round := range 5 {
				first := fmt.Sprintf("job-%d00", round+1)
				c.requestUntilDecided(random, "POST", "/v2/runs", newJob(first, "array", 1))
				dependents, previous := []string{}, first
				for i := range 6 {
					id := fmt.Sprintf("job-%d%02d", round+1, i+1)
					if code, _ := c.requestUntilDecided(random, "POST", "/v2/runs", newJob(id, "array", 1).dependingOn(previous)); code != 201 {
						t.Fatalf("the submission of a dependent job returned %d", code)
					}
					dependents, previous = append(dependents, id), id
				}
				time.Sleep(random.milliseconds(0, 3000)) // the first job may be waiting, starting or running
				var submissions sync.WaitGroup
				var mu sync.Mutex
				for i := range 10 {
					submissions.Go(func() {
						time.Sleep(random.milliseconds(0, 40))
						id := fmt.Sprintf("job-%d%02d", round+1, 50+i)
						if code, _ := c.requestUntilDecided(random, "POST", "/v2/runs", newJob(id, "array", 1).dependingOn([]string{first, previous}[i%2])); code == 201 || code == 200 {
							mu.Lock()
							dependents = append(dependents, id)
							mu.Unlock()
						} else {
							t.Errorf("a submission that races with the cancellation returned %d", code)
						}
					})
				}
				time.Sleep(random.milliseconds(0, 30))
				if _, status := c.requestUntilDecided(random, "POST", "/v2/runs/"+first+"/cancel", nil); status != "cancelled" {
					t.Fatalf("the cancellation of the first job returned status %q", status)
				}
				mu.Lock()
				confirmed := append([]string{}, dependents...)
				mu.Unlock()
				c.requireCancelledAtAllNodes(confirmed)
				submissions.Wait()
				c.requireCancelledAtAllNodes(dependents)
			}
		})
	}
}

// TestCancellationInLongChainReachesOnlyDependents checks that a cancellation in a chain of a
// hundred jobs reaches every job that depends on the cancelled one, and none of the jobs before it.
func TestCancellationInLongChainReachesOnlyDependents(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startPair()
		c.submitChain(100)
		c.awaitRunning(5*time.Second, "job-1", 1)
		for _, step := range []struct{ cancel, waiting int }{{100, 98}, {50, 48}, {1, 0}} { // last, middle, first
			if status := c.cancelUntilAnswered(fmt.Sprintf("job-%d", step.cancel)); status != "cancelled" {
				t.Fatalf("the cancellation of job-%d returned status %q", step.cancel, status)
			}
			if n := c.countReported("cancelled", step.cancel, 100); n != 101-step.cancel {
				t.Errorf("%d of the %d jobs from job-%d on are reported as cancelled", n, 101-step.cancel, step.cancel)
			}
			if n := c.countReported("pending", 2, step.cancel-1); step.cancel > 1 && n != step.cancel-2 {
				t.Errorf("%d of the %d waiting jobs before job-%d are reported as pending", n, step.cancel-2, step.cancel)
			}
			c.eventually(30*time.Second, "the outcomes are stored", func() bool {
				return c.store.CountKeys("job/wait/") == step.waiting
			})
		}
		c.eventually(30*time.Second, "the outcome of the first too", func() bool {
			return c.store.CountKeys("job/") == 0 && c.store.CountKeys("end/") == 100
		})
		c.consistently(20*time.Second, "none of them starts", func() bool { return c.noneRunning("job-2/0", "job-50/0") })
	})
}
