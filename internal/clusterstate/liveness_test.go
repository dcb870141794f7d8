package clusterstate

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/liveness"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

func TestLeaderIsolatedOnlyByOverdueRedirectedWorkers(t *testing.T) {
	t.Parallel()
	// Regression: a leader stepped down nine seconds after its takeover. A peer had redirected workers to
	// it, but the peer's message about that arrived after the workers had reported, so the leader counted
	// these workers as unable to reach it.
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(40)
		cluster.settings.Params.Workers.ReportS = 10
		redirectedWorkers := func(ago time.Duration) (workers []liveness.RedirectedWorker) {
			for i := range 40 {
				workers = append(workers, liveness.RedirectedWorker{Machine: ids.Machine(fmt.Sprintf("host-%06d", i)), Ago: ago})
			}
			return workers
		}
		time.Sleep(9 * time.Second) // all have reported once, and none since
		for _, ago := range []time.Duration{9 * time.Second, 3 * time.Second} {
			if cluster.IsolatedFromWorkers(redirectedWorkers(ago), time.Now()) {
				t.Errorf("the leader counts as isolated by workers redirected %v ago that are not overdue", ago)
			}
		}
		time.Sleep(4 * time.Second)
		if cluster.IsolatedFromWorkers(redirectedWorkers(13*time.Second-50*time.Millisecond), time.Now()) {
			t.Error("the leader counts as isolated by workers that reported right after they were redirected")
		}
		if !cluster.IsolatedFromWorkers(redirectedWorkers(3*time.Second), time.Now()) {
			t.Error("the leader does not count as isolated, although no worker reports to it and workers reach another controller")
		}
	})
}

func TestProbesRotateAndMachinesWithReplicasGoFirst(t *testing.T) {
	t.Parallel()
	// Guards against probing the same few of hundreds of silent machines again and again while a machine
	// with a replica is not probed.
	cluster := newStateWithMachines(300)
	now := time.Now()
	service := newServiceRecord("job-1", "blue", record.Critical, 1, 1)
	cluster.submit(1, service, now)
	cluster.Plan(now)
	machineWithReplica := cluster.assignmentsOf("job-1")[0].Machine
	for _, machine := range cluster.machines.Machines {
		machine.LastReportAt = now.Add(-time.Minute)
	}
	probed := map[ids.Machine]int{}
	for round := range 20 {
		for position, probe := range cluster.SelectProbes(now.Add(time.Duration(round)*time.Second), 20) {
			if round == 0 && position == 0 && probe.Machine != machineWithReplica {
				t.Errorf("%s was probed first, want %s, which has a replica", probe.Machine, machineWithReplica)
			}
			probed[probe.Machine]++
			cluster.RecordProbeAnswer(probe.Machine, false)
		}
	}
	if len(probed) < 280 {
		t.Errorf("400 probes went to %d of 300 silent machines", len(probed))
	}
}

