package scenarios

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// duplicateCommands makes the network keep a copy of every direct command for later delivery.
func (c *testCluster) duplicateCommands() {
	c.network.SetRule(func(_, _ string, r *http.Request, _ []byte) fake.Outcome {
		if r.URL.Path == "/commands" {
			return fake.Duplicate
		}
		return fake.Deliver
	})
}

// startsByMachine returns the starts that each machine has executed.
func (c *testCluster) startsByMachine() map[string][]string {
	starts := map[string][]string{}
	for _, worker := range c.listWorkers() {
		starts[worker.Name] = worker.ExecutedStarts()
	}
	return starts
}

// requireCopiesChangeNothing delivers the copies held back and checks that no machine starts or ends a
// task because of them.
func (c *testCluster) requireCopiesChangeNothing() {
	c.t.Helper()
	c.network.SetRule(nil)
	starts := c.startsByMachine()
	if c.network.ReleaseHeld() == 0 {
		c.t.Fatal("no copy was held back")
	}
	c.passTime(10 * time.Second)
	for machine, after := range c.startsByMachine() {
		if !slices.Equal(starts[machine], after) {
			c.t.Errorf("machine %s had started %v before the copies arrived, and %v after", machine, starts[machine], after)
		}
	}
}

// TestLateCopyOfAnsweredStartDoesNotRunTaskAgain checks that copies of direct commands that were executed
// and answered have no effect after the tasks ended, moved or were cancelled.
func TestLateCopyOfAnsweredStartDoesNotRunTaskAgain(t *testing.T) {
	t.Parallel()
	fail := func(c *testCluster) {
		c.endOnAnyMachine("job-1/0", "error")
		c.endOnAnyMachine("job-1/1", "peers") // only of a gang
		c.passTime(10 * time.Second)
		c.awaitTask(60*time.Second, "job-1/0")
	}
	complete := func(c *testCluster) {
		c.completeJob("job-1")
		c.awaitStatus(8*time.Second, "a", "job-1", "done")
	}
	cancel := func(c *testCluster) {
		if code, _ := c.call("b", "POST", "/v2/runs/job-1/cancel", nil); code != http.StatusOK {
			c.t.Fatalf("the cancellation returned %d", code)
		}
		c.passTime(2 * cancelLimit)
	}
	for _, test := range []struct {
		name, shape string
		tasks       int
		event       func(c *testCluster) // what happens between the answer and the copy
		copiesAfter time.Duration
	}{
		{"replica failed and moved", "standing", 1, fail, 10 * time.Second},
		{"replica failed and moved, two minutes later", "standing", 1, fail, 2 * time.Minute},
		{"task completed", "array", 1, complete, 10 * time.Second},
		{"array cancelled", "array", 3, cancel, 0},
		{"gang cancelled", "gang", 2, cancel, 0},
		{"gang lost a task and started again", "gang", 2, fail, 10 * time.Second},
	} {
		parallelScenario(t, test.name, func(t *testing.T, c *testCluster) {
			c.startPair()
			time.Sleep(300 * time.Millisecond) // between heartbeats, so that starts are sent directly
			c.duplicateCommands()
			c.submit("a", newJob("job-1", test.shape, test.tasks))
			c.awaitRunning(4*time.Second, "job-1", test.tasks)
			c.passTime(2 * heartbeatInterval)
			test.event(c)
			c.passTime(test.copiesAfter)
			c.requireCopiesChangeNothing()
		})
	}
}
