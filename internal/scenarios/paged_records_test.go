package scenarios

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestStartingControllerKnowsJobsThatMoveWhileItListsRecords guards against a controller that denies
// accepted jobs after a crash, because they left the waiting state while it listed the records page by
// page. In each round a controller comes back at about the time at which a job ends that others await, and
// users poll and cancel those jobs and submit jobs that await them there.
func TestStartingControllerKnowsJobsThatMoveWhileItListsRecords(t *testing.T) {
	t.Parallel()
	for seed := range seeds(4) {
		parallelScenario(t, fmt.Sprint(seed), func(t *testing.T, c *testCluster) {
			random := newRandomSource(seed)
			c.store.SetPageLimit(1 + random.intn(8))
			c.startPair()
			c.store.SetLatency(8 * time.Millisecond)
			for i := range 10 { // records of jobs without room, which sort between those that move
				c.submit("a", newJob(fmt.Sprintf("job-5%d", i), "array", 1).with("cores", 4, "yard", "south"))
			}
			for round := range 8 {
				c.playRestartWhileJobsMove(random, round)
			}
		})
	}
}

// playRestartWhileJobsMove restarts the controller that does not lead while jobs leave the waiting state,
// and sends it users' requests for these jobs until it has been up for a second.
func (c *testCluster) playRestartWhileJobsMove(random *randomSource, round int) {
	c.t.Helper()
	const dependents = 6
	prerequisite := fmt.Sprintf("job-%d", 1000+round*10)
	c.submit("a", newSmallJob(prerequisite).with("yard", "north"))
	var waiting []jobSpec
	for i := range dependents {
		job := newSmallJob(fmt.Sprintf("job-%d", 1001+round*10+i)).with("yard", "north").dependingOn(prerequisite)
		c.submit(nodeNames[i%2], job)
		waiting = append(waiting, job)
	}
	c.awaitTask(10*time.Second, prerequisite+"/0")
	leader := c.leader()
	if leader == nil {
		c.t.Fatal("no controller leads")
	}
	restarted := c.nodes[otherNode(leader.name)]
	restarted.kill()
	time.Sleep(200 * time.Millisecond)
	time.AfterFunc(random.milliseconds(0, 60), func() { c.endOnAnyMachine(prerequisite+"/0", "done") })
	time.Sleep(random.milliseconds(0, 60))
	c.startNode(restarted.name)
	var users sync.WaitGroup
	for i, job := range waiting {
		users.Go(func() { c.askDuring(time.Second, restarted.name, job, i, random) })
	}
	users.Wait()
	time.Sleep(3 * time.Second)
	for _, job := range waiting {
		c.completeJob(job.id())
	}
	time.Sleep(3 * time.Second)
}

// askDuring sends requests for a job to a node for the given time: polls or repeated submissions, and for
// some jobs a cancellation or the submission of a job that awaits it.
func (c *testCluster) askDuring(duration time.Duration, node string, job jobSpec, number int, random *randomSource) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(random.milliseconds(1, 10)) {
		switch {
		case number == 0:
			c.call(node, "POST", "/v2/runs/"+job.id()+"/cancel", nil)
		case number == 1:
			awaiting := newSmallJob(job.id() + "9").dependingOn(job.id())
			if code, out := c.call(node, "POST", "/v2/runs", awaiting); code == 422 {
				c.t.Errorf("a job that awaits %s, which was accepted, got 422: %v", job.id(), out)
			}
		case number == 2:
			c.call(node, "POST", "/v2/runs", job)
		default:
			c.call(node, "GET", "/v2/runs/"+job.id(), nil)
		}
	}
}
