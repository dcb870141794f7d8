package scenarios

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestTwoConcurrentRandomFaultsBreakNoRule checks that no rule is broken and every job ends under
// two random faults at a time, because rules may hold under each fault alone. A fault may last
// longer than a lease: a machine hangs, loses its inbound or outbound traffic or has its heartbeats
// duplicated; requests of all kinds arrive once more; the state service rejects the requests of the
// leader, is slow, is down, loses responses or delays transactions; a controller restarts, or the leader
// is partitioned from the state service and its peer. Some jobs depend on others.
func TestTwoConcurrentRandomFaultsBreakNoRule(t *testing.T) {
	t.Parallel()
	for seed := range seeds(4) {
		parallelScenario(t, fmt.Sprint(seed), func(t *testing.T, c *testCluster) {
			random := newRandomSource(seed)
			c.cloudListsMachines = true
			c.startNode("a")
			c.startNode("b")
			c.startWorkers("north", "south", "north", "south")
			c.setRandomLatency(random)
			c.network.SetDelay(func() time.Duration { return random.milliseconds(2000, 12000) })
			c.submit("a", newJob("job-90", "array", 1))
			c.submit("b", newJob("job-91", "array", 1).dependingOn("job-90"))
			injector := newFaultInjector(c, random, []string{"m1", "m2", "m3", "m4"})
			done := make(chan struct{})
			var users, faults, completions sync.WaitGroup
			completions.Go(func() { c.completeTasksUntil(done, random, 1000, 15000) })
			for slot := range concurrentFaults {
				faults.Go(func() {
					for range 6 {
						time.Sleep(random.milliseconds(0, 5000))
						injector.inject(slot)
					}
				})
			}
			var ids []string
			var specs []jobSpec
			for i := range 40 {
				id := fmt.Sprintf("job-%d", i+1)
				ids = append(ids, id)
				job := newJob(id, []string{"array", "array", "standing"}[i%3], 1+random.intn(3))
				job["spread"], job["together"] = i%4 == 1, i%4 == 2
				if i%5 == 0 {
					job["yard"] = "north"
				}
				if i%7 < 2 {
					job.dependingOn([]string{"job-90", "job-91"}[i%7])
				}
				specs = append(specs, job)
				users.Go(func() {
					time.Sleep(time.Duration(i) * random.milliseconds(1000, 2500))
					c.requestUntilDecided(random, "POST", "/v2/runs", job)
					if i%3 == 2 || random.intn(3) == 0 {
						time.Sleep(random.milliseconds(0, 20000))
						for code := 0; code != 200 && code != 404; {
							code, _ = c.requestUntilDecided(random, "POST", "/v2/runs/"+id+"/cancel", nil)
						}
					}
					c.askAllNodes(random, job)
				})
			}
			faults.Wait()
			users.Wait()
			// Each request is repeated once, because some got no answer within a minute.
			for i, id := range ids {
				if i%3 == 2 {
					c.requestUntilDecided(random, "POST", "/v2/runs/"+id+"/cancel", nil)
				} else if code, _ := c.requestUntilDecided(random, "POST", "/v2/runs", specs[i]); code != 200 && code != 201 {
					t.Errorf("the submission of %s returned %d", id, code)
				}
			}
			for i, id := range ids {
				if i%3 != 2 {
					c.awaitAgreement(90*time.Second, id)
				} else if code, _ := c.call("a", "GET", "/v2/runs/"+id, nil); code == 200 {
					c.awaitAgreement(90*time.Second, id)
				}
			}
			c.awaitAgreement(90*time.Second, "job-90", "job-91")
			c.passTime(cancelLimit + 5*time.Second)
			close(done)
			completions.Wait()
		})
	}
}
