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
				oldMachines := c.machinesIn("north")
				spec := newReplacement("spring", c)
				spec.Surge = surge
				c.startRollout(spec)
				c.eventually(10*time.Minute, "its first wave has begun", func() bool {
					return c.rolloutRecord("spring").Waves > 0
				})
				c.awaitState("spring", rollout.Ended, 15*time.Minute)
				for _, name := range oldMachines {
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
		name          string
		reason        string // part of the reason for which the rollout halts
		firstBootTime func(name string) time.Duration
		terminate     func(c *drainCluster, name string)
	}{
		{name: "it never boots", reason: "0 are up", firstBootTime: func(string) time.Duration { return neverBoots }},
		{name: "it dies while it is observed", reason: "replacement", terminate: func(c *drainCluster, name string) { c.terminateMachine(name) }},
	} {
		t.Run(failure.name, func(t *testing.T) {
			t.Parallel()
			drainScenario(t, 4, drainOptions{capacity: 60}, func(t *testing.T, c *drainCluster) {
				c.startService("job-1", 6)
				for i := range 3 {
					c.submitToAny(0, newJob(fmt.Sprint("job-", 10+i), "array", 1).with("urgency", "low"))
				}
				oldMachines := c.machinesIn("north")
				normalBootTime := c.bootTime
				failureInjected := false
				c.bootTime = func(name string) time.Duration {
					if !failureInjected {
						failureInjected = true
						if failure.firstBootTime != nil {
							return failure.firstBootTime(name)
						}
						go func() {
							c.sleep(12 * time.Second)
							failure.terminate(c, name)
						}()
					}
					return normalBootTime(name)
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
				c.consistently(2*time.Minute, "it goes on only when an operator resumes it", func() bool {
					r := c.rolloutRecord("spring")
					return r.State == rollout.Halted && r.Waves == waves
				})
				c.executeCommand("spring", rollout.CommandResume)
				c.awaitState("spring", rollout.Ended, 20*time.Minute)
				for _, name := range oldMachines {
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
		if reason := c.rolloutRecord("spring").Reason; !strings.Contains(reason, "replacement host-000003 of wave 1 failed: tasks keep failing there") {
			t.Errorf("rollout halted for another reason than failing tasks: %q", reason)
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
		name              string
		beginOutage       func(c *drainCluster)
		endOutage         func(c *drainCluster)
		afterProvisioning bool // whether the outage begins only once the wave's replacement is provisioned
		wave              int  // number of machines in a wave
	}{
		{"down", func(c *drainCluster) { c.cloud.SetDown(true) }, func(c *drainCluster) { c.cloud.SetDown(false) }, false, 1},
		{"down in the middle of a wave", func(c *drainCluster) { c.cloud.SetDown(true) }, func(c *drainCluster) { c.cloud.SetDown(false) }, true, 1},
		{"without capacity", func(c *drainCluster) { c.cloud.SetCapacity(0) }, func(c *drainCluster) { c.cloud.SetCapacity(40) }, false, 1},
		{"without capacity in the middle of a wave", func(c *drainCluster) { c.cloud.SetCapacity(1) }, func(c *drainCluster) { c.cloud.SetCapacity(40) }, false, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			drainScenario(t, 3, drainOptions{capacity: 40}, func(t *testing.T, c *drainCluster) {
				c.startService("job-1", 6)
				spec := newReplacement("spring", c)
				spec.WaveSize = test.wave
				if !test.afterProvisioning {
					test.beginOutage(c)
				}
				c.startRollout(spec)
				if test.afterProvisioning {
					c.eventually(2*time.Minute, "the replacement is provisioned", func() bool {
						wave := c.rolloutRecord("spring").Wave
						return wave != nil && len(wave.ReplacementRequests) > 0 && wave.ReplacementRequests[0].Answered
					})
					test.beginOutage(c)
					c.awaitBlocker("the cloud has not confirmed its return")
				} else {
					c.awaitState("spring", rollout.Halted, 5*time.Minute)
				}
				evictions := c.disruption.evictionCount("job-1")
				c.consistently(time.Minute, "nothing more is stopped", func() bool {
					return c.disruption.evictionCount("job-1") == evictions
				})
				test.endOutage(c)
				if !test.afterProvisioning {
					c.executeCommand("spring", rollout.CommandResume)
				}
				c.awaitState("spring", rollout.Ended, 15*time.Minute)
			})
		})
	}
}