func TestMachineWithOneWayPartitionIsReplaced(t *testing.T) {
	t.Parallel()
	// Guards against a one-way partition: the machine's heartbeats arrive, so that it looks healthy, but
	// no start and no answer ever reaches it.
	now := time.Now()
	cluster := newTestState()
	cluster.addMachines("m", 6, "north")
	cluster.submit(1, newRecord("job-1", "blue", record.Normal, 1, 1), now)
	cluster.Plan(now)
	for _, job := range cluster.jobs.All() {
		job.StoredVersion = job.Version
	}
	batches := cluster.NextBatches(1000)
	if len(batches) != 1 {
		t.Fatalf("%d batches for one task", len(batches))
	}
	unreachable := batches[0].Machine
	cluster.RecordBatchOutcome(batches[0], worker.OutcomeUnknown)
	cluster.heartbeat(unreachable, "north", 2)
	cluster.submit(2, newRecord("job-2", "blue", record.Normal, 12, 1), now)
	cluster.Plan(now)
	if n := len(cluster.capacity.AssignmentsOn(unreachable)); n != 1 {
		t.Fatalf("%d tasks on a machine that does not answer, want only the one whose start is unconfirmed", n)
	}
	machine := cluster.machines.Machines[unreachable]
	for sequence := ids.SequenceNumber(3); sequence < 6; sequence++ {
		cluster.RecordProbeAnswer(unreachable, false)
		for i := range 6 {
			// The unreachable machine's own heartbeats arrive, too.
			cluster.heartbeat(ids.Machine(fmt.Sprint("m", i)), "north", sequence)
		}
	}
	machine.UnreachableSince = now.Add(-10 * time.Second)
	machine.SuspectSince = now.Add(-10 * time.Second)
	if assignment := cluster.assignmentsOf("job-1")[0]; assignment == nil || assignment.Machine != unreachable {
		t.Fatal("the assignment with the unconfirmed start was removed without proof that its task does not run")
	}
	if terminated := cluster.machinesToTerminate(time.Now()); len(terminated) != 1 || terminated[0] != unreachable {
		t.Fatalf("terminating %v, want %s alone", terminated, unreachable)
	}
	cluster.MachineTerminated(unreachable) // the cloud confirmed it, so the start cannot take effect any more
	cluster.Plan(now)
	if assignment := cluster.assignmentsOf("job-1")[0]; assignment == nil || assignment.Machine == unreachable {
		t.Fatal("the task is not reassigned elsewhere")
	}
	// One answered probe makes a machine schedulable again.
	other := ids.Machine("m0")
	if unreachable == other {
		other = "m1"
	}
	cluster.RecordProbeAnswer(other, false)
	if cluster.machines.Machines[other].Schedulable(now, 2) {
		t.Error("a machine that left a probe unanswered is schedulable")
	}
	cluster.RecordProbeAnswer(other, true)
	if !cluster.machines.Machines[other].Schedulable(now, 2) {
		t.Error("a machine that answers again is not schedulable")
	}
}

func TestSilentMachineWithReplicaTerminatedBeforeReportInterval(t *testing.T) {
	t.Parallel()
	cluster := newTestState()
	cluster.settings.Params.Workers.ReportS = 10
	now := time.Now()
	cluster.addMachines("m", 8, "north")
	service := newServiceRecord("job-1", "blue", record.Critical, 1, 4)
	cluster.submit(1, service, now)
	cluster.submit(2, newRecord("job-2", "blue", record.Normal, 1, 4), now)
	cluster.Plan(now)
	cluster.markAllStored()
	withReplica := cluster.assignmentsOf("job-1")[0].Machine
	withoutReplica := cluster.assignmentsOf("job-2")[0].Machine
	for _, machine := range cluster.machines.Machines {
		machine.LastReportAt = now.Add(-3 * time.Second)
	}
	probed := map[ids.Machine]bool{}
	for _, probe := range cluster.SelectProbes(now, 100) {
		probed[probe.Machine] = true
	}
	if !probed[withReplica] || len(probed) != 1 {
		t.Fatalf("probed %v, want only %s, which has a replica", probed, withReplica)
	}
	for _, machine := range cluster.machines.Machines {
		machine.LastReportAt = now
	}
	for _, name := range []ids.Machine{withReplica, withoutReplica} {
		machine := cluster.machines.Machines[name]
		machine.LastReportAt = now.Add(-4500 * time.Millisecond)
		machine.SuspectSince = now.Add(-2 * time.Second)
		machine.UnansweredProbes = 2
	}
	if terminated := cluster.machinesToTerminate(now); len(terminated) != 1 || terminated[0] != withReplica {
		t.Fatalf("terminating %v, want only %s, which has a replica", terminated, withReplica)
	}
	// A single unanswered probe may be a lost message.
	cluster.machines.Machines[withoutReplica].UnansweredProbes = 1
	cluster.machines.Machines[withoutReplica].LastReportAt = now.Add(-12 * time.Second)
	if terminated := cluster.machinesToTerminate(now); len(terminated) != 1 {
		t.Fatalf("terminating %v, want no more after a single unanswered probe", terminated)
	}
}
