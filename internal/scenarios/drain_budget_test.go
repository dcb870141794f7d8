package scenarios

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// TestZoneDrainStaysWithinDisruptionBudget drains all machines of a zone. Each replica must move at
// most once, and no keys of the rollout's machines may remain in the state service.
func TestZoneDrainStaysWithinDisruptionBudget(t *testing.T) {
	t.Parallel()
	drainScenario(t, 4, drainOptions{capacity: 40}, func(t *testing.T, c *drainCluster) {
		c.startService("job-1", 6)
		c.startRollout(newRollout("spring"))
		c.awaitState("spring", rollout.Ended, 6*time.Minute)
		c.awaitTaskCount(30*time.Second, "job-1", 6)
		if remaining := c.machinesIn("north"); len(remaining) > 0 {
			t.Errorf("machines in the north still run after the drain: %v", remaining)
		}
		if n := c.disruption.evictionCount("job-1"); n == 0 || n > 6 {
			t.Errorf("%d evictions of 6 replicas, want 1 to 6", n)
		}
		// The leader removes the keys when it next processes its rollouts, within a quarter of a second.
		c.eventually(2*time.Second, "the state service holds nothing of the rollout", func() bool {
			return c.store.CountKeys("rollout/left/") == 0
		})
	})
}

// TestDisruptionRuleDetectsEvictionsOverBudget guards against a disruption rule that detects
// nothing. The controllers have a far larger budget than the rule, so that their drain must violate
// the rule.
func TestDisruptionRuleDetectsEvictionsOverBudget(t *testing.T) {
	t.Parallel()
	violationReported := false
	drainScenario(t, 4, drainOptions{capacity: 40, features: `drains { teams { team: "red" budget { replicas_down: 99 tasks_interrupted: 99 } } }`},
		func(t *testing.T, c *drainCluster) {
			c.disruption.report = func(string, string) { violationReported = true }
			c.startService("job-1", 8)
			c.startRollout(newRollout("spring"))
			c.awaitState("spring", rollout.Ended, 6*time.Minute)
		})
	if !violationReported {
		t.Error("the rule does not report several replicas stopped at a time")
	}
}

// TestDrainOfMachineSharedByTwoTeamsWaitsForBothBudgets drains a machine with replicas of two
// teams, one of which has a budget of zero. No replica of either team may be stopped, and the reason
// must name the team that blocks the drain.
func TestDrainOfMachineSharedByTwoTeamsWaitsForBothBudgets(t *testing.T) {
	t.Parallel()
	features := `drains { teams { team: "red" budget { replicas_down: 1 } } teams { team: "blue" budget { replicas_down: 0 } } }`
	options := drainOptions{capacity: 40, features: features, teams: []config.Team{{Name: "blue", CPUsMax: 8}},
		budget: map[string]teamBudget{"red": {1, 1}, "blue": {0, 1}}}
	drainScenario(t, 1, options, func(t *testing.T, c *drainCluster) {
		c.startService("job-1", 2, "spread", true)
		c.startService("job-2", 2, "owner", "blue", "spread", true)
		c.startRollout(newRollout("spring", c.machinesIn("north")...))
		c.awaitBlocker("team blue: 0 of its 2 replicas are down, of at most 0")
		c.consistently(time.Minute, "nothing is stopped", func() bool {
			return c.disruption.evictionCount("job-1") == 0 && c.disruption.evictionCount("job-2") == 0
		})
		c.executeCommand("spring", rollout.CommandAbort)
		c.awaitState("spring", rollout.Ended, time.Minute)
		c.awaitNoneCordoned(time.Minute)
	})
}

// TestReplicaFailureAfterPermitDelaysNextEviction makes a replica fail on its own when an eviction
// permit is stored. The leader learns of the failure before it learns that the permit is stored. The
// failure uses up the budget, so the eviction must wait until the failed replica is up again.
func TestReplicaFailureAfterPermitDelaysNextEviction(t *testing.T) {
	t.Parallel()
	drainScenario(t, 3, drainOptions{capacity: 40}, func(t *testing.T, c *drainCluster) {
		c.startService("job-1", 6)
		c.disruption.detectionDelay = 1500 * time.Millisecond
		c.network.SetDelay(func() time.Duration { return 1900 * time.Millisecond })
		c.network.SetRule(func(_, _ string, r *http.Request, body []byte) fake.Outcome {
			if isEviction(r, body) {
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
				c.sleep(20 * time.Second)
				for len(permitStored) > 0 {
					<-permitStored
				}
			}
		}()
		c.startRollout(newRollout("spring"))
		c.awaitState("spring", rollout.Ended, 10*time.Minute)
	})
}

// TestMovedReplicaKeepsItsQuota drains replicas of a team that is at its quota and has jobs of lower
// urgency waiting. A replica releases its quota while it moves. If a waiting job took that quota, the
// replica would stay down and the rollout would wait forever.
func TestMovedReplicaKeepsItsQuota(t *testing.T) {
	t.Parallel()
	drainScenario(t, 4, drainOptions{capacity: 40}, func(t *testing.T, c *drainCluster) {
		c.startService("job-1", 6)
		for i := range 6 {
			c.submitToAny(0, newJob(fmt.Sprint("job-", 10+i), "array", 1).with("urgency", "low"))
		}
		c.sleep(time.Minute) // jobs of low urgency that have waited long come before later submissions
		c.startRollout(newRollout("spring"))
		c.awaitState("spring", rollout.Ended, 6*time.Minute)
		c.awaitTaskCount(time.Minute, "job-1", 6)
	})
}

// TestBlockedDrainWaitsAndReportsReason drains machines whose tasks can't be moved. No task may be
// stopped, the reason must be reported, and an abort must uncordon the machines.
func TestBlockedDrainWaitsAndReportsReason(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name, features     string
		reason             string // part of the reported reason
		budget             teamBudget
		replicas           int
		changes            []any // to the service's fields, as for jobSpec.with
		surge, allMachines bool
		capacity           int
	}{
		{name: "a budget of zero", features: `drains { default_budget { replicas_down: 0 } }`, reason: "of at most 0", replicas: 4, capacity: 40},
		{name: "one replica", reason: "last replica of job-1", budget: teamBudget{1, 2}, replicas: 1, allMachines: true, capacity: 40},
		{name: "replicas spread over zones", reason: "no other place that its job allows", budget: teamBudget{1, 2}, replicas: 2, changes: []any{"spread", true}, capacity: 40},
		{name: "no room anywhere", reason: "has no room elsewhere", budget: teamBudget{1, 2}, replicas: 4, changes: []any{"cores", 2, "ramGb", 8}, surge: true, allMachines: true, capacity: 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			options := drainOptions{capacity: test.capacity, features: test.features, budget: map[string]teamBudget{"red": test.budget}}
			drainScenario(t, 2, options, func(t *testing.T, c *drainCluster) {
				c.startService("job-1", test.replicas, test.changes...)
				spec := newRollout("spring")
				spec.Surge, spec.WaveSize = test.surge, 4
				if test.allMachines {
					spec.Select = rollout.Selection{Older: true}
				}
				plan, err := c.follower().rollouts.Plan(c.ctx, spec)
				if err != nil || len(plan.Waves) == 0 {
					t.Fatal(plan, err)
				}
				c.startRollout(spec)
				c.awaitBlocker(test.reason)
				c.consistently(3*time.Minute, "nothing is stopped", func() bool {
					return c.disruption.evictionCount("job-1") == 0 && c.runningCount("job-1") == test.replicas
				})
				c.executeCommand("spring", rollout.CommandAbort)
				c.awaitState("spring", rollout.Ended, time.Minute)
				c.awaitNoneCordoned(time.Minute)
			})
		})
	}
}

