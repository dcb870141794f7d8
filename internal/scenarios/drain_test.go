package scenarios

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

func TestZoneDrainStaysWithinDisruptionBudget(t *testing.T) {
	t.Parallel()
	drainScenario(t, 4, drainOptions{capacity: 40}, func(t *testing.T, c *drainCluster) {
		c.startService("job-1", 6)
		c.startRollout(newRollout("spring"))
		c.awaitState("spring", rollout.Ended, 6*time.Minute)
		c.eventually(30*time.Second, "all replicas are up", func() bool { return c.runningCount("job-1") == 6 })
		if left := c.machinesIn("north"); len(left) > 0 {
			t.Errorf("%v still run", left)
		}
		if n := c.disruption.evictionsOf("job-1"); n == 0 || n > 6 {
			t.Errorf("%d stops", n)
		}
		// The leader removes them at its next look after the end, which is a quarter of a second away.
		c.eventually(2*time.Second, "no part is left over", func() bool { return c.store.CountKeys("rollout/left/") == 0 })
	})
}

func TestDisruptionRuleDetectsEvictionsOverBudget(t *testing.T) {
	t.Parallel()
	// The planted fault: the controllers' budgets allow anything, the rule knows the true one.
	noticed := false
	drainScenario(t, 4, drainOptions{capacity: 40, features: `drains { teams { team: "red" budget { replicas_down: 99 tasks_interrupted: 99 } } }`},
		func(t *testing.T, c *drainCluster) {
			c.disruption.report = func(string, string) { noticed = true }
			c.startService("job-1", 8)
			c.startRollout(newRollout("spring"))
			c.awaitState("spring", rollout.Ended, 6*time.Minute)
		})
	if !noticed {
		t.Error("the rule does not notice several replicas stopped at a time")
	}
}

// leaderFailure is one way in which a leader fails.
type leaderFailure struct {
	name string
	fail func(c *drainCluster, leader string)
}

// leaderFailures end the leader, cut it off, or have it stand still for longer than its lease.
var leaderFailures = []leaderFailure{
	{"it ends", func(c *drainCluster, leader string) { c.stopNode(leader) }},
	{"it ends and comes back", func(c *drainCluster, leader string) {
		c.stopNode(leader)
		c.rest(300 * time.Millisecond)
		c.startNode(leader)
	}},
	{"it is cut off from the state service", func(c *drainCluster, leader string) {
		c.partitionFromStateService(leader)
		c.rest(20 * time.Second)
		c.network.SetRule(nil)
	}},
	{"it is refused by the state service", func(c *drainCluster, leader string) {
		c.store.RefuseCaller(leader, true)
		c.rest(15 * time.Second)
		c.store.RefuseCaller(leader, false)
	}},
	{"it stands still", func(c *drainCluster, leader string) {
		// What it sends waits, and is delivered after its successor has acted.
		c.network.SetRule(func(from, to string, r *http.Request, _ []byte) fake.Outcome {
			switch {
			case from == leader && r.URL.Path == "/follow":
				return fake.Drop // reads nothing late, and would take its time
			case from == leader:
				return fake.HoldBack
			case strings.HasPrefix(to, leader+":"):
				return fake.Refuse
			}
			return fake.Deliver
		})
		c.rest(10 * time.Second)
		c.network.SetRule(nil)
		c.network.ReleaseHeld()
	}},
}

// moment tells, from what the store carries out and the workers do, when a leader is to fail.
type leaderStep struct {
	name     string
	onChange func(key string, value json.RawMessage) bool
	onEvent  func(event fake.Event, drained bool) bool
}

// leaderSteps are those between permit and stop, stop and start, start and the permit's return.
var leaderSteps = []leaderStep{
	{name: "the permit is stored", onChange: func(key string, value json.RawMessage) bool {
		return strings.HasPrefix(key, "job/") && strings.Contains(string(value), `"evictions"`)
	}},
	{name: "the task is stopped", onEvent: func(event fake.Event, drained bool) bool { return !event.Start && event.Cause == "stopped" }},
	{name: "the task starts elsewhere", onEvent: func(event fake.Event, drained bool) bool { return event.Start && drained }},
	{name: "the wave is stored", onChange: func(key string, value json.RawMessage) bool {
		return strings.HasPrefix(key, "rollout/run/") && strings.Contains(string(value), `"draining"`)
	}},
	{name: "a machine is empty", onChange: func(key string, value json.RawMessage) bool {
		return strings.HasPrefix(key, "rollout/run/") && strings.Contains(string(value), `"empty"`)
	}},
}

