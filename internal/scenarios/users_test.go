package scenarios

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// randomSource are drawn by many at once.
type randomSource struct {
	mu     sync.Mutex
	source *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{source: rand.New(rand.NewPCG(seed, 1))}
}

func (random *randomSource) intn(n int) int {
	random.mu.Lock()
	defer random.mu.Unlock()
	return random.source.IntN(n)
}

func (random *randomSource) milliseconds(low, high int) time.Duration {
	return time.Duration(low+random.intn(high-low+1)) * time.Millisecond
}

func (random *randomSource) node() string { return []string{"a", "b"}[random.intn(2)] }

// setRandomLatency makes calls take a few milliseconds, and one in twenty a few hundred.
func (c *testCluster) setRandomLatency(random *randomSource) {
	lag := func() time.Duration {
		if random.intn(20) == 0 {
			return random.milliseconds(50, 200)
		}
		return random.milliseconds(1, 8)
	}
	c.latency.Store(&lag)
}

// requestUntilDecided asks as users do, now at one node and now at another, until it is decided.
func (c *testCluster) requestUntilDecided(random *randomSource, method, path string, body any) (code int, status string) {
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
		var out map[string]any
		code, out = c.call(random.node(), method, path, body)
		switch code {
		case 200, 201, 400, 404, 422:
			status, _ = out["status"].(string)
			return code, status
		}
	}
	return code, ""
}

// nodeNames are all controllers' names; a scenario's users ask at each.
var nodeNames = []string{"a", "b"}

// askAllNodes asks at all nodes within milliseconds, and repeats the submission.
func (c *testCluster) askAllNodes(random *randomSource, job map[string]any) {
	var wg sync.WaitGroup
	for range 3 {
		for _, node := range nodeNames {
			delay := random.milliseconds(0, 6)
			wg.Go(func() {
				time.Sleep(delay)
				if delay%3 == 0 {
					c.call(node, "POST", "/v2/runs", job)
				} else {
					c.call(node, "GET", fmt.Sprintf("/v2/runs/%s", job["uid"]), nil)
				}
			})
		}
	}
	wg.Wait()
}

// awaitAgreement waits until all nodes call a job the same, which is over.
func (c *testCluster) awaitAgreement(within time.Duration, ids ...string) {
	c.t.Helper()
	for _, id := range ids {
		last := map[string]string{}
		c.eventually(within, id+" is over and told alike by all", func() bool {
			for _, node := range nodeNames {
				last[node] = c.status(node, id)
			}
			return last["a"] == last["b"] && (last["a"] == "done" || last["a"] == "cancelled")
		})
	}
}

func TestNodesAnswerConsistentlyWithinMilliseconds(t *testing.T) {
	t.Parallel()
	// Guards against a node that answers something older, or with 404, than another
	// one told just before: after an acceptance, an end and a confirmed cancel.
	for seed := range uint64(4) {
		parallelScenario(t, fmt.Sprint(seed), func(t *testing.T, c *testCluster) {
			random := newRandomSource(seed)
			c.startNode("a")
			c.startNode("b")
			c.startWorker("m1", "north")
			c.startWorker("m2", "south")
			time.Sleep(10 * time.Second)
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
						t.Errorf("a submission of %s got %d", id, code)
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
					t.Errorf("%s is not done", id)
				})
			}
			users.Wait()
			c.awaitAgreement(10*time.Second, ids...)
			c.consistently(45*time.Second, "", func() bool { return true })
		})
	}
}

