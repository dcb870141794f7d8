package scenarios

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestArrayRunsToCompletionAndStaysDone runs an array job to completion and repeats its submission
// three minutes later. It checks that the job stays done.
func TestArrayRunsToCompletionAndStaysDone(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startNode("b")
		c.startWorker("m1", "north")
		c.eventually(15*time.Second, "a leader", func() bool { return c.store.Value("pool/owner") != nil })
		time.Sleep(8 * time.Second)
		c.submit("b", newJob("job-1", "array", 2))
		c.eventually(3*time.Second, "both tasks start quickly", func() bool {
			return c.isRunning("job-1/0") && c.isRunning("job-1/1")
		})
		c.workerNamed("m1").EndTask("job-1/0", "done")
		time.Sleep(5 * time.Second)
		if s := c.status("a", "job-1"); s != "running" {
			t.Fatalf("job-1 is reported as %q while one of its two tasks is done", s)
		}
		c.workerNamed("m1").EndTask("job-1/1", "done")
		c.eventually(4*time.Second, "reported as done", func() bool {
			return c.status("a", "job-1") == "done" && c.status("b", "job-1") == "done"
		})
		// A repeated submission may arrive at any later time. It returns the status and creates no job.
		time.Sleep(3 * time.Minute)
		if code, out := c.call("b", "POST", "/v2/runs", newJob("job-1", "array", 2)); code != 200 || out["status"] != "done" {
			t.Fatalf("a repeated submission of job-1 after three minutes returned %d %v", code, out)
		}
		c.consistently(10*time.Second, "nothing starts again", func() bool { return c.noneRunning("job-1/0") })
	})
}

// TestNodesAnswerConsistentlyWithinMilliseconds checks that right after an acceptance, a completion
// or a confirmed cancellation no node answers with 404, or with an older status than another node
// has just reported.
func TestNodesAnswerConsistentlyWithinMilliseconds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		parallelScenario(t, fmt.Sprint(seed), func(t *testing.T, c *testCluster) {
			random := newRandomSource(seed)
			c.startPair()
			c.setRandomLatency(random)
			var ids []string
			var users sync.WaitGroup
			for i := range 24 {
				id := fmt.Sprintf("job-%d", i+1)
				ids = append(ids, id)
				job := newJob(id, "array", 1+random.intn(2))
				users.Go(func() {
					time.Sleep(random.milliseconds(0, 20000))
					if code, _ := c.requestUntilDecided(random, "POST", "/v2/runs", job); code != 201 {
						t.Errorf("the submission of %s returned %d", id, code)
						return
					}
					c.askAllNodes(random, job)
					if choice := random.intn(4); choice < 2 {
						time.Sleep(time.Duration(choice) * random.milliseconds(0, 1500))
						c.requestUntilDecided(random, "POST", "/v2/runs/"+id+"/cancel", nil)
						c.askAllNodes(random, job)
						return
					}
					for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(random.milliseconds(50, 300)) {
						for _, worker := range c.workers {
							for n := range 2 {
								worker.EndTask(fmt.Sprintf("%s/%d", id, n), "done")
							}
						}
						if c.status(random.node(), id) == "done" {
							c.askAllNodes(random, job)
							return
						}
					}
					t.Errorf("%s is not reported as done within a minute", id)
				})
			}
			users.Wait()
			c.awaitAgreement(10*time.Second, ids...)
			c.passTime(cancelLimit + 5*time.Second)
		})
	}
}

// TestRequestsRacingTaskCompletionGetConsistentAnswers checks that all nodes agree on the outcome
// of a job when a cancellation, a status request or a repeated submission races with the completion
// of its last task: the outcome that was reported first must not change.
func TestRequestsRacingTaskCompletionGetConsistentAnswers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		parallelScenario(t, fmt.Sprint(seed), func(t *testing.T, c *testCluster) {
			random := newRandomSource(seed)
			c.startPair()
			c.setRandomLatency(random)
			for round := range 6 {
				var requests sync.WaitGroup
				var ids []string
				for i := range 8 {
					id := fmt.Sprintf("job-%d%d", round+1, i)
					ids = append(ids, id)
					if code, _ := c.requestUntilDecided(random, "POST", "/v2/runs", newJob(id, "array", 1)); code != 201 {
						t.Fatalf("a submission returned %d", code)
					}
				}
				c.eventually(20*time.Second, "they run", func() bool {
					for _, id := range ids {
						if !c.allRunning(id, 1) {
							return false
						}
					}
					return true
				})
				for i, id := range ids {
					requests.Go(func() {
						time.Sleep(random.milliseconds(0, 500))
						for _, worker := range c.workers {
							worker.EndTask(id+"/0", "done")
						}
					})
					if i%4 != 3 {
						requests.Go(func() {
							time.Sleep(random.milliseconds(0, 800))
							c.requestUntilDecided(random, "POST", "/v2/runs/"+id+"/cancel", nil)
							c.askAllNodes(random, newJob(id, "array", 1))
						})
					}
					for range 4 {
						requests.Go(func() {
							time.Sleep(random.milliseconds(0, 1200))
							c.askAllNodes(random, newJob(id, "array", 1))
						})
					}
				}
				requests.Wait()
				c.awaitAgreement(10*time.Second, ids...)
			}
		})
	}
}

