package scenarios

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
)

// The scenarios in which two troubles meet.

// faultCluster is a test cluster with what brings troubles about, and with users that ask.
type faultCluster struct {
	*testCluster
	mu         sync.Mutex
	jobs       []string            // accepted
	heartbeats map[string][][]byte // every report of a worker, by its name
}

// faultScenario is a scenario in which users ask about all jobs at all nodes all along.
func faultScenario(t *testing.T, run func(t *testing.T, c *faultCluster)) {
	scenario(t, func(t *testing.T, base *testCluster) {
		c := &faultCluster{testCluster: base, heartbeats: map[string][][]byte{}}
		base.inCloudList = true
		c.setFaults(nil)
		base.startNode("a")
		base.startNode("b")
		for _, node := range []string{"a", "b"} {
			go func() {
				for base.ctx.Err() == nil {
					c.pollJobs(node)
					c.rest(500 * time.Millisecond)
				}
			}()
		}
		run(t, c)
	})
}

// rest sleeps, at most until the scenario ends.
func (c *faultCluster) rest(d time.Duration) {
	select {
	case <-c.ctx.Done():
	case <-time.After(d):
	}
}

// setFaults sets the network's rule, and records the workers' reports beside it.
func (c *faultCluster) setFaults(faults func(from, to string, r *http.Request, body []byte) fake.Outcome) {
	c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
		if name, _, ok := strings.Cut(from, ":"); ok && r.URL.Path == "/agent/beat" && name != "late" {
			c.mu.Lock()
			c.heartbeats[name] = append(c.heartbeats[name], bytes.Clone(body))
			c.mu.Unlock()
		}
		if faults == nil {
			return fake.Deliver
		}
		return faults(from, to, r, body)
	})
}

// partition cuts machines off: how is unreachable by refusal, silence or holding back,
// deaf (only their reports arrive) or mute (only direct commands do).
func (c *faultCluster) partition(kind string, machines ...string) {
	c.setFaults(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
		for _, machine := range machines {
			outbound, inbound := strings.HasPrefix(from, machine+":"), strings.HasPrefix(to, machine+":")
			switch {
			case !outbound && !inbound:
			case kind == "refused" || kind == "mute" && outbound:
				return fake.Refuse
			case kind == "swallowed" || kind == "deaf" && inbound:
				return fake.Drop
			case kind == "held":
				return fake.HoldBack
			case kind == "deaf" && outbound:
				return fake.DropResponse
			}
		}
		return fake.Deliver
	})
}

// heal ends all troubles of the network; what was held back arrives.
func (c *faultCluster) heal() {
	c.setFaults(nil)
	c.network.ReleaseHeld()
}

// deliverToControllers delivers a copy of a report to every controller.
func (c *faultCluster) deliverToControllers(report []byte) {
	for _, node := range []string{"a", "b"} {
		req, _ := http.NewRequestWithContext(c.ctx, "POST", "http://"+node+":8080/agent/beat", bytes.NewReader(report))
		if res, err := c.network.Client("late:1").Do(req); err == nil {
			res.Body.Close()
		}
	}
}

func (c *faultCluster) lastHeartbeat(worker string) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heartbeats[worker][len(c.heartbeats[worker])-1]
}

func (c *faultCluster) submitJob(node string, job map[string]any) {
	c.t.Helper()
	c.eventually(20*time.Second, "accepted", func() bool {
		code, _ := c.call(node, "POST", "/v2/runs", job)
		return code == 200 || code == 201
	})
	c.mu.Lock()
	c.jobs = append(c.jobs, job["uid"].(string))
	c.mu.Unlock()
}

func (c *faultCluster) cancelJob(node, id string) {
	c.t.Helper()
	c.eventually(20*time.Second, "called off", func() bool {
		code, out := c.call(node, "POST", "/v2/runs/"+id+"/cancel", nil)
		return code == 200 && out["status"] == "cancelled"
	})
}

// pollJobs is users asking one node for all jobs.
func (c *faultCluster) pollJobs(node string) {
	c.mu.Lock()
	jobs := slices.Clone(c.jobs)
	c.mu.Unlock()
	for _, id := range jobs {
		c.call(node, "GET", "/v2/runs/"+id, nil)
	}
}

