package scenarios

import (
	"strings"
	"testing"
	"time"
)

// TestWaitingGangReplacesLostTaskUnderSameAttempt loses the machine of one task of a gang while
// both tasks wait for each other, and checks that the task is replaced under the same attempt.
func TestWaitingGangReplacesLostTaskUnderSameAttempt(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startWorkers("north", "south")
		c.submit("a", newJob("job-9", "gang", 2).with("cores", 3))
		c.eventually(3*time.Second, "both tasks are on machines", func() bool {
			return c.isRunning("job-9/0") && c.isRunning("job-9/1")
		})
		c.workerNamed("m1").SetTaskStatus("job-9/0", "waiting")
		c.workerNamed("m1").SetTaskStatus("job-9/1", "waiting")
		c.workerNamed("m2").SetTaskStatus("job-9/0", "waiting")
		c.workerNamed("m2").SetTaskStatus("job-9/1", "waiting")
		time.Sleep(5 * time.Second)
		lost := c.machinesRunning("job-9/0")[0]
		c.workerNamed(lost).SetSilent(true)
		c.startWorker("m3", "north")
		c.eventually(40*time.Second, "the lost task is replaced", func() bool {
			machines := c.machinesRunning("job-9/0")
			return len(machines) == 1 && machines[0] == "m3"
		})
		if start := c.workerNamed("m3").Starts[0]; start != "job-9/0#1" {
			t.Fatalf("the replacement was started as %s, not under the same attempt", start)
		}
	})
}

// TestRunningGangThatLosesTaskRestartsAsWhole ends one task of a running gang, and checks that no
// new attempt starts before the remaining task of the old attempt has ended.
func TestRunningGangThatLosesTaskRestartsAsWhole(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"running", "flushing"} {
		scenario(t, func(t *testing.T, c *testCluster) {
			c.startNode("a")
			c.startWorkers("north", "south")
			c.submit("a", newJob("job-10", "gang", 2).with("cores", 3))
			c.eventually(3*time.Second, "both tasks are on machines", func() bool {
				return c.isRunning("job-10/0") && c.isRunning("job-10/1")
			})
			lost, remaining := c.workerNamed(c.machinesRunning("job-10/0")[0]), c.workerNamed(c.machinesRunning("job-10/1")[0])
			remaining.SetTaskStatus("job-10/1", status)
			time.Sleep(5 * time.Second)
			c.startWorker("m3", "north")
			lost.EndTask("job-10/0", "error")
			// No new attempt starts until the other task of the old attempt has ended.
			c.consistently(12*time.Second, "no second attempt beside the first", func() bool {
				return c.noneRunning("job-10/0")
			})
			remaining.EndTask("job-10/1", "peers")
			c.eventually(10*time.Second, "a new attempt of both", func() bool {
				return c.isRunning("job-10/0") && c.isRunning("job-10/1")
			})
			for _, worker := range c.workers {
				for _, start := range worker.Starts {
					if !strings.HasSuffix(start, "#1") && !strings.HasSuffix(start, "#2") {
						t.Fatalf("unexpected start %s", start)
					}
				}
			}
		})
	}
}
