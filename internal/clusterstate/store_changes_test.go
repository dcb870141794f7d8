package clusterstate

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

func TestApplyRejectsOversizeValueBeforeSending(t *testing.T) {
	// Guards against a leader's own key, such as a long list of machine types, that is
	// refused for its size and sent again for ever.
	synctest.Test(t, func(t *testing.T) {
		network, store := fake.NewNetwork(), fake.NewStore()
		network.Listen("state:1", store)
		store.SetLimits(2048, 4)
		client := state.NewClient("state:1", network.Client("a"), state.NewBudget(1000, 1000, 1, 0.6))
		cluster := newTestState()
		cluster.settings.Params.State.ValueKB = 2
		committer := newCommitter(cluster, client)
		long := []byte(`"` + strings.Repeat("x", 3000) + `"`)
		err := committer.Apply(context.Background(), []state.Op{{Put: record.TypesKey, Value: long}})
		if !errors.Is(err, state.ErrMalformed) || store.TooLarge > 0 {
			t.Errorf("%v; %d transactions were too large", err, store.TooLarge)
		}
		if err := committer.Apply(context.Background(), []state.Op{{Put: record.TypesKey, Value: []byte(`1`)}}); err != nil {
			t.Errorf("a small value: %v", err)
		}
	})
}

func TestTaskClearedOnlyOnceOutcomeIsStored(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	cluster.heartbeat("m1", "north", 1)
	cluster.submit(1, newRecord("job-1", "blue", record.Normal, 1, 1), now)
	cluster.Plan(now)
	cluster.markAllStored()
	machine := cluster.machines.Machines["m1"]
	machine.UnconfirmedStarts = nil // its answer came
	done := worker.TaskStatus{Task: "job-1/0", Attempt: 1, State: worker.StateExited, Cause: worker.CauseDone}
	if commands := cluster.heartbeat("m1", "north", 2, done); len(commands) != 0 {
		t.Fatalf("ordered %v before the outcome was stored", commands)
	}
	if commands := cluster.heartbeat("m1", "north", 3, done); len(commands) != 0 {
		t.Fatalf("ordered %v before the outcome was stored", commands)
	}
	cluster.markAllStored()
	if commands := cluster.heartbeat("m1", "north", 4, done); len(commands) != 1 || commands[0].Verb != "clear" {
		t.Fatalf("ordered %v", commands)
	}
	// With a late start unaccounted for, a cleared attempt could begin anew.
	machine.UnconfirmedStarts = []worker.UnconfirmedStart{{Task: "job-1/0", Attempt: 1, FencingToken: 7, Incarnation: 1}}
	if commands := cluster.heartbeat("m1", "north", 5, done); len(commands) != 0 {
		t.Fatalf("ordered %v although a late start may come", commands)
	}
}

func TestChangesOnlyThisLeaderKnowsAreStoredAtOnce(t *testing.T) {
	t.Parallel()
	// Outcomes wait for one another, since workers report them until they are
	// cleared. That a machine is gone, the next leader would learn much later.
	now := time.Now()
	cluster := newTestState()
	cluster.heartbeat("m1", "north", 1)
	cluster.submit(1, newRecord("job-1", "blue", record.Normal, 2, 1), now)
	cluster.Plan(now)
	limits := commit.LimitsOf(state.NewBudget(100, 100, 1, 0.6))
	commitOnce := func() int {
		group, _ := cluster.CollectChanges(limits)
		for _, change := range group {
			cluster.changeStored(change, change.Job.Revision+1)
		}
		cluster.NextBatches(1000)
		return len(group)
	}
	if commitOnce() != 1 {
		t.Fatal("the marker is not stored at once")
	}
	cluster.machines.Machines["m1"].UnconfirmedStarts = nil
	cluster.heartbeat("m1", "north", 2, worker.TaskStatus{Task: "job-1/0", Attempt: 1, State: worker.StateExited, Cause: worker.CauseDone},
		worker.TaskStatus{Task: "job-1/1", Attempt: 1, State: worker.StateRunning})
	if commitOnce() != 0 {
		t.Fatal("an outcome that may wait is stored by itself")
	}
	cluster.MachineTerminated("m1")
	if commitOnce() != 1 {
		t.Fatal("that a machine is gone waits")
	}
}
