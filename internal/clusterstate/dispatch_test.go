package clusterstate

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/dispatch"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

func TestDispatchToLiveMachinesNotBlockedBySilentOnes(t *testing.T) {
	t.Parallel()
	// Guards against commands to lost machines, whether lost a moment or long ago, that occupy all of the
	// dispatcher's concurrent sends until they time out.
	for _, knownSilent := range []bool{false, true} {
		t.Run(fmt.Sprintf("known as silent %v", knownSilent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer synctest.Wait()
				defer cancel()
				const (
					machinesPerZone = 200
					liveTasks       = 4 * machinesPerZone // one per core
				)
				cluster, network := newStateWithMachines(0), fake.NewNetwork()
				network.SetRule(func(_, to string, _ *http.Request, _ []byte) fake.Outcome {
					if strings.HasPrefix(to, "lost") {
						return fake.Drop
					}
					return fake.Deliver
				})
				for i := range machinesPerZone {
					cluster.heartbeat(ids.Machine(fmt.Sprintf("lost-%03d", i)), "south", 1)
				}
				time.Sleep(100 * time.Millisecond)
				for i := range machinesPerZone {
					name := ids.Machine(fmt.Sprintf("host-%03d", i))
					network.Listen(string(name)+":1", newWorkerHandler(t, name))
					cluster.heartbeat(name, "north", 1)
				}
				now := time.Now()
				for i := range 2 * liveTasks / 100 {
					id := ids.Job(fmt.Sprint("job-", i))
					cluster.submit(ids.Revision(i+1), newRecord(id, "blue", record.Normal, 100, 1), now)
				}
				cluster.Plan(now)
				for _, job := range cluster.jobs.All() {
					cluster.markStored(job)
				}
				if knownSilent {
					for name, machine := range cluster.machines.Machines {
						if strings.HasPrefix(string(name), "lost") {
							machine.UnansweredProbes = 2
							machine.SuspectSince = now
							machine.LastProbeAt = now
						}
					}
				}
				commander := &worker.Commander{HTTP: network.Client("a"), Timeout: 3 * time.Second}
				dispatcher := dispatch.New(cluster, commander, 16, func() bool { return true })
				go dispatcher.Run(ctx)
				wait.For(ctx, time.Second)
				cluster.mu.Lock()
				defer cluster.mu.Unlock()
				confirmed, sent := 0, 0
				for name, node := range cluster.capacity.Nodes() {
					for assignment := range node.Assignments {
						if assignment.Confirmed {
							confirmed++
						} else if assignment.StartSent && strings.HasPrefix(string(name), "lost") {
							sent++
						}
					}
				}
				if confirmed != liveTasks {
					t.Errorf("%d of %d tasks on live machines started within a second", confirmed, liveTasks)
				}
				if knownSilent && sent > 0 {
					t.Errorf("%d starts were sent to machines known to be silent", sent)
				}
			})
		})
	}
}

func TestAssignmentDroppedOnlyIfStartCannotArrive(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	cluster.heartbeat("m1", "north", 1)
	cluster.submit(1, newRecord("job-1", "blue", record.Normal, 1, 1), now)
	cluster.Plan(now)
	job := cluster.jobs.Get("job-1")
	cluster.RecordProbeAnswer("m1", false)
	if len(job.Assignments) != 0 {
		t.Fatal("the assignment is kept although its start was never sent and its machine is silent")
	}
	// A start for which no connection was established cannot arrive either.
	cluster.heartbeat("m2", "north", 1)
	cluster.Plan(now)
	cluster.markStored(job)
	batches := cluster.NextBatches(10)
	if len(batches) != 1 || batches[0].Machine != "m2" {
		t.Fatalf("batches %v, want one to m2", batches)
	}
	cluster.RecordBatchOutcome(batches[0], worker.NotSent)
	if len(job.Assignments) != 0 || len(cluster.machines.Machines["m2"].UnconfirmedStarts) != 0 {
		t.Fatal("the assignment is kept although its start cannot arrive")
	}
	// A start whose outcome is unknown may arrive, so its assignment is kept.
	cluster.heartbeat("m3", "north", 1)
	cluster.Plan(now)
	cluster.markStored(job)
	batches = cluster.NextBatches(10)
	cluster.RecordBatchOutcome(batches[0], worker.OutcomeUnknown)
	if len(job.Assignments) != 1 || len(cluster.machines.Machines["m3"].UnconfirmedStarts) != 1 {
		t.Fatal("the assignment is removed although its start may still arrive")
	}
}