// notify tells a listener, unless it has not looked since the last time.
func notify(listener chan struct{}) {
	select {
	case listener <- struct{}{}:
	default:
	}
}

// failLeaderAt has the leader fail at a moment, the first few times that it comes.
func (c *drainCluster) failLeaderAt(step leaderStep, times int, fail func(c *drainCluster, leader string)) {
	signal := make(chan struct{}, 1)
	drained := map[string]bool{}
	if step.onChange != nil {
		c.store.NotifyChanges(func(key string, value json.RawMessage) {
			if step.onChange(key, value) {
				notify(signal)
			}
		})
	}
	if step.onEvent != nil {
		c.listenerMu.Lock()
		defer c.listenerMu.Unlock()
		c.listener = func(event fake.Event) {
			if step.onEvent(event, drained[event.Task]) {
				notify(signal)
			}
			drained[event.Task] = !event.Start && event.Cause == "stopped"
		}
	}
	go func() {
		for range times {
			select {
			case <-signal:
			case <-c.ctx.Done():
				return
			}
			if leader := c.leader(); leader != nil {
				fail(c, leader.name)
			}
			for range 30 { // others come back before the next failure
				if c.ctx.Err() != nil || c.leader() != nil {
					break
				}
				c.rest(time.Second)
			}
			for _, name := range drainNodes {
				c.mu.Lock()
				missing := c.nodes[name] == nil
				c.mu.Unlock()
				if missing && c.ctx.Err() == nil {
					c.startNode(name)
				}
			}
			for len(signal) > 0 {
				<-signal
			}
		}
	}()
}

func TestLeaderFailureDuringDrainStepRepeatsNoEviction(t *testing.T) {
	t.Parallel()
	for _, step := range leaderSteps {
		for _, failure := range leaderFailures {
			t.Run(step.name+", "+failure.name, func(t *testing.T) {
				t.Parallel()
				drainScenario(t, 4, drainOptions{capacity: 40}, func(t *testing.T, c *drainCluster) {
					c.startService("job-1", 6)
					c.failLeaderAt(step, 3, failure.fail)
					c.startRollout(newRollout("spring"))
					c.awaitState("spring", rollout.Ended, 15*time.Minute)
					c.eventually(2*time.Minute, "all replicas are up", func() bool { return c.runningCount("job-1") == 6 })
					c.eventually(time.Minute, "no machine stays cordoned", func() bool { return c.cordonedCount() == 0 })
					if n := c.disruption.evictionsOf("job-1"); n > 6 {
						t.Errorf("%d stops of 6 replicas: a step was done twice", n)
					}
					c.eventually(time.Minute, "no eviction stays on the record", func() bool {
						return !strings.Contains(string(c.store.Value("job/job-1")), `"evictions"`)
					})
				})
			})
		}
	}
}

func TestEvictionPermitStoredAfterFailoverIsVoid(t *testing.T) {
	t.Parallel()
	// The transaction that stores a permit gets no answer and arrives after the successor's.
	drainScenario(t, 4, drainOptions{capacity: 40}, func(t *testing.T, c *drainCluster) {
		c.startService("job-1", 6)
		c.network.SetDelay(func() time.Duration { return 12 * time.Second })
		delayed, leader := 0, c.leader().name
		c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			if from == leader && r.URL.Path == "/commit" && strings.Contains(string(body), `"evictions"`) {
				delayed++
				return fake.Delay
			}
			return fake.Deliver
		})
		c.startRollout(newRollout("spring"))
		c.eventually(30*time.Second, "a permit is sent", func() bool { return delayed > 0 })
		c.stopNode(leader)
		c.awaitState("spring", rollout.Ended, 8*time.Minute)
		c.eventually(time.Minute, "all replicas are up", func() bool { return c.runningCount("job-1") == 6 })
		if n := c.disruption.evictionsOf("job-1"); n > 6 {
			t.Errorf("%d stops", n)
		}
	})
}

