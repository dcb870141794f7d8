package scenarios

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// TestStartDelayedByMinutesIsRejected delivers a start command two minutes late, after the response
// to a heartbeat carried the same command and the task completed. It checks that the task does not
// start again.
func TestStartDelayedByMinutesIsRejected(t *testing.T) {
	t.Parallel()
	scenario(t, func(t *testing.T, c *testCluster) {
		c.startNode("a")
		c.startWorker("m1", "north")
		c.startWorker("m2", "south")
		time.Sleep(10300 * time.Millisecond) // between heartbeats, so that the start is sent directly
		c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			if isStartCommand(r, body) {
				return fake.HoldBack
			}
			return fake.Deliver
		})
		c.submit("a", newJob("job-3", "array", 1))
		// The response to a heartbeat carries the same start command, and the task runs once.
		c.awaitTask(6*time.Second, "job-3/0")
		machine := c.workerNamed(c.machinesRunning("job-3/0")[0])
		machine.EndTask("job-3/0", "done")
		c.awaitStatus(4*time.Second, "a", "job-3", "done")
		// The start command that was held back arrives.
		time.Sleep(2 * time.Minute)
		if c.network.ReleaseHeld() == 0 {
			t.Fatal("no start command was held back")
		}
		c.consistently(10*time.Second, "the delayed start is rejected", func() bool { return c.noneRunning("job-3/0") })
		if n := machine.StartCount("job-3/0"); n != 1 {
			t.Fatalf("job-3/0 was started %d times, not once", n)
		}
	})
}

// TestDelayedCommandsAndResponsesLoseNoWork checks that no task is lost or started twice if a start
// or stop command arrives seconds late or after the cancellation limit, or if only its response is
// lost. Meanwhile the job is cancelled, the leader fails over, or both, and in some cases
// heartbeats are refused.
func TestDelayedCommandsAndResponsesLoseNoWork(t *testing.T) {
	t.Parallel()
	for _, outcome := range []fake.Outcome{fake.HoldBack, fake.DropResponse} {
		for _, verb := range []string{"start", "stop"} {
			for _, event := range []string{"cancellation", "failover", "both"} {
				for _, delay := range []struct {
					by           time.Duration
					noHeartbeats bool
				}{{5 * time.Second, false}, {5 * time.Second, true}, {45 * time.Second, false}} {
					t.Run(fmt.Sprintf("%v of %s, %s, %v, no heartbeats %t", outcome, verb, event, delay.by, delay.noHeartbeats), func(t *testing.T) {
						t.Parallel()
						faultScenario(t, func(t *testing.T, c *faultCluster) {
							c.startWorker("m1", "north")
							c.startWorker("m2", "south")
							time.Sleep(10300 * time.Millisecond) // between heartbeats
							c.setFaults(func(from, to string, r *http.Request, body []byte) fake.Outcome {
								if r.URL.Path == "/commands" && strings.Contains(string(body), `"verb":"`+verb+`"`) {
									return outcome
								}
								if delay.noHeartbeats && isHeartbeat(r) {
									return fake.Refuse
								}
								return fake.Deliver
							})
							c.submitJob("a", newJob("job-1", "array", 4).with("cores", 2))
							c.submitJob("b", newJob("job-2", "array", 4).with("cores", 2))
							c.passTime(400 * time.Millisecond)
							if event != "failover" {
								c.cancelJob("b", "job-1")
							}
							if event != "cancellation" {
								c.restartLeader(200 * time.Millisecond)
							}
							c.passTime(delay.by)
							c.network.ReleaseHeld()
							c.passTime(3 * time.Second)
							c.heal()
							c.passTime(cancelLimit)
							if event == "failover" {
								c.completeJobs("job-1")
							}
							c.completeJobs("job-2")
						})
					})
				}
			}
		}
	}
}

// TestFailoverWithUncertainWritesOnNewMachinesLosesNoWork checks that no work is lost if a new
// leader does not know of machines that are not in the cloud's list yet, nor of the tasks assigned
// to them by writes whose response was lost.
func TestFailoverWithUncertainWritesOnNewMachinesLosesNoWork(t *testing.T) {
	t.Parallel()
	for _, writeOutcome := range []fake.Outcome{fake.DropResponse, fake.HoldBack, fake.Drop, fake.Duplicate} {
		for _, startOutcome := range []fake.Outcome{fake.Deliver, fake.HoldBack, fake.DropResponse} {
			t.Run(fmt.Sprintf("writes %v, starts %v", writeOutcome, startOutcome), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					c.testCluster.mu.Lock()
					c.cloudListsMachines = false
					c.testCluster.mu.Unlock()
					time.Sleep(settleTime)
					leader := c.awaitLeader()
					other := otherNode(leader.name)
					writes := 0
					var mu sync.Mutex
					c.setFaults(func(from, to string, r *http.Request, body []byte) fake.Outcome {
						mu.Lock()
						defer mu.Unlock()
						switch {
						case r.URL.Path == "/commands" && strings.Contains(string(body), `"verb":"start"`):
							return startOutcome
						case from == leader.name && isAssignment(r, body):
							if writes++; writes > 2 { // the first assignments are delivered
								return writeOutcome
							}
						}
						return fake.Deliver
					})
					// New machines get tasks while writes of the leader get no response.
					for i := range 4 {
						c.startWorker(fmt.Sprintf("m%d", i+1), zones[i%2])
					}
					for i := range 6 {
						c.submitJob(other, newJob(fmt.Sprintf("job-%d", i+1), "array", 1).with("cores", 2))
					}
					c.passTime(1500 * time.Millisecond)
					// The leader restarts.
					leader.kill()
					c.passTime(time.Second)
					c.startNode(leader.name)
					c.passTime(5 * time.Second)
					c.heal()
					c.passTime(30 * time.Second)
					c.completeJobs("job-1", "job-2", "job-3", "job-4", "job-5", "job-6")
				})
			})
		}
	}
}
