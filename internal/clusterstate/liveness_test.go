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
	// Found on a day of an earlier deployment: a leader gave way nine seconds after its
	// takeover for workers that were there, since their peer's word took longer than
	// they did.
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(t, 40)
		cluster.settings.Params.Workers.ReportS = 10
		redirectedWorkers := func(ago time.Duration) (workers []liveness.RedirectedWorker) {
			for i := range 40 {
				workers = append(workers, liveness.RedirectedWorker{Machine: ids.Machine(fmt.Sprintf("host-%06d", i)), Ago: ago})
			}
			return workers
		}
		time.Sleep(9 * time.Second) // all reported at once, and none since
		if cluster.IsolatedFromWorkers(redirectedWorkers(9*time.Second), time.Now()) || cluster.IsolatedFromWorkers(redirectedWorkers(3*time.Second), time.Now()) {
			t.Error("gives way for workers that are not overdue")
		}
		time.Sleep(4 * time.Second)
		if cluster.IsolatedFromWorkers(redirectedWorkers(13*time.Second-50*time.Millisecond), time.Now()) {
			t.Error("gives way for workers that arrived right after they were sent on")
		}
		if !cluster.IsolatedFromWorkers(redirectedWorkers(3*time.Second), time.Now()) {
			t.Error("keeps the pool, though nobody is heard and others reach another node")
		}
	})
}

func TestProbesRotateAndMachinesWithReplicasGoFirst(t *testing.T) {
	t.Parallel()
	// Guards against hundreds of silent machines using up the questions, again
	// and again the same ones, while one with a replica waits.
	cluster := newStateWithMachines(t, 300)
	now := time.Now()
	service := newServiceRecord("job-1", "blue", record.Critical, 1, 1)
	cluster.HandleRecord("job-1", 1, service, now)
	cluster.Plan(now)
	machineWithReplica := cluster.assignmentsOf("job-1")[0].Machine
	for _, machine := range cluster.machines.Machines {
		machine.LastReportAt = now.Add(-time.Minute)
	}
	probed := map[ids.Machine]int{}
	for round := range 20 {
		for k, probe := range cluster.DueProbes(now.Add(time.Duration(round)*time.Second), 20) {
			if round == 0 && k == 0 && probe.Machine != machineWithReplica {
				t.Errorf("%s was asked first, not %s, which has a replica", probe.Machine, machineWithReplica)
			}
			probed[probe.Machine]++
			cluster.ProbeAnswered(probe.Machine, false)
		}
	}
	if len(probed) < 280 {
		t.Errorf("400 questions went to %d of 300 silent machines", len(probed))
	}
}

func TestMachineWithOneWayPartitionIsReplaced(t *testing.T) {
	t.Parallel()
	// Guards against a cut of one direction: its beats come in, so that it looks
	// well, but no start and no answer ever reaches it.
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
	cluster.BatchAnswered(batches[0], worker.OutcomeUnknown)
	cluster.heartbeat(unreachable, "north", 2)
	cluster.submit(2, newRecord("job-2", "blue", record.Normal, 12, 1), now)
	cluster.Plan(now)
	if n := len(cluster.capacity.AssignmentsOn(unreachable)); n != 1 {
		t.Fatalf("%d tasks on a machine that does not answer, not only the uncertain one", n)
	}
	machine := cluster.machines.Machines[unreachable]
	for sequence := ids.SequenceNumber(3); sequence < 6; sequence++ {
		cluster.ProbeAnswered(unreachable, false)
		for i := range 6 {
			cluster.heartbeat(ids.Machine(fmt.Sprint("m", i)), "north", sequence) // its own beats, too
		}
	}
	machine.UnreachableSince = now.Add(-10 * time.Second)
	machine.SuspectSince = now.Add(-10 * time.Second)
	if assignment := cluster.assignmentsOf("job-1")[0]; assignment == nil || assignment.Machine != unreachable {
		t.Fatal("the uncertain start was given up without evidence")
	}
	if terminated := cluster.machinesToTerminate(time.Now()); len(terminated) != 1 || terminated[0] != unreachable {
		t.Fatalf("returned %v, not %s alone", terminated, unreachable)
	}
	cluster.MachineTerminated(unreachable) // the cloud's word is the evidence
	cluster.Plan(now)
	if assignment := cluster.assignmentsOf("job-1")[0]; assignment == nil || assignment.Machine == unreachable {
		t.Fatal("the job does not go on elsewhere")
	}
	// One answered question makes a machine whole again.
	other := ids.Machine("m0")
	if unreachable == other {
		other = "m1"
	}
	cluster.ProbeAnswered(other, false)
	if cluster.machines.Machines[other].Schedulable(now, 2) {
		t.Error("a machine that left a question unanswered takes work")
	}
	cluster.ProbeAnswered(other, true)
	if !cluster.machines.Machines[other].Schedulable(now, 2) {
		t.Error("a machine that answers again takes no work")
	}
}

func TestSilentMachineWithReplicaTerminatedBeforeReportInterval(t *testing.T) {
	t.Parallel()
	cluster := newTestState()
	cluster.settings.Params.Workers.ReportS = 10
	now := time.Now()
	cluster.addMachines("m", 8, "north")
	service := newServiceRecord("job-1", "blue", record.Critical, 1, 4)
	cluster.HandleRecord("job-1", 1, service, now)
	cluster.submit(2, newRecord("job-2", "blue", record.Normal, 1, 4), now)
	cluster.Plan(now)
	cluster.markAllStored()
	withReplica, withoutReplica := cluster.assignmentsOf("job-1")[0].Machine, cluster.assignmentsOf("job-2")[0].Machine
	for _, machine := range cluster.machines.Machines {
		machine.LastReportAt = now.Add(-3 * time.Second)
	}
	probed := map[ids.Machine]bool{}
	for _, probe := range cluster.DueProbes(now, 100) {
		probed[probe.Machine] = true
	}
	if !probed[withReplica] || len(probed) != 1 {
		t.Fatalf("asked %v, not only %s, which has a replica", probed, withReplica)
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
		t.Fatalf("returned %v, not %s", terminated, withReplica)
	}
	// One unanswered question may be bad luck.
	cluster.machines.Machines[withoutReplica].UnansweredProbes = 1
	cluster.machines.Machines[withoutReplica].LastReportAt = now.Add(-12 * time.Second)
	if terminated := cluster.machinesToTerminate(now); len(terminated) != 1 {
		t.Fatalf("returned %v after one question", terminated)
	}
}