func TestDrainOfMachineSharedByTwoTeamsWaitsForBothBudgets(t *testing.T) {
	t.Parallel()
	// Neither team may lose anything more: nothing of either is stopped, and both are named.
	features := `drains { teams { team: "red" budget { replicas_down: 1 } } teams { team: "blue" budget { replicas_down: 0 } } }`
	options := drainOptions{capacity: 40, features: features, teams: []config.Team{{Name: "blue", CPUsMax: 8}},
		budget: map[string]teamBudget{"red": {1, 1}, "blue": {0, 1}}}
	drainScenario(t, 1, options, func(t *testing.T, c *drainCluster) {
		c.startService("job-1", 2, "spread", true)
		c.startService("job-2", 2, "owner", "blue", "spread", true)
		c.startRollout(newRollout("spring", c.machinesIn("north")...))
		c.awaitBlocker("team blue: 0 of its 2 replicas are down, of at most 0")
		c.consistently(time.Minute, "nothing is stopped", func() bool { return c.disruption.evictionsOf("job-1") == 0 && c.disruption.evictionsOf("job-2") == 0 })
		c.execute("spring", rollout.CommandAbort)
		c.awaitState("spring", rollout.Ended, time.Minute)
		c.eventually(time.Minute, "the machine is in service again", func() bool { return c.cordonedCount() == 0 })
	})
}

func TestConflictingRolloutsBothComplete(t *testing.T) {
	t.Parallel()
	// The cloud has no more machines: what one rollout has to move fits only where the other one
	// has cordoned. The younger makes way, and ends once the cloud has machines again.
	drainScenario(t, 2, drainOptions{capacity: 4}, func(t *testing.T, c *drainCluster) {
		c.startService("job-2", 2, "yard", "south", "cores", 0.1, "ramGb", 9) // one on each machine there
		park := newRollout("park", c.machinesIn("south")...)
		park.Surge = true
		c.startRollout(park)
		c.eventually(time.Minute, "the south is cordoned", func() bool { return c.cordonedCount() == 2 })
		c.startService("job-1", 4, "cores", 1.5, "ramGb", 3)
		c.execute("park", rollout.CommandAbort)
		c.awaitState("park", rollout.Ended, time.Minute)
		first, second := newRollout("first", c.machinesIn("north")...), newRollout("second", c.machinesIn("south")...)
		first.Surge, second.Surge = true, true
		c.startRollout(first)
		c.startRollout(second)
		c.awaitState("first", rollout.Ended, 10*time.Minute)
		c.cloud.SetCapacity(4)
		c.awaitState("second", rollout.Ended, 10*time.Minute)
	})
}

func TestOverlappingRolloutIsRejected(t *testing.T) {
	t.Parallel()
	drainScenario(t, 2, drainOptions{capacity: 10, features: `drains { default_budget { replicas_down: 0 } }`, budget: map[string]teamBudget{"red": {0, 1}}},
		func(t *testing.T, c *drainCluster) {
			c.startService("job-1", 4)
			c.startRollout(newRollout("spring", c.machinesIn("north")[0]))
			requireRejected := func(spec *rollout.Spec, want error) {
				t.Helper()
				if _, err := c.follower().rollouts.Start(c.ctx, spec); !errors.Is(err, want) {
					t.Errorf("%s: %v, not %v", spec.Name, err, want)
				}
			}
			requireRejected(newRollout("summer"), rollout.ErrOverlap)
			other := newRollout("spring", c.machinesIn("north")[1])
			requireRejected(other, rollout.ErrSpecConflict)
			requireRejected(newRollout("autumn", "host-999999"), rollout.ErrInvalidSpec)
			if _, err := c.follower().rollouts.Start(c.ctx, newRollout("spring", c.machinesIn("north")[0])); err != nil {
				t.Errorf("the same start again: %v", err)
			}
			// Of two starts over the same machine at the same moment one is taken.
			results := make(chan error, 2)
			for i, n := range []*drainNode{c.follower(), c.leader()} {
				go func() {
					_, err := n.rollouts.Start(c.ctx, newRollout(fmt.Sprint("both-", i), c.machinesIn("south")...))
					results <- err
				}()
			}
			if a, b := <-results, <-results; (a == nil) == (b == nil) {
				t.Errorf("of two starts at the same moment: %v and %v", a, b)
			}
		})
}

