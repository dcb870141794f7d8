package clusterstate

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

func TestBrokenJobBacksOffWithoutHarmingOthers(t *testing.T) {
	t.Parallel()
	// Found on days with such jobs: each cost machines their name and was rented
	// for, and all of its tasks were tried again and again.
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(t, 30)
		bad := newRecord("job-1", "blue", record.High, 60, 1)
		cluster.HandleRecord("job-1", 1, bad, time.Now())
		good := newRecord("job-2", "blue", record.Normal, 60, 1)
		good.Spec.Class = "g"
		cluster.HandleRecord("job-2", 1, good, time.Now())
		starts, most := 0, 0
		for sequence := ids.SequenceNumber(2); sequence < 180; sequence++ { // three minutes, a report a second
			now := time.Now()
			before := cluster.jobs.Get("job-1").Record.Attempt
			cluster.Plan(now)
			if sequence > 10 && cluster.jobs.Get("job-1").Record.Attempt > before {
				starts++
				most = max(most, len(cluster.assignmentsOf("job-1")))
			}
			cluster.markAllStored()
			if sequence > 10 {
				demands, _, _ := cluster.CapacityDemands(now)
				for _, demand := range demands {
					if demand.Request.Image == "i" && !demand.Headroom && demand.Count > 0 && cluster.jobs.Get("job-2").Unassigned() == 0 {
						t.Fatalf("rented for %d tasks that fail wherever they run", demand.Count)
					}
				}
				for _, assignment := range cluster.assignmentsOf("job-2") {
					if assignment.Stopping {
						t.Fatal("good work was stopped for it")
					}
				}
			}
			cluster.heartbeatAll(sequence, func(assignment *workload.Assignment) string {
				if assignment.Job.Record.Spec.ID == "job-1" {
					return worker.CauseError
				}
				return ""
			})
			time.Sleep(time.Second)
		}
		if starts == 0 || starts > 8 || most != 1 {
			t.Errorf("tried %d times in three minutes, up to %d tasks at once", starts, most)
		}
		for _, machine := range cluster.machines.Machines {
			if machine.DrainReason != "" {
				t.Fatalf("%s is blamed for it", machine.Name)
			}
		}
		if n := len(cluster.assignmentsOf("job-2")); n != 60 {
			t.Errorf("%d of 60 tasks of a good job run", n)
		}
		lines := strings.Join(cluster.Explain("job-1"), "\n")
		if !strings.Contains(lines, "fail wherever they run") || !strings.Contains(lines, "next try in") {
			t.Errorf("explained as %s", lines)
		}
		// A new leader knows it from the record, and does not start all of it again.
		successor := newStateWithMachines(t, 30)
		stored := cluster.jobs.Get("job-1").Record
		stored.Assignments = nil
		successor.HandleRecord("job-1", 1, &stored, time.Now())
		successor.Plan(time.Now())
		if n := len(successor.assignmentsOf("job-1")); n != 1 {
			t.Errorf("a new owner starts %d tasks of it", n)
		}
		// A cancel ends it at once.
		cluster.HandleRecord("job-1", 99, &record.Record{Spec: bad.Spec, Status: record.Cancelling, Writer: "user"}, time.Now())
		for _, assignment := range cluster.assignmentsOf("job-1") {
			if !assignment.Stopping {
				t.Error("a task goes on after the cancel")
			}
		}
	})
}

func TestJobFailingOnBadMachineCompletesAndMachineIsQuarantined(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(t, 4)
		cluster.submit(1, newRecord("job-1", "blue", record.Normal, 8, 1), time.Now())
		var bad ids.Machine
		for sequence := ids.SequenceNumber(2); sequence < 30; sequence++ {
			cluster.Plan(time.Now())
			cluster.markAllStored()
			if bad == "" {
				bad = cluster.assignmentsOf("job-1")[0].Machine
			}
			cluster.heartbeatAll(sequence, func(assignment *workload.Assignment) string {
				if assignment.Machine == bad {
					return worker.CauseError
				}
				return worker.CauseDone
			})
			time.Sleep(time.Second)
		}
		if status := cluster.jobs.Get("job-1").Record.Status; status != record.Done {
			t.Errorf("half a minute later it is %s: %v", status, cluster.Explain("job-1"))
		}
		if cluster.machines.Machines[bad].DrainReason == "" {
			t.Error("the machine on which it failed is still used")
		}
	})
}

