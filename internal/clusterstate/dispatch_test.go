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
	// Guards against sends to machines that were lost a moment ago, or long ago,
	// holding all the places of the dispatcher for seconds each.
	for _, knownSilent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer synctest.Wait()
			defer cancel()
			const each = 200
			cluster, network := newStateWithMachines(t, 0), fake.NewNetwork()
			network.SetRule(func(_, to string, _ *http.Request, _ []byte) fake.Outcome {
				if strings.HasPrefix(to, "lost") {
					return fake.Drop
				}
				return fake.Deliver
			})
			for i := range each {
				cluster.heartbeat(ids.Machine(fmt.Sprintf("lost-%03d", i)), "south", 1)
			}
			time.Sleep(100 * time.Millisecond)
			for i := range each {
				name := ids.Machine(fmt.Sprintf("host-%03d", i))
				network.Listen(string(name)+":1", newWorkerHandler(t, name))
				cluster.heartbeat(name, "north", 1)
			}
			now := time.Now()
			for i := range 2 * 4 * each / 100 {
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
			dispatcher := dispatch.New(cluster, &worker.Commander{HTTP: network.Client("a"), Timeout: 3 * time.Second}, 16, func() bool { return true })
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
			if confirmed != 4*each {
				t.Errorf("known %v: %d of %d tasks on living machines started within a second", knownSilent, confirmed, 4*each)
			}
			if knownSilent && sent > 0 {
				t.Errorf("%d starts went out to machines known to be silent", sent)
			}
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
	cluster.ProbeAnswered("m1", false)
	if len(job.Assignments) != 0 {
		t.Fatal("a task whose start never went out is kept on a silent machine")
	}
	// A connection that did not come about leaves nothing under way either.
	cluster.heartbeat("m2", "north", 1)
	cluster.Plan(now)
	cluster.markStored(job)
	batches := cluster.NextBatches(10)
	if len(batches) != 1 || batches[0].Machine != "m2" {
		t.Fatalf("batches %v", batches)
	}
	cluster.BatchAnswered(batches[0], worker.NotSent)
	if len(job.Assignments) != 0 || len(cluster.machines.Machines["m2"].UnconfirmedStarts) != 0 {
		t.Fatal("a start that surely never arrives is kept")
	}
	// One that may arrive is.
	cluster.heartbeat("m3", "north", 1)
	cluster.Plan(now)
	cluster.markStored(job)
	batches = cluster.NextBatches(10)
	cluster.BatchAnswered(batches[0], worker.OutcomeUnknown)
	if len(job.Assignments) != 1 || len(cluster.machines.Machines["m3"].UnconfirmedStarts) != 1 {
		t.Fatal("a start that may yet arrive was given up")
	}
}

func TestTaskReassignedWhenWorkerIncarnationEndsBeforeStart(t *testing.T) {
	t.Parallel()
	// Found on a day with a zone cut off: when it came back, replicas were marked
	// for workers whose sessions ended before the marker was stored. No start went
	// out, nothing reported them, and they stayed down for good.
	now := time.Now()
	cluster := newTestState()
	cluster.heartbeat("m1", "north", 1)
	cluster.submit(1, newRecord("job-1", "blue", record.Normal, 2, 1), now)
	cluster.Plan(now)
	report := &worker.Report{Machine: "m1", Addr: "m1:1", Type: "small", Zone: "north", Incarnation: 2, Sequence: 2, FencingToken: 7}
	cluster.ReconcileHeartbeat(report, true, true)
	job := cluster.jobs.Get("job-1")
	cluster.markStored(job)
	cluster.Plan(now)
	cluster.markStored(job)
	if got := cluster.NextBatches(10); len(got) != 1 || got[0].Incarnation != 2 || len(got[0].Commands) != 2 {
		t.Fatalf("sent %+v", got)
	}
}

func TestGangTaskWithCachedImageStartsOnceOthersPulled(t *testing.T) {
	t.Parallel()
	// Guards against tasks that give up waiting while others fetch a large
	// image, again and again.
	cluster, job := newStateWithGang(time.Now())
	if len(job.Assignments) != 2 {
		t.Fatal("not placed")
	}
	if started := cluster.machinesWithStarts(); !started["cold"] || started["warm"] {
		t.Fatalf("started on %v", started)
	}
	task := map[ids.Machine]string{}
	for _, assignment := range job.Assignments {
		task[assignment.Machine] = assignment.Task().String()
	}
	if commands := cluster.heartbeat("warm", "north", 2); len(commands) != 0 {
		t.Fatalf("a beat was answered with %v", commands)
	}
	cluster.heartbeat("cold", "north", 2, worker.TaskStatus{Task: task["cold"], Attempt: 1, State: worker.StatePulling})
	if started := cluster.machinesWithStarts(); started["warm"] {
		t.Fatal("started while the other still fetches")
	}
	cluster.heartbeat("cold", "north", 3, worker.TaskStatus{Task: task["cold"], Attempt: 1, State: worker.StateWaiting})
	if started := cluster.machinesWithStarts(); !started["warm"] {
		t.Fatal("not started although the other waits for it")
	}
}

func TestTaskReassignedToSameMachineIsClearedFirst(t *testing.T) {
	t.Parallel()
	// Guards against taking the old outcome of an attempt for that of its
	// replacement on the same machine, which then was placed anew at each pass.
	now := time.Now()
	cluster, job := newStateWithGang(now)
	cluster.machinesWithStarts()
	task := map[ids.Machine]string{}
	for _, assignment := range job.Assignments {
		task[assignment.Machine] = assignment.Task().String()
	}
	cluster.heartbeat("cold", "north", 2, worker.TaskStatus{Task: task["cold"], Attempt: 1, State: worker.StateWaiting})
	cluster.machinesWithStarts()
	for _, machine := range cluster.machines.Machines {
		machine.UnconfirmedStarts = nil // the commands were answered
	}
	cluster.heartbeat("warm", "north", 2, worker.TaskStatus{Task: task["warm"], Attempt: 1, State: worker.StateWaiting})
	ended := worker.TaskStatus{Task: task["warm"], Attempt: 1, State: worker.StateExited, Cause: worker.CauseIncomplete}
	cluster.heartbeat("warm", "north", 3, ended)
	cluster.Plan(now)
	replacement := job.Assignments[0]
	if replacement == nil || replacement.Machine != "warm" {
		replacement = job.Assignments[1]
	}
	if replacement == nil || replacement.Machine != "warm" || replacement.Attempt != 1 {
		t.Fatalf("replaced by %+v", replacement)
	}
	cluster.markStored(job)
	if started := cluster.machinesWithStarts(); started["warm"] {
		t.Fatal("started while the worker still lists the ended one")
	}
	if commands := cluster.heartbeat("warm", "north", 4, ended); len(commands) != 1 || commands[0].Verb != "clear" {
		t.Fatalf("ordered %v", commands)
	}
	if job.Assignments[replacement.TaskIndex] != replacement {
		t.Fatal("the old outcome was taken for the new one's")
	}
	if commands := cluster.heartbeat("warm", "north", 5); len(commands) != 1 || commands[0].Verb != "start" {
		t.Fatalf("after it was cleared, ordered %v", commands)
	}
}