// passTime lets time go by.
func (c *faultCluster) passTime(d time.Duration) {
	c.t.Helper()
	c.consistently(d, "", func() bool { return true })
}

// completeTask completes a task where it is.
func (c *faultCluster) completeTask(task string) bool {
	for _, worker := range c.workers {
		if worker.EndTask(task, "done") {
			return true
		}
	}
	return false
}

// completeJobs completes all that runs until the jobs are done.
func (c *faultCluster) completeJobs(jobs ...string) {
	c.t.Helper()
	for _, id := range jobs {
		c.eventually(120*time.Second, id+" is done", func() bool {
			for _, worker := range c.workers {
				for _, task := range worker.ActiveTasks() {
					c.completeTask(task)
				}
			}
			return c.status("a", id) == "done" && c.status("b", id) == "done"
		})
	}
}

// awaitLeader waits until a node leads, and names it.
func (c *faultCluster) awaitLeader() *testNode {
	c.t.Helper()
	c.eventually(20*time.Second, "a leader", func() bool { return c.leader() != nil })
	return c.leader()
}

// runs tells whether the first n tasks of a job are on machines.
func (c *faultCluster) runs(id string, n int) func() bool {
	return func() bool { return c.allRunning(id, n) }
}

// sized is a spec with tasks of so many cores.
func sized(id, shape string, tasks int, cores float64) map[string]any {
	job := newJob(id, shape, tasks)
	job["cores"] = cores
	return job
}

func TestFailoverDuringMachinePartitionLosesNoWork(t *testing.T) {
	t.Parallel()
	// Guards against long tasks started anew while they go on where nobody asks or
	// is heard, and against losing those that ended with their leases. A team is at
	// its limit, a job is called off meanwhile, and another waits for its room.
	for _, kind := range []string{"refused", "swallowed", "held", "deaf", "mute"} {
		for _, machines := range [][]string{{"m1"}, {"m2", "m3"}, {"m1", "m2", "m3"}} {
			t.Run(kind+fmt.Sprint(len(machines)), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					for i, zone := range []string{"north", "south", "south"} {
						c.startWorker(fmt.Sprintf("m%d", i+1), zone)
					}
					time.Sleep(10 * time.Second)
					c.submitJob("a", newJob("job-1", "array", 4))
					c.submitJob("b", newJob("job-2", "standing", 4))
					c.eventually(6*time.Second, "they run", func() bool { return c.allRunning("job-1", 4) && c.allRunning("job-2", 4) })
					c.passTime(5 * time.Second)
					leader := c.awaitLeader()
					other := map[string]string{"a": "b", "b": "a"}[leader.name]
					c.partition(kind, machines...)
					c.passTime(time.Second)
					leader.kill()
					c.passTime(2 * time.Second)
					c.startNode(leader.name)
					c.submitJob(other, newJob("job-3", "array", 4))
					c.passTime(2 * time.Second)
					c.cancelJob(other, "job-2")
					c.passTime(45 * time.Second)
					c.heal()
					c.passTime(5 * time.Second)
					c.completeJobs("job-1", "job-3")
				})
			})
		}
	}
}

