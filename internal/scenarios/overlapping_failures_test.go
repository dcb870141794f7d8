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

// meet is a test cluster with what brings troubles about, and with users that ask.
type meet struct {
	*testCluster
	mu    sync.Mutex
	jobs  []string            // accepted
	beats map[string][][]byte // every report of a worker, by its name
}

// meeting is a scenario in which users ask about all jobs at all nodes all along.
func meeting(t *testing.T, f func(t *testing.T, g *meet)) {
	scenario(t, func(t *testing.T, w *testCluster) {
		g := &meet{testCluster: w, beats: map[string][][]byte{}}
		w.listed = true
		g.trouble(nil)
		w.start("a")
		w.start("b")
		for _, node := range []string{"a", "b"} {
			go func() {
				for w.ctx.Err() == nil {
					g.poll(node)
					g.rest(500 * time.Millisecond)
				}
			}()
		}
		f(t, g)
	})
}

// rest sleeps, at most until the scenario ends.
func (g *meet) rest(d time.Duration) {
	select {
	case <-g.ctx.Done():
	case <-time.After(d):
	}
}

// trouble sets the network's rule, and records the workers' reports beside it.
func (g *meet) trouble(rule func(from, to string, r *http.Request, body []byte) fake.Outcome) {
	g.net.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
		if name, _, ok := strings.Cut(from, ":"); ok && r.URL.Path == "/agent/beat" && name != "late" {
			g.mu.Lock()
			g.beats[name] = append(g.beats[name], bytes.Clone(body))
			g.mu.Unlock()
		}
		if rule == nil {
			return fake.Deliver
		}
		return rule(from, to, r, body)
	})
}

