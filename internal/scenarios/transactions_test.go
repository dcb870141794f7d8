package scenarios

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// TestLostResponsesAndDelayedTransactionsAreReconciled checks that a controller does not assume
// that a transaction without a response was not executed, or never will be. Half of the
// transactions of one kind, or of all kinds, get no response. They are executed at once, while
// others read what they wrote, or 2 to 12 s later, after newer transactions of the same controller.
func TestLostResponsesAndDelayedTransactionsAreReconciled(t *testing.T) {
	t.Parallel()
	for _, kind := range []transactionKind{createsJob, cancelsJob, storesAssignment, storesOutcome, acquiresLease, raisesGeneration, anyTransaction} {
		for outcome, name := range map[fake.Outcome]string{fake.DropResponse: "response lost", fake.Delay: "delayed"} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%s %s %d", kind, name, seed), func(t *testing.T) {
					t.Parallel()
					scenario(t, func(t *testing.T, c *testCluster) {
						runTransactionFaults(t, c, newRandomSource(seed), kind, outcome, seed%2 == 1)
					})
				})
			}
		}
	}
}

// runTransactionFaults runs jobs and cancels some of them while half of the transactions of a kind
// have the given outcome instead of being delivered. If dropRenewals is set, the first renewals of
// the leader's lease are lost too.
func runTransactionFaults(t *testing.T, c *testCluster, random *randomSource, kind transactionKind, outcome fake.Outcome, dropRenewals bool) {
	c.startPair()
	c.setRandomLatency(random)
	c.network.SetDelay(func() time.Duration { return random.milliseconds(2000, 12000) })
	var mu sync.Mutex // guards affected
	affected := 0
	faults := func(from, to string, r *http.Request, body []byte) fake.Outcome {
		actual := kindOfTransaction(r, body)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case dropRenewals && kind == acquiresLease && affected > 0 && affected < 3 && strings.HasSuffix(r.URL.Path, "/renew"):
			return fake.Drop // so that the lease has expired when the takeover is executed
		case kind == raisesGeneration && to != "state:1" && isStartCommand(r, body):
			return fake.HoldBack // an uncertain start, which a worker rejects only after the generation was raised
		case actual != noTransaction && (kind == anyTransaction || actual == kind) && (affected == 0 || random.intn(2) == 0):
			affected++
			return outcome
		}
		return fake.Deliver
	}
	c.submit("a", newJob("job-90", "array", 1)) // job-90 and job-91 form a chain that other jobs depend on
	c.submit("b", newJob("job-91", "array", 1).dependingOn("job-90"))
	c.network.SetRule(faults)
	done := make(chan struct{})
	var users, background sync.WaitGroup
	jobIDs := []string{"job-90", "job-91"}
	for i := range 16 {
		id := fmt.Sprintf("job-%d", i+1)
		jobIDs = append(jobIDs, id)
		job := newJob(id, "array", 1)
		cancelled := i%2 == 0
		if i%4 < 2 {
			job.dependingOn([]string{"job-90", "job-91"}[i%8/4])
		}
		users.Go(func() {
			time.Sleep(time.Duration(i) * random.milliseconds(500, 2000))
			code, _ := c.requestUntilDecided(random, "POST", "/v2/runs", job)
			if code != 200 && code != 201 {
				t.Errorf("the submission of %s returned %d", id, code)
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
			if kind == raisesGeneration {
				time.Sleep(random.milliseconds(50, 500)) // while the start is uncertain
			} else {
				time.Sleep(random.milliseconds(100, 6000))
			}
			if cancelled {
				if code, _ := c.requestUntilDecided(random, "POST", "/v2/runs/"+id+"/cancel", nil); code != 200 {
					t.Errorf("the cancellation of %s returned %d", id, code)
				}
			}
		})
	}
	background.Go(func() { c.completeTasksUntil(done, random, 1000, 5000) })
	time.Sleep(5 * time.Second)
	if kind == acquiresLease || kind == anyTransaction {
		if leader := c.leader(); leader != nil {
			leader.kill()
			time.Sleep(4 * time.Second)
			c.startNode(leader.name)
		}
	}
	users.Wait()
	// If by chance no transaction of the kind was affected, more jobs are submitted until one is.
	noneAffected := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return affected == 0
	}
	for i := 0; noneAffected() && i < 60; i++ {
		id := fmt.Sprintf("job-%d", 200+i)
		jobIDs = append(jobIDs, id)
		c.requestUntilDecided(random, "POST", "/v2/runs", newJob(id, "array", 1))
		time.Sleep(random.milliseconds(10, 300))
		c.requestUntilDecided(random, "POST", "/v2/runs/"+id+"/cancel", nil)
	}
	c.network.SetRule(nil)
	c.network.ReleaseHeld()
	time.Sleep(13 * time.Second) // until the last delayed transaction is executed
	c.awaitAnyLeader(60 * time.Second)
	c.awaitAgreement(90*time.Second, jobIDs...)
	close(done)
	background.Wait()
	if affected == 0 {
		t.Error("no transaction was affected by the fault")
	}
}