func TestLongRunningReplicaClearsFailingState(t *testing.T) {
	t.Parallel()
	// It failed on three machines that were bad, and never completes by nature: it
	// must not count as failing for ever.
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(t, 8)
		rec := newServiceRecord("job-1", "blue", record.Critical, 2, 1)
		cluster.HandleRecord("job-1", 1, rec, time.Now())
		failed := map[ids.Machine]bool{}
		for sequence := ids.SequenceNumber(2); sequence < 120; sequence++ {
			cluster.Plan(time.Now())
			cluster.markAllStored()
			cluster.heartbeatAll(sequence, func(assignment *workload.Assignment) string {
				if failed[assignment.Machine] || len(failed) < 3 {
					failed[assignment.Machine] = true
					return worker.CauseError
				}
				return ""
			})
			time.Sleep(time.Second)
		}
		job := cluster.jobs.Get("job-1")
		if job.Failing() || len(job.Assignments) != 2 {
			t.Errorf("failing %v, %d of 2 replicas run", job.Failing(), len(job.Assignments))
		}
	})
}

func TestMachineQuarantinedOnlyForFailuresOfDifferentJobs(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	cluster.submit(1, newRecord("job-1", "blue", record.Normal, 1, 1), now)
	fail := func(name ids.Machine, attempt ids.Attempt, sequence ids.SequenceNumber) {
		cluster.heartbeat(name, "north", sequence, worker.TaskStatus{Task: "job-1/0", Attempt: attempt, State: worker.StateRunning})
		cluster.heartbeat(name, "north", sequence+1, worker.TaskStatus{Task: "job-1/0", Attempt: attempt, State: worker.StateExited, Cause: worker.CauseError})
	}
	for i := range 6 {
		fail(ids.Machine(fmt.Sprint("m", i)), ids.Attempt(i+1), 1)
	}
	for i := range 6 {
		if machine := cluster.machines.Machines[ids.Machine(fmt.Sprint("m", i))]; machine.DrainReason != "" {
			t.Errorf("%s is drained for one job that fails everywhere", machine.Name)
		}
	}
	if retry := cluster.jobs.Get("job-1").Retries[0]; retry.Failures != 6 || time.Until(retry.NotBefore) < 30*time.Second {
		t.Errorf("%d failures, next try in %v", retry.Failures, time.Until(retry.NotBefore))
	}
	// Jobs that fail on one machine and complete on another condemn it.
	for n := range 2 {
		id := ids.Job(fmt.Sprint("job-10", n))
		cluster.submit(ids.Revision(n+5), newRecord(id, "blue", record.Normal, 1, 1), now)
		cluster.heartbeat("bad", "north", ids.SequenceNumber(2*n+1), worker.TaskStatus{Task: string(id) + "/0", Attempt: 1, State: worker.StateRunning})
		cluster.heartbeat("bad", "north", ids.SequenceNumber(2*n+2), worker.TaskStatus{Task: string(id) + "/0", Attempt: 1, State: worker.StateExited, Cause: worker.CauseError})
		if cluster.machines.Machines["bad"].DrainReason != "" {
			t.Error("condemned by jobs of which nothing completed yet")
		}
	}
	for n := range 2 {
		task := fmt.Sprintf("job-10%d/0", n)
		cluster.heartbeat("good", "north", ids.SequenceNumber(2*n+1), worker.TaskStatus{Task: task, Attempt: 2, State: worker.StateRunning})
		cluster.heartbeat("good", "north", ids.SequenceNumber(2*n+2), worker.TaskStatus{Task: task, Attempt: 2, State: worker.StateExited, Cause: worker.CauseDone})
	}
	if cluster.machines.Machines["bad"].DrainReason == "" {
		t.Error("a machine on which different jobs fail is still used")
	}
}
