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
func faultScenario(t *testing.T, f func(t *testing.T, g *faultCluster)) {
	scenario(t, func(t *testing.T, w *testCluster) {
		g := &faultCluster{testCluster: w, heartbeats: map[string][][]byte{}}
		w.inCloudList = true
		g.setFaults(nil)
		w.startNode("a")
		w.startNode("b")
		for _, node := range []string{"a", "b"} {
			go func() {
				for w.ctx.Err() == nil {
					g.pollJobs(node)
					g.rest(500 * time.Millisecond)
				}
			}()
		}
		f(t, g)
	})
}

// rest sleeps, at most until the scenario ends.
func (g *faultCluster) rest(d time.Duration) {
	select {
	case <-g.ctx.Done():
	case <-time.After(d):
	}
}

// setFaults sets the network's rule, and records the workers' reports beside it.
func (g *faultCluster) setFaults(rule func(from, to string, r *http.Request, body []byte) fake.Outcome) {
	g.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
		if name, _, ok := strings.Cut(from, ":"); ok && r.URL.Path == "/agent/beat" && name != "late" {
			g.mu.Lock()
			g.heartbeats[name] = append(g.heartbeats[name], bytes.Clone(body))
			g.mu.Unlock()
		}
		if rule == nil {
			return fake.Deliver
		}
		return rule(from, to, r, body)
	})
}

// partition cuts machines off: how is unreachable by refusal, silence or holding back,
// deaf (only their reports arrive) or mute (only direct commands do).
func (g *faultCluster) partition(how string, machines ...string) {
	g.setFaults(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
		for _, m := range machines {
			out, in := strings.HasPrefix(from, m+":"), strings.HasPrefix(to, m+":")
			switch {
			case !out && !in:
			case how == "refused" || how == "mute" && out:
				return fake.Refuse
			case how == "swallowed" || how == "deaf" && in:
				return fake.Drop
			case how == "held":
				return fake.HoldBack
			case how == "deaf" && out:
				return fake.DropResponse
			}
		}
		return fake.Deliver
	})
}

// heal ends all troubles of the network; what was held back arrives.
func (g *faultCluster) heal() {
	g.setFaults(nil)
	g.network.ReleaseHeld()
}

// deliverToControllers delivers a copy of a report to every controller.
func (g *faultCluster) deliverToControllers(report []byte) {
	for _, node := range []string{"a", "b"} {
		req, _ := http.NewRequestWithContext(g.ctx, "POST", "http://"+node+":8080/agent/beat", bytes.NewReader(report))
		if res, err := g.network.Client("late:1").Do(req); err == nil {
			res.Body.Close()
		}
	}
}

func (g *faultCluster) lastHeartbeat(worker string) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heartbeats[worker][len(g.heartbeats[worker])-1]
}

func (g *faultCluster) submitJob(node string, s map[string]any) {
	g.t.Helper()
	g.eventually(20*time.Second, "accepted", func() bool {
		code, _ := g.call(node, "POST", "/v2/runs", s)
		return code == 200 || code == 201
	})
	g.mu.Lock()
	g.jobs = append(g.jobs, s["uid"].(string))
	g.mu.Unlock()
}

func (g *faultCluster) cancelJob(node, id string) {
	g.t.Helper()
	g.eventually(20*time.Second, "called off", func() bool {
		code, out := g.call(node, "POST", "/v2/runs/"+id+"/cancel", nil)
		return code == 200 && out["status"] == "cancelled"
	})
}

// pollJobs is users asking one node for all jobs.
func (g *faultCluster) pollJobs(node string) {
	g.mu.Lock()
	jobs := slices.Clone(g.jobs)
	g.mu.Unlock()
	for _, id := range jobs {
		g.call(node, "GET", "/v2/runs/"+id, nil)
	}
}

// passTime lets time go by.
func (g *faultCluster) passTime(d time.Duration) {
	g.t.Helper()
	g.consistently(d, "", func() bool { return true })
}

// completeTask completes a task where it is.
func (g *faultCluster) completeTask(task string) bool {
	for _, k := range g.workers {
		if k.EndTask(task, "done") {
			return true
		}
	}
	return false
}