func TestReplicaFailureAfterPermitDelaysNextEviction(t *testing.T) {
	t.Parallel()
	// A neighbour fails by itself at the moment when a permit is stored, and the leader hears of that
	// before it hears that the permit is: the stop waits until the neighbour is up again, since the
	// budget is used up.
	drainScenario(t, 3, drainOptions{capacity: 40}, func(t *testing.T, c *drainCluster) {
		c.startService("job-1", 6)
		c.disruption.detectionDelay = 1500 * time.Millisecond
		c.network.SetDelay(func() time.Duration { return 1900 * time.Millisecond })
		c.network.SetRule(func(_, _ string, r *http.Request, body []byte) fake.Outcome {
			if r.URL.Path == "/commit" && strings.Contains(string(body), `"evictions"`) {
				return fake.DelayResponse
			}
			return fake.Deliver
		})
		permitStored := make(chan struct{}, 1)
		c.store.NotifyChanges(func(key string, value json.RawMessage) {
			if key == "job/job-1" && strings.Contains(string(value), `"evictions"`) {
				notify(permitStored)
			}
		})
		go func() {
			for range 3 {
				select {
				case <-permitStored:
				case <-c.ctx.Done():
					return
				}
				for _, name := range c.machinesIn("south") {
					if tasks := c.workerNamed(string(name)).ActiveTasks(); len(tasks) > 0 {
						c.workerNamed(string(name)).EndTask(tasks[0], "error")
						break
					}
				}
				c.rest(20 * time.Second)
				for len(permitStored) > 0 {
					<-permitStored
				}
			}
		}()
		c.startRollout(newRollout("spring"))
		c.awaitState("spring", rollout.Ended, 10*time.Minute)
	})
}

// newReplacement is a rollout that replaces a zone's machines.
func newReplacement(name string, c *drainCluster) *rollout.Spec {
	spec := newRollout(name, c.machinesIn("north")...)
	spec.Replace, spec.Surge, spec.Observe = true, true, 20
	return spec
}

func TestRolloutReplacesMachinesInWaves(t *testing.T) {
	t.Parallel()
	for _, surge := range []bool{true, false} {
		t.Run(fmt.Sprint("surge ", surge), func(t *testing.T) {
			t.Parallel()
			drainScenario(t, 4, drainOptions{capacity: 60}, func(t *testing.T, c *drainCluster) {
				c.startService("job-1", 6)
				before := c.machinesIn("north")
				spec := newReplacement("spring", c)
				spec.Surge = surge
				c.startRollout(spec)
				c.eventually(10*time.Minute, "it has begun", func() bool { return c.rolloutRecord("spring").Waves > 0 })
				c.awaitState("spring", rollout.Ended, 15*time.Minute)
				for _, name := range before {
					if slices.Contains(c.machinesIn("north"), name) {
						t.Errorf("%s still runs", name)
					}
				}
				if r := c.rolloutRecord("spring"); r.Done != 4 || r.Waves != 2 {
					t.Errorf("%d machines through in %d waves", r.Done, r.Waves)
				}
			})
		})
	}
}

func TestFailedReplacementMachineHaltsRollout(t *testing.T) {
	t.Parallel()
	for _, failure := range []struct {
		name, why string
		boots     func(name string) time.Duration
		after     func(c *drainCluster, name string)
	}{
		{name: "it never comes up", why: "0 are up", boots: func(string) time.Duration { return -1 }},
		{name: "it dies while it is observed", why: "replacement", after: func(c *drainCluster, name string) { c.terminateMachine(name) }},
	} {
		t.Run(failure.name, func(t *testing.T) {
			t.Parallel()
			drainScenario(t, 4, drainOptions{capacity: 60}, func(t *testing.T, c *drainCluster) {
				c.startService("job-1", 6)
				for i := range 3 {
					c.accept(with(newJob(fmt.Sprint("job-", 10+i), "array", 1), "urgency", "low"))
				}
				before := c.machinesIn("north")
				good := c.bootTime
				bad := false
				c.bootTime = func(name string) time.Duration {
					if !bad {
						bad = true
						if failure.boots != nil {
							return failure.boots(name)
						}
						go func() {
							c.rest(12 * time.Second)
							failure.after(c, name)
						}()
					}
					return good(name)
				}
				spec := newReplacement("spring", c)
				spec.WaveSize, spec.Deadline, spec.Observe = 1, 40, 60
				c.startRollout(spec)
				c.awaitState("spring", rollout.Halted, 4*time.Minute)
				if r := c.rolloutRecord("spring"); !strings.Contains(r.Reason, failure.why) {
					t.Errorf("halted for %q", r.Reason)
				}
				c.eventually(time.Minute, "what is not empty is in service again", func() bool { return c.cordonedCount() == 0 })
				waves := c.rolloutRecord("spring").Waves
				c.consistently(2*time.Minute, "nothing begins without an operator", func() bool {
					r := c.rolloutRecord("spring")
					return r.State == rollout.Halted && r.Waves == waves
				})
				c.execute("spring", rollout.CommandResume)
				c.awaitState("spring", rollout.Ended, 20*time.Minute)
				for _, name := range before {
					if slices.Contains(c.machinesIn("north"), name) {
						t.Errorf("%s still runs", name)
					}
				}
			})
		})
	}
}