// apart cuts machines off: how is unreachable by refusal, silence or holding back,
// deaf (only their reports arrive) or mute (only direct commands do).
func (g *meet) apart(how string, machines ...string) {
	g.trouble(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
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

// mended ends all troubles of the network; what was held back arrives.
func (g *meet) mended() {
	g.trouble(nil)
	g.net.ReleaseHeld()
}

// replay delivers a copy of a report to every controller.
func (g *meet) replay(report []byte) {
	for _, node := range []string{"a", "b"} {
		req, _ := http.NewRequestWithContext(g.ctx, "POST", "http://"+node+":8080/agent/beat", bytes.NewReader(report))
		if res, err := g.net.Client("late:1").Do(req); err == nil {
			res.Body.Close()
		}
	}
}

func (g *meet) lastBeat(worker string) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.beats[worker][len(g.beats[worker])-1]
}

func (g *meet) order(node string, s map[string]any) {
	g.t.Helper()
	g.until(20*time.Second, "accepted", func() bool {
		code, _ := g.call(node, "POST", "/v2/runs", s)
		return code == 200 || code == 201
	})
	g.mu.Lock()
	g.jobs = append(g.jobs, s["uid"].(string))
	g.mu.Unlock()
}

func (g *meet) callOff(node, id string) {
	g.t.Helper()
	g.until(20*time.Second, "called off", func() bool {
		code, out := g.call(node, "POST", "/v2/runs/"+id+"/cancel", nil)
		return code == 200 && out["status"] == "cancelled"
	})
}

// poll is users asking one node for all jobs.
func (g *meet) poll(node string) {
	g.mu.Lock()
	jobs := slices.Clone(g.jobs)
	g.mu.Unlock()
	for _, id := range jobs {
		g.call(node, "GET", "/v2/runs/"+id, nil)
	}
}

// pass lets time go by.
func (g *meet) pass(d time.Duration) {
	g.t.Helper()
	g.hold(d, "", func() bool { return true })
}

// finish completes a task where it is.
func (g *meet) finish(task string) bool {
	for _, k := range g.workers {
		if k.EndTask(task, "done") {
			return true
		}
	}
	return false
}

// toTheEnd completes all that runs until the jobs are done.
func (g *meet) toTheEnd(jobs ...string) {
	g.t.Helper()
	for _, id := range jobs {
		g.until(120*time.Second, id+" is done", func() bool {
			for _, k := range g.workers {
				for _, task := range k.ActiveTasks() {
					g.finish(task)
				}
			}
			return g.status("a", id) == "done" && g.status("b", id) == "done"
		})
	}
}

// lead waits until a node leads, and names it.
func (g *meet) lead() *testNode {
	g.t.Helper()
	g.until(20*time.Second, "a leader", func() bool { return g.leader() != nil })
	return g.leader()
}

// runs tells whether the first n tasks of a job are on machines.
func (g *meet) runs(id string, n int) func() bool {
	return func() bool { return g.everywhere(id, n) }
}

// sized is a spec with tasks of so many cores.
func sized(id, shape string, tasks int, cores float64) map[string]any {
	s := spec(id, shape, tasks)
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
				meeting(t, func(t *testing.T, g *meet) {
					for i, zone := range []string{"north", "south", "south"} {
						g.worker(fmt.Sprintf("m%d", i+1), zone)
					}
					time.Sleep(10 * time.Second)
					g.order("a", spec("job-1", "array", 4))
					g.order("b", spec("job-2", "standing", 4))
					g.until(6*time.Second, "they run", func() bool { return g.everywhere("job-1", 4) && g.everywhere("job-2", 4) })
					g.pass(5 * time.Second)
					old := g.lead()
					other := map[string]string{"a": "b", "b": "a"}[old.name]
					g.apart(how, cut...)
					g.pass(time.Second)
					old.kill()
					g.pass(2 * time.Second)
					g.start(old.name)
					g.order(other, spec("job-3", "array", 4))
					g.pass(2 * time.Second)
					g.callOff(other, "job-2")
					g.pass(45 * time.Second)
					g.mended()
					g.pass(5 * time.Second)
					g.toTheEnd("job-1", "job-3")
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
				meeting(t, func(t *testing.T, g *meet) {
					m1 := g.worker("m1", "north")
					time.Sleep(10 * time.Second)
					empty := g.lastBeat("m1")
					g.order("a", spec("job-1", "array", 3))
					g.until(5*time.Second, "it runs", g.runs("job-1", 3))
					g.pass(5 * time.Second)
					old := g.lastBeat("m1")
					switch what {
					case "shows nothing":
						old = empty
					case "shows what runs elsewhere":
						g.worker("m2", "south")
						g.pass(5 * time.Second)
						m1.EndTask("job-1/0", "error")
						g.until(20*time.Second, "it runs elsewhere", func() bool { return g.worn("m2").StartCount("job-1/0") == 1 })
					case "of an earlier session":
						m1.SetSilent(true)
						g.pass(25 * time.Second)
						m1.SetSilent(false)
						g.until(20*time.Second, "it runs again", g.runs("job-1", 3))
					case "shows what is done":
						g.finish("job-1/0")
					}
					g.pass(8 * time.Second)
					first := g.lead()
					first.kill()
					if how != "" {
						g.apart(how, "m1")
					}
					if g.worn("m2") == nil {
						g.worker("m2", "south")
					}
					g.lead()
					g.replay(old)
					g.start(first.name)
					g.pass(3 * time.Second)
					g.replay(old)
					g.order("a", spec("job-2", "array", 5))
					g.pass(6 * time.Second)
					g.mended()
					g.pass(3 * time.Second)
					g.replay(old)
					g.pass(25 * time.Second)
					g.toTheEnd("job-1", "job-2")
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
				meeting(t, func(t *testing.T, g *meet) {
					for i, zone := range []string{"north", "south", "north", "south"} {
						g.worker(fmt.Sprintf("m%d", i+1), zone)
					}
					time.Sleep(10 * time.Second)
					for i := range 4 {
						g.order("a", sized(fmt.Sprintf("job-%d", i+1), "standing", 1, 2))
						g.until(5*time.Second, "it runs", g.runs(fmt.Sprintf("job-%d", i+1), 1))
					}
					var cut []string
					for _, id := range []string{"job-1/0", "job-3/0", "job-4/0"} {
						cut = append(cut, g.on(id)...)
					}
					g.order("b", sized("job-5", "array", 6, 2))
					g.pass(4 * time.Second)
					g.apart(how, cut...)
					if how == "hung" {
						for _, name := range cut {
							g.worn(name).SetHung(true)
						}
					}
					g.pass(500 * time.Millisecond)
					first := g.lead()
					change := func() {
						first.kill()
						g.pass(time.Second)
						g.start(first.name)
					}
					if !after {
						change()
					}
					for i, id := range []string{"job-1", "job-3", "job-4"} {
						g.callOff([]string{"a", "b"}[i%2], id)
					}
					if after {
						change()
					}
					if how == "hung" { // some go on within their leases, some beyond
						g.pass(12 * time.Second)
						g.worn(cut[0]).SetHung(false)
						g.pass(33 * time.Second)
						for _, name := range cut {
							g.worn(name).SetHung(false)
						}
					} else {
						g.pass(45 * time.Second)
					}
					g.mended()
					g.pass(3 * time.Second)
					if len(g.on("job-2/0")) != 1 {
						t.Error("job-2, which nobody called off, is gone")
					}
					g.callOff("a", "job-2")
					g.toTheEnd("job-5")
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
				meeting(t, func(t *testing.T, g *meet) {
					g.testCluster.mu.Lock()
					g.listed = false
					g.testCluster.mu.Unlock()
					time.Sleep(10 * time.Second)
					first := g.lead()
					other := map[string]string{"a": "b", "b": "a"}[first.name]
					n := 0
					var mu sync.Mutex
					g.trouble(func(from, to string, r *http.Request, body []byte) fake.Outcome {
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
						g.worker(fmt.Sprintf("m%d", i+1), []string{"north", "south"}[i%2])
					}
					for i := range 6 {
						g.order(other, sized(fmt.Sprintf("job-%d", i+1), "array", 1, 2))
					}
					g.pass(1500 * time.Millisecond)
					first.kill()
					g.pass(time.Second)
					g.start(first.name)
					g.pass(5 * time.Second)
					g.mended()
					g.pass(30 * time.Second)
					g.toTheEnd("job-1", "job-2", "job-3", "job-4", "job-5", "job-6")
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
				meeting(t, func(t *testing.T, g *meet) {
					g.worker("m1", "north")
					g.worker("m2", "south")
					time.Sleep(10 * time.Second)
					g.order("a", sized("job-1", "array", shape, 2))
					g.until(5*time.Second, "it runs", g.runs("job-1", shape))
					g.pass(5 * time.Second)
					var tasks []string
					for i := range shape {
						tasks = append(tasks, fmt.Sprintf("job-1/%d", i))
					}
					for _, task := range tasks {
						old := g.lastBeat(g.on(task)[0])
						g.finish(task)
						g.pass(lag)
						first := g.lead()
						first.kill()
						g.pass(400 * time.Millisecond)
						g.start(first.name)
						g.lead()
						g.replay(old)
						g.pass(25 * time.Second)
					}
					g.until(5*time.Second, "done", func() bool { return g.status("a", "job-1") == "done" && g.status("b", "job-1") == "done" })
					g.once(tasks...)
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
						meeting(t, func(t *testing.T, g *meet) {
							g.worker("m1", "north")
							g.worker("m2", "south")
							time.Sleep(10300 * time.Millisecond) // between reports
							g.trouble(func(from, to string, r *http.Request, body []byte) fake.Outcome {
								if r.URL.Path == "/commands" && strings.Contains(string(body), `"verb":"`+verb+`"`) {
									return fate
								}
								if late.mute && r.URL.Path == "/agent/beat" {
									return fake.Refuse
								}
								return fake.Deliver
							})
							g.order("a", sized("job-1", "array", 4, 2))
							g.order("b", sized("job-2", "array", 4, 2))
							g.pass(400 * time.Millisecond)
							if what != "leader ends" {
								g.callOff("b", "job-1")
							}
							if what != "called off" {
								first := g.lead()
								first.kill()
								g.pass(200 * time.Millisecond)
								g.start(first.name)
							}
							g.pass(late.by)
							g.net.ReleaseHeld()
							g.pass(3 * time.Second)
							g.mended()
							g.pass(40 * time.Second)
							if what == "leader ends" {
								g.toTheEnd("job-1")
							}
							g.toTheEnd("job-2")
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
				meeting(t, func(t *testing.T, g *meet) {
					for i, zone := range []string{"north", "north", "south", "south"} {
						g.worker(fmt.Sprintf("m%d", i+1), zone)
					}
					time.Sleep(10 * time.Second)
					s := sized("job-1", shape, 4, 2)
					s["yard"] = "north"
					g.order("a", s)
					g.until(6*time.Second, "it runs", g.runs("job-1", 4))
					g.pass(4 * time.Second)
					g.apart(how, "m1")
					g.pass(2 * time.Second)
					first := g.lead()
					first.kill()
					g.pass(time.Second)
					g.start(first.name)
					g.pass(20 * time.Second)
					g.apart(how, "m1", "m2")
					g.pass(40 * time.Second)
					g.worker("m5", "north")
					g.pass(20 * time.Second)
					g.mended()
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
					g.until(90*time.Second, "it runs in its zone", g.runs("job-1", 4))
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
				meeting(t, func(t *testing.T, g *meet) {
					g.worker("m1", "north")
					g.worker("m2", "south")
					time.Sleep(10 * time.Second)
					g.order("a", spec("job-1", "standing", 4))
					g.order("b", spec("job-2", "array", 2))
					g.until(6*time.Second, "they run", func() bool { return g.everywhere("job-1", 4) && g.everywhere("job-2", 2) })
					g.order("a", spec("job-3", "array", 6)) // four wait
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
						g.pass(gap)
						if how == "away" && i == 5 {
							for _, name := range []string{"a", "b"} {
								if n := g.nodes[name]; n != nil {
									n.kill()
									down = append(down, name)
								}
							}
							g.pass(25 * time.Second) // longer than the lease
						}
						for _, name := range down {
							g.start(name)
						}
						g.pass(11 * time.Second)
					}
					g.store.SetDown(false)
					g.until(60*time.Second, "replicas run", g.runs("job-1", 4))
					if how == "one" && gap < time.Second {
						g.once("job-1/0", "job-1/1", "job-1/2", "job-1/3", "job-2/0", "job-2/1")
					}
					g.callOff("a", "job-1")
					g.toTheEnd("job-2", "job-3")
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
				meeting(t, func(t *testing.T, g *meet) {
					g.worker("m1", "north")
					g.worker("m2", "south")
					time.Sleep(10 * time.Second)
					g.order("a", sized("job-1", "array", 4, 2))
					g.until(6*time.Second, "it runs", g.runs("job-1", 4))
					g.trouble(func(_, to string, r *http.Request, _ []byte) fake.Outcome {
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
						g.order([]string{"a", "b"}[i%2], s)
					}
					if ends {
						first := g.lead()
						first.kill()
						g.pass(500 * time.Millisecond)
						g.start(first.name)
						g.lead()
					}
					g.pass(5 * time.Second)
					g.toTheEnd(append(append([]string{"job-1"}, urgent...), late...)...)
					last := time.Time{}
					for _, id := range urgent {
						for i := range 2 {
							if at := g.rules.Began(fmt.Sprintf("%s/%d", id, i)); at.After(last) {
								last = at
							}
						}
					}
					for _, id := range late {
						for i := range 2 {
							if at := g.rules.Began(fmt.Sprintf("%s/%d", id, i)); at.Before(last) {
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
				meeting(t, func(t *testing.T, g *meet) {
					g.worker("m1", "north")
					g.worker("m2", "south")
					time.Sleep(10 * time.Second)
					g.order("a", sized("job-1", "gang", 2, 3))
					waits := func() bool {
						for _, k := range g.workers {
							k.SetTaskStatus("job-1/0", "waiting")
							k.SetTaskStatus("job-1/1", "waiting")
						}
						return g.everywhere("job-1", 2)
					}
					g.until(5*time.Second, "both tasks are there", waits)
					g.pass(5 * time.Second)
					at := g.worn(g.on("job-1/0")[0])
					at.EndTask("job-1/0", "no_room")
					g.pass(100 * time.Millisecond)
					time.Sleep(2 * time.Second)
					var old []byte
					g.mu.Lock()
					for _, beat := range g.beats[at.Name] {
						if strings.Contains(string(beat), `"no_room"`) {
							old = beat
						}
					}
					g.mu.Unlock()
					if old == nil {
						t.Fatal("no report shows the end")
					}
					g.until(10*time.Second, "it is replaced", waits)
					if session {
						at.SetSilent(true)
						g.until(25*time.Second, "its lease lapsed", func() bool { return len(g.on("job-1/0")) == 0 })
						at.SetSilent(false)
						g.until(15*time.Second, "it is replaced again", waits)
					}
					if g.on("job-1/0")[0] != at.Name || strings.TrimSuffix(at.Starts[len(at.Starts)-1], "#1") == at.Starts[len(at.Starts)-1] {
						t.Fatalf("not replaced there under the same attempt: %v on %v", at.Starts, g.on("job-1/0"))
					}
					g.pass(3 * time.Second)
					first := g.lead()
					first.kill()
					g.worker("m3", "south")
					if how != "" {
						g.apart(how, at.Name)
					}
					g.lead()
					g.replay(old)
					g.start(first.name)
					g.pass(8 * time.Second)
					g.mended()
					g.pass(25 * time.Second)
					if !g.everywhere("job-1", 2) {
						t.Errorf("its tasks are on %v and %v", g.on("job-1/0"), g.on("job-1/1"))
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
						meeting(t, func(t *testing.T, g *meet) {
							for i, zone := range []string{"north", "south", "south"} {
								g.worker(fmt.Sprintf("m%d", i+1), zone)
							}
							time.Sleep(10 * time.Second)
							g.trouble(func(_, to string, r *http.Request, body []byte) fake.Outcome {
								if r.URL.Path == "/commit" && strings.Contains(string(body), `"places"`) || to == "m2:9000" {
									g.rest(slow)
								}
								return fake.Deliver
							})
							for i, u := range []string{"low", "normal"} {
								s := spec(fmt.Sprintf("job-%d", i+1), "array", 12)
								s["urgency"] = u
								g.order("a", s)
							}
							g.pass(after)
							s := sized("job-3", shape, 4, 2)
							s["urgency"] = urgency
							g.order("b", s)
							g.until(60*time.Second, "the urgent job runs", g.runs("job-3", 4))
							for i := range 4 {
								g.finish(fmt.Sprintf("job-3/%d", i))
							}
							g.toTheEnd("job-3", "job-2", "job-1")
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
				meeting(t, func(t *testing.T, g *meet) {
					g.worker("m1", "north")
					g.worker("m2", "south")
					time.Sleep(10 * time.Second)
					for i := range 4 {
						g.order(nodes[i%2], spec(fmt.Sprintf("job-%d", i+1), []string{"standing", "array"}[i/2], 2))
					}
					g.until(6*time.Second, "they run", func() bool { return g.everywhere("job-1", 2) && g.everywhere("job-4", 2) })
					g.store.SetLatency(slow)
					g.pass(3 * time.Second)
					g.finish("job-4/0")
					g.callOff("a", "job-1")
					if refuses {
						first := g.lead()
						g.trouble(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
							if touches(from, to, "a", "b") {
								return fake.Refuse // so that it isn't told either
							}
							return fake.Deliver
						})
						g.store.RefuseCaller(first.name, true)
						g.callOff(map[string]string{"a": "b", "b": "a"}[first.name], "job-2")
						g.pass(time.Second)
						g.store.SetDown(true)
						g.pass(50 * time.Second)
						g.store.SetDown(false)
						g.store.RefuseCaller(first.name, false)
						g.mended()
						g.pass(5 * time.Second)
					} else {
						g.callOff("b", "job-2")
					}
					g.callOff("b", "job-3")
					g.pass(20 * time.Second)
					g.store.SetLatency(0)
					g.pass(25 * time.Second)
					g.toTheEnd("job-4")
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
				meeting(t, func(t *testing.T, g *meet) {
					g.worker("m1", "north")
					g.worker("m2", "south")
					time.Sleep(10 * time.Second)
					for i := range 4 {
						g.order(nodes[i%2], spec(fmt.Sprintf("job-%d", i+1), []string{"standing", "array"}[i%2], 2))
					}
					g.until(6*time.Second, "they run", func() bool { return g.everywhere("job-1", 2) && g.everywhere("job-4", 2) })
					g.pass(3 * time.Second)
					first := g.lead()
					other := map[string]string{"a": "b", "b": "a"}[first.name]
					g.order(other, spec("job-5", "array", 2)) // waits for room, or its starts are on their way
					if how == "cut off" {
						g.trouble(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
							if touches(from, to, first.name, "state") || touches(from, to, first.name, other) {
								return fake.Drop
							}
							return fake.Deliver
						})
					} else {
						first.kill()
					}
					g.pass(after)
					g.callOff(other, "job-1")
					if how == "ends and returns" {
						g.start(first.name)
					}
					g.callOff(other, "job-2")
					g.pass(time.Second)
					g.callOff(other, "job-5")
					g.pass(45 * time.Second)
					if n := g.nodes[other]; n.pool.Cluster() == nil && how != "ends and returns" {
						t.Error("the other does not lead")
					}
					g.mended()
					if how == "ends" {
						g.start(first.name)
					}
					g.pass(5 * time.Second)
					g.callOff(first.name, "job-3")
					g.pass(5 * time.Second)
					g.toTheEnd("job-4")
				})
			})
		}
	}
}
