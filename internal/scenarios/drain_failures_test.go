package scenarios

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// TestRolloutCompletesDespiteFailuresDuringDrain makes a machine, a zone, the state service or all
// controllers fail while a machine is drained. The rollout must complete with all replicas up.
func TestRolloutCompletesDespiteFailuresDuringDrain(t *testing.T) {
	t.Parallel()
	for _, failure := range []struct {
		name string
		fail func(c *drainCluster, machine string)
	}{
		{"one dies", func(c *drainCluster, machine string) { c.terminateMachine(machine) }},
		{"its zone is partitioned", func(c *drainCluster, _ string) {
			c.network.SetRule(func(from, to string, _ *http.Request, _ []byte) fake.Outcome {
				for _, name := range c.machinesIn("north") {
					if strings.HasPrefix(from, string(name)) || strings.HasPrefix(to, string(name)) {
						return fake.Drop
					}
				}
				return fake.Deliver
			})
			c.sleep(40 * time.Second)
			c.network.SetRule(nil)
		}},
		{"a spot reclaim", func(c *drainCluster, machine string) {
			c.disruption.recordSpotReclaim(machine)
			c.workerNamed(machine).AnnouncePreemption(20 * time.Second)
			c.sleep(20 * time.Second)
			c.terminateMachine(machine)
		}},
		{"it hangs", func(c *drainCluster, machine string) {
			c.workerNamed(machine).SetHung(true)
			c.sleep(30 * time.Second)
			c.workerNamed(machine).SetHung(false)
		}},
		{"the state service is down", func(c *drainCluster, _ string) {
			c.store.SetDown(true)
			c.sleep(15 * time.Second)
			c.store.SetDown(false)
		}},
		{"all controllers are lost", func(c *drainCluster, _ string) {
			for _, name := range fiveNodeNames {
				c.stopNode(name)
			}
			c.sleep(10 * time.Second)
			for _, name := range fiveNodeNames {
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
					machines := r.Wave.Machines[rollout.Draining]
					for name := range machines.All() {
						return string(name)
					}
					return ""
				}
				c.eventually(2*time.Minute, "a machine is drained", func() bool { return draining() != "" })
				failure.fail(c, draining())
				c.awaitState("spring", rollout.Ended, 15*time.Minute)
				c.awaitTaskCount(2*time.Minute, "job-1", 6)
				c.awaitNoneCordoned(time.Minute)
			})
		})
	}
}

// TestDelayedHeartbeatsOfDrainedMachineChangeNothing delivers copies of a machine's heartbeats after
// the machine was drained and returned to the cloud. They must not affect the moved replicas.
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

// TestCopiesOfRequestsDuringDrainChangeNothing delivers every request once more, up to 100 s after it was
// executed: commands, transactions, and the rental and deletion of machines. Later the operators' commands
// arrive again. The drain must complete, with all replicas up and no machine left over.
func TestCopiesOfRequestsDuringDrainChangeNothing(t *testing.T) {
	t.Parallel()
	drainScenario(t, 3, drainOptions{capacity: 40}, func(t *testing.T, c *drainCluster) {
		random := newRandomSource(1)
		c.network.SetDelay(func() time.Duration { return random.milliseconds(20, 100000) })
		c.network.SetRule(fake.DuplicateChanges(fake.DuplicateLate, func() bool { return true }))
		c.startService("job-1", 4)
		drained := c.machinesIn("north")
		c.startRollout(newRollout("spring", drained...))
		c.awaitState("spring", rollout.Ended, 8*time.Minute)
		c.passTime(2 * time.Minute) // until the last copies have arrived
		c.awaitTaskCount(time.Minute, "job-1", 4)
		if _, err := c.follower().rollouts.Start(c.ctx, newRollout("spring", drained...)); err != nil {
			t.Errorf("a repeated start of the rollout failed: %v", err)
		}
		c.passTime(time.Minute)
		if state := c.rolloutRecord("spring").State; state != rollout.Ended {
			t.Errorf("the ended rollout is in state %v after its start arrived again", state)
		}
		c.awaitTaskCount(time.Minute, "job-1", 4)
		c.awaitNoneCordoned(time.Minute)
		if up := len(c.machinesIn("north")) + len(c.machinesIn("south")); up > 8 {
			t.Errorf("%d machines are up, want the replicas' machines and at most a few to spare", up)
		}
	})
}

// TestJobCancelledDuringDrainWaveStopsInTime cancels a service once an eviction of a wave is stored.
// The service must stop within the limit, and the rollout must complete.
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
		c.eventually(40*time.Second, "its tasks stop", func() bool { return c.runningCount("job-1") == 0 })
		c.awaitState("spring", rollout.Ended, 8*time.Minute)
		c.awaitTaskCount(time.Minute, "job-2", 3)
	})
}
