package scenarios

import (
	"fmt"
	"strings"
	"time"
)

// newJob is a job of team red with tasks of one core.
func newJob(id, shape string, tasks int) map[string]any {
	return map[string]any{"uid": id, "jobkind": "c", "owner": "red", "shape": shape, "urgency": "normal", "pieces": tasks,
		"cores": 1, "accelerators": 0, "ramGb": 1, "bundle": "img", "pullGb": 1, "together": false, "spread": false,
		"loaners": false, "guessS": 10, "bookmarkS": 0, "stashS": 0}
}

// with changes one field of a submission.
func with(job map[string]any, field string, value any) map[string]any {
	job[field] = value
	return job
}

// sized is a spec with tasks of so many cores.
func sized(id, shape string, tasks int, cores float64) map[string]any {
	job := newJob(id, shape, tasks)
	job["cores"] = cores
	return job
}

// newSmallJob is a job whose task takes so little that hundreds run at once.
func newSmallJob(id string) map[string]any {
	job := newJob(id, "array", 1)
	job["cores"], job["ramGb"] = 0.02, 0.05
	return job
}

// after is a job's description that awaits others.
func dependingOn(job map[string]any, jobs ...string) map[string]any {
	job["awaits"] = jobs
	return job
}

// submitChain submits jobs 1 to n, each of which awaits the one before.
func (c *testCluster) submitChain(n int) {
	c.submit("a", newJob("job-1", "array", 1))
	for i := 2; i <= n; i++ {
		c.submit(nodeNames[i%2], dependingOn(newJob(fmt.Sprintf("job-%d", i), "array", 1), fmt.Sprintf("job-%d", i-1)))
	}
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

// completeTasksUntil has every task complete after a while, until over.
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
