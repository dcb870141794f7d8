package scenarios

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// TestTwoConcurrentRandomFaultsBreakNoRule guards against rules that hold under each fault alone.
// Two random faults at a time last for up to more than a lease: machines hang, lose their inbound
// or outbound traffic or have heartbeats duplicated; the state service refuses the leader, is
// slow, is down, loses responses or delays transactions; a controller restarts, or the leader is
// partitioned from the state service and its peer. Some jobs depend on others. Afterwards every
// job ends.
func TestTwoConcurrentRandomFaultsBreakNoRule(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		parallelScenario(t, fmt.Sprint(seed), func(t *testing.T, c *testCluster) {
			random := newRandomSource(seed)
			c.inCloudList = true
			c.startNode("a")
			c.startNode("b")
			machines := []string{"m1", "m2", "m3", "m4"}
			for i, machine := range machines {
				c.startWorker(machine, zones[i%2])
			}
			time.Sleep(10 * time.Second)
			c.setRandomLatency(random)
			c.network.SetDelay(func() time.Duration { return random.milliseconds(2000, 12000) })
			c.submit("a", newJob("job-90", "array", 1))
			c.submit("b", newJob("job-91", "array", 1).dependingOn("job-90"))
			var mu sync.Mutex
			rules := map[int]fake.Rule{}
			c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
				mu.Lock()
				defer mu.Unlock()
				for i := range 2 {
					if rules[i] != nil {
						if outcome := rules[i](from, to, r, body); outcome != fake.Deliver {
							return outcome
						}
					}
				}
				return fake.Deliver
			})
			setRule := func(i int, r fake.Rule) {
				mu.Lock()
				defer mu.Unlock()
				rules[i] = r
			}
			injectFault := func(i int) {
				machine, kind, duration := machines[random.intn(4)], random.intn(11), random.milliseconds(2000, 28000)
				switch kind {
				case 0:
					c.workerNamed(machine).SetHung(true)
					time.Sleep(duration)
					c.workerNamed(machine).SetHung(false)
				case 1, 2, 3:
					setRule(i, []fake.Rule{fake.PartitionOutbound(machine), fake.PartitionInbound(machine), fake.DuplicateHeartbeats(machine)}[kind-1])
					time.Sleep(duration)
					setRule(i, nil)
					time.Sleep(random.milliseconds(0, 3000))
					c.network.ReleaseHeld()
				case 4:
					if leader := c.leader(); leader != nil {
						c.store.RefuseCaller(leader.name, true)
						time.Sleep(duration)
						c.store.RefuseCaller(leader.name, false)
					}
				case 5:
					c.store.SetLatency(random.milliseconds(50, 800))
					time.Sleep(duration)
					c.store.SetLatency(0)
				case 6:
					c.mu.Lock()
					n := c.nodes[random.node()]
					c.mu.Unlock()
					if n != nil {
						n.kill()
						time.Sleep(random.milliseconds(100, 8000))
						c.startNode(n.name)
					}
				case 7:
					c.store.SetDown(true)
					time.Sleep(duration)
					c.store.SetDown(false)
				case 8, 9:
					outcome := []fake.Outcome{fake.DropResponse, fake.Delay}[kind-8]
					setRule(i, func(_, _ string, r *http.Request, body []byte) fake.Outcome {
						if r.URL.Path == "/commit" && random.intn(4) == 0 {
							return outcome
						}
						return fake.Deliver
					})
					time.Sleep(duration)
					setRule(i, nil)
				case 10:
					if leader := c.leader(); leader != nil {
						setRule(i, func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
							if isBetween(from, to, "a", "b") || isBetween(from, to, leader.name, "state") {
								return fake.Drop
							}
							return fake.Deliver
						})
						time.Sleep(duration)
						setRule(i, nil)
					}
				}
			}
			done := make(chan struct{})
			var users, faults, completions sync.WaitGroup
			completions.Go(func() { c.completeTasksUntil(done, random, 1000, 15000) })
			for i := range 2 {
				faults.Go(func() {
					for range 6 {
						time.Sleep(random.milliseconds(0, 5000))
						injectFault(i)
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
			// A user without an answer for a minute asks once more.
			for i, id := range ids {
				if i%3 == 2 {
					c.requestUntilDecided(random, "POST", "/v2/runs/"+id+"/cancel", nil)
				} else if code, _ := c.requestUntilDecided(random, "POST", "/v2/runs", specs[i]); code != 200 && code != 201 {
					t.Errorf("a submission of %s got %d", id, code)
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
			c.consistently(45*time.Second, "", func() bool { return true })
			close(done)
			completions.Wait()
		})
	}
}