func TestReplacementMachineWithFailingTasksHaltsRollout(t *testing.T) {
	t.Parallel()
	// What was moved fits only on the replacement, and fails there again and again.
	drainScenario(t, 1, drainOptions{capacity: 3}, func(t *testing.T, c *drainCluster) {
		c.startService("job-1", 2, "cores", 4, "ramGb", 16)
		go func() {
			for c.ctx.Err() == nil {
				c.rest(200 * time.Millisecond)
				if worker := c.workerNamed("host-000003"); worker != nil {
					for _, task := range worker.ActiveTasks() {
						worker.EndTask(task, "error")
					}
				}
			}
		}()
		spec := newReplacement("spring", c)
		spec.Observe = 90
		c.startRollout(spec)
		c.awaitState("spring", rollout.Halted, 4*time.Minute)
		if why := c.rolloutRecord("spring").Reason; !strings.Contains(why, "replacement host-000003 of wave 1 failed: tasks keep failing there") {
			t.Errorf("halted for %q", why)
		}
	})
}

func TestMovedReplicaKeepsItsQuota(t *testing.T) {
	t.Parallel()
	// The team is at its limit and lesser work waits: what a moved replica gives up for a moment
	// must not go to that, or the replica would stay down and the rollout wait for ever.
	drainScenario(t, 4, drainOptions{capacity: 40}, func(t *testing.T, c *drainCluster) {
		c.startService("job-1", 6)
		for i := range 6 {
			c.accept(with(newJob(fmt.Sprint("job-", 10+i), "array", 1), "urgency", "low"))
		}
		c.rest(time.Minute) // low work that has waited for long goes before what is submitted later
		c.startRollout(newRollout("spring"))
		c.awaitState("spring", rollout.Ended, 6*time.Minute)
		c.eventually(time.Minute, "all replicas are up", func() bool { return c.runningCount("job-1") == 6 })
	})
}

func TestRolloutWaitsForCloudCapacity(t *testing.T) {
	t.Parallel()
	// With surge nothing is stopped while the cloud is down or has no machine: the wave halts at its
	// deadline, and goes on when it is resumed. What was emptied before waits for its return.
	for _, c := range []struct {
		name  string
		begin func(c *drainCluster)
		end   func(c *drainCluster)
		after bool // the trouble begins once the wave's replacement is rented
		wave  int
	}{
		{"down", func(c *drainCluster) { c.cloud.SetDown(true) }, func(c *drainCluster) { c.cloud.SetDown(false) }, false, 1},
		{"down in the middle of a wave", func(c *drainCluster) { c.cloud.SetDown(true) }, func(c *drainCluster) { c.cloud.SetDown(false) }, true, 1},
		{"out of the type", func(c *drainCluster) { c.cloud.SetCapacity(0) }, func(c *drainCluster) { c.cloud.SetCapacity(40) }, false, 1},
		{"out of the type in the middle of a wave", func(c *drainCluster) { c.cloud.SetCapacity(1) }, func(c *drainCluster) { c.cloud.SetCapacity(40) }, false, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			outage := c
			drainScenario(t, 3, drainOptions{capacity: 40}, func(t *testing.T, c *drainCluster) {
				c.startService("job-1", 6)
				spec := newReplacement("spring", c)
				spec.WaveSize = outage.wave
				if !outage.after {
					outage.begin(c)
				}
				c.startRollout(spec)
				if outage.after {
					c.eventually(2*time.Minute, "the replacement is rented", func() bool {
						wave := c.rolloutRecord("spring").Wave
						return wave != nil && len(wave.ReplacementRequests) > 0 && wave.ReplacementRequests[0].Answered
					})
					outage.begin(c)
					c.awaitBlocker("the cloud has not confirmed its return")
				} else {
					c.awaitState("spring", rollout.Halted, 5*time.Minute)
				}
				stops := c.disruption.evictionsOf("job-1")
				c.consistently(time.Minute, "nothing more is stopped", func() bool { return c.disruption.evictionsOf("job-1") == stops })
				outage.end(c)
				if !outage.after {
					c.execute("spring", rollout.CommandResume)
				}
				c.awaitState("spring", rollout.Ended, 15*time.Minute)
			})
		})
	}
}