// TestAcceptedJobsAreKnownSoonAfterOutage crashes all controllers during an outage of the state
// service, and checks that each node knows each accepted job soon after the outage. A job that gets
// no answer for 75 s counts as forgotten.
func TestAcceptedJobsAreKnownSoonAfterOutage(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		a, b := c.startNode("a"), c.startNode("b")
		m1 := c.startWorker("m1", "north")
		time.Sleep(settleTime)
		c.submit("a", newJob("job-1", "array", 1))
		c.submit("b", newJob("job-2", "standing", 1))
		c.submit("b", newJob("job-3", "array", 9)) // more than the team's quota
		c.eventually(4*time.Second, "they run", func() bool { return c.isRunning("job-1/0") && c.isRunning("job-2/0") })
		m1.EndTask("job-1/0", "done")
		c.awaitStatus(5*time.Second, "a", "job-1", "done")
		if code, _ := c.call("a", "POST", "/v2/runs/job-3/cancel", nil); code != 200 {
			t.Fatalf("the cancellation of job-3 returned %d", code)
		}
		c.store.SetDown(true)
		time.Sleep(10 * time.Second)
		a.kill()
		b.kill()
		time.Sleep(time.Second)
		c.startNode("a")
		c.startNode("b")
		time.Sleep(30 * time.Second)
		for _, node := range nodeNames {
			if code, _ := c.call(node, "GET", "/v2/runs/job-2", nil); code != 503 {
				t.Fatalf("node %s returned %d, not 503, for a status that it cannot know during the outage", node, code)
			}
		}
		c.store.SetDown(false)
		want := map[string]string{"job-1": "done", "job-2": "running", "job-3": "cancelled"}
		c.eventually(20*time.Second, "each node reports each job's status", func() bool {
			for _, node := range nodeNames {
				for id, status := range want {
					if c.status(node, id) != status {
						return false
					}
				}
			}
			return true
		})
		for id, status := range want {
			if code, out := c.call("b", "POST", "/v2/runs", newJob(id, "array", 1)); code != 200 || out["status"] != status {
				t.Errorf("a repeated submission of %s returned %d %v", id, code, out)
			}
		}
		c.consistently(30*time.Second, "the cancelled job does not start", func() bool {
			return c.noneRunning("job-3/0") && c.status("a", "job-3") == "cancelled"
		})
	})
}

// TestInvalidOrUnschedulableJobsAreRejectedByEveryNode checks that every node rejects jobs that can
// never run, and does not reject the repeated submission of an accepted job. Both must hold right
// after a restart of both controllers too.
func TestInvalidOrUnschedulableJobsAreRejectedByEveryNode(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startNode("b")
		c.startWorker("m1", "north")
		time.Sleep(settleTime)
		c.submit("a", newJob("job-1", "array", 1))
		c.submit("b", newJob("job-2", "array", 1))
		c.call("b", "POST", "/v2/runs/job-2/cancel", nil)
		checkAll := func() {
			count := 0
			requireRejected := func(want int, change func(job jobSpec)) {
				count++
				id := fmt.Sprintf("job-%d", 100+count)
				job := newJob(id, "array", 1)
				change(job)
				for _, node := range nodeNames {
					if code, out := c.call(node, "POST", "/v2/runs", job); code != want {
						t.Errorf("node %s returned %d %v, not %d, for submission %v", node, code, out, want, job)
					}
					if code, _ := c.call(node, "GET", "/v2/runs/"+id, nil); code != 404 {
						t.Errorf("node %s returned %d, not 404, for the status of a rejected job", node, code)
					}
				}
				for known, status := range map[string]string{"job-1": "running", "job-2": "cancelled"} {
					for _, node := range nodeNames {
						if code, out := c.call(node, "POST", "/v2/runs", newJob(known, "array", 1)); code != 200 || out["status"] != status {
							t.Errorf("node %s returned %d %v for a repeated submission of %s", node, code, out, known)
						}
					}
				}
			}
			for field := range newJob("job-9", "array", 1) {
				requireRejected(400, func(job jobSpec) { delete(job, field) })
				requireRejected(400, func(job jobSpec) { job[field] = nil })
				requireRejected(400, func(job jobSpec) { job[field] = []int{1} })
			}
			for field, value := range map[string]any{"pieces": 0, "shape": "round", "urgency": "soon", "cores": -1, "dueS": -5, "pullGb": "1"} {
				requireRejected(400, func(job jobSpec) { job[field] = value })
			}
			requireRejected(400, func(job jobSpec) { job["pieces"] = 1.5 })
			requireRejected(400, func(job jobSpec) { job["pieces"] = 100001 })
			for field, value := range map[string]any{"owner": "nobody", "cores": 4.5, "accelerators": 1, "ramGb": 17, "builds": []string{"large"}, "yard": "east"} {
				requireRejected(422, func(job jobSpec) { job[field] = value })
			}
			requireRejected(422, func(job jobSpec) { job["builds"] = []string{} })
			requireRejected(422, func(job jobSpec) { job["shape"], job["pieces"] = "gang", 9 })
			requireRejected(422, func(job jobSpec) { job["shape"], job["pieces"] = "standing", 9 })
		}
		c.awaitStatus(5*time.Second, "b", "job-1", "running")
		checkAll()
		for _, count := range nodeNames {
			c.nodes[count].kill()
		}
		c.startNode("a")
		c.startNode("b")
		c.eventually(10*time.Second, "both answer", func() bool {
			return c.status("a", "job-1") == "running" && c.status("b", "job-1") == "running"
		})
		checkAll()
	})
}