func TestStaleHeartbeatsDuringFailoverChangeNothing(t *testing.T) {
	t.Parallel()
	// Guards against a new leader that takes an old report, the first it hears of a
	// machine, for what is there now: while the machine can't be asked, and while it
	// can.
	for _, content := range []string{"shows what runs elsewhere", "shows nothing", "of an earlier session", "shows what is done"} {
		for _, kind := range []string{"", "refused", "held", "deaf"} {
			t.Run(content+kind, func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					m1 := c.startWorker("m1", "north")
					time.Sleep(10 * time.Second)
					empty := c.lastHeartbeat("m1")
					c.submitJob("a", newJob("job-1", "array", 3))
					c.eventually(5*time.Second, "it runs", c.runs("job-1", 3))
					c.passTime(5 * time.Second)
					stale := c.lastHeartbeat("m1")
					switch content {
					case "shows nothing":
						stale = empty
					case "shows what runs elsewhere":
						c.startWorker("m2", "south")
						c.passTime(5 * time.Second)
						m1.EndTask("job-1/0", "error")
						c.eventually(20*time.Second, "it runs elsewhere", func() bool { return c.workerNamed("m2").StartCount("job-1/0") == 1 })
					case "of an earlier session":
						m1.SetSilent(true)
						c.passTime(25 * time.Second)
						m1.SetSilent(false)
						c.eventually(20*time.Second, "it runs again", c.runs("job-1", 3))
					case "shows what is done":
						c.completeTask("job-1/0")
					}
					c.passTime(8 * time.Second)
					leader := c.awaitLeader()
					leader.kill()
					if kind != "" {
						c.partition(kind, "m1")
					}
					if c.workerNamed("m2") == nil {
						c.startWorker("m2", "south")
					}
					c.awaitLeader()
					c.deliverToControllers(stale)
					c.startNode(leader.name)
					c.passTime(3 * time.Second)
					c.deliverToControllers(stale)
					c.submitJob("a", newJob("job-2", "array", 5))
					c.passTime(6 * time.Second)
					c.heal()
					c.passTime(3 * time.Second)
					c.deliverToControllers(stale)
					c.passTime(25 * time.Second)
					c.completeJobs("job-1", "job-2")
				})
			})
		}
	}
}

func TestQuotaHoldsWhileCancelledTasksAreUnreachable(t *testing.T) {
	t.Parallel()
	// Guards against giving away the room of cancelled jobs before their tasks are
	// gone: the team is at its limit, machines hang or can't be asked, and the
	// leader changes before or after the cancellations.
	for _, kind := range []string{"refused", "swallowed", "held", "deaf", "mute", "hung"} {
		for _, failoverLast := range []bool{false, true} {
			t.Run(fmt.Sprint(kind, failoverLast), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					for i, zone := range []string{"north", "south", "north", "south"} {
						c.startWorker(fmt.Sprintf("m%d", i+1), zone)
					}
					time.Sleep(10 * time.Second)
					for i := range 4 {
						c.submitJob("a", sized(fmt.Sprintf("job-%d", i+1), "standing", 1, 2))
						c.eventually(5*time.Second, "it runs", c.runs(fmt.Sprintf("job-%d", i+1), 1))
					}
					var unreachable []string
					for _, id := range []string{"job-1/0", "job-3/0", "job-4/0"} {
						unreachable = append(unreachable, c.machinesRunning(id)...)
					}
					c.submitJob("b", sized("job-5", "array", 6, 2))
					c.passTime(4 * time.Second)
					c.partition(kind, unreachable...)
					if kind == "hung" {
						for _, name := range unreachable {
							c.workerNamed(name).SetHung(true)
						}
					}
					c.passTime(500 * time.Millisecond)
					leader := c.awaitLeader()
					failOver := func() {
						leader.kill()
						c.passTime(time.Second)
						c.startNode(leader.name)
					}
					if !failoverLast {
						failOver()
					}
					for i, id := range []string{"job-1", "job-3", "job-4"} {
						c.cancelJob([]string{"a", "b"}[i%2], id)
					}
					if failoverLast {
						failOver()
					}
					if kind == "hung" { // some go on within their leases, some beyond
						c.passTime(12 * time.Second)
						c.workerNamed(unreachable[0]).SetHung(false)
						c.passTime(33 * time.Second)
						for _, name := range unreachable {
							c.workerNamed(name).SetHung(false)
						}
					} else {
						c.passTime(45 * time.Second)
					}
					c.heal()
					c.passTime(3 * time.Second)
					if len(c.machinesRunning("job-2/0")) != 1 {
						t.Error("job-2, which nobody called off, is gone")
					}
					c.cancelJob("a", "job-2")
					c.completeJobs("job-5")
				})
			})
		}
	}
}