func TestRolloutCompletesDespiteFailuresDuringDrain(t *testing.T) {
	t.Parallel()
	for _, failure := range []struct {
		name string
		fail func(c *drainCluster, machine string)
	}{
		{"one dies", func(c *drainCluster, machine string) { c.terminateMachine(machine) }},
		{"its zone goes dark", func(c *drainCluster, _ string) {
			c.network.SetRule(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
				for _, name := range c.machinesIn("north") {
					if strings.HasPrefix(from, string(name)) || strings.HasPrefix(to, string(name)) {
						return fake.Drop
					}
				}
				return fake.Deliver
			})
			c.rest(40 * time.Second)
			c.network.SetRule(nil)
		}},
		{"a spot notice", func(c *drainCluster, machine string) {
			c.disruption.noteSpotReclaim(machine)
			c.workerNamed(machine).AnnouncePreemption(20 * time.Second)
			c.rest(20 * time.Second)
			c.terminateMachine(machine)
		}},
		{"it hangs", func(c *drainCluster, machine string) {
			c.workerNamed(machine).SetHung(true)
			c.rest(30 * time.Second)
			c.workerNamed(machine).SetHung(false)
		}},
		{"the state service is down", func(c *drainCluster, _ string) {
			c.store.SetDown(true)
			c.rest(15 * time.Second)
			c.store.SetDown(false)
		}},
		{"all controllers are lost", func(c *drainCluster, _ string) {
			for _, name := range drainNodes {
				c.stopNode(name)
			}
			c.rest(10 * time.Second)
			for _, name := range drainNodes {
				c.startNode(name)
			}
		}},
	} {
		t.Run(failure.name, func(t *testing.T) {
			t.Parallel()
			drainScenario(t, 4, drainOptions{capacity: 60}, func(t *testing.T, c *drainCluster) {
				c.startService("job-1", 6)
				c.startRollout(newRollout("spring"))
				draining := func() string {
					r := c.rolloutRecord("spring")
					if r.Wave == nil {
						return ""
					}
					set := r.Wave.Machines[rollout.Draining]
					for name := range set.All() {
						return string(name)
					}
					return ""
				}
				c.eventually(2*time.Minute, "a machine is drained", func() bool { return draining() != "" })
				failure.fail(c, draining())
				c.awaitState("spring", rollout.Ended, 15*time.Minute)
				c.eventually(2*time.Minute, "all replicas are up", func() bool { return c.runningCount("job-1") == 6 })
				c.eventually(time.Minute, "no machine stays cordoned", func() bool { return c.cordonedCount() == 0 })
			})
		})
	}
}

func TestDelayedHeartbeatsOfDrainedMachineChangeNothing(t *testing.T) {
	t.Parallel()
	drainScenario(t, 3, drainOptions{capacity: 40}, func(t *testing.T, c *drainCluster) {
		c.startService("job-1", 4)
		machine := string(c.machinesIn("north")[0])
		c.network.SetRule(fake.DuplicateHeartbeats(machine))
		c.startRollout(newRollout("spring", c.machinesIn("north")...))
		c.awaitState("spring", rollout.Ended, 8*time.Minute)
		c.network.SetRule(nil)
		c.network.ReleaseHeld()
		c.consistently(time.Minute, "all replicas stay up", func() bool { return c.runningCount("job-1") == 4 })
	})
}

