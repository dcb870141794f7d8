package scenarios

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// TestRolloutReplacesMachinesInWaves replaces the machines of a zone in waves. With surge the
// replacements of a wave are provisioned before its drain, else after it.
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
				c.eventually(10*time.Minute, "the first wave has begun", func() bool {
					return c.rolloutRecord("spring").Waves > 0
				})
				c.awaitState("spring", rollout.Ended, 15*time.Minute)
				for _, name := range before {
					if slices.Contains(c.machinesIn("north"), name) {
						t.Errorf("machine %s still runs after its replacement", name)
					}
				}
				if r := c.rolloutRecord("spring"); r.Done != 4 || r.Waves != 2 {
					t.Errorf("%d machines replaced in %d waves, want 4 machines in 2 waves", r.Done, r.Waves)
				}
			})
		})
	}
}

// TestFailedReplacementMachineHaltsRollout makes the first replacement fail to boot, or terminate
// while it is observed. The rollout must halt, and must continue only when an operator resumes it.
func TestFailedReplacementMachineHaltsRollout(t *testing.T) {
	t.Parallel()
	for _, failure := range []struct {
		name   string
		reason string // part of the reason for which the rollout halts
		boots  func(name string) time.Duration
		after  func(c *drainCluster, name string)
	}{
		{name: "the replacement never boots", reason: "0 are up", boots: func(string) time.Duration { return neverBoots }},
		{name: "the replacement terminates while it is observed", reason: "replacement", after: func(c *drainCluster, name string) { c.terminateMachine(name) }},
	} {
		t.Run(failure.name, func(t *testing.T) {
			t.Parallel()
			drainScenario(t, 4, drainOptions{capacity: 60}, func(t *testing.T, c *drainCluster) {
				c.startService("job-1", 6)
				for i := range 3 {
					c.submitToAny(0, newJob(fmt.Sprint("job-", 10+i), "array", 1).with("urgency", "low"))
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
							c.sleep(12 * time.Second)
							failure.after(c, name)
						}()
					}
					return good(name)
				}
				spec := newReplacement("spring", c)
				spec.WaveSize, spec.Deadline, spec.Observe = 1, 40, 60
				c.startRollout(spec)
				c.awaitState("spring", rollout.Halted, 4*time.Minute)
				if r := c.rolloutRecord("spring"); !strings.Contains(r.Reason, failure.reason) {
					t.Errorf("rollout halted for an unexpected reason: %q", r.Reason)
				}
				c.eventually(time.Minute, "machines that are not empty are uncordoned", func() bool {
					return c.cordonedCount() == 0
				})
				waves := c.rolloutRecord("spring").Waves
				c.consistently(2*time.Minute, "the rollout stays halted until an operator resumes it", func() bool {
					r := c.rolloutRecord("spring")
					return r.State == rollout.Halted && r.Waves == waves
				})
				c.execute("spring", rollout.CommandResume)
				c.awaitState("spring", rollout.Ended, 20*time.Minute)
				for _, name := range before {
					if slices.Contains(c.machinesIn("north"), name) {
						t.Errorf("machine %s still runs after the rollout", name)
					}
				}
			})
		})
	}
}

// TestReplacementMachineWithFailingTasksHaltsRollout makes the moved tasks fail repeatedly on the
// replacement, the only machine on which they fit. The rollout must halt.
func TestReplacementMachineWithFailingTasksHaltsRollout(t *testing.T) {
	t.Parallel()
	drainScenario(t, 1, drainOptions{capacity: 3}, func(t *testing.T, c *drainCluster) {
		c.startService("job-1", 2, "cores", 4, "ramGb", 16)
		go func() {
			for c.ctx.Err() == nil {
				c.sleep(200 * time.Millisecond)
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
			t.Errorf("rollout halted for another reason than failing tasks: %q", why)
		}
	})
}

// TestRolloutWaitsForCloudCapacity makes the cloud unavailable or takes its capacity away during a
// rollout with surge. No task may be stopped meanwhile. The wave must halt at its deadline and
// continue when it is resumed. Machines that are drained already must wait until the cloud confirms
// their return.
func TestRolloutWaitsForCloudCapacity(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		begin func(c *drainCluster)
		end   func(c *drainCluster)
		after bool // whether the outage begins only once the wave's replacement is provisioned
		wave  int  // number of machines in a wave
	}{
		{"the cloud is down", func(c *drainCluster) { c.cloud.SetDown(true) }, func(c *drainCluster) { c.cloud.SetDown(false) }, false, 1},
		{"the cloud is down in the middle of a wave", func(c *drainCluster) { c.cloud.SetDown(true) }, func(c *drainCluster) { c.cloud.SetDown(false) }, true, 1},
		{"the cloud has no capacity", func(c *drainCluster) { c.cloud.SetCapacity(0) }, func(c *drainCluster) { c.cloud.SetCapacity(40) }, false, 1},
		{"the cloud has no capacity left in the middle of a wave", func(c *drainCluster) { c.cloud.SetCapacity(1) }, func(c *drainCluster) { c.cloud.SetCapacity(40) }, false, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			drainScenario(t, 3, drainOptions{capacity: 40}, func(t *testing.T, c *drainCluster) {
				c.startService("job-1", 6)
				spec := newReplacement("spring", c)
				spec.WaveSize = test.wave
				if !test.after {
					test.begin(c)
				}
				c.startRollout(spec)
				if test.after {
					c.eventually(2*time.Minute, "the replacement is provisioned", func() bool {
						wave := c.rolloutRecord("spring").Wave
						return wave != nil && len(wave.ReplacementRequests) > 0 && wave.ReplacementRequests[0].Answered
					})
					test.begin(c)
					c.awaitBlocker("the cloud has not confirmed its return")
				} else {
					c.awaitState("spring", rollout.Halted, 5*time.Minute)
				}
				stops := c.disruption.evictionsOf("job-1")
				c.consistently(time.Minute, "no more tasks are stopped", func() bool {
					return c.disruption.evictionsOf("job-1") == stops
				})
				test.end(c)
				if !test.after {
					c.execute("spring", rollout.CommandResume)
				}
				c.awaitState("spring", rollout.Ended, 15*time.Minute)
			})
		})
	}
}