func TestFailoverWithUncertainWritesOnNewMachinesLosesNoWork(t *testing.T) {
	t.Parallel()
	// Guards against a successor that knows neither of machines which nobody has
	// listed yet nor of what was claimed there by writes without an answer.
	for _, writeOutcome := range []fake.Outcome{fake.DropResponse, fake.HoldBack, fake.Drop, fake.Duplicate} {
		for _, startOutcome := range []fake.Outcome{fake.Deliver, fake.HoldBack, fake.DropResponse} {
			t.Run(fmt.Sprint(writeOutcome, startOutcome), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					c.testCluster.mu.Lock()
					c.inCloudList = false
					c.testCluster.mu.Unlock()
					time.Sleep(10 * time.Second)
					leader := c.awaitLeader()
					other := map[string]string{"a": "b", "b": "a"}[leader.name]
					writes := 0
					var mu sync.Mutex
					c.setFaults(func(from, to string, r *http.Request, body []byte) fake.Outcome {
						mu.Lock()
						defer mu.Unlock()
						switch {
						case r.URL.Path == "/commands" && strings.Contains(string(body), `"verb":"start"`):
							return startOutcome
						case from == leader.name && r.URL.Path == "/commit" && strings.Contains(string(body), `"places"`):
							if writes++; writes > 2 { // the first claims get through
								return writeOutcome
							}
						}
						return fake.Deliver
					})
					for i := range 4 {
						c.startWorker(fmt.Sprintf("m%d", i+1), []string{"north", "south"}[i%2])
					}
					for i := range 6 {
						c.submitJob(other, sized(fmt.Sprintf("job-%d", i+1), "array", 1, 2))
					}
					c.passTime(1500 * time.Millisecond)
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

func TestTasksCompletingAcrossFailoversRunOnce(t *testing.T) {
	t.Parallel()
	// Guards against a job called done before its last task, and against done tasks
	// run again: the leader ends before, while and after an end is stored, and old
	// reports show the tasks still running.
	for _, count := range []int{2, 3} {
		for _, delay := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 6 * time.Second} {
			t.Run(fmt.Sprint(count, delay), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					c.startWorker("m1", "north")
					c.startWorker("m2", "south")
					time.Sleep(10 * time.Second)
					c.submitJob("a", sized("job-1", "array", count, 2))
					c.eventually(5*time.Second, "it runs", c.runs("job-1", count))
					c.passTime(5 * time.Second)
					var tasks []string
					for i := range count {
						tasks = append(tasks, fmt.Sprintf("job-1/%d", i))
					}
					for _, task := range tasks {
						stale := c.lastHeartbeat(c.machinesRunning(task)[0])
						c.completeTask(task)
						c.passTime(delay)
						leader := c.awaitLeader()
						leader.kill()
						c.passTime(400 * time.Millisecond)
						c.startNode(leader.name)
						c.awaitLeader()
						c.deliverToControllers(stale)
						c.passTime(25 * time.Second)
					}
					c.eventually(5*time.Second, "done", func() bool { return c.status("a", "job-1") == "done" && c.status("b", "job-1") == "done" })
					c.requireStartedOnce(tasks...)
				})
			})
		}
	}
}

