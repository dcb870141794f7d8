package scenarios

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// jobSpec is the body of a submission, by field names of the API. It is a map so that a test can
// leave a field out or give it a value of the wrong type.
type jobSpec map[string]any

// newJob returns a job of team red whose tasks need one core each.
func newJob(id, shape string, tasks int) jobSpec {
	return jobSpec{"uid": id, "jobkind": "c", "owner": "red", "shape": shape, "urgency": "normal", "pieces": tasks,
		"cores": 1, "accelerators": 0, "ramGb": 1, "bundle": "img", "pullGb": 1, "together": false, "spread": false,
		"loaners": false, "guessS": 10, "bookmarkS": 0, "stashS": 0}
}

// newSmallJob returns a job with a single task that needs so little that hundreds of them run at
// the same time.
func newSmallJob(id string) jobSpec {
	return newJob(id, "array", 1).with("cores", 0.02, "ramGb", 0.05)
}

// id returns the ID of the job.
func (j jobSpec) id() string { return j["uid"].(string) }

// with sets fields, given as alternating names and values, and returns the job itself.
func (j jobSpec) with(fields ...any) jobSpec {
	for i := 0; i < len(fields); i += 2 {
		j[fields[i].(string)] = fields[i+1]
	}
	return j
}

// dependingOn makes the job depend on others, and returns the job itself.
func (j jobSpec) dependingOn(jobs ...string) jobSpec { return j.with("awaits", jobs) }

// submitChain submits jobs 1 to n, each of which depends on the one before.
func (c *testCluster) submitChain(n int) {
	c.submit("a", newJob("job-1", "array", 1))
	for i := 2; i <= n; i++ {
		c.submit(nodeNames[i%2], newJob(fmt.Sprintf("job-%d", i), "array", 1).dependingOn(fmt.Sprintf("job-%d", i-1)))
	}
}

// submitFanIn submits count small jobs, a job that depends on all of them, and a job that depends on
// the latter. It returns the IDs of the small jobs.
func (c *testCluster) submitFanIn(random *randomSource, count int) (dependencies []string) {
	c.t.Helper()
	for i := range count {
		id := fmt.Sprintf("job-%06d", 412+37*i)
		dependencies = append(dependencies, id)
		if code, _ := c.requestUntilDecided(random, "POST", "/v2/runs", newSmallJob(id)); code != 201 {
			c.t.Fatalf("submission of %s got status code %d, want 201", id, code)
		}
		time.Sleep(30 * time.Millisecond)
	}
	c.submit("a", newSmallJob("job-900000").dependingOn(dependencies...))
	c.submit("b", newSmallJob("job-900001").dependingOn("job-900000"))
	return dependencies
}

// completeJob completes every running task of a job.
func (c *testCluster) completeJob(job string) {
	for _, worker := range c.workers {
		for _, task := range worker.ActiveTasks() {
			if strings.HasPrefix(task, job+"/") {
				worker.EndTask(task, "done")
			}
		}
	}
}

// completeTasksUntil completes every task a random time after it was first seen, until the channel
// is closed or the scenario ends.
func (c *testCluster) completeTasksUntil(stop <-chan struct{}, random *randomSource, minMS, maxMS int) {
	endTimes := map[string]time.Time{}
	for {
		for _, worker := range c.workers {
			for _, task := range worker.ActiveTasks() {
				if at := endTimes[task]; at.IsZero() {
					endTimes[task] = time.Now().Add(random.milliseconds(minMS, maxMS))
				} else if time.Now().After(at) {
					worker.EndTask(task, "done")
				}
			}
		}
		select {
		case <-stop:
			return
		case <-c.ctx.Done():
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// completeRandomTasks completes, every second until the scenario ends, each running task whose name
// begins with the prefix with a probability of one in oneIn.
func (c *testCluster) completeRandomTasks(prefix string, oneIn int, rng *rand.Rand) {
	for c.ctx.Err() == nil {
		select {
		case <-time.After(time.Second):
		case <-c.ctx.Done():
			return
		}
		for _, worker := range c.listWorkers() {
			for _, task := range worker.ActiveTasks() {
				if strings.HasPrefix(task, prefix) && rng.IntN(oneIn) == 0 {
					worker.EndTask(task, "done")
				}
			}
		}
	}
}

// completeTasksAfter completes every task the given duration after it was first seen, until the
// channel is closed or the scenario ends.
func (c *testCluster) completeTasksAfter(duration time.Duration, stop <-chan struct{}) {
	seen := map[string]time.Time{}
	for {
		for _, worker := range c.workers {
			for _, task := range worker.ActiveTasks() {
				if seen[task].IsZero() {
					seen[task] = time.Now()
				} else if time.Since(seen[task]) > duration {
					worker.EndTask(task, "done")
				}
			}
		}
		select {
		case <-stop:
			return
		case <-c.ctx.Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}
