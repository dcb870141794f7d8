package scenarios

import (
	"fmt"
	"sync"
	"time"
)

// eventually polls a condition until it holds, and fails the test if it doesn't within the timeout.
func (c *testCluster) eventually(timeout time.Duration, description string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(timeout); !condition(); {
		if time.Now().After(end) {
			c.t.Fatalf("condition not met within %v: %s; store: %s", timeout, description, c.store)
		}
		time.Sleep(100 * time.Millisecond)
		c.checkInvariants()
	}
}

// consistently fails the test unless a condition holds for the whole duration.
func (c *testCluster) consistently(duration time.Duration, description string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if !condition() {
			c.t.Fatalf("condition no longer holds: %s", description)
		}
		c.checkInvariants()
	}
}

// passTime lets time pass, and checks the invariants meanwhile.
func (c *testCluster) passTime(duration time.Duration) {
	c.t.Helper()
	c.consistently(duration, "", func() bool { return true })
}

// awaitTask waits until a task runs on exactly one machine.
func (c *testCluster) awaitTask(timeout time.Duration, task string) {
	c.t.Helper()
	c.eventually(timeout, task+" runs", func() bool { return c.isRunning(task) })
}

// awaitRunning waits until each of the job's first tasks runs on exactly one machine.
func (c *testCluster) awaitRunning(timeout time.Duration, job string, tasks int) {
	c.t.Helper()
	c.eventually(timeout, fmt.Sprintf("%d tasks of %s run", tasks, job), func() bool { return c.allRunning(job, tasks) })
}

// awaitStatus waits until a node reports a job's status.
func (c *testCluster) awaitStatus(timeout time.Duration, node, job, status string) {
	c.t.Helper()
	c.eventually(timeout, job+" is "+status, func() bool { return c.status(node, job) == status })
}

// awaitLeadership waits until a node leads.
func (c *testCluster) awaitLeadership(timeout time.Duration, node *testNode) {
	c.t.Helper()
	c.eventually(timeout, node.name+" leads", func() bool { return node.elector.Cluster() != nil })
}

// awaitAnyLeader waits until some node leads.
func (c *testCluster) awaitAnyLeader(timeout time.Duration) {
	c.t.Helper()
	c.eventually(timeout, "a leader", func() bool { return c.leader() != nil })
}

// awaitStepDown waits until a node no longer leads.
func (c *testCluster) awaitStepDown(timeout time.Duration, node *testNode) {
	c.t.Helper()
	c.eventually(timeout, node.name+" steps down", func() bool { return node.elector.Cluster() == nil })
}

// checkInvariants checks two conditions that must hold at any time in every scenario: no task runs
// on two machines, and no cancelled task still runs after the cancellation limit. In
// addition, the rules check every event.
func (c *testCluster) checkInvariants() {
	c.t.Helper()
	c.rules.CheckCancelled()
	runningOn := map[string]string{}
	for _, worker := range c.listWorkers() {
		for _, task := range worker.ActiveTasks() {
			if other := runningOn[task]; other != "" {
				c.t.Fatalf("task %s runs on two machines: %s and %s", task, other, worker.Name)
			}
			runningOn[task] = worker.Name
		}
	}
}

// machinesRunning returns the names of the machines on which a task runs.
func (c *testCluster) machinesRunning(task string) (machines []string) {
	for _, worker := range c.listWorkers() {
		for _, active := range worker.ActiveTasks() {
			if active == task {
				machines = append(machines, worker.Name)
			}
		}
	}
	return machines
}

// isRunning reports whether a task runs on exactly one machine.
func (c *testCluster) isRunning(task string) bool { return len(c.machinesRunning(task)) == 1 }

// endOnAnyMachine ends a running task for the given cause, on the machine on which it runs.
func (c *testCluster) endOnAnyMachine(task, cause string) {
	for _, worker := range c.listWorkers() {
		worker.EndTask(task, cause)
	}
}

// noneRunning reports whether none of the tasks runs on a machine.
func (c *testCluster) noneRunning(tasks ...string) bool {
	for _, task := range tasks {
		if len(c.machinesRunning(task)) > 0 {
			return false
		}
	}
	return true
}

// allRunning reports whether each of the job's first tasks runs on exactly one machine.
func (c *testCluster) allRunning(job string, tasks int) bool {
	for i := range tasks {
		if !c.isRunning(fmt.Sprintf("%s/%d", job, i)) {
			return false
		}
	}
	return true
}

// requireStartedOnce checks that each task was started exactly once, counted over all workers.
func (c *testCluster) requireStartedOnce(tasks ...string) {
	c.t.Helper()
	for _, task := range tasks {
		n := 0
		for _, worker := range c.workers {
			n += worker.StartCount(task)
		}
		if n != 1 {
			c.t.Errorf("task %s was started %d times, want once", task, n)
		}
	}
}

// requireStopped checks that a job's tasks stop within the limit after the cancellation was
// confirmed, and that they don't start again during stableFor.
func (c *testCluster) requireStopped(confirmedAt time.Time, job string, tasks int, stableFor time.Duration) {
	c.t.Helper()
	allAbsent := func() bool {
		for i := range tasks {
			if !c.noneRunning(fmt.Sprintf("%s/%d", job, i)) {
				return false
			}
		}
		return true
	}
	c.eventually(time.Until(confirmedAt.Add(cancelLimit)), job+" stops within the cancellation limit", allAbsent)
	c.consistently(stableFor, job+" does not start again", allAbsent)
}

// bothNodesReport reports whether both nodes return the given status for a job.
func (c *testCluster) bothNodesReport(id, status string) bool {
	return c.status("a", id) == status && c.status("b", id) == status
}

// countReported counts the jobs numbered from one number to another, both included, for which both
// nodes return the given status.
func (c *testCluster) countReported(status string, from, to int) (n int) {
	for i := from; i <= to; i++ {
		if c.bothNodesReport(fmt.Sprintf("job-%d", i), status) {
			n++
		}
	}
	return n
}

// isReportedAs reports whether at least one node returns the given status for a job, and no node
// returns another status.
func (c *testCluster) isReportedAs(id, status string) bool {
	answers := 0
	for _, node := range nodeNames {
		switch c.status(node, id) {
		case status:
			answers++
		case "":
		default:
			return false
		}
	}
	return answers > 0
}

// awaitAgreement waits, for one job after another, until the job has ended and all nodes report
// the same status.
func (c *testCluster) awaitAgreement(within time.Duration, ids ...string) {
	c.t.Helper()
	for _, id := range ids {
		last := map[string]string{}
		c.eventually(within, id+" has ended and all nodes report the same", func() bool {
			for _, node := range nodeNames {
				last[node] = c.status(node, id)
			}
			return last["a"] == last["b"] && (last["a"] == "done" || last["a"] == "cancelled")
		})
	}
}

// requireCancelledAtAllNodes asks all nodes concurrently for the status of each job. A node may
// fail to answer, but must not report a status other than cancelled.
func (c *testCluster) requireCancelledAtAllNodes(jobs []string) {
	c.t.Helper()
	var wg sync.WaitGroup
	for _, id := range jobs {
		for _, node := range nodeNames {
			wg.Go(func() {
				if code, out := c.call(node, "GET", "/v2/runs/"+id, nil); code == 200 && out["status"] != "cancelled" {
					c.t.Errorf("node %s reports cancelled job %s as %v", node, id, out["status"])
				}
			})
		}
	}
	wg.Wait()
}
