package scenarios

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// TestConflictingRolloutsBothComplete runs two rollouts while the cloud has no more machines. The
// tasks of each fit only on machines that the other has cordoned. The rollout that started later must
// yield, and must complete once the cloud can provision machines again.
func TestConflictingRolloutsBothComplete(t *testing.T) {
	t.Parallel()
	drainScenario(t, 2, drainOptions{capacity: 4}, func(t *testing.T, c *drainCluster) {
		c.startService("job-2", 2, "yard", "south", "cores", 0.1, "ramGb", 9) // one replica on each machine there
		southDrain := newRollout("park", c.machinesIn("south")...)
		southDrain.Surge = true
		c.startRollout(southDrain)
		c.eventually(time.Minute, "the south is cordoned", func() bool { return c.cordonedCount() == 2 })
		c.startService("job-1", 4, "cores", 1.5, "ramGb", 3)
		c.executeCommand("park", rollout.CommandAbort)
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

// TestOverlappingRolloutIsRejected starts a rollout of machines that belong to another rollout, a
// rollout with the name of another but a different selection, and a rollout of an unknown machine.
// Each must be rejected. Of two concurrent starts with the same machines exactly one must be accepted.
func TestOverlappingRolloutIsRejected(t *testing.T) {
	t.Parallel()
	drainScenario(t, 2, drainOptions{capacity: 10, features: `drains { default_budget { replicas_down: 0 } }`, budget: map[string]teamBudget{"red": {0, 1}}},
		func(t *testing.T, c *drainCluster) {
			c.startService("job-1", 4)
			c.startRollout(newRollout("spring", c.machinesIn("north")[0]))
			requireRejected := func(spec *rollout.Spec, want error) {
				t.Helper()
				if _, err := c.follower().rollouts.Start(c.ctx, spec); !errors.Is(err, want) {
					t.Errorf("start of rollout %s: got error %v, want %v", spec.Name, err, want)
				}
			}
			requireRejected(newRollout("summer"), rollout.ErrOverlap)
			other := newRollout("spring", c.machinesIn("north")[1])
			requireRejected(other, rollout.ErrSpecConflict)
			requireRejected(newRollout("autumn", "host-999999"), rollout.ErrInvalidSpec)
			if _, err := c.follower().rollouts.Start(c.ctx, newRollout("spring", c.machinesIn("north")[0])); err != nil {
				t.Errorf("repeated start of the same rollout failed: %v", err)
			}
			// Exactly one of two concurrent starts with the same machines is accepted.
			results := make(chan error, 2)
			for i, n := range []*drainNode{c.follower(), c.leader()} {
				go func() {
					_, err := n.rollouts.Start(c.ctx, newRollout(fmt.Sprint("both-", i), c.machinesIn("south")...))
					results <- err
				}()
			}
			if a, b := <-results, <-results; (a == nil) == (b == nil) {
				t.Errorf("two concurrent starts with the same machines: got errors %v and %v, want exactly one", a, b)
			}
		})
}

// TestAbortInAnyRolloutStateLeavesNoMachineCordoned aborts a rollout in each of its states. The
// rollout must end, all machines must be uncordoned and all replicas must be up.
func TestAbortInAnyRolloutStateLeavesNoMachineCordoned(t *testing.T) {
	t.Parallel()
	for name, prepare := range map[string]func(c *drainCluster){
		"just started": func(*drainCluster) {},
		"running":      func(c *drainCluster) { c.sleep(15 * time.Second) },
		"between waves": func(c *drainCluster) {
			c.eventually(4*time.Minute, "a wave is complete", func() bool { return c.rolloutRecord("spring").Done > 0 })
		},
		"paused": func(c *drainCluster) {
			c.sleep(5 * time.Second)
			c.executeCommand("spring", rollout.CommandPause)
			evictions := c.disruption.evictionCount("job-1")
			c.sleep(3 * time.Second)
			if n := c.disruption.evictionCount("job-1"); n > evictions+1 {
				c.t.Errorf("%d more replicas stopped while the rollout was paused, want at most 1", n-evictions)
			}
		},
		"halted": func(c *drainCluster) {
			c.cloud.SetCapacity(0)
			c.awaitState("spring", rollout.Halted, 5*time.Minute)
		},
		"aborting": func(c *drainCluster) { c.executeCommand("spring", rollout.CommandAbort) },
		"the leader has just ended": func(c *drainCluster) {
			c.sleep(8 * time.Second)
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
				c.executeCommand("spring", rollout.CommandAbort)
				c.awaitState("spring", rollout.Ended, 3*time.Minute)
				c.awaitNoneCordoned(time.Minute)
				c.awaitTaskCount(2*time.Minute, "job-1", 6)
				c.executeCommand("spring", rollout.CommandAbort)
				if _, err := c.follower().rollouts.Execute(c.ctx, "spring", rollout.CommandResume); !errors.Is(err, rollout.ErrInvalidTransition) {
					t.Errorf("resume of a rollout that has ended: got error %v, want ErrInvalidTransition", err)
				}
			})
		})
	}
}
