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
	// Regression: a job whose tasks fail wherever they run got machines quarantined and new ones
	// provisioned, and all of its tasks were retried again and again.
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(30)
		bad := newRecord("job-1", "blue", record.High, 60, 1)
		cluster.submit(1, bad, time.Now())
		good := newRecord("job-2", "blue", record.Normal, 60, 1)
		good.Spec.Class = "g"
		cluster.submit(1, good, time.Now())
		starts, most := 0, 0
		// Three minutes with one heartbeat per second.
		for sequence := ids.SequenceNumber(2); sequence < 180; sequence++ {
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
				goodJobAssigned := cluster.jobs.Get("job-2").Unassigned() == 0
				for _, demand := range demands {
					if demand.Request.Image == "i" && !demand.Headroom && demand.Count > 0 && goodJobAssigned {
						t.Fatalf("capacity is demanded for %d tasks that fail wherever they run", demand.Count)
					}
				}
				for _, assignment := range cluster.assignmentsOf("job-2") {
					if assignment.Stopping {
						t.Fatal("a task of the good job was preempted for the broken one")
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
			t.Errorf("the broken job had %d attempts in three minutes, with up to %d tasks at once", starts, most)
		}
		for _, machine := range cluster.machines.Machines {
			if machine.DrainReason != "" {
				t.Fatalf("%s is quarantined because of the broken job", machine.Name)
			}
		}
		if n := len(cluster.assignmentsOf("job-2")); n != 60 {
			t.Errorf("%d of 60 tasks of the good job are assigned", n)
		}
		lines := strings.Join(cluster.Explain("job-1"), "\n")
		if !strings.Contains(lines, "fail wherever they run") || !strings.Contains(lines, "next try in") {
			t.Errorf("the explanation does not name the failures and the next try: %s", lines)
		}
		// A new leader learns from the record that the job fails, and does not start all of its tasks
		// again.
		successor := newStateWithMachines(30)
		stored := cluster.jobs.Get("job-1").Record
		stored.Assignments = nil
		successor.submit(1, &stored, time.Now())
		successor.Plan(time.Now())
		if n := len(successor.assignmentsOf("job-1")); n != 1 {
			t.Errorf("a new leader assigns %d tasks of the broken job, want 1", n)
		}
		// A cancellation stops the job's tasks at once.
		cancelled := &record.Record{Spec: bad.Spec, Status: record.Cancelling, Writer: "user"}
		cluster.submit(99, cancelled, time.Now())
		for _, assignment := range cluster.assignmentsOf("job-1") {
			if !assignment.Stopping {
				t.Error("a task of the broken job is not being stopped after the cancellation")
			}
		}
	})
}

func TestJobFailingOnBadMachineCompletesAndMachineIsQuarantined(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(4)
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
			t.Errorf("after half a minute the status of the job is %s: %v", status, cluster.Explain("job-1"))
		}
		if cluster.machines.Machines[bad].DrainReason == "" {
			t.Error("the machine on which the job failed is not quarantined")
		}
	})
}

func TestLongRunningReplicaClearsFailingState(t *testing.T) {
	t.Parallel()
	// Guards against a service that counts as failing forever after its replicas failed on three bad
	// machines: unlike other jobs, a service never completes.
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(8)
		rec := newServiceRecord("job-1", "blue", record.Critical, 2, 1)
		cluster.submit(1, rec, time.Now())
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
			t.Errorf("the service counts as failing: %v; %d of 2 replicas are assigned", job.Failing(), len(job.Assignments))
		}
	})
}

func TestMachineQuarantinedOnlyForFailuresOfDifferentJobs(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	cluster.submit(1, newRecord("job-1", "blue", record.Normal, 1, 1), now)
	runTask := func(name ids.Machine, firstSequence ids.SequenceNumber, task string, attempt ids.Attempt, cause string) {
		status := worker.TaskStatus{Task: task, Attempt: attempt, State: worker.StateRunning}
		cluster.heartbeat(name, "north", firstSequence, status)
		status.State = worker.StateExited
		status.Cause = cause
		cluster.heartbeat(name, "north", firstSequence+1, status)
	}
	for i := range 6 {
		runTask(ids.Machine(fmt.Sprint("m", i)), 1, "job-1/0", ids.Attempt(i+1), worker.CauseError)
	}
	for i := range 6 {
		if machine := cluster.machines.Machines[ids.Machine(fmt.Sprint("m", i))]; machine.DrainReason != "" {
			t.Errorf("%s is quarantined for one job that fails everywhere", machine.Name)
		}
	}
	if retry := cluster.jobs.Get("job-1").Retries[0]; retry.Failures != 6 || time.Until(retry.NotBefore) < 30*time.Second {
		t.Errorf("the job has %d failures, want 6, and its next try is in %v", retry.Failures, time.Until(retry.NotBefore))
	}
	// A machine on which several jobs fail that complete elsewhere is quarantined.
	for n := range 2 {
		id := ids.Job(fmt.Sprint("job-10", n))
		cluster.submit(ids.Revision(n+5), newRecord(id, "blue", record.Normal, 1, 1), now)
		runTask("bad", ids.SequenceNumber(2*n+1), string(id)+"/0", 1, worker.CauseError)
		if cluster.machines.Machines["bad"].DrainReason != "" {
			t.Error("the machine is quarantined for jobs none of which has completed elsewhere yet")
		}
	}
	for n := range 2 {
		runTask("good", ids.SequenceNumber(2*n+1), fmt.Sprintf("job-10%d/0", n), 2, worker.CauseDone)
	}
	if cluster.machines.Machines["bad"].DrainReason == "" {
		t.Error("a machine on which different jobs fail is not quarantined")
	}
}
