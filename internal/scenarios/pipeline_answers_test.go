package scenarios

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// newSmallJob is a job whose task takes so little that hundreds run at once.
func newSmallJob(id string) map[string]any {
	job := newJob(id, "array", 1)
	job["cores"], job["ramGb"] = 0.02, 0.05
	return job
}

// submitFanIn submits many jobs, one that awaits all of them, and one that awaits that.
func (c *testCluster) submitFanIn(random *randomSource, count int) (needed []string) {
	c.t.Helper()
	for i := range count {
		id := fmt.Sprintf("job-%06d", 412+37*i)
		needed = append(needed, id)
		if code, _ := c.requestUntilDecided(random, "POST", "/v2/runs", newSmallJob(id)); code != 201 {
			c.t.Fatalf("the submission of %s got %d", id, code)
		}
		time.Sleep(30 * time.Millisecond)
	}
	c.submit("a", dependingOn(newSmallJob("job-900000"), needed...))
	c.submit("b", dependingOn(newSmallJob("job-900001"), "job-900000"))
	return needed
}

func TestJobWithManyDependenciesFitsSmallValueLimit(t *testing.T) {
	t.Parallel()
	// Guards against refusing a job that can run because the names of what it awaits do not
	// fit beside its description, and against one that is stored but can then neither be
	// started nor cancelled, by its user or by one that it needs.
	for name, play := range map[string]func(c *testCluster, needed []string){
		"it runs": func(c *testCluster, needed []string) {
			for _, id := range needed[1:] {
				c.completeJob(id)
			}
			c.consistently(8*time.Second, "it waits for the last of them", func() bool { return c.bothReport("job-900000", "pending") })
			c.completeJob(needed[0])
			c.eventually(15*time.Second, "it runs", func() bool { return c.allRunning("job-900000", 1) })
			c.completeJob("job-900000")
			c.eventually(15*time.Second, "what follows runs", func() bool { return c.allRunning("job-900001", 1) })
			c.completeJob("job-900001")
			c.eventually(15*time.Second, "all are done", func() bool { return c.bothReport("job-900000", "done") && c.bothReport("job-900001", "done") })
			// Their ends are looked up by a node that remembers none of them.
			c.nodes["b"].kill()
			c.startNode("b")
			c.eventually(10*time.Second, "it answers", func() bool { return c.status("b", needed[0]) == "done" })
			c.submit("b", dependingOn(newSmallJob("job-900002"), needed...))
			c.eventually(15*time.Second, "it starts at once", func() bool { return c.allRunning("job-900002", 1) })
		},
		"its user cancels it": func(c *testCluster, needed []string) {
			if status := c.cancelUntilAnswered("job-900000"); status != "cancelled" {
				c.t.Errorf("its cancellation is answered %q", status)
			}
			c.eventually(5*time.Second, "what follows is cancelled", func() bool { return c.bothReport("job-900001", "cancelled") })
			c.eventually(20*time.Second, "the ends are stored", func() bool { return c.store.CountKeys("job/wait/") == 0 })
			if !c.bothReport(needed[0], "running") {
				c.t.Error("what it awaited is touched")
			}
		},
		"one that it needs is cancelled": func(c *testCluster, needed []string) {
			c.cancelUntilAnswered(needed[149])
			c.eventually(5*time.Second, "it is cancelled, and what follows", func() bool {
				return c.bothReport("job-900000", "cancelled") && c.bothReport("job-900001", "cancelled")
			})
			c.eventually(20*time.Second, "the ends are stored", func() bool { return c.store.CountKeys("job/wait/") == 0 })
			if _, out := c.call("b", "GET", "/v2/runs/job-900001/explain", nil); !strings.Contains(fmt.Sprint(out["now"]), "cancelled with "+needed[149]) {
				c.t.Errorf("explained as %v", out)
			}
		},
	} {
		parallelScenario(t, name, func(t *testing.T, c *testCluster) {
			c.valueLimitKB = 2
			c.store.SetLimits(2048, 12)
			c.startNode("a")
			c.startNode("b")
			c.startWorker("m1", "north")
			c.startWorker("m2", "south")
			time.Sleep(10 * time.Second)
			needed := c.submitFanIn(newRandomSource(1), 150)
			c.eventually(20*time.Second, "they run", func() bool {
				for _, id := range needed {
					if !c.allRunning(id, 1) {
						return false
					}
				}
				return true
			})
			play(c, needed)
			if c.store.TooLarge > 0 {
				t.Errorf("%d transactions over the limits", c.store.TooLarge)
			}
		})
	}
}

func TestAllNodesReportConfirmedCancellation(t *testing.T) {
	t.Parallel()
	// Guards against a node that calls a job pending after the user was told, at another
	// one, that what it awaits is cancelled: jobs far down, and such as are submitted at
	// the same moment.
	for seed := range uint64(3) {
		parallelScenario(t, fmt.Sprint(seed), func(t *testing.T, c *testCluster) {
			random := newRandomSource(seed)
			c.startNode("a")
			c.startNode("b")
			c.startWorker("m1", "north")
			time.Sleep(10 * time.Second)
			c.setRandomLatency(random)
			for round := range 5 {
				first := fmt.Sprintf("job-%d00", round+1)
				c.requestUntilDecided(random, "POST", "/v2/runs", newJob(first, "array", 1))
				followers, previous := []string{}, first
				for i := range 6 {
					id := fmt.Sprintf("job-%d%02d", round+1, i+1)
					if code, _ := c.requestUntilDecided(random, "POST", "/v2/runs", dependingOn(newJob(id, "array", 1), previous)); code != 201 {
						t.Fatalf("a submission got %d", code)
					}
					followers, previous = append(followers, id), id
				}
				time.Sleep(random.milliseconds(0, 3000)) // it may wait, start or run
				var submissions sync.WaitGroup
				var mu sync.Mutex
				for i := range 10 {
					submissions.Go(func() {
						time.Sleep(random.milliseconds(0, 40))
						id := fmt.Sprintf("job-%d%02d", round+1, 50+i)
						if code, _ := c.requestUntilDecided(random, "POST", "/v2/runs", dependingOn(newJob(id, "array", 1), []string{first, previous}[i%2])); code == 201 || code == 200 {
							mu.Lock()
							followers = append(followers, id)
							mu.Unlock()
						} else {
							t.Errorf("a submission that races with the cancellation got %d", code)
						}
					})
				}
				time.Sleep(random.milliseconds(0, 30))
				if _, status := c.requestUntilDecided(random, "POST", "/v2/runs/"+first+"/cancel", nil); status != "cancelled" {
					t.Fatalf("the cancellation is answered %q", status)
				}
				mu.Lock()
				confirmed := append([]string{}, followers...)
				mu.Unlock()
				c.requireCancelledAtAllNodes(confirmed)
				submissions.Wait()
				c.requireCancelledAtAllNodes(followers)
			}
		})
	}
}

// requireCancelledAtAllNodes asks all nodes at one moment whether these jobs are cancelled.
func (c *testCluster) requireCancelledAtAllNodes(jobs []string) {
	c.t.Helper()
	var wg sync.WaitGroup
	for _, id := range jobs {
		for _, node := range nodeNames {
			wg.Go(func() {
				if code, out := c.call(node, "GET", "/v2/runs/"+id, nil); code == 200 && out["status"] != "cancelled" {
					c.t.Errorf("%s calls %s %v", node, id, out["status"])
				}
			})
		}
	}
	wg.Wait()
}