func TestRequestsRacingTaskCompletionGetConsistentAnswers(t *testing.T) {
	t.Parallel()
	// Guards against two winners: whatever is told first, every node tells from then on.
	for seed := range uint64(4) {
		parallelScenario(t, fmt.Sprint(seed), func(t *testing.T, c *testCluster) {
			random := newRandomSource(seed)
			c.startNode("a")
			c.startNode("b")
			c.startWorker("m1", "north")
			c.startWorker("m2", "south")
			time.Sleep(10 * time.Second)
			c.setRandomLatency(random)
			for round := range 6 {
				var requests sync.WaitGroup
				var ids []string
				for i := range 8 {
					id := fmt.Sprintf("job-%d%d", round+1, i)
					ids = append(ids, id)
					if code, _ := c.requestUntilDecided(random, "POST", "/v2/runs", newJob(id, "array", 1)); code != 201 {
						t.Fatalf("a submission got %d", code)
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

// transactionKind names what a transaction to the state service does.
func transactionKind(r *http.Request, body []byte) string {
	var txn struct {
		When []struct {
			Key   string
			Stamp uint64
		}
		Then []struct{ Put, Remove string }
	}
	if r.URL.Path != "/commit" || json.Unmarshal(body, &txn) != nil {
		return ""
	}
	var byLeader, creates, raisesGeneration, acquiresLease, storesOutcome bool
	for _, condition := range txn.When {
		byLeader = byLeader || condition.Key == "pool/generation"
		creates = creates || strings.HasPrefix(condition.Key, "job/") && !strings.HasPrefix(condition.Key, "job/cancel/") && condition.Stamp == 0
	}
	for _, op := range txn.Then {
		acquiresLease = acquiresLease || op.Put == "pool/owner"
		raisesGeneration = raisesGeneration || op.Put == "pool/generation"
		storesOutcome = storesOutcome || strings.HasPrefix(op.Put, "end/")
	}
	switch {
	case acquiresLease:
		return "takeover"
	case raisesGeneration:
		return "raise"
	case byLeader && storesOutcome:
		return "outcome"
	case byLeader:
		return "marker"
	case creates:
		return "submission"
	}
	return "cancel"
}

func TestLostResponsesAndDelayedTransactionsAreReconciled(t *testing.T) {
	t.Parallel()
	// Guards against counting a transaction without an answer as one that was not
	// carried out, or will not be: half of one kind, or of all, get none. They are
	// carried out at once, while others read what they wrote, or 2 to 12 s later,
	// after newer ones of the same controller.
	for _, kind := range []string{"submission", "cancel", "marker", "outcome", "takeover", "raise", "any"} {
		for fate, name := range map[fake.Outcome]string{fake.DropResponse: "answer lost", fake.Delay: "late"} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%s %s %d", kind, name, seed), func(t *testing.T) {
					t.Parallel()
					scenario(t, func(t *testing.T, c *testCluster) {
						runTransactionFaults(t, c, newRandomSource(seed), kind, fate, seed%2 == 1)
					})
				})
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

func runTransactionFaults(t *testing.T, c *testCluster, random *randomSource, kind string, fate fake.Outcome, dropRenewals bool) {
	c.startNode("a")
	c.startNode("b")
	c.startWorker("m1", "north")
	c.startWorker("m2", "south")
	time.Sleep(10 * time.Second)
	c.setRandomLatency(random)
	c.network.SetDelay(func() time.Duration { return random.milliseconds(2000, 12000) })
	var mu sync.Mutex // of hits
	hits := 0
	faults := func(from, to string, r *http.Request, body []byte) fake.Outcome {
		actual := transactionKind(r, body)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case dropRenewals && kind == "takeover" && hits > 0 && hits < 3 && strings.HasSuffix(r.URL.Path, "/renew"):
			return fake.Drop // so that the hold is gone when the takeover is carried out
		case kind == "raise" && to != "state:1" && r.URL.Path == "/commands" && strings.Contains(string(body), `"start"`):
			return fake.HoldBack // an uncertain start, which only a raised generation turns away
		case actual != "" && (kind == "any" || actual == kind) && (hits == 0 || random.intn(2) == 0):
			hits++
			return fate
		}
		return fake.Deliver
	}
	c.submit("a", newJob("job-90", "array", 1)) // a pipeline, on which others hang
	c.submit("b", dependingOn(newJob("job-91", "array", 1), "job-90"))
	c.network.SetRule(faults)
	done := make(chan struct{})
	var users, background sync.WaitGroup
	ids := []string{"job-90", "job-91"}
	for i := range 16 {
		id := fmt.Sprintf("job-%d", i+1)
		ids = append(ids, id)
		job := newJob(id, "array", 1)
		cancelled := i%2 == 0
		if i%4 < 2 {
			dependingOn(job, []string{"job-90", "job-91"}[i%8/4])
		}
		users.Go(func() {
			time.Sleep(time.Duration(i) * random.milliseconds(500, 2000))
			code, _ := c.requestUntilDecided(random, "POST", "/v2/runs", job)
			if code != 200 && code != 201 {
				t.Errorf("a submission of %s got %d", id, code)
				return
			}
			background.Go(func() {
				for {
					select {
					case <-done:
						return
					case <-c.ctx.Done():
						return
					case <-time.After(random.milliseconds(300, 900)):
						c.call(random.node(), "GET", "/v2/runs/"+id, nil)
					}
				}
			})
			if kind == "raise" {
				time.Sleep(random.milliseconds(50, 500)) // while the start is uncertain
			} else {
				time.Sleep(random.milliseconds(100, 6000))
			}
			if cancelled {
				if code, _ := c.requestUntilDecided(random, "POST", "/v2/runs/"+id+"/cancel", nil); code != 200 {
					t.Errorf("a cancel of %s got %d", id, code)
				}
			}
		})
	}
	background.Go(func() { c.completeTasksUntil(done, random, 1000, 5000) })
	time.Sleep(5 * time.Second)
	if kind == "takeover" || kind == "any" {
		if leader := c.leader(); leader != nil {
			leader.kill()
			time.Sleep(4 * time.Second)
			c.startNode(leader.name)
		}
	}
	users.Wait()
	// Luck may have spared all of the kind: then more jobs come until one is hit.
	noneHit := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return hits == 0
	}
	for i := 0; noneHit() && i < 60; i++ {
		id := fmt.Sprintf("job-%d", 200+i)
		ids = append(ids, id)
		c.requestUntilDecided(random, "POST", "/v2/runs", newJob(id, "array", 1))
		time.Sleep(random.milliseconds(10, 300))
		c.requestUntilDecided(random, "POST", "/v2/runs/"+id+"/cancel", nil)
	}
	c.network.SetRule(nil)
	c.network.ReleaseHeld()
	time.Sleep(13 * time.Second) // the last late one is carried out
	c.eventually(60*time.Second, "an owner", func() bool { return c.leader() != nil })
	c.awaitAgreement(90*time.Second, ids...)
	close(done)
	background.Wait()
	if hits == 0 {
		t.Error("no transaction was hit")
	}
}

func TestInvalidOrUnschedulableJobsAreRejectedByEveryNode(t *testing.T) {
	t.Parallel()
	// Guards against accepting what can't run, and against refusing the repeat of what
	// was accepted; also right after both controllers came back.
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startNode("b")
		c.startWorker("m1", "north")
		time.Sleep(10 * time.Second)
		c.submit("a", newJob("job-1", "array", 1))
		c.submit("b", newJob("job-2", "array", 1))
		c.call("b", "POST", "/v2/runs/job-2/cancel", nil)
		checkAll := func() {
			count := 0
			requireRejected := func(want int, change func(job map[string]any)) {
				count++
				id := fmt.Sprintf("job-%d", 100+count)
				job := newJob(id, "array", 1)
				change(job)
				for _, node := range nodeNames {
					if code, out := c.call(node, "POST", "/v2/runs", job); code != want {
						t.Errorf("%s answers %d %v, not %d, to %v", node, code, out, want, job)
					}
					if code, _ := c.call(node, "GET", "/v2/runs/"+id, nil); code != 404 {
						t.Errorf("%s answers %d for a job refused", node, code)
					}
				}
				for known, status := range map[string]string{"job-1": "running", "job-2": "cancelled"} {
					for _, node := range nodeNames {
						if code, out := c.call(node, "POST", "/v2/runs", newJob(known, "array", 1)); code != 200 || out["status"] != status {
							t.Errorf("%s answers %d %v to a repeat of %s", node, code, out, known)
						}
					}
				}
			}
			for field := range newJob("job-9", "array", 1) {
				requireRejected(400, func(job map[string]any) { delete(job, field) })
				requireRejected(400, func(job map[string]any) { job[field] = nil })
				requireRejected(400, func(job map[string]any) { job[field] = []int{1} })
			}
			for field, value := range map[string]any{"pieces": 0, "shape": "round", "urgency": "soon", "cores": -1, "dueS": -5, "pullGb": "1"} {
				requireRejected(400, func(job map[string]any) { job[field] = value })
			}
			requireRejected(400, func(job map[string]any) { job["pieces"] = 1.5 })
			requireRejected(400, func(job map[string]any) { job["pieces"] = 100001 })
			for field, value := range map[string]any{"owner": "nobody", "cores": 4.5, "accelerators": 1, "ramGb": 17, "builds": []string{"large"}, "yard": "east"} {
				requireRejected(422, func(job map[string]any) { job[field] = value })
			}
			requireRejected(422, func(job map[string]any) { job["builds"] = []string{} })
			requireRejected(422, func(job map[string]any) { job["shape"], job["pieces"] = "gang", 9 })
			requireRejected(422, func(job map[string]any) { job["shape"], job["pieces"] = "standing", 9 })
		}
		c.eventually(5*time.Second, "it runs", func() bool { return c.status("b", "job-1") == "running" })
		checkAll()
		for _, count := range nodeNames {
			c.nodes[count].kill()
		}
		c.startNode("a")
		c.startNode("b")
		c.eventually(10*time.Second, "both answer", func() bool { return c.status("a", "job-1") == "running" && c.status("b", "job-1") == "running" })
		checkAll()
	})
}

func TestSteadyStreamOfSmallJobsCompletesAcrossFailover(t *testing.T) {
	t.Parallel()
	// Guards against jobs that starve or stay without an answer under a steady rate of
	// small ones, a quarter of them cancelled, with a change of leader in the middle.
	for seed := range uint64(2) {
		parallelScenario(t, fmt.Sprint(seed), func(t *testing.T, c *testCluster) {
			random := newRandomSource(seed)
			c.startNode("a")
			c.startNode("b")
			c.startWorker("m1", "north")
			c.startWorker("m2", "south")
			c.startWorker("m3", "south")
			time.Sleep(10 * time.Second)
			c.setRandomLatency(random)
			done := make(chan struct{})
			var users, completions sync.WaitGroup
			completions.Go(func() {
				since := map[string]time.Time{}
				for {
					for _, worker := range c.workers {
						for _, task := range worker.ActiveTasks() {
							if since[task].IsZero() {
								since[task] = time.Now()
							} else if time.Since(since[task]) > 800*time.Millisecond {
								worker.EndTask(task, "done")
							}
						}
					}
					select {
					case <-done:
						return
					case <-c.ctx.Done():
						return
					case <-time.After(100 * time.Millisecond):
					}
				}
			})
			var mu sync.Mutex
			slowest := time.Duration(0)
			for i := range 480 {
				users.Go(func() {
					time.Sleep(time.Duration(i) * 250 * time.Millisecond)
					id := fmt.Sprintf("job-%d", i+1)
					began := time.Now()
					if code, _ := c.requestUntilDecided(random, "POST", "/v2/runs", newJob(id, "array", 1)); code != 201 && code != 200 {
						t.Errorf("the submission of %s got %d", id, code)
						return
					}
					if i%4 == 0 {
						time.Sleep(random.milliseconds(0, 2500))
						if code, _ := c.requestUntilDecided(random, "POST", "/v2/runs/"+id+"/cancel", nil); code != 200 {
							t.Errorf("the cancel of %s got %d", id, code)
						}
					}
					for {
						code, status := c.requestUntilDecided(random, "GET", "/v2/runs/"+id, nil)
						took := time.Since(began)
						if code != 200 || took > 30*time.Second {
							t.Errorf("%s after %v: %d %q", id, took, code, status)
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
				t.Error("nobody owns the pool")
			} else {
				leader.kill()
				time.Sleep(5 * time.Second)
				c.startNode(leader.name)
			}
			users.Wait()
			close(done)
			completions.Wait()
			t.Logf("the slowest took %v", slowest)
		})
	}
}