func TestDelayedCommandsAndResponsesLoseNoWork(t *testing.T) {
	t.Parallel()
	// Guards against a start or stop, or only its answer, that takes effect or is
	// known seconds later, or after cancel_s: the job is called off meanwhile, or the leader ends, and
	// the beats of the machine get through or don't.
	for _, outcome := range []fake.Outcome{fake.HoldBack, fake.DropResponse} {
		for _, verb := range []string{"start", "stop"} {
			for _, event := range []string{"called off", "leader ends", "both"} {
				for _, delay := range []struct {
					by   time.Duration
					mute bool
				}{{5 * time.Second, false}, {5 * time.Second, true}, {45 * time.Second, false}} {
					t.Run(fmt.Sprint(outcome, verb, event, delay.by, delay.mute), func(t *testing.T) {
						t.Parallel()
						faultScenario(t, func(t *testing.T, c *faultCluster) {
							c.startWorker("m1", "north")
							c.startWorker("m2", "south")
							time.Sleep(10300 * time.Millisecond) // between reports
							c.setFaults(func(from, to string, r *http.Request, body []byte) fake.Outcome {
								if r.URL.Path == "/commands" && strings.Contains(string(body), `"verb":"`+verb+`"`) {
									return outcome
								}
								if delay.mute && r.URL.Path == "/agent/beat" {
									return fake.Refuse
								}
								return fake.Deliver
							})
							c.submitJob("a", sized("job-1", "array", 4, 2))
							c.submitJob("b", sized("job-2", "array", 4, 2))
							c.passTime(400 * time.Millisecond)
							if event != "leader ends" {
								c.cancelJob("b", "job-1")
							}
							if event != "called off" {
								leader := c.awaitLeader()
								leader.kill()
								c.passTime(200 * time.Millisecond)
								c.startNode(leader.name)
							}
							c.passTime(delay.by)
							c.network.ReleaseHeld()
							c.passTime(3 * time.Second)
							c.heal()
							c.passTime(40 * time.Second)
							if event == "leader ends" {
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

func TestZoneBoundJobIsRescheduledWithinItsZone(t *testing.T) {
	t.Parallel()
	// Guards against tasks that go to another zone, where there is room, once their
	// own has none or is dark; a new machine of the zone takes them.
	for _, kind := range []string{"refused", "held", "deaf"} {
		for _, shape := range []string{"array", "standing", "gang"} {
			t.Run(kind+shape, func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					for i, zone := range []string{"north", "north", "south", "south"} {
						c.startWorker(fmt.Sprintf("m%d", i+1), zone)
					}
					time.Sleep(10 * time.Second)
					job := sized("job-1", shape, 4, 2)
					job["yard"] = "north"
					c.submitJob("a", job)
					c.eventually(6*time.Second, "it runs", c.runs("job-1", 4))
					c.passTime(4 * time.Second)
					c.partition(kind, "m1")
					c.passTime(2 * time.Second)
					leader := c.awaitLeader()
					leader.kill()
					c.passTime(time.Second)
					c.startNode(leader.name)
					c.passTime(20 * time.Second)
					c.partition(kind, "m1", "m2")
					c.passTime(40 * time.Second)
					c.startWorker("m5", "north")
					c.passTime(20 * time.Second)
					c.heal()
					if shape == "gang" {
						// One that lost a task ends as a whole.
						for _, worker := range c.workers {
							for _, task := range worker.ActiveTasks() {
								if len(worker.ActiveTasks()) < 4 {
									worker.EndTask(task, "peers")
								}
							}
						}
					}
					c.eventually(90*time.Second, "it runs in its zone", c.runs("job-1", 4))
				})
			})
		}
	}
}

func TestRepeatedFailoversLoseNoWork(t *testing.T) {
	t.Parallel()
	// Guards against what is lost or begun anew while leaders change ten times in
	// two minutes, also inside an outage of the store, and while all are away.
	for _, downtime := range []time.Duration{50 * time.Millisecond, 900 * time.Millisecond, 5 * time.Second} {
		for _, pattern := range []string{"one", "outage", "all", "away"} {
			t.Run(fmt.Sprint(downtime, pattern), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					c.startWorker("m1", "north")
					c.startWorker("m2", "south")
					time.Sleep(10 * time.Second)
					c.submitJob("a", newJob("job-1", "standing", 4))
					c.submitJob("b", newJob("job-2", "array", 2))
					c.eventually(6*time.Second, "they run", func() bool { return c.allRunning("job-1", 4) && c.allRunning("job-2", 2) })
					c.submitJob("a", newJob("job-3", "array", 6)) // four wait
					for i := range 10 {
						if pattern == "outage" {
							c.store.SetDown(i%5 >= 3)
						}
						var down []string
						if leader := c.leader(); leader != nil && pattern != "all" {
							leader.kill()
							down = append(down, leader.name)
						} else if pattern != "outage" {
							for _, name := range []string{"a", "b"} {
								if node := c.nodes[name]; node != nil {
									node.kill()
									down = append(down, name)
								}
							}
						}
						c.passTime(downtime)
						if pattern == "away" && i == 5 {
							for _, name := range []string{"a", "b"} {
								if node := c.nodes[name]; node != nil {
									node.kill()
									down = append(down, name)
								}
							}
							c.passTime(25 * time.Second) // longer than the lease
						}
						for _, name := range down {
							c.startNode(name)
						}
						c.passTime(11 * time.Second)
					}
					c.store.SetDown(false)
					c.eventually(60*time.Second, "replicas run", c.runs("job-1", 4))
					if pattern == "one" && downtime < time.Second {
						c.requireStartedOnce("job-1/0", "job-1/1", "job-1/2", "job-1/3", "job-2/0", "job-2/1")
					}
					c.cancelJob("a", "job-1")
					c.completeJobs("job-2", "job-3")
				})
			})
		}
	}
}

func TestUrgentJobsStartFirstOverSlowNetwork(t *testing.T) {
	t.Parallel()
	// Guards against work started twice, beyond the limit, or before urgent work
	// that came later, while every call takes long; also if the leader ends.
	for _, latency := range []time.Duration{100 * time.Millisecond, 350 * time.Millisecond} {
		for _, failover := range []bool{false, true} {
			t.Run(fmt.Sprint(latency, failover), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					c.startWorker("m1", "north")
					c.startWorker("m2", "south")
					time.Sleep(10 * time.Second)
					c.submitJob("a", sized("job-1", "array", 4, 2))
					c.eventually(6*time.Second, "it runs", c.runs("job-1", 4))
					c.setFaults(func(_, to string, r *http.Request, _ []byte) fake.Outcome {
						if to == "state:1" && r.URL.Path == "/commit" || strings.HasSuffix(to, ":9000") {
							c.rest(latency)
						}
						return fake.Deliver
					})
					var normal, urgent []string
					for i := range 8 {
						job := sized(fmt.Sprintf("job-%d", i+2), "array", 2, 2)
						if i >= 6 {
							job["urgency"] = "critical"
							urgent = append(urgent, job["uid"].(string))
						} else {
							normal = append(normal, job["uid"].(string))
						}
						c.submitJob([]string{"a", "b"}[i%2], job)
					}
					if failover {
						leader := c.awaitLeader()
						leader.kill()
						c.passTime(500 * time.Millisecond)
						c.startNode(leader.name)
						c.awaitLeader()
					}
					c.passTime(5 * time.Second)
					c.completeJobs(append(append([]string{"job-1"}, urgent...), normal...)...)
					lastUrgentStart := time.Time{}
					for _, id := range urgent {
						for i := range 2 {
							if started := c.rules.FirstStart(fmt.Sprintf("%s/%d", id, i)); started.After(lastUrgentStart) {
								lastUrgentStart = started
							}
						}
					}
					for _, id := range normal {
						for i := range 2 {
							if started := c.rules.FirstStart(fmt.Sprintf("%s/%d", id, i)); started.Before(lastUrgentStart) {
								t.Errorf("%s/%d began %v before the last urgent task", id, i, lastUrgentStart.Sub(started))
							}
						}
					}
				})
			})
		}
	}
}
func TestStaleHeartbeatOfReplacedGangTaskChangesNothing(t *testing.T) {
	t.Parallel()
	// Guards against a new leader that takes the end of an earlier start, under the
	// same attempt on the same machine, for the end of the one that waits there now:
	// it would start the task elsewhere. Its session may have changed in between.
	for _, newIncarnation := range []bool{false, true} {
		for _, kind := range []string{"", "refused", "held", "deaf"} {
			t.Run(fmt.Sprint(newIncarnation, kind), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					c.startWorker("m1", "north")
					c.startWorker("m2", "south")
					time.Sleep(10 * time.Second)
					c.submitJob("a", sized("job-1", "gang", 2, 3))
					bothWaiting := func() bool {
						for _, worker := range c.workers {
							worker.SetTaskStatus("job-1/0", "waiting")
							worker.SetTaskStatus("job-1/1", "waiting")
						}
						return c.allRunning("job-1", 2)
					}
					c.eventually(5*time.Second, "both tasks are there", bothWaiting)
					c.passTime(5 * time.Second)
					machine := c.workerNamed(c.machinesRunning("job-1/0")[0])
					machine.EndTask("job-1/0", "no_room")
					c.passTime(100 * time.Millisecond)
					time.Sleep(2 * time.Second)
					var stale []byte
					c.mu.Lock()
					for _, heartbeat := range c.heartbeats[machine.Name] {
						if strings.Contains(string(heartbeat), `"no_room"`) {
							stale = heartbeat
						}
					}
					c.mu.Unlock()
					if stale == nil {
						t.Fatal("no report shows the end")
					}
					c.eventually(10*time.Second, "it is replaced", bothWaiting)
					if newIncarnation {
						machine.SetSilent(true)
						c.eventually(25*time.Second, "its lease lapsed", func() bool { return len(c.machinesRunning("job-1/0")) == 0 })
						machine.SetSilent(false)
						c.eventually(15*time.Second, "it is replaced again", bothWaiting)
					}
					if c.machinesRunning("job-1/0")[0] != machine.Name || strings.TrimSuffix(machine.Starts[len(machine.Starts)-1], "#1") == machine.Starts[len(machine.Starts)-1] {
						t.Fatalf("not replaced there under the same attempt: %v on %v", machine.Starts, c.machinesRunning("job-1/0"))
					}
					c.passTime(3 * time.Second)
					leader := c.awaitLeader()
					leader.kill()
					c.startWorker("m3", "south")
					if kind != "" {
						c.partition(kind, machine.Name)
					}
					c.awaitLeader()
					c.deliverToControllers(stale)
					c.startNode(leader.name)
					c.passTime(8 * time.Second)
					c.heal()
					c.passTime(25 * time.Second)
					if !c.allRunning("job-1", 2) {
						t.Errorf("its tasks are on %v and %v", c.machinesRunning("job-1/0"), c.machinesRunning("job-1/1"))
					}
				})
			})
		}
	}
}