// TestCommitWithLostResponseIsReadBack loses the responses to the first transactions that store
// assignments, and checks that the leader reads the assignments back and the task runs.
func TestCommitWithLostResponseIsReadBack(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startWorker("m1", "north")
		time.Sleep(settleTime)
		lost := 0
		c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			if isAssignment(r, body) && lost < 2 {
				lost++
				return fake.DropResponse
			}
			return fake.Deliver
		})
		c.submit("a", newJob("job-14", "array", 1))
		c.awaitTask(12*time.Second, "job-14/0")
		c.workerNamed("m1").EndTask("job-14/0", "done")
		c.awaitStatus(8*time.Second, "a", "job-14", "done")
		if lost == 0 {
			t.Fatal("no response to an assignment was lost")
		}
	})
}

// TestManySmallJobsStayWithinStateServiceLimits submits hundreds of single-task jobs within a
// minute, each of which needs a creation, an assignment and an outcome in the state service. It
// checks that all of them together stay within the limit of operations a second, that each
// transaction stays within its own limit, and that no job is lost.
func TestManySmallJobsStayWithinStateServiceLimits(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		const maxChangesPerSecond, maxChangesPerTxn, jobs = 200, 12, 400
		changesBySecond := map[int64]int{}
		c.network.SetRule(func(_, to string, r *http.Request, body []byte) fake.Outcome {
			if isCommit(r) {
				var txn struct{ Then []json.RawMessage }
				if err := json.Unmarshal(body, &txn); err != nil {
					t.Errorf("the body of a transaction is not valid JSON: %v", err)
				}
				c.mu.Lock()
				changesBySecond[time.Now().Unix()] += len(txn.Then)
				c.mu.Unlock()
				if len(txn.Then) > maxChangesPerTxn {
					t.Errorf("one transaction has %d changes, more than the limit", len(txn.Then))
				}
			}
			return fake.Deliver
		})
		c.startNode("a")
		c.startNode("b")
		m1, m2 := c.startWorker("m1", "north"), c.startWorker("m2", "south")
		time.Sleep(settleTime)
		c.eventually(100*time.Second, "all are accepted", func() bool {
			count := 0
			for i := range jobs {
				job := newJob(fmt.Sprintf("job-%d", i+1), "array", 1)
				job["cores"], job["ramGb"], job["guessS"] = 0.1, 0.1, 2
				code, _ := c.call(nodeNames[i%2], "POST", "/v2/runs", job)
				switch code {
				case 200, 201:
					count++
				case 503:
				default:
					t.Fatalf("a submission returned %d", code)
				}
				time.Sleep(2 * time.Millisecond)
				if i%20 == 0 {
					for _, worker := range []*fake.Worker{m1, m2} {
						for _, task := range worker.ActiveTasks() {
							worker.EndTask(task, "done")
						}
					}
				}
			}
			return count == jobs
		})
		completedJobs := func() (count int) {
			for _, worker := range []*fake.Worker{m1, m2} {
				for _, task := range worker.ActiveTasks() {
					worker.EndTask(task, "done")
				}
			}
			for i := range jobs {
				if c.store.Value("end/job-"+fmt.Sprint(i+1)) != nil {
					count++
				}
			}
			return count
		}
		c.eventually(60*time.Second, "all are done", func() bool { return completedJobs() == jobs })
		c.mu.Lock()
		defer c.mu.Unlock()
		for second, count := range changesBySecond {
			if count > 2*maxChangesPerSecond || count+changesBySecond[second+1]+changesBySecond[second+2] > 4*maxChangesPerSecond {
				t.Errorf("too many changes in the state service within one second (%d) or three seconds", count)
			}
		}
		for i := range jobs {
			task := ids.Task{Job: ids.Job(fmt.Sprintf("job-%d", i+1))}.String()
			if count := m1.StartCount(task) + m2.StartCount(task); count != 1 {
				t.Fatalf("%s was started %d times, not once", task, count)
			}
		}
	})
}