// completeJobs completes all that runs until the jobs are done.
func (g *faultCluster) completeJobs(jobs ...string) {
	g.t.Helper()
	for _, id := range jobs {
		g.eventually(120*time.Second, id+" is done", func() bool {
			for _, k := range g.workers {
				for _, task := range k.ActiveTasks() {
					g.completeTask(task)
				}
			}
			return g.status("a", id) == "done" && g.status("b", id) == "done"
		})
	}
}

// awaitLeader waits until a node leads, and names it.
func (g *faultCluster) awaitLeader() *testNode {
	g.t.Helper()
	g.eventually(20*time.Second, "a leader", func() bool { return g.leader() != nil })
	return g.leader()
}

// runs tells whether the first n tasks of a job are on machines.
func (g *faultCluster) runs(id string, n int) func() bool {
	return func() bool { return g.allRunning(id, n) }
}

// sized is a spec with tasks of so many cores.
func sized(id, shape string, tasks int, cores float64) map[string]any {
	s := newJob(id, shape, tasks)
	s["cores"] = cores
	return s
}

func TestFailoverDuringMachinePartitionLosesNoWork(t *testing.T) {
	t.Parallel()
	// Guards against long tasks started anew while they go on where nobody asks or
	// is heard, and against losing those that ended with their leases. A team is at
	// its limit, a job is called off meanwhile, and another waits for its room.
	for _, how := range []string{"refused", "swallowed", "held", "deaf", "mute"} {
		for _, cut := range [][]string{{"m1"}, {"m2", "m3"}, {"m1", "m2", "m3"}} {
			t.Run(how+fmt.Sprint(len(cut)), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, g *faultCluster) {
					for i, zone := range []string{"north", "south", "south"} {
						g.startWorker(fmt.Sprintf("m%d", i+1), zone)
					}
					time.Sleep(10 * time.Second)
					g.submitJob("a", newJob("job-1", "array", 4))
					g.submitJob("b", newJob("job-2", "standing", 4))
					g.eventually(6*time.Second, "they run", func() bool { return g.allRunning("job-1", 4) && g.allRunning("job-2", 4) })
					g.passTime(5 * time.Second)
					old := g.awaitLeader()
					other := map[string]string{"a": "b", "b": "a"}[old.name]
					g.partition(how, cut...)
					g.passTime(time.Second)
					old.kill()
					g.passTime(2 * time.Second)
					g.startNode(old.name)
					g.submitJob(other, newJob("job-3", "array", 4))
					g.passTime(2 * time.Second)
					g.cancelJob(other, "job-2")
					g.passTime(45 * time.Second)
					g.heal()
					g.passTime(5 * time.Second)
					g.completeJobs("job-1", "job-3")
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
	for _, what := range []string{"shows what runs elsewhere", "shows nothing", "of an earlier session", "shows what is done"} {
		for _, how := range []string{"", "refused", "held", "deaf"} {
			t.Run(what+how, func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, g *faultCluster) {
					m1 := g.startWorker("m1", "north")
					time.Sleep(10 * time.Second)
					empty := g.lastHeartbeat("m1")
					g.submitJob("a", newJob("job-1", "array", 3))
					g.eventually(5*time.Second, "it runs", g.runs("job-1", 3))
					g.passTime(5 * time.Second)
					old := g.lastHeartbeat("m1")
					switch what {
					case "shows nothing":
						old = empty
					case "shows what runs elsewhere":
						g.startWorker("m2", "south")
						g.passTime(5 * time.Second)
						m1.EndTask("job-1/0", "error")
						g.eventually(20*time.Second, "it runs elsewhere", func() bool { return g.workerNamed("m2").StartCount("job-1/0") == 1 })
					case "of an earlier session":
						m1.SetSilent(true)
						g.passTime(25 * time.Second)
						m1.SetSilent(false)
						g.eventually(20*time.Second, "it runs again", g.runs("job-1", 3))
					case "shows what is done":
						g.completeTask("job-1/0")
					}
					g.passTime(8 * time.Second)
					first := g.awaitLeader()
					first.kill()
					if how != "" {
						g.partition(how, "m1")
					}
					if g.workerNamed("m2") == nil {
						g.startWorker("m2", "south")
					}
					g.awaitLeader()
					g.deliverToControllers(old)
					g.startNode(first.name)
					g.passTime(3 * time.Second)
					g.deliverToControllers(old)
					g.submitJob("a", newJob("job-2", "array", 5))
					g.passTime(6 * time.Second)
					g.heal()
					g.passTime(3 * time.Second)
					g.deliverToControllers(old)
					g.passTime(25 * time.Second)
					g.completeJobs("job-1", "job-2")
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
	for _, how := range []string{"refused", "swallowed", "held", "deaf", "mute", "hung"} {
		for _, after := range []bool{false, true} {
			t.Run(fmt.Sprint(how, after), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, g *faultCluster) {
					for i, zone := range []string{"north", "south", "north", "south"} {
						g.startWorker(fmt.Sprintf("m%d", i+1), zone)
					}
					time.Sleep(10 * time.Second)
					for i := range 4 {
						g.submitJob("a", sized(fmt.Sprintf("job-%d", i+1), "standing", 1, 2))
						g.eventually(5*time.Second, "it runs", g.runs(fmt.Sprintf("job-%d", i+1), 1))
					}
					var cut []string
					for _, id := range []string{"job-1/0", "job-3/0", "job-4/0"} {
						cut = append(cut, g.machinesRunning(id)...)
					}
					g.submitJob("b", sized("job-5", "array", 6, 2))
					g.passTime(4 * time.Second)
					g.partition(how, cut...)
					if how == "hung" {
						for _, name := range cut {
							g.workerNamed(name).SetHung(true)
						}
					}
					g.passTime(500 * time.Millisecond)
					first := g.awaitLeader()
					change := func() {
						first.kill()
						g.passTime(time.Second)
						g.startNode(first.name)
					}
					if !after {
						change()
					}
					for i, id := range []string{"job-1", "job-3", "job-4"} {
						g.cancelJob([]string{"a", "b"}[i%2], id)
					}
					if after {
						change()
					}
					if how == "hung" { // some go on within their leases, some beyond
						g.passTime(12 * time.Second)
						g.workerNamed(cut[0]).SetHung(false)
						g.passTime(33 * time.Second)
						for _, name := range cut {
							g.workerNamed(name).SetHung(false)
						}
					} else {
						g.passTime(45 * time.Second)
					}
					g.heal()
					g.passTime(3 * time.Second)
					if len(g.machinesRunning("job-2/0")) != 1 {
						t.Error("job-2, which nobody called off, is gone")
					}
					g.cancelJob("a", "job-2")
					g.completeJobs("job-5")
				})
			})
		}
	}
}

func TestFailoverWithUncertainWritesOnNewMachinesLosesNoWork(t *testing.T) {
	t.Parallel()
	// Guards against a successor that knows neither of machines which nobody has
	// listed yet nor of what was claimed there by writes without an answer.
	for _, fate := range []fake.Outcome{fake.DropResponse, fake.HoldBack, fake.Drop, fake.Duplicate} {
		for _, starts := range []fake.Outcome{fake.Deliver, fake.HoldBack, fake.DropResponse} {
			t.Run(fmt.Sprint(fate, starts), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, g *faultCluster) {
					g.testCluster.mu.Lock()
					g.inCloudList = false
					g.testCluster.mu.Unlock()
					time.Sleep(10 * time.Second)
					first := g.awaitLeader()
					other := map[string]string{"a": "b", "b": "a"}[first.name]
					n := 0
					var mu sync.Mutex
					g.setFaults(func(from, to string, r *http.Request, body []byte) fake.Outcome {
						mu.Lock()
						defer mu.Unlock()
						switch {
						case r.URL.Path == "/commands" && strings.Contains(string(body), `"verb":"start"`):
							return starts
						case from == first.name && r.URL.Path == "/commit" && strings.Contains(string(body), `"places"`):
							if n++; n > 2 { // the first claims get through
								return fate
							}
						}
						return fake.Deliver
					})
					for i := range 4 {
						g.startWorker(fmt.Sprintf("m%d", i+1), []string{"north", "south"}[i%2])
					}
					for i := range 6 {
						g.submitJob(other, sized(fmt.Sprintf("job-%d", i+1), "array", 1, 2))
					}
					g.passTime(1500 * time.Millisecond)
					first.kill()
					g.passTime(time.Second)
					g.startNode(first.name)
					g.passTime(5 * time.Second)
					g.heal()
					g.passTime(30 * time.Second)
					g.completeJobs("job-1", "job-2", "job-3", "job-4", "job-5", "job-6")
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
	for _, shape := range []int{2, 3} {
		for _, lag := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 6 * time.Second} {
			t.Run(fmt.Sprint(shape, lag), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, g *faultCluster) {
					g.startWorker("m1", "north")
					g.startWorker("m2", "south")
					time.Sleep(10 * time.Second)
					g.submitJob("a", sized("job-1", "array", shape, 2))
					g.eventually(5*time.Second, "it runs", g.runs("job-1", shape))
					g.passTime(5 * time.Second)
					var tasks []string
					for i := range shape {
						tasks = append(tasks, fmt.Sprintf("job-1/%d", i))
					}
					for _, task := range tasks {
						old := g.lastHeartbeat(g.machinesRunning(task)[0])
						g.completeTask(task)
						g.passTime(lag)
						first := g.awaitLeader()
						first.kill()
						g.passTime(400 * time.Millisecond)
						g.startNode(first.name)
						g.awaitLeader()
						g.deliverToControllers(old)
						g.passTime(25 * time.Second)
					}
					g.eventually(5*time.Second, "done", func() bool { return g.status("a", "job-1") == "done" && g.status("b", "job-1") == "done" })
					g.requireStartedOnce(tasks...)
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
	for _, fate := range []fake.Outcome{fake.HoldBack, fake.DropResponse} {
		for _, verb := range []string{"start", "stop"} {
			for _, what := range []string{"called off", "leader ends", "both"} {
				for _, late := range []struct {
					by   time.Duration
					mute bool
				}{{5 * time.Second, false}, {5 * time.Second, true}, {45 * time.Second, false}} {
					t.Run(fmt.Sprint(fate, verb, what, late.by, late.mute), func(t *testing.T) {
						t.Parallel()
						faultScenario(t, func(t *testing.T, g *faultCluster) {
							g.startWorker("m1", "north")
							g.startWorker("m2", "south")
							time.Sleep(10300 * time.Millisecond) // between reports
							g.setFaults(func(from, to string, r *http.Request, body []byte) fake.Outcome {
								if r.URL.Path == "/commands" && strings.Contains(string(body), `"verb":"`+verb+`"`) {
									return fate
								}
								if late.mute && r.URL.Path == "/agent/beat" {
									return fake.Refuse
								}
								return fake.Deliver
							})
							g.submitJob("a", sized("job-1", "array", 4, 2))
							g.submitJob("b", sized("job-2", "array", 4, 2))
							g.passTime(400 * time.Millisecond)
							if what != "leader ends" {
								g.cancelJob("b", "job-1")
							}
							if what != "called off" {
								first := g.awaitLeader()
								first.kill()
								g.passTime(200 * time.Millisecond)
								g.startNode(first.name)
							}
							g.passTime(late.by)
							g.network.ReleaseHeld()
							g.passTime(3 * time.Second)
							g.heal()
							g.passTime(40 * time.Second)
							if what == "leader ends" {
								g.completeJobs("job-1")
							}
							g.completeJobs("job-2")
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
	for _, how := range []string{"refused", "held", "deaf"} {
		for _, shape := range []string{"array", "standing", "gang"} {
			t.Run(how+shape, func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, g *faultCluster) {
					for i, zone := range []string{"north", "north", "south", "south"} {
						g.startWorker(fmt.Sprintf("m%d", i+1), zone)
					}
					time.Sleep(10 * time.Second)
					s := sized("job-1", shape, 4, 2)
					s["yard"] = "north"
					g.submitJob("a", s)
					g.eventually(6*time.Second, "it runs", g.runs("job-1", 4))
					g.passTime(4 * time.Second)
					g.partition(how, "m1")
					g.passTime(2 * time.Second)
					first := g.awaitLeader()
					first.kill()
					g.passTime(time.Second)
					g.startNode(first.name)
					g.passTime(20 * time.Second)
					g.partition(how, "m1", "m2")
					g.passTime(40 * time.Second)
					g.startWorker("m5", "north")
					g.passTime(20 * time.Second)
					g.heal()
					if shape == "gang" {
						// One that lost a task ends as a whole.
						for _, k := range g.workers {
							for _, task := range k.ActiveTasks() {
								if len(k.ActiveTasks()) < 4 {
									k.EndTask(task, "peers")
								}
							}
						}
					}
					g.eventually(90*time.Second, "it runs in its zone", g.runs("job-1", 4))
				})
			})
		}
	}
}

func TestRepeatedFailoversLoseNoWork(t *testing.T) {
	t.Parallel()
	// Guards against what is lost or begun anew while leaders change ten times in
	// two minutes, also inside an outage of the store, and while all are away.
	for _, gap := range []time.Duration{50 * time.Millisecond, 900 * time.Millisecond, 5 * time.Second} {
		for _, how := range []string{"one", "outage", "all", "away"} {
			t.Run(fmt.Sprint(gap, how), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, g *faultCluster) {
					g.startWorker("m1", "north")
					g.startWorker("m2", "south")
					time.Sleep(10 * time.Second)
					g.submitJob("a", newJob("job-1", "standing", 4))
					g.submitJob("b", newJob("job-2", "array", 2))
					g.eventually(6*time.Second, "they run", func() bool { return g.allRunning("job-1", 4) && g.allRunning("job-2", 2) })
					g.submitJob("a", newJob("job-3", "array", 6)) // four wait
					for i := range 10 {
						if how == "outage" {
							g.store.SetDown(i%5 >= 3)
						}
						var down []string
						if n := g.leader(); n != nil && how != "all" {
							n.kill()
							down = append(down, n.name)
						} else if how != "outage" {
							for _, name := range []string{"a", "b"} {
								if n := g.nodes[name]; n != nil {
									n.kill()
									down = append(down, name)
								}
							}
						}
						g.passTime(gap)
						if how == "away" && i == 5 {
							for _, name := range []string{"a", "b"} {
								if n := g.nodes[name]; n != nil {
									n.kill()
									down = append(down, name)
								}
							}
							g.passTime(25 * time.Second) // longer than the lease
						}
						for _, name := range down {
							g.startNode(name)
						}
						g.passTime(11 * time.Second)
					}
					g.store.SetDown(false)
					g.eventually(60*time.Second, "replicas run", g.runs("job-1", 4))
					if how == "one" && gap < time.Second {
						g.requireStartedOnce("job-1/0", "job-1/1", "job-1/2", "job-1/3", "job-2/0", "job-2/1")
					}
					g.cancelJob("a", "job-1")
					g.completeJobs("job-2", "job-3")
				})
			})
		}
	}
}

func TestUrgentJobsStartFirstOverSlowNetwork(t *testing.T) {
	t.Parallel()
	// Guards against work started twice, beyond the limit, or before urgent work
	// that came later, while every call takes long; also if the leader ends.
	for _, slow := range []time.Duration{100 * time.Millisecond, 350 * time.Millisecond} {
		for _, ends := range []bool{false, true} {
			t.Run(fmt.Sprint(slow, ends), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, g *faultCluster) {
					g.startWorker("m1", "north")
					g.startWorker("m2", "south")
					time.Sleep(10 * time.Second)
					g.submitJob("a", sized("job-1", "array", 4, 2))
					g.eventually(6*time.Second, "it runs", g.runs("job-1", 4))
					g.setFaults(func(_, to string, r *http.Request, _ []byte) fake.Outcome {
						if to == "state:1" && r.URL.Path == "/commit" || strings.HasSuffix(to, ":9000") {
							g.rest(slow)
						}
						return fake.Deliver
					})
					var late, urgent []string
					for i := range 8 {
						s := sized(fmt.Sprintf("job-%d", i+2), "array", 2, 2)
						if i >= 6 {
							s["urgency"] = "critical"
							urgent = append(urgent, s["uid"].(string))
						} else {
							late = append(late, s["uid"].(string))
						}
						g.submitJob([]string{"a", "b"}[i%2], s)
					}
					if ends {
						first := g.awaitLeader()
						first.kill()
						g.passTime(500 * time.Millisecond)
						g.startNode(first.name)
						g.awaitLeader()
					}
					g.passTime(5 * time.Second)
					g.completeJobs(append(append([]string{"job-1"}, urgent...), late...)...)
					last := time.Time{}
					for _, id := range urgent {
						for i := range 2 {
							if at := g.rules.FirstStart(fmt.Sprintf("%s/%d", id, i)); at.After(last) {
								last = at
							}
						}
					}
					for _, id := range late {
						for i := range 2 {
							if at := g.rules.FirstStart(fmt.Sprintf("%s/%d", id, i)); at.Before(last) {
								t.Errorf("%s/%d began %v before the last urgent task", id, i, last.Sub(at))
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
	for _, session := range []bool{false, true} {
		for _, how := range []string{"", "refused", "held", "deaf"} {
			t.Run(fmt.Sprint(session, how), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, g *faultCluster) {
					g.startWorker("m1", "north")
					g.startWorker("m2", "south")
					time.Sleep(10 * time.Second)
					g.submitJob("a", sized("job-1", "gang", 2, 3))
					waits := func() bool {
						for _, k := range g.workers {
							k.SetTaskStatus("job-1/0", "waiting")
							k.SetTaskStatus("job-1/1", "waiting")
						}
						return g.allRunning("job-1", 2)
					}
					g.eventually(5*time.Second, "both tasks are there", waits)
					g.passTime(5 * time.Second)
					at := g.workerNamed(g.machinesRunning("job-1/0")[0])
					at.EndTask("job-1/0", "no_room")
					g.passTime(100 * time.Millisecond)
					time.Sleep(2 * time.Second)
					var old []byte
					g.mu.Lock()
					for _, beat := range g.heartbeats[at.Name] {
						if strings.Contains(string(beat), `"no_room"`) {
							old = beat
						}
					}
					g.mu.Unlock()
					if old == nil {
						t.Fatal("no report shows the end")
					}
					g.eventually(10*time.Second, "it is replaced", waits)
					if session {
						at.SetSilent(true)
						g.eventually(25*time.Second, "its lease lapsed", func() bool { return len(g.machinesRunning("job-1/0")) == 0 })
						at.SetSilent(false)
						g.eventually(15*time.Second, "it is replaced again", waits)
					}
					if g.machinesRunning("job-1/0")[0] != at.Name || strings.TrimSuffix(at.Starts[len(at.Starts)-1], "#1") == at.Starts[len(at.Starts)-1] {
						t.Fatalf("not replaced there under the same attempt: %v on %v", at.Starts, g.machinesRunning("job-1/0"))
					}
					g.passTime(3 * time.Second)
					first := g.awaitLeader()
					first.kill()
					g.startWorker("m3", "south")
					if how != "" {
						g.partition(how, at.Name)
					}
					g.awaitLeader()
					g.deliverToControllers(old)
					g.startNode(first.name)
					g.passTime(8 * time.Second)
					g.heal()
					g.passTime(25 * time.Second)
					if !g.allRunning("job-1", 2) {
						t.Errorf("its tasks are on %v and %v", g.machinesRunning("job-1/0"), g.machinesRunning("job-1/1"))
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
			for _, slow := range []time.Duration{0, 60 * time.Millisecond, 200 * time.Millisecond} {
				for _, after := range []time.Duration{0, 5 * time.Second} {
					t.Run(fmt.Sprint(shape, urgency, slow, after), func(t *testing.T) {
						t.Parallel()
						faultScenario(t, func(t *testing.T, g *faultCluster) {
							for i, zone := range []string{"north", "south", "south"} {
								g.startWorker(fmt.Sprintf("m%d", i+1), zone)
							}
							time.Sleep(10 * time.Second)
							g.setFaults(func(_, to string, r *http.Request, body []byte) fake.Outcome {
								if r.URL.Path == "/commit" && strings.Contains(string(body), `"places"`) || to == "m2:9000" {
									g.rest(slow)
								}
								return fake.Deliver
							})
							for i, u := range []string{"low", "normal"} {
								s := newJob(fmt.Sprintf("job-%d", i+1), "array", 12)
								s["urgency"] = u
								g.submitJob("a", s)
							}
							g.passTime(after)
							s := sized("job-3", shape, 4, 2)
							s["urgency"] = urgency
							g.submitJob("b", s)
							g.eventually(60*time.Second, "the urgent job runs", g.runs("job-3", 4))
							for i := range 4 {
								g.completeTask(fmt.Sprintf("job-3/%d", i))
							}
							g.completeJobs("job-3", "job-2", "job-1")
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
	for _, slow := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond} {
		for _, refuses := range []bool{false, true} {
			t.Run(fmt.Sprint(slow, refuses), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, g *faultCluster) {
					g.startWorker("m1", "north")
					g.startWorker("m2", "south")
					time.Sleep(10 * time.Second)
					for i := range 4 {
						g.submitJob(nodeNames[i%2], newJob(fmt.Sprintf("job-%d", i+1), []string{"standing", "array"}[i/2], 2))
					}
					g.eventually(6*time.Second, "they run", func() bool { return g.allRunning("job-1", 2) && g.allRunning("job-4", 2) })
					g.store.SetLatency(slow)
					g.passTime(3 * time.Second)
					g.completeTask("job-4/0")
					g.cancelJob("a", "job-1")
					if refuses {
						first := g.awaitLeader()
						g.setFaults(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
							if isBetween(from, to, "a", "b") {
								return fake.Refuse // so that it isn't told either
							}
							return fake.Deliver
						})
						g.store.RefuseCaller(first.name, true)
						g.cancelJob(map[string]string{"a": "b", "b": "a"}[first.name], "job-2")
						g.passTime(time.Second)
						g.store.SetDown(true)
						g.passTime(50 * time.Second)
						g.store.SetDown(false)
						g.store.RefuseCaller(first.name, false)
						g.heal()
						g.passTime(5 * time.Second)
					} else {
						g.cancelJob("b", "job-2")
					}
					g.cancelJob("b", "job-3")
					g.passTime(20 * time.Second)
					g.store.SetLatency(0)
					g.passTime(25 * time.Second)
					g.completeJobs("job-4")
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
	for _, how := range []string{"cut off", "ends", "ends and returns"} {
		for _, after := range []time.Duration{0, 800 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprint(how, after), func(t *testing.T) {
				t.Parallel()
				faultScenario(t, func(t *testing.T, g *faultCluster) {
					g.startWorker("m1", "north")
					g.startWorker("m2", "south")
					time.Sleep(10 * time.Second)
					for i := range 4 {
						g.submitJob(nodeNames[i%2], newJob(fmt.Sprintf("job-%d", i+1), []string{"standing", "array"}[i%2], 2))
					}
					g.eventually(6*time.Second, "they run", func() bool { return g.allRunning("job-1", 2) && g.allRunning("job-4", 2) })
					g.passTime(3 * time.Second)
					first := g.awaitLeader()
					other := map[string]string{"a": "b", "b": "a"}[first.name]
					g.submitJob(other, newJob("job-5", "array", 2)) // waits for room, or its starts are on their way
					if how == "cut off" {
						g.setFaults(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
							if isBetween(from, to, first.name, "state") || isBetween(from, to, first.name, other) {
								return fake.Drop
							}
							return fake.Deliver
						})
					} else {
						first.kill()
					}
					g.passTime(after)
					g.cancelJob(other, "job-1")
					if how == "ends and returns" {
						g.startNode(first.name)
					}
					g.cancelJob(other, "job-2")
					g.passTime(time.Second)
					g.cancelJob(other, "job-5")
					g.passTime(45 * time.Second)
					if n := g.nodes[other]; n.elector.Cluster() == nil && how != "ends and returns" {
						t.Error("the other does not lead")
					}
					g.heal()
					if how == "ends" {
						g.startNode(first.name)
					}
					g.passTime(5 * time.Second)
					g.cancelJob(first.name, "job-3")
					g.passTime(5 * time.Second)
					g.completeJobs("job-4")
				})
			})
		}
	}
}