func TestUrgentJobStartsWhereTeamIsAtItsQuota(t *testing.T) {
	t.Parallel()
	// Guards against room of a team's limit, from which lesser work of its own made
	// way, being given to lesser work again at once: the urgent job, and a gang as
	// large as the limit above all, never began, and the rest was stopped, or dropped
	// before its starts went out, again and again, so that nothing of the team ran.
	for _, shape := range []string{"gang", "array"} {
		for _, urgency := range []string{"high", "critical"} {
			for _, latency := range []time.Duration{0, 60 * time.Millisecond, 200 * time.Millisecond} {
				for _, submitDelay := range []time.Duration{0, 5 * time.Second} {
					t.Run(fmt.Sprint(shape, urgency, latency, submitDelay), func(t *testing.T) {
						t.Parallel()
						faultScenario(t, func(t *testing.T, c *faultCluster) {
							for i, zone := range []string{"north", "south", "south"} {
								c.startWorker(fmt.Sprintf("m%d", i+1), zone)
							}
							time.Sleep(10 * time.Second)
							c.setFaults(func(_, to string, r *http.Request, body []byte) fake.Outcome {
								if r.URL.Path == "/commit" && strings.Contains(string(body), `"places"`) || to == "m2:9000" {
									c.rest(latency)
								}
								return fake.Deliver
							})
							for i, lower := range []string{"low", "normal"} {
								job := newJob(fmt.Sprintf("job-%d", i+1), "array", 12)
								job["urgency"] = lower
								c.submitJob("a", job)
							}
							c.passTime(submitDelay)
							urgent := sized("job-3", shape, 4, 2)
							urgent["urgency"] = urgency
							c.submitJob("b", urgent)
							c.eventually(60*time.Second, "the urgent job runs", c.runs("job-3", 4))
							for i := range 4 {
								c.completeTask(fmt.Sprintf("job-3/%d", i))
							}
							c.completeJobs("job-3", "job-2", "job-1")
						})
					})
				}
			}
		}
	}
}

