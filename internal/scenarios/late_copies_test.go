package scenarios

import (
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
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

// restartWorkerEmpty ends a machine's worker with all its tasks, and starts another one under the same name.
// The new one knows nothing: its incarnation, sequence number and fencing token begin again.
func (c *testCluster) restartWorkerEmpty(name string, downtime time.Duration) {
	old := c.workerNamed(name)
	old.Terminate()
	c.mu.Lock()
	c.workers = slices.DeleteFunc(c.workers, func(worker *fake.Worker) bool { return worker == old })
	c.mu.Unlock()
	time.Sleep(downtime)
	c.startWorker(name, old.Zone)
}

// TestCopiesDoNotRevivePastTasksOnMachineThatReturns checks that copies of direct commands start no task
// that has ended or moved on a machine that is back within a second, hung or with an empty worker. Before a
// leader has answered an empty worker, no controller can keep it from executing a copy.
func TestCopiesDoNotRevivePastTasksOnMachineThatReturns(t *testing.T) {
	t.Parallel()
	hang := func(c *testCluster) {
		c.workerNamed("m1").SetHung(true)
		time.Sleep(800 * time.Millisecond)
		c.workerNamed("m1").SetHung(false)
	}
	empty := func(c *testCluster) { c.restartWorkerEmpty("m1", 300*time.Millisecond) }
	for _, test := range []struct {
		name     string
		away     func(c *testCluster)
		failover bool
	}{
		{"hung", hang, false},
		{"hung, new leader", hang, true},
		{"empty worker", empty, false},
		{"empty worker, new leader", empty, true},
	} {
		for _, copiesAfter := range []time.Duration{2 * time.Second, 20 * time.Second, 90 * time.Second} {
			parallelScenario(t, fmt.Sprint(test.name, ", copies after ", copiesAfter), func(t *testing.T, c *testCluster) {
				c.startPair()
				time.Sleep(300 * time.Millisecond) // between heartbeats, so that starts are sent directly
				c.duplicateCommands()
				c.submit("a", newJob("job-1", "standing", 4))
				c.submit("a", newJob("job-2", "array", 2))
				c.awaitRunning(4*time.Second, "job-1", 4)
				c.awaitRunning(4*time.Second, "job-2", 2)
				c.completeJob("job-2")
				c.workerNamed("m1").EndTask("job-1/0", "error")
				c.passTime(20 * time.Second)
				c.awaitRunning(60*time.Second, "job-1", 4)
				c.submit("a", newJob("job-3", "standing", 2))
				c.awaitRunning(4*time.Second, "job-3", 2)
				test.away(c)
				if test.failover {
					c.leader().kill()
				}
				c.eventually(20*time.Second, "a leader has answered it", func() bool { return c.workerNamed("m1").FencingToken() > 0 })
				c.passTime(copiesAfter)
				c.network.SetRule(nil)
				c.network.ReleaseHeld()
				c.passTime(20 * time.Second)
				c.awaitRunning(60*time.Second, "job-1", 4)
				c.awaitRunning(60*time.Second, "job-3", 2)
				for _, task := range []string{"job-2/0", "job-2/1"} {
					if starts := c.workerNamed("m1").StartCount(task) + c.workerNamed("m2").StartCount(task); starts > 1 {
						t.Errorf("%s of the completed job was started %d times", task, starts)
					}
				}
			})
		}
	}
}

// TestReportsOfBusyMachineStaySmall checks that outcomes are cleared soon enough for every report to stay
// within the protocol's limit, with 64 tasks of 20 s at a time on one machine for an hour.
func TestReportsOfBusyMachineStaySmall(t *testing.T) {
	t.Parallel()
	const maxBodyBytes, tasksAtATime = 64 << 10, 64
	scenario(t, func(t *testing.T, c *testCluster) {
		var largest, reports, commands atomic.Int64
		c.network.SetRule(func(_, _ string, r *http.Request, body []byte) fake.Outcome {
			switch {
			case isHeartbeat(r):
				reports.Add(1)
				largest.Store(max(largest.Load(), int64(len(body))))
			case r.URL.Path == "/commands":
				commands.Add(1)
			}
			return fake.Deliver
		})
		c.startNode("a")
		machine := c.startWorker("m1", "north")
		time.Sleep(settleTime)
		busiest, seen := 0, map[string]int{}
		for second := range 3600 {
			if second%20 == 0 {
				c.submit("a", newJob(fmt.Sprintf("job-%d", second), "array", tasksAtATime).with("cores", 4.0/tasksAtATime, "ramGb", 0.1))
			}
			time.Sleep(time.Second)
			active := machine.ActiveTasks()
			busiest = max(busiest, len(active))
			for _, task := range active {
				if seen[task] == 0 {
					seen[task] = second
				} else if second-seen[task] >= 20 {
					machine.EndTask(task, "done")
				}
			}
		}
		starts := len(machine.ExecutedStarts())
		t.Logf("%d starts, %d reports, %d direct commands, largest report %d bytes", starts, reports.Load(), commands.Load(), largest.Load())
		if busiest != tasksAtATime || starts < 3600/20*tasksAtATime/2 {
			t.Errorf("at most %d tasks at a time, %d in an hour", busiest, starts)
		}
		if largest.Load() > maxBodyBytes {
			t.Errorf("a report has %d bytes, want at most %d", largest.Load(), maxBodyBytes)
		}
	})
}
