package clusterstate

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

func TestPreemptionFollowsPriorityAndQuota(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	cluster.heartbeat("m1", "north", 1)
	cluster.submit(1, newRecord("job-1", "blue", record.Normal, 4, 1), now)
	cluster.Plan(now)
	cluster.markAllStored()
	if len(cluster.capacity.AssignmentsOn("m1")) != 4 {
		t.Fatal("the first job is not assigned")
	}
	// A job of the same priority beyond its team's guarantee waits.
	cluster.submit(2, newRecord("job-2", "red", record.Normal, 5, 1), now)
	cluster.Plan(now)
	for assignment := range cluster.capacity.AssignmentsOn("m1") {
		if assignment.Stopping {
			t.Fatal("a task is preempted by a job of the same priority")
		}
	}
	// A critical job preempts lower priorities, and only as much as it needs.
	cluster.submit(3, newRecord("job-3", "red", record.Critical, 1, 2), now)
	cluster.Plan(now)
	if stopping := cluster.countStopping("job-1"); stopping != 2 {
		t.Fatalf("%d tasks of one core are preempted for a task of two cores", stopping)
	}
	if job := cluster.jobs.Get("job-3"); !strings.Contains(job.PendingReason, "m1") {
		t.Errorf("the pending reason of the critical job is %q, want one that names m1", job.PendingReason)
	}
}

func TestTeamLimitBoundsAssignments(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	cluster.addMachines("m", 20, "north")
	cluster.submit(1, newRecord("job-1", "red", record.Normal, 60, 1), now)
	cluster.Plan(now)
	cluster.Plan(now)
	if n := len(cluster.assignmentsOf("job-1")); n != 40 {
		t.Errorf("%d cores are assigned, want the limit of 40", n)
	}
}

func TestTeamAtLimitPreemptsOwnLowerPriorityWork(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	cluster.addMachines("m", 20, "north")
	cluster.submit(1, newRecord("job-1", "red", record.Normal, 60, 1), now)
	cluster.Plan(now)
	cluster.markAllStored()
	cluster.submit(2, newRecord("job-2", "red", record.Critical, 1, 2), now)
	cluster.Plan(now)
	cluster.Plan(now)
	stopping, reason := cluster.countStopping("job-1"), cluster.jobs.Get("job-2").PendingReason
	if stopping != 2 || !strings.Contains(reason, "limit") {
		t.Errorf("%d tasks of one core are preempted for a task of two cores, whose pending reason is %q", stopping, reason)
	}
}

func TestPreemptionSurplusUsedByAllCriticalJobs(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	for _, name := range []ids.Machine{"m1", "m2", "m3"} {
		cluster.heartbeat(name, "north", 1)
	}
	cluster.submit(1, newRecord("job-1", "blue", record.Normal, 3, 4), now)
	cluster.Plan(now)
	cluster.markAllStored()
	for name := range cluster.machines.Machines {
		for assignment := range cluster.capacity.AssignmentsOn(name) {
			assignment.Confirmed = true
		}
	}
	for i := range 3 {
		id := ids.Job(fmt.Sprint("job-2", i))
		cluster.submit(ids.Revision(i+2), newRecord(id, "blue", record.Critical, 1, 1), now)
	}
	cluster.Plan(now) // each preempts a task of four cores for one core
	cluster.removeStoppingAssignments()
	for i := range 9 {
		id := ids.Job(fmt.Sprint("job-3", i))
		cluster.submit(ids.Revision(i+9), newRecord(id, "blue", record.Critical, 1, 1), now)
	}
	cluster.Plan(now.Add(50 * time.Millisecond))
	assigned := 0
	for id, job := range cluster.jobs.All() {
		if id != "job-1" {
			assigned += len(job.Assignments)
		}
	}
	if assigned != 12 {
		t.Errorf("%d of 12 critical tasks are assigned to twelve free cores", assigned)
	}
}

func TestCheckpointSkippedWhenLittleWorkWouldBeLost(t *testing.T) {
	t.Parallel()
	now := time.Now()
	job := &workload.Job{Record: *newRecord("job-1", "blue", record.Low, 1, 4)}
	job.Record.Spec.CheckpointInterval = 60
	job.Record.Spec.CheckpointDuration = 5
	for _, test := range []struct {
		runtime      time.Duration
		littleToSave bool
	}{
		{2 * time.Second, true},
		{40 * time.Second, false},
		{65 * time.Second, true},
	} {
		t.Run(test.runtime.String(), func(t *testing.T) {
			assignment := &workload.Assignment{Job: job, RunningSince: now.Add(-test.runtime)}
			if got := assignment.LittleToSave(now); got != test.littleToSave {
				t.Errorf("LittleToSave returns %v, want %v", got, test.littleToSave)
			}
		})
	}
}