func TestCancellationsHoldWhileStateServiceIsSlowOrUnavailable(t *testing.T) {
	// Guards against cancels that win at one node and are unknown at another, or come
	// too late, while every answer of the state service takes long; then it refuses the
	// leader alone, and soon everybody for longer than cancel_s.
	for _, latency := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond} {
		for _, unavailable := range []bool{false, true} {
			t.Run(fmt.Sprint(latency, unavailable), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					c.startWorker("m1", "north")
					c.startWorker("m2", "south")
					time.Sleep(10 * time.Second)
					for i := range 4 {
						c.submitJob(nodeNames[i%2], newJob(fmt.Sprintf("job-%d", i+1), []string{"standing", "array"}[i/2], 2))
					}
					c.eventually(6*time.Second, "they run", func() bool { return c.allRunning("job-1", 2) && c.allRunning("job-4", 2) })
					c.store.SetLatency(latency)
					c.passTime(3 * time.Second)
					c.completeTask("job-4/0")
					c.cancelJob("a", "job-1")
					if unavailable {
						leader := c.awaitLeader()
						c.setFaults(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
							if isBetween(from, to, "a", "b") {
								return fake.Refuse // so that it isn't told either
							}
							return fake.Deliver
						})
						c.store.RefuseCaller(leader.name, true)
						c.cancelJob(map[string]string{"a": "b", "b": "a"}[leader.name], "job-2")
						c.passTime(time.Second)
						c.store.SetDown(true)
						c.passTime(50 * time.Second)
						c.store.SetDown(false)
						c.store.RefuseCaller(leader.name, false)
						c.heal()
						c.passTime(5 * time.Second)
					} else {
						c.cancelJob("b", "job-2")
					}
					c.cancelJob("b", "job-3")
					c.passTime(20 * time.Second)
					c.store.SetLatency(0)
					c.passTime(25 * time.Second)
					c.completeJobs("job-4")
				})
			})
		}
	}
}

