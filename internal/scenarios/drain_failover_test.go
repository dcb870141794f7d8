package scenarios

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// leaderFailure is one way in which a leader fails.
type leaderFailure struct {
	name string
	fail func(c *drainCluster, leader string)
}

// leaderFailures are crashes, partitions and a stall that lasts longer than the leader's lease.
var leaderFailures = []leaderFailure{
	{"it crashes", func(c *drainCluster, leader string) { c.stopNode(leader) }},
	{"it restarts", func(c *drainCluster, leader string) {
		c.stopNode(leader)
		c.sleep(300 * time.Millisecond)
		c.startNode(leader)
	}},
	{"it is partitioned from the state service", func(c *drainCluster, leader string) {
		c.partitionFromStateService(leader)
		c.sleep(20 * time.Second)
		c.network.SetRule(nil)
	}},
	{"the state service refuses it", func(c *drainCluster, leader string) {
		c.store.RefuseCaller(leader, true)
		c.sleep(15 * time.Second)
		c.store.RefuseCaller(leader, false)
	}},
	{"it stalls", func(c *drainCluster, leader string) {
		// The leader's requests are held back and delivered after its successor has acted.
		c.network.SetRule(func(from, to string, r *http.Request, _ []byte) fake.Outcome {
			switch {
			case from == leader && r.URL.Path == "/follow":
				return fake.Drop // a held-back watch would only take time
			case from == leader:
				return fake.HoldBack
			case strings.HasPrefix(to, leader+":"):
				return fake.Refuse
			}
			return fake.Deliver
		})
		c.sleep(10 * time.Second)
		c.network.SetRule(nil)
		c.network.ReleaseHeld()
	}},
}

// drainStep is a step of a drain at which the leader is made to fail. A step is recognized by a
// change in the state service or by a task event.
type drainStep struct {
	name     string
	onChange func(key string, value json.RawMessage) bool
	onEvent  func(event fake.Event, drained bool) bool
}

// drainSteps are the steps of an eviction from its permit to the new start, after which the permit
// is returned, and the steps of a wave.
var drainSteps = []drainStep{
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

// notify sends a signal to a listener, unless an earlier signal is still pending.
func notify(listener chan struct{}) {
	select {
	case listener <- struct{}{}:
	default:
	}
}

// failLeaderAt makes the leader fail when a step is reached, up to the given number of times.
func (c *drainCluster) failLeaderAt(step drainStep, times int, fail func(c *drainCluster, leader string)) {
	reached := c.watchStep(step)
	go func() {
		for range times {
			select {
			case <-reached:
			case <-c.ctx.Done():
				return
			}
			if leader := c.leader(); leader != nil {
				fail(c, leader.name)
			}
			c.recoverFromFailure()
			for len(reached) > 0 {
				<-reached
			}
		}
	}()
}

// watchStep returns a channel that receives a signal when a step is reached.
func (c *drainCluster) watchStep(step drainStep) chan struct{} {
	reached := make(chan struct{}, 1)
	if step.onChange != nil {
		c.store.NotifyChanges(func(key string, value json.RawMessage) {
			if step.onChange(key, value) {
				notify(reached)
			}
		})
	}
	if step.onEvent != nil {
		drained := map[string]bool{}
		c.listenerMu.Lock()
		defer c.listenerMu.Unlock()
		c.listener = func(event fake.Event) {
			if step.onEvent(event, drained[event.Task]) {
				notify(reached)
			}
			drained[event.Task] = !event.Start && event.Cause == "stopped"
		}
	}
	return reached
}

// recoverFromFailure waits up to 30 s for a leader, and starts the nodes that are down.
func (c *drainCluster) recoverFromFailure() {
	for range 30 {
		if c.ctx.Err() != nil || c.leader() != nil {
			break
		}
		c.sleep(time.Second)
	}
	for _, name := range fiveNodeNames {
		c.mu.Lock()
		missing := c.nodes[name] == nil
		c.mu.Unlock()
		if missing && c.ctx.Err() == nil {
			c.startNode(name)
		}
	}
}

// TestLeaderFailureDuringDrainStepRepeatsNoEviction makes the leader fail in each way at each step of
// a drain. No eviction may be repeated. Afterwards no machine may be cordoned, and no eviction may be
// recorded.
func TestLeaderFailureDuringDrainStepRepeatsNoEviction(t *testing.T) {
	t.Parallel()
	for _, step := range drainSteps {
		for _, failure := range leaderFailures {
			t.Run(step.name+", "+failure.name, func(t *testing.T) {
				t.Parallel()
				drainScenario(t, 4, drainOptions{capacity: 40}, func(t *testing.T, c *drainCluster) {
					c.startService("job-1", 6)
					c.failLeaderAt(step, 3, failure.fail)
					c.startRollout(newRollout("spring"))
					c.awaitState("spring", rollout.Ended, 15*time.Minute)
					c.awaitTaskCount(2*time.Minute, "job-1", 6)
					c.awaitNoneCordoned(time.Minute)
					if n := c.disruption.evictionCount("job-1"); n > 6 {
						t.Errorf("%d evictions of 6 replicas, want at most 6: an eviction was repeated", n)
					}
					c.eventually(time.Minute, "no eviction stays on the record", func() bool {
						return !strings.Contains(string(c.store.Value("job/job-1")), `"evictions"`)
					})
				})
			})
		}
	}
}

// TestEvictionPermitStoredAfterFailoverIsVoid delays the transaction that stores an eviction permit
// until the leader has crashed and its successor has written. The late permit must have no effect.
func TestEvictionPermitStoredAfterFailoverIsVoid(t *testing.T) {
	t.Parallel()
	drainScenario(t, 4, drainOptions{capacity: 40}, func(t *testing.T, c *drainCluster) {
		c.startService("job-1", 6)
		c.network.SetDelay(func() time.Duration { return 12 * time.Second })
		delayed, leader := 0, c.leader().name
		c.network.SetRule(func(from, to string, r *http.Request, body []byte) fake.Outcome {
			if from == leader && isEviction(r, body) {
				delayed++
				return fake.Delay
			}
			return fake.Deliver
		})
		c.startRollout(newRollout("spring"))
		c.eventually(30*time.Second, "a permit is sent", func() bool { return delayed > 0 })
		c.stopNode(leader)
		c.awaitState("spring", rollout.Ended, 8*time.Minute)
		c.awaitTaskCount(time.Minute, "job-1", 6)
		if n := c.disruption.evictionCount("job-1"); n > 6 {
			t.Errorf("%d evictions of 6 replicas, want at most 6", n)
		}
	})
}
