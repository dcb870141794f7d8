package clusterstate

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

func TestApplyRejectsOversizeValueBeforeSending(t *testing.T) {
	// Guards against a value of the leader's own, such as a long list of instance types, that the store
	// rejects for its size and that is sent again forever.
	synctest.Test(t, func(t *testing.T) {
		_, store, client := newTestStore()
		store.SetLimits(2048, 4)
		cluster := newTestState()
		cluster.settings.Params.State.ValueKB = 2
		committer := newCommitter(cluster, client)
		oversize := []byte(`"` + strings.Repeat("x", 3000) + `"`)
		err := committer.Apply(context.Background(), []state.Op{{Put: record.TypesKey, Value: oversize}})
		if !errors.Is(err, state.ErrMalformed) || store.TooLarge > 0 {
			t.Errorf("Apply returned %v; %d transactions were too large", err, store.TooLarge)
		}
		if err := committer.Apply(context.Background(), []state.Op{{Put: record.TypesKey, Value: []byte(`1`)}}); err != nil {
			t.Errorf("apply a small value: %v", err)
		}
	})
}

func TestTaskClearedOnlyOnceOutcomeIsStored(t *testing.T) {
	t.Parallel()
	cluster := newTestState()
	cluster.startTaskDirectly()
	done := newExitedStatus("job-1/0", worker.CauseDone)
	if commands := cluster.heartbeat("m1", "north", 2, done); len(commands) != 0 {
		t.Fatalf("the heartbeat was answered with %v before the outcome was stored, want no commands", commands)
	}
	if commands := cluster.heartbeat("m1", "north", 3, done); len(commands) != 0 {
		t.Fatalf("the heartbeat was answered with %v before the outcome was stored, want no commands", commands)
	}
	cluster.markAllStored()
	if commands := cluster.heartbeat("m1", "north", 4, done); len(commands) != 1 || commands[0].Verb != "clear" {
		t.Fatalf("the heartbeat was answered with %v, want one clear", commands)
	}
	if token := cluster.machines.Machines["m1"].CommandToken(cluster.tokens); token <= testGeneration {
		t.Fatalf("the clear was sent under token %d, want a higher one than the start's %d", token, testGeneration)
	}
}

func TestClearWaitsUntilFurtherTokensAreReserved(t *testing.T) {
	t.Parallel()
	cluster := newTestState()
	cluster.tokens.Last = cluster.tokens.First
	cluster.startTaskDirectly()
	done := newExitedStatus("job-1/0", worker.CauseDone)
	cluster.heartbeat("m1", "north", 2, done)
	cluster.markAllStored()
	if commands := cluster.heartbeat("m1", "north", 3, done); len(commands) != 0 || !cluster.raisePending {
		t.Fatalf("the heartbeat was answered with %v, further tokens requested: %v", commands, cluster.raisePending)
	}
	cluster.GenerationRaised(cluster.generation() + 9)
	if commands := cluster.heartbeat("m1", "north", 4, done); len(commands) != 1 || commands[0].Verb != "clear" {
		t.Errorf("the heartbeat was answered with %v after tokens were reserved, want one clear", commands)
	}
	if token := cluster.machines.Machines["m1"].CommandToken(cluster.tokens); token != testGeneration+1 {
		t.Errorf("the clear was sent under token %d, want %d", token, testGeneration+1)
	}
}

func TestChangesOnlyThisLeaderKnowsAreStoredAtOnce(t *testing.T) {
	t.Parallel()
	// Outcomes are batched, since workers report them until they are cleared. The termination of a machine
	// is stored at once, since the next leader would learn of it much later.
	now := time.Now()
	cluster := newTestState()
	cluster.heartbeat("m1", "north", 1)
	cluster.submit(1, newRecord("job-1", "blue", record.Normal, 2, 1), now)
	cluster.Plan(now)
	limits := commit.NewLimits(state.NewBudget(100, 100, 1, 0.6))
	commitOnce := func() int {
		group, _ := cluster.CollectChanges(limits)
		for _, change := range group {
			cluster.recordStoredChange(change, change.Job.Revision+1)
		}
		cluster.NextBatches(1000)
		return len(group)
	}
	if commitOnce() != 1 {
		t.Fatal("the assignments are not stored at once")
	}
	cluster.machines.Machines["m1"].UnconfirmedStarts = nil
	done := newExitedStatus("job-1/0", worker.CauseDone)
	running := newStatus("job-1/1", worker.StateRunning)
	cluster.heartbeat("m1", "north", 2, done, running)
	if commitOnce() != 0 {
		t.Fatal("an outcome that could be batched is stored alone")
	}
	cluster.MachineTerminated("m1")
	if commitOnce() != 1 {
		t.Fatal("the termination of a machine is not stored at once")
	}
}
