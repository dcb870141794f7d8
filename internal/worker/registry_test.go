package worker

import (
	"testing"
	"time"
)

func TestRegistryCountsOnlyNewerReportsAndRunsLeasesFromAnsweredOnes(t *testing.T) {
	now := time.Now()
	registry := NewRegistry(20)
	machine := registry.Ensure("m", now, now.Add(time.Minute))
	if result := registry.Note(machine, &Report{Session: 2, Tick: 5, Token: 3}, now, true, 4); !result.Fresh {
		t.Fatal("the first report is new")
	}
	if !machine.LapseAt.Equal(now.Add(time.Minute)) {
		t.Error("before the worker has seen our token an earlier leader may still answer it")
	}
	if result := registry.Note(machine, &Report{Session: 1, Tick: 90}, now, false, 4); result.Fresh {
		t.Error("a report of an earlier incarnation counted")
	}
	if result := registry.Note(machine, &Report{Session: 2, Tick: 5}, now, false, 4); result.Fresh {
		t.Error("a report counted twice")
	}
	machine.LateStarts = []LateStart{{Task: "job-1/0", Attempt: 1, Token: 4, Session: 2}}
	registry.Note(machine, &Report{Session: 2, Tick: 6, Token: 4}, now, true, 4)
	if remaining := machine.LapseAt.Sub(now); remaining < 20*time.Second || remaining > 21*time.Second {
		t.Errorf("the lease surely expires after %v", remaining)
	}
	if !machine.MayRevive("job-1/0", 1) {
		t.Error("the late start was forgotten too early")
	}
	if result := registry.Note(machine, &Report{Session: 3, Tick: 7, Token: 4}, now, false, 4); !result.Moved || machine.MayRevive("job-1/0", 1) {
		t.Error("a new incarnation rejects late starts")
	}
}

func TestIncarnationLastsALeaseEvenIfNoHeartbeatOfItIsAnswered(t *testing.T) {
	// Guards against a machine that only answers probes, since its heartbeats find no way: its
	// lease was taken to have expired before it began, and its tasks were started a second time.
	now := time.Now()
	registry := NewRegistry(20)
	machine := registry.Ensure("m", now, now.Add(-time.Minute))
	registry.Note(machine, &Report{Session: 1, Tick: 1}, now, false, 4)
	if remaining := machine.LapseAt.Sub(now); remaining < 20*time.Second {
		t.Errorf("after its first report, it expires in %v", remaining)
	}
	now = now.Add(30 * time.Second)
	registry.Note(machine, &Report{Session: 1, Tick: 2}, now, false, 4)
	if machine.LapseAt.After(now) {
		t.Error("an answer to a probe renewed the lease")
	}
	registry.Note(machine, &Report{Session: 2, Tick: 3}, now, false, 4)
	if remaining := machine.LapseAt.Sub(now); remaining < 20*time.Second {
		t.Errorf("in a new incarnation, it expires in %v", remaining)
	}
}