func TestJobCancelledDuringDrainWaveStopsInTime(t *testing.T) {
	t.Parallel()
	drainScenario(t, 3, drainOptions{capacity: 40}, func(t *testing.T, c *drainCluster) {
		c.startService("job-1", 4)
		c.startService("job-2", 3)
		c.startRollout(newRollout("spring"))
		c.eventually(2*time.Minute, "a permit is stored", func() bool {
			return strings.Contains(string(c.store.Value("job/job-1")), `"evictions"`) || strings.Contains(string(c.store.Value("job/job-2")), `"evictions"`)
		})
		c.call("b", "POST", "/v2/runs/job-1/cancel", nil)
		c.eventually(40*time.Second, "its tasks are gone", func() bool { return c.runningCount("job-1") == 0 })
		c.awaitState("spring", rollout.Ended, 8*time.Minute)
		c.eventually(time.Minute, "the other service is up", func() bool { return c.runningCount("job-2") == 3 })
	})
}

func TestBlockedDrainWaitsAndReportsReason(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, features, why string
		budget              teamBudget
		replicas            int
		changes             []any
		surge, everything   bool
		room                int
	}{
		{name: "a budget of zero", features: `drains { default_budget { replicas_down: 0 } }`, why: "of at most 0", replicas: 4, room: 40},
		{name: "one replica", why: "last replica of job-1", budget: teamBudget{1, 2}, replicas: 1, everything: true, room: 40},
		{name: "a zone that is given up", why: "no other place that its job allows", budget: teamBudget{1, 2}, replicas: 2, changes: []any{"spread", true}, room: 40},
		{name: "no room anywhere", why: "has no room elsewhere", budget: teamBudget{1, 2}, replicas: 4, changes: []any{"cores", 2, "ramGb", 8}, surge: true, everything: true, room: 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			blocked := c
			drainScenario(t, 2, drainOptions{capacity: blocked.room, features: blocked.features, budget: map[string]teamBudget{"red": blocked.budget}}, func(t *testing.T, c *drainCluster) {
				c.startService("job-1", blocked.replicas, blocked.changes...)
				spec := newRollout("spring")
				spec.Surge, spec.WaveSize = blocked.surge, 4
				if blocked.everything {
					spec.Select = rollout.Selection{Older: true}
				}
				preview, err := c.follower().rollouts.Plan(c.ctx, spec)
				if err != nil || len(preview.Waves) == 0 {
					t.Fatal(preview, err)
				}
				c.startRollout(spec)
				c.awaitBlocker(blocked.why)
				c.consistently(3*time.Minute, "nothing is stopped", func() bool {
					return c.disruption.evictionsOf("job-1") == 0 && c.runningCount("job-1") == blocked.replicas
				})
				c.execute("spring", rollout.CommandAbort)
				c.awaitState("spring", rollout.Ended, time.Minute)
				c.eventually(time.Minute, "no machine stays cordoned", func() bool { return c.cordonedCount() == 0 })
			})
		})
	}
}

func TestAbortInAnyRolloutStateLeavesNoMachineCordoned(t *testing.T) {
	t.Parallel()
	for name, prepare := range map[string]func(c *drainCluster){
		"just started": func(*drainCluster) {},
		"running":      func(c *drainCluster) { c.rest(15 * time.Second) },
		"between waves": func(c *drainCluster) {
			c.eventually(4*time.Minute, "a wave is through", func() bool { return c.rolloutRecord("spring").Done > 0 })
		},
		"paused": func(c *drainCluster) {
			c.rest(5 * time.Second)
			c.execute("spring", rollout.CommandPause)
			stops := c.disruption.evictionsOf("job-1")
			c.rest(3 * time.Second)
			if n := c.disruption.evictionsOf("job-1"); n > stops+1 {
				c.t.Errorf("%d more replicas stopped while paused", n-stops)
			}
		},
		"halted": func(c *drainCluster) {
			c.cloud.SetCapacity(0)
			c.awaitState("spring", rollout.Halted, 5*time.Minute)
		},
		"aborting": func(c *drainCluster) { c.execute("spring", rollout.CommandAbort) },
		"the leader has just ended": func(c *drainCluster) {
			c.rest(8 * time.Second)
			c.stopNode(c.leader().name)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			drainScenario(t, 3, drainOptions{capacity: 40}, func(t *testing.T, c *drainCluster) {
				c.startService("job-1", 6)
				spec := newReplacement("spring", c)
				spec.WaveSize, spec.Surge, spec.Deadline, spec.Pause = 1, name == "halted", 30, 30
				c.startRollout(spec)
				prepare(c)
				c.execute("spring", rollout.CommandAbort)
				c.awaitState("spring", rollout.Ended, 3*time.Minute)
				c.eventually(time.Minute, "no machine stays cordoned", func() bool { return c.cordonedCount() == 0 })
				c.eventually(2*time.Minute, "all replicas are up", func() bool { return c.runningCount("job-1") == 6 })
				c.execute("spring", rollout.CommandAbort)
				if _, err := c.follower().rollouts.Execute(c.ctx, "spring", rollout.CommandResume); !errors.Is(err, rollout.ErrInvalidTransition) {
					t.Errorf("one that ended is resumed: %v", err)
				}
			})
		})
	}
}

