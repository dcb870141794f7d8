package scenarios

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// copiedRequests selects the requests of which copies arrive again. If peers is set, that includes the
// controllers' messages to the leader about jobs that they accepted or cancelled.
type copiedRequests struct {
	name    string
	matches func(from string, r *http.Request) bool
	peers   bool
}

// kindsOfCopiedRequests are all kinds of requests that change something.
var kindsOfCopiedRequests = []copiedRequests{
	{"commands", func(_ string, r *http.Request) bool { return r.URL.Path == "/commands" }, false},
	{"heartbeats", func(_ string, r *http.Request) bool { return isHeartbeat(r) }, false},
	{"users' requests", func(from string, _ *http.Request) bool { return from == "user" }, false},
	{"transactions", func(_ string, r *http.Request) bool { return isCommit(r) }, false},
	{"lease calls", func(_ string, r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/holds") }, false},
	{"messages to the leader", func(string, *http.Request) bool { return false }, true},
	{"all", func(string, *http.Request) bool { return true }, true},
}

// TestCopiesOfExecutedRequestsBreakNoRule checks that no rule is broken when every executed request of a
// kind arrives once more, up to 100 s later, while jobs of all types come, fail, end and are cancelled.
func TestCopiesOfExecutedRequestsBreakNoRule(t *testing.T) {
	t.Parallel()
	for seed := range seeds(1) {
		for _, kind := range kindsOfCopiedRequests {
			for _, restarts := range []bool{false, true} {
				parallelScenario(t, fmt.Sprint(kind.name, ", restarts ", restarts, ", seed ", seed), func(t *testing.T, c *testCluster) {
					c.playWithCopies(newRandomSource(seed), kind, restarts)
				})
			}
		}
	}
}

// playWithCopies plays three minutes with copies, and then waits until every job has ended.
func (c *testCluster) playWithCopies(random *randomSource, kind copiedRequests, restarts bool) {
	const jobs, duration = 36, 3 * time.Minute
	c.cloudListsMachines = true
	copyDelay := func() time.Duration { return random.milliseconds(20, 100000) }
	if kind.peers {
		c.copyDelay = copyDelay
	}
	c.startNode("a")
	c.startNode("b")
	c.startWorkers("north", "south", "north", "south")
	c.setRandomLatency(random)
	c.network.SetDelay(copyDelay)
	c.network.SetRule(func(from, _ string, r *http.Request, _ []byte) fake.Outcome {
		if r.Method != http.MethodGet && kind.matches(from, r) {
			return fake.DuplicateLate
		}
		return fake.Deliver
	})
	done, quiet := make(chan struct{}), make(chan struct{})
	var beside, users sync.WaitGroup
	beside.Go(func() { c.completeTasksUntil(done, random, 3000, 20000) })
	beside.Go(func() { c.failTasksUntil(quiet, random) })
	if restarts {
		beside.Go(func() { c.restartNodesUntil(quiet, random) })
	}
	for i := range jobs {
		users.Go(func() {
			job := newJob(fmt.Sprintf("job-%d", i+1), []string{"array", "gang", "standing"}[i%3], 1+random.intn(3))
			time.Sleep(time.Duration(i) * duration / jobs)
			c.requestUntilDecided(random, "POST", "/v2/runs", job)
			if i%3 == 2 || random.intn(3) == 0 {
				time.Sleep(random.milliseconds(0, 30000))
				c.requestUntilDecided(random, "POST", "/v2/runs/"+job.id()+"/cancel", nil)
			}
			c.askAllNodes(random, job)
		})
	}
	users.Wait()
	close(quiet)
	// The leader may have drained every machine, since tasks kept failing there.
	c.startWorker("m5", "north")
	c.startWorker("m6", "south")
	for i := range jobs {
		c.awaitAgreement(4*time.Minute, fmt.Sprintf("job-%d", i+1))
	}
	c.passTime(2 * time.Minute) // until the last copies have arrived
	close(done)
	beside.Wait()
}

// waitUnlessStopped waits for d and reports whether neither the channel was closed nor the scenario ended.
func (c *testCluster) waitUnlessStopped(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-c.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// failTasksUntil ends a random running task with an error every few seconds, until the channel is closed.
// Half of the other tasks of its job end with it, as tasks of a gang do.
func (c *testCluster) failTasksUntil(stop <-chan struct{}, random *randomSource) {
	for c.waitUnlessStopped(stop, random.milliseconds(1000, 5000)) {
		machine := c.listWorkers()[random.intn(len(c.listWorkers()))]
		tasks := machine.ActiveTasks()
		if len(tasks) == 0 {
			continue
		}
		failed := tasks[random.intn(len(tasks))]
		machine.EndTask(failed, "error")
		job, _, _ := strings.Cut(failed, "/")
		for _, worker := range c.listWorkers() {
			for _, task := range worker.ActiveTasks() {
				if strings.HasPrefix(task, job+"/") && random.intn(2) == 0 {
					worker.EndTask(task, "peers")
				}
			}
		}
	}
}

// restartNodesUntil restarts a random node every few seconds, until the channel is closed.
func (c *testCluster) restartNodesUntil(stop <-chan struct{}, random *randomSource) {
	for c.waitUnlessStopped(stop, random.milliseconds(5000, 30000)) {
		c.mu.Lock()
		node := c.nodes[random.node()]
		c.mu.Unlock()
		if node != nil {
			node.kill()
			time.Sleep(random.milliseconds(100, 5000))
			c.startNode(node.name)
		}
	}
}