func TestCancellationsHoldDuringLeadershipChange(t *testing.T) {
	// Guards against cancelled tasks that stay or begin since the one leader does not
	// learn of the cancel and the next one not yet of the tasks: the leader is cut from
	// the state service and the other controller, and workers and users still reach it,
	// or its process ends; jobs are cancelled through the other, at once and later on.
	for _, event := range []string{"cut off", "ends", "ends and returns"} {
		for _, cancelDelay := range []time.Duration{0, 800 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprint(event, cancelDelay), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, c *faultCluster) {
					c.startWorker("m1", "north")
					c.startWorker("m2", "south")
					time.Sleep(10 * time.Second)
					for i := range 4 {
						c.submitJob(nodeNames[i%2], newJob(fmt.Sprintf("job-%d", i+1), []string{"standing", "array"}[i%2], 2))
					}
					c.eventually(6*time.Second, "they run", func() bool { return c.allRunning("job-1", 2) && c.allRunning("job-4", 2) })
					c.passTime(3 * time.Second)
					leader := c.awaitLeader()
					other := map[string]string{"a": "b", "b": "a"}[leader.name]
					c.submitJob(other, newJob("job-5", "array", 2)) // waits for room, or its starts are on their way
					if event == "cut off" {
						c.setFaults(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
							if isBetween(from, to, leader.name, "state") || isBetween(from, to, leader.name, other) {
								return fake.Drop
							}
							return fake.Deliver
						})
					} else {
						leader.kill()
					}
					c.passTime(cancelDelay)
					c.cancelJob(other, "job-1")
					if event == "ends and returns" {
						c.startNode(leader.name)
					}
					c.cancelJob(other, "job-2")
					c.passTime(time.Second)
					c.cancelJob(other, "job-5")
					c.passTime(45 * time.Second)
					if n := c.nodes[other]; n.elector.Cluster() == nil && event != "ends and returns" {
						t.Error("the other does not lead")
					}
					c.heal()
					if event == "ends" {
						c.startNode(leader.name)
					}
					c.passTime(5 * time.Second)
					c.cancelJob(leader.name, "job-3")
					c.passTime(5 * time.Second)
					c.completeJobs("job-4")
				})
			})
		}
	}
}