func TestDrainMovesPreemptibleWorkAndRecordsMoves(t *testing.T) {
	t.Parallel()
	// Low arrays are interrupted within the budget and go on elsewhere; work that saves is saved;
	// normal work that can't save runs to its end, or is stopped after the deadline if the
	// operator chose so; a gang is moved whole.
	drainScenario(t, 4, drainOptions{capacity: 60}, func(t *testing.T, c *drainCluster) {
		c.accept(with(newJob("job-1", "array", 4), "urgency", "low"))
		c.accept(with(with(newJob("job-2", "array", 2), "bookmarkS", 10), "stashS", 1))
		c.accept(with(with(newJob("job-3", "gang", 2), "bookmarkS", 10), "stashS", 1))
		c.eventually(time.Minute, "all run", func() bool {
			return c.runningCount("job-1") == 4 && c.runningCount("job-2") == 2 && c.runningCount("job-3") == 2
		})
		c.rest(8 * time.Second)
		spec := newRollout("spring")
		spec.AtDeadline = rollout.StopAtDeadline
		c.startRollout(spec)
		c.awaitState("spring", rollout.Ended, 10*time.Minute)
		c.eventually(time.Minute, "all run elsewhere", func() bool {
			return c.runningCount("job-1") == 4 && c.runningCount("job-2") == 2 && c.runningCount("job-3") == 2
		})
		go c.completeRandomTasks("job-", rand.New(rand.NewPCG(1, 1)))
		for _, id := range []string{"job-1", "job-2", "job-3"} {
			c.eventually(2*time.Minute, id+" is done", func() bool { return c.status("b", id) == "done" })
		}
		moved := 0
		for _, id := range []string{"job-1", "job-2", "job-3"} {
			moved += strings.Count(string(c.store.Value("end/"+id)), "by rollout spring, wave")
		}
		if moved == 0 {
			t.Error("no trail tells of a move")
		}
	})
}

func TestTasksWithoutCheckpointFinishUnlessDrainDeadlinePasses(t *testing.T) {
	t.Parallel()
	for _, choice := range []rollout.AtDeadline{rollout.WaitAtDeadline, rollout.StopAtDeadline} {
		t.Run(string(choice), func(t *testing.T) {
			t.Parallel()
			drainScenario(t, 1, drainOptions{capacity: 10}, func(t *testing.T, c *drainCluster) {
				c.accept(with(newJob("job-1", "array", 2), "yard", "north"))
				c.eventually(time.Minute, "it runs", func() bool { return c.runningCount("job-1") == 2 })
				spec := newRollout("spring", c.machinesIn("north")...)
				spec.AtDeadline, spec.Deadline = choice, 30
				c.startRollout(spec)
				c.awaitBlocker("can't save and runs to its end")
				c.consistently(25*time.Second, "it runs on", func() bool { return c.disruption.evictionsOf("job-1") == 0 })
				if choice == rollout.StopAtDeadline {
					c.awaitState("spring", rollout.Ended, 3*time.Minute)
					return
				}
				c.consistently(time.Minute, "it runs on", func() bool { return c.disruption.evictionsOf("job-1") == 0 })
				for _, task := range []string{"job-1/0", "job-1/1"} {
					c.workerNamed(c.machinesRunning(task)[0]).EndTask(task, "done")
				}
				c.awaitState("spring", rollout.Ended, 3*time.Minute)
			})
		})
	}
}