// TestDrainMovesPreemptibleWorkAndRecordsMoves drains machines with an array of low urgency, an array
// with checkpoints and a gang. All of them must continue on other machines, and the history of a
// moved job must contain the move.
func TestDrainMovesPreemptibleWorkAndRecordsMoves(t *testing.T) {
	t.Parallel()
	drainScenario(t, 4, drainOptions{capacity: 60}, func(t *testing.T, c *drainCluster) {
		c.submitToAny(0, newJob("job-1", "array", 4).with("urgency", "low"))
		c.submitToAny(0, newJob("job-2", "array", 2).with("bookmarkS", 10, "stashS", 1))
		c.submitToAny(0, newJob("job-3", "gang", 2).with("bookmarkS", 10, "stashS", 1))
		c.eventually(time.Minute, "all run", func() bool {
			return c.runningCount("job-1") == 4 && c.runningCount("job-2") == 2 && c.runningCount("job-3") == 2
		})
		c.sleep(8 * time.Second)
		spec := newRollout("spring")
		spec.DeadlineAction = rollout.StopAtDeadline
		c.startRollout(spec)
		c.awaitState("spring", rollout.Ended, 10*time.Minute)
		c.eventually(time.Minute, "all run elsewhere", func() bool {
			return c.runningCount("job-1") == 4 && c.runningCount("job-2") == 2 && c.runningCount("job-3") == 2
		})
		go c.completeRandomTasks("job-", 8, rand.New(rand.NewPCG(1, 1)))
		for _, id := range []string{"job-1", "job-2", "job-3"} {
			c.awaitStatus(2*time.Minute, "b", id, "done")
		}
		moved := 0
		for _, id := range []string{"job-1", "job-2", "job-3"} {
			moved += strings.Count(string(c.store.Value("end/"+id)), "by rollout spring, wave")
		}
		if moved == 0 {
			t.Error("no history of a job contains a move by the rollout")
		}
	})
}

// TestTasksWithoutCheckpointFinishUnlessDrainDeadlinePasses drains a machine whose tasks can't save a
// checkpoint. They must run to completion, or stop after the deadline if the rollout says so.
func TestTasksWithoutCheckpointFinishUnlessDrainDeadlinePasses(t *testing.T) {
	t.Parallel()
	for _, atDeadline := range []rollout.DeadlineAction{rollout.WaitAtDeadline, rollout.StopAtDeadline} {
		t.Run(string(atDeadline), func(t *testing.T) {
			t.Parallel()
			drainScenario(t, 1, drainOptions{capacity: 10}, func(t *testing.T, c *drainCluster) {
				c.submitToAny(0, newJob("job-1", "array", 2).with("yard", "north"))
				c.awaitTaskCount(time.Minute, "job-1", 2)
				spec := newRollout("spring", c.machinesIn("north")...)
				spec.DeadlineAction, spec.Deadline = atDeadline, 30
				c.startRollout(spec)
				c.awaitBlocker("can't save and runs to its end")
				c.consistently(25*time.Second, "it runs on", func() bool { return c.disruption.evictionCount("job-1") == 0 })
				if atDeadline == rollout.StopAtDeadline {
					c.awaitState("spring", rollout.Ended, 3*time.Minute)
					return
				}
				c.consistently(time.Minute, "it runs on", func() bool { return c.disruption.evictionCount("job-1") == 0 })
				for _, task := range []string{"job-1/0", "job-1/1"} {
					c.workerNamed(c.machinesRunning(task)[0]).EndTask(task, "done")
				}
				c.awaitState("spring", rollout.Ended, 3*time.Minute)
			})
		})
	}
}