// TestTasksCompletingAcrossFailoversRunOnce checks that a job is not reported as done before its
// last task completes, and that completed tasks do not run again. The leader fails over before,
// while or after an outcome is stored, and receives a stale heartbeat that shows the task still
// running.
func TestTasksCompletingAcrossFailoversRunOnce(t *testing.T) {
	t.Parallel()
	for _, count := range []int{2, 3} {
		for _, delay := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 6 * time.Second} {
			t.Run(fmt.Sprintf("%d tasks, failover after %v", count, delay), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					c.startWorkers("north", "south")
					c.submitJob("a", newJob("job-1", "array", count).with("cores", 2))
					c.awaitRunning(5*time.Second, "job-1", count)
					c.passTime(5 * time.Second)
					var tasks []string
					for i := range count {
						tasks = append(tasks, fmt.Sprintf("job-1/%d", i))
					}
					for _, task := range tasks {
						stale := c.lastHeartbeat(c.machinesRunning(task)[0])
						c.completeTask(task)
						c.passTime(delay)
						c.restartLeader(400 * time.Millisecond)
						c.awaitLeader()
						c.deliverToControllers(stale)
						c.passTime(leaseDuration + 5*time.Second)
					}
					c.eventually(5*time.Second, "done", func() bool {
						return c.status("a", "job-1") == "done" && c.status("b", "job-1") == "done"
					})
					c.requireStartedOnce(tasks...)
				})
			})
		}
	}
}

// TestSteadyStreamOfSmallJobsCompletesAcrossFailover checks that no job starves or stays unanswered
// while users submit four single-task jobs a second for two minutes and cancel a quarter of them,
// with a failover in the middle.
func TestSteadyStreamOfSmallJobsCompletesAcrossFailover(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		parallelScenario(t, fmt.Sprint(seed), func(t *testing.T, c *testCluster) {
			random := newRandomSource(seed)
			c.startNode("a")
			c.startNode("b")
			c.startWorker("m1", "north")
			c.startWorker("m2", "south")
			c.startWorker("m3", "south")
			time.Sleep(settleTime)
			c.setRandomLatency(random)
			done := make(chan struct{})
			var users, completions sync.WaitGroup
			completions.Go(func() { c.completeTasksAfter(800*time.Millisecond, done) })
			var mu sync.Mutex
			slowest := time.Duration(0)
			for i := range 480 {
				users.Go(func() {
					time.Sleep(time.Duration(i) * 250 * time.Millisecond)
					id := fmt.Sprintf("job-%d", i+1)
					began := time.Now()
					if code, _ := c.requestUntilDecided(random, "POST", "/v2/runs", newJob(id, "array", 1)); code != 201 && code != 200 {
						t.Errorf("the submission of %s returned %d", id, code)
						return
					}
					if i%4 == 0 {
						time.Sleep(random.milliseconds(0, 2500))
						if code, _ := c.requestUntilDecided(random, "POST", "/v2/runs/"+id+"/cancel", nil); code != 200 {
							t.Errorf("the cancellation of %s returned %d", id, code)
						}
					}
					for {
						code, status := c.requestUntilDecided(random, "GET", "/v2/runs/"+id, nil)
						took := time.Since(began)
						if code != 200 || took > 30*time.Second {
							t.Errorf("the status request for %s returned, %v after the submission, %d %q", id, took, code, status)
							return
						}
						if status == "done" || status == "cancelled" {
							mu.Lock()
							slowest = max(slowest, took)
							mu.Unlock()
							return
						}
						time.Sleep(5 * time.Second)
					}
				})
			}
			time.Sleep(time.Minute)
			if leader := c.leader(); leader == nil {
				t.Error("no node leads")
			} else {
				leader.kill()
				time.Sleep(5 * time.Second)
				c.startNode(leader.name)
			}
			users.Wait()
			close(done)
			completions.Wait()
			t.Logf("the slowest job took %v", slowest)
		})
	}
}
