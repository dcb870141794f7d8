package worker

import (
	"testing"
	"time"
)

func TestRegistryIgnoresOutdatedReportsAndRenewsLeasesByAnsweredOnes(t *testing.T) {
	now := time.Now()
	registry := NewRegistry(20)
	machine := registry.Ensure("m", now, now.Add(time.Minute))
	if result := registry.RecordReport(machine, &Report{Incarnation: 2, Sequence: 5, FencingToken: 3}, now, true, 4); !result.Fresh {
		t.Fatal("the first report was not fresh")
	}
	if !machine.LeaseExpiresAt.Equal(now.Add(time.Minute)) {
		t.Error("the lease expiry was changed though an earlier leader may still answer the worker, which has not seen our token")
	}
	if result := registry.RecordReport(machine, &Report{Incarnation: 1, Sequence: 90}, now, false, 4); result.Fresh {
		t.Error("a report of an earlier incarnation was fresh")
	}
	if result := registry.RecordReport(machine, &Report{Incarnation: 2, Sequence: 5}, now, false, 4); result.Fresh {
		t.Error("a report was fresh a second time")
	}
	machine.UnconfirmedStarts = []UnconfirmedStart{{Task: "job-1/0", Attempt: 1, FencingToken: 4, Incarnation: 2}}
	registry.RecordReport(machine, &Report{Incarnation: 2, Sequence: 6, FencingToken: 4}, now, true, 4)
	if remaining := machine.LeaseExpiresAt.Sub(now); remaining < 20*time.Second || remaining > 21*time.Second {
		t.Errorf("after an answered report with our token the lease expires in %v, want 20 to 21 s", remaining)
	}
	if !machine.MayRestart("job-1/0", 1) {
		t.Error("an unconfirmed start was dropped though the worker may still execute it")
	}
	if result := registry.RecordReport(machine, &Report{Incarnation: 3, Sequence: 7, FencingToken: 4}, now, false, 4); !result.Restarted || machine.MayRestart("job-1/0", 1) {
		t.Error("a new incarnation was not reported as a restart, or an unconfirmed start of the earlier one was kept")
	}
}

func TestIncarnationLastsOneLeaseWithoutAnsweredHeartbeats(t *testing.T) {
	// Guards against a second start of tasks on a machine that answers probes but whose heartbeats
	// do not arrive: its lease was treated as expired before it had begun.
	now := time.Now()
	registry := NewRegistry(20)
	machine := registry.Ensure("m", now, now.Add(-time.Minute))
	registry.RecordReport(machine, &Report{Incarnation: 1, Sequence: 1}, now, false, 4)
	if remaining := machine.LeaseExpiresAt.Sub(now); remaining < 20*time.Second {
		t.Errorf("after the first report the lease expires in %v, want at least 20 s", remaining)
	}
	now = now.Add(30 * time.Second)
	registry.RecordReport(machine, &Report{Incarnation: 1, Sequence: 2}, now, false, 4)
	if machine.LeaseExpiresAt.After(now) {
		t.Error("an unanswered report renewed the lease")
	}
	registry.RecordReport(machine, &Report{Incarnation: 2, Sequence: 3}, now, false, 4)
	if remaining := machine.LeaseExpiresAt.Sub(now); remaining < 20*time.Second {
		t.Errorf("after the first report of a new incarnation the lease expires in %v, want at least 20 s", remaining)
	}
}