func TestTaskReassignedWhenWorkerIncarnationEndsBeforeStart(t *testing.T) {
	t.Parallel()
	// Regression: after a zone partition healed, replicas were assigned to worker incarnations that
	// ended before the assignment was stored. No start was sent, no worker reported the tasks, and they
	// stayed down.
	now := time.Now()
	cluster := newTestState()
	cluster.heartbeat("m1", "north", 1)
	cluster.submit(1, newRecord("job-1", "blue", record.Normal, 2, 1), now)
	cluster.Plan(now)
	report := newReport("m1", "north", 2)
	report.Incarnation = 2
	cluster.ReconcileHeartbeat(report)
	job := cluster.jobs.Get("job-1")
	cluster.markStored(job)
	cluster.Plan(now)
	cluster.markStored(job)
	if got := cluster.NextBatches(10); len(got) != 1 || got[0].Incarnation != 2 || len(got[0].Commands) != 2 {
		t.Fatalf("sent %+v, want one batch with both starts to the second incarnation", got)
	}
}

func TestGangTaskWithCachedImageStartsOnceOthersPulled(t *testing.T) {
	t.Parallel()
	// Guards against gang tasks that repeatedly time out waiting for the other tasks of the gang while
	// those pull a large image.
	cluster, job := newStateWithGang(time.Now())
	if len(job.Assignments) != 2 {
		t.Fatal("the gang is not assigned")
	}
	if started := cluster.machinesWithStarts(); !started["cold"] || started["warm"] {
		t.Fatalf("starts were sent to %v, want only cold", started)
	}
	tasks := taskNamesByMachine(job)
	if commands := cluster.heartbeat("warm", "north", 2); len(commands) != 0 {
		t.Fatalf("the heartbeat was answered with %v, want no commands", commands)
	}
	cluster.heartbeat("cold", "north", 2, newStatus(tasks["cold"], worker.StatePulling))
	if started := cluster.machinesWithStarts(); started["warm"] {
		t.Fatal("the start was sent while the other task still pulls its image")
	}
	cluster.heartbeat("cold", "north", 3, newStatus(tasks["cold"], worker.StateWaiting))
	if started := cluster.machinesWithStarts(); !started["warm"] {
		t.Fatal("the start was not sent although the other task waits for the gang")
	}
}

func TestTaskReassignedToSameMachineIsClearedFirst(t *testing.T) {
	t.Parallel()
	// Guards against applying the outcome of an ended gang task to its replacement on the same machine,
	// which has the same attempt number: the replacement was then reassigned in each planning pass.
	now := time.Now()
	cluster, job := newStateWithGang(now)
	cluster.machinesWithStarts()
	tasks := taskNamesByMachine(job)
	cluster.heartbeat("cold", "north", 2, newStatus(tasks["cold"], worker.StateWaiting))
	cluster.machinesWithStarts()
	cluster.answerCommands()
	cluster.heartbeat("warm", "north", 2, newStatus(tasks["warm"], worker.StateWaiting))
	ended := newExitedStatus(tasks["warm"], worker.CauseIncomplete)
	cluster.heartbeat("warm", "north", 3, ended)
	cluster.Plan(now)
	replacement := job.Assignments[0]
	if replacement == nil || replacement.Machine != "warm" {
		replacement = job.Assignments[1]
	}
	if replacement == nil || replacement.Machine != "warm" || replacement.Attempt != 1 {
		t.Fatalf("reassigned as %+v, want the first attempt on warm", replacement)
	}
	cluster.markStored(job)
	if started := cluster.machinesWithStarts(); started["warm"] {
		t.Fatal("the start was sent while the worker still lists the exited task")
	}
	if commands := cluster.heartbeat("warm", "north", 4, ended); len(commands) != 1 || commands[0].Verb != "clear" {
		t.Fatalf("the heartbeat was answered with %v, want one clear", commands)
	}
	if job.Assignments[replacement.TaskIndex] != replacement {
		t.Fatal("the outcome of the old attempt was applied to the new one")
	}
	if commands := cluster.heartbeat("warm", "north", 5); len(commands) != 1 || commands[0].Verb != "start" {
		t.Fatalf("after the task was cleared the heartbeat was answered with %v, want one start", commands)
	}
}
