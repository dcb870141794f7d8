package clusterstate

import (
	"context"
	"encoding/json"
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
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// newWorkerHandler answers direct commands like a worker that does as told.
func newWorkerHandler(name ids.Machine) http.Handler {
	sequence := ids.SequenceNumber(100)
	tasks := []worker.TaskStatus{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var batch worker.CommandBatch
		json.NewDecoder(r.Body).Decode(&batch)
		for _, command := range batch.Commands {
			if command.Verb == "start" {
				tasks = append(tasks, worker.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: worker.StateRunning})
			}
		}
		sequence++
		json.NewEncoder(w).Encode(&worker.Report{Machine: name, Addr: string(name) + ":1", Type: "small", Zone: "north", Incarnation: 1,
			Sequence: sequence, FencingToken: 7, Tasks: tasks})
	})
}

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
				network.Listen(string(name)+":1", newWorkerHandler(name))
				cluster.heartbeat(name, "north", 1)
			}
			now := time.Now()
			for i := range 2 * 4 * each / 100 {
				id := ids.Job(fmt.Sprint("job-", i))
				cluster.HandleRecord(id, ids.Revision(i+1), newRecord(id, "blue", record.Normal, 100, 1), now)
			}
			cluster.Plan(now)
			for _, job := range cluster.jobs.All() {
				job.StoredVersion = job.Version
				cluster.versionStored(job)
			}
			if knownSilent {
				for name, machine := range cluster.machines.Machines {
					if strings.HasPrefix(string(name), "lost") {
						machine.UnansweredProbes, machine.SuspectSince, machine.LastProbeAt = 2, now, now
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

func TestProbesRotateAndMachinesWithReplicasGoFirst(t *testing.T) {
	t.Parallel()
	// Guards against hundreds of silent machines using up the questions, again
	// and again the same ones, while one with a replica waits.
	cluster := newStateWithMachines(t, 300)
	now := time.Now()
	service := newRecord("job-1", "blue", record.Critical, 1, 1)
	service.Spec.Shape = record.Service
	cluster.HandleRecord("job-1", 1, service, now)
	cluster.Plan(now)
	machineWithReplica := cluster.jobs.Get("job-1").Assignments[0].Machine
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

func TestAssignmentDroppedOnlyIfStartCannotArrive(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	cluster.heartbeat("m1", "north", 1)
	cluster.HandleRecord("job-1", 1, newRecord("job-1", "blue", record.Normal, 1, 1), now)
	cluster.Plan(now)
	job := cluster.jobs.Get("job-1")
	cluster.ProbeAnswered("m1", false)
	if len(job.Assignments) != 0 {
		t.Fatal("a task whose start never went out is kept on a silent machine")
	}
	// A connection that did not come about leaves nothing under way either.
	cluster.heartbeat("m2", "north", 1)
	cluster.Plan(now)
	cluster.jobs.Get("job-1").StoredVersion = job.Version
	cluster.versionStored(job)
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
	job.StoredVersion = job.Version
	cluster.versionStored(job)
	batches = cluster.NextBatches(10)
	cluster.BatchAnswered(batches[0], worker.OutcomeUnknown)
	if len(job.Assignments) != 1 || len(cluster.machines.Machines["m3"].UnconfirmedStarts) != 1 {
		t.Fatal("a start that may yet arrive was given up")
	}
}

func TestUnreachableZoneNotMistakenForSingleSilentMachines(t *testing.T) {
	t.Parallel()
	// Machines with replicas are asked sooner than others, so of a zone cut off
	// they alone look silent for some seconds. And when the zone is heard again,
	// those not heard yet must not be given up for having been silent in the cut.
	cluster := newTestState()
	cluster.settings.Params.Workers.ReportS = 10
	start := time.Now()
	zoneOf := func(i int) string { return []string{"north", "south"}[i%2] }
	for i := range 40 {
		cluster.heartbeat(ids.Machine(fmt.Sprintf("m%02d", i)), zoneOf(i), 1)
	}
	service := newRecord("job-1", "blue", record.Critical, 20, 2)
	service.Spec.Shape = record.Service
	cluster.HandleRecord("job-1", 1, service, start)
	cluster.Plan(start)
	reported := func(name string, ago time.Duration) {
		machine := cluster.machines.Machines[ids.Machine(name)]
		machine.LastReportAt, machine.UnansweredProbes = start.Add(-ago), 0
		machine.RecordCall(true, start)
	}
	// The south fell silent 5 s ago; ten of its machines were asked twice since.
	probed := 0
	for i := range 40 {
		name := fmt.Sprintf("m%02d", i)
		reported(name, time.Duration(i)*20*time.Millisecond)
		if zoneOf(i) == "south" {
			reported(name, 5*time.Second)
			if probed++; probed <= 10 {
				machine := cluster.machines.Machines[ids.Machine(name)]
				machine.UnansweredProbes, machine.SuspectSince, machine.UnreachableSince = 2, start.Add(-2500*time.Millisecond), start.Add(-1500*time.Millisecond)
			}
		}
	}
	if terminated := cluster.MachinesToTerminate(start, map[ids.Machine]bool{}); len(terminated) != 0 {
		t.Fatalf("returned %v of a zone that is dark", terminated)
	}
	if !cluster.UnreachableZones()["south"] || cluster.UnreachableZones()["north"] {
		t.Fatalf("dark: %v", cluster.UnreachableZones())
	}
	// A minute later one of them is heard.
	for i := range 40 {
		if machine := cluster.machines.Machines[ids.Machine(fmt.Sprintf("m%02d", i))]; zoneOf(i) == "south" {
			machine.UnansweredProbes, machine.LastReportAt, machine.SuspectSince, machine.UnreachableSince, machine.FailedCalls = 20, start.Add(-time.Minute), start.Add(-58*time.Second), start.Add(-57*time.Second), 20
		}
	}
	cluster.heartbeat("m01", "south", 2)
	cluster.ProbeAnswered("m01", true)
	if terminated := cluster.MachinesToTerminate(start, map[ids.Machine]bool{}); len(terminated) != 0 {
		t.Fatalf("returned %v when the zone came back", terminated)
	}
	// Whoever stays silent although the others came back is given up.
	for i := range 40 {
		if name := fmt.Sprintf("m%02d", i); name != "m03" {
			reported(name, 0)
		}
	}
	missing := cluster.machines.Machines["m03"]
	missing.UnansweredProbes, missing.SuspectSince = 2, start.Add(-3*time.Second)
	if terminated := cluster.MachinesToTerminate(start, map[ids.Machine]bool{}); len(terminated) != 1 || terminated[0] != "m03" {
		t.Fatalf("returned %v, not the one that did not come back", terminated)
	}
}

func TestTakeoverTerminatesMachinesOfUnreachableZoneOnceLeasesExpired(t *testing.T) {
	t.Parallel()
	// Guards against a new leader that waits for leases it knows nothing of: the
	// replicas had ended long before. Where the rule of zones leaves no room
	// elsewhere, returning the machines would gain nothing.
	now := time.Now()
	cluster := newTestState()
	for i := range 9 {
		cluster.heartbeat(ids.Machine(fmt.Sprint("n", i)), "north", 1)
	}
	service := func(id ids.Job, tasks int, machineOf map[int]string) {
		rec := newRecord(id, "blue", record.Critical, tasks, 1)
		rec.Spec.Shape, rec.Spec.Spread, rec.Status = record.Service, true, record.Claimed
		assignments := map[int]*workload.Assignment{}
		for i, name := range machineOf {
			assignments[i] = &workload.Assignment{TaskIndex: i, Machine: ids.Machine(name), Incarnation: 1, Attempt: 1, FencingToken: 3}
		}
		rec.Assignments = workload.GroupAssignments(assignments)
		cluster.Load(map[ids.Job]*record.Record{id: rec}, map[ids.Job]ids.Revision{id: 1}, 0, now)
	}
	service("job-1", 5, map[int]string{0: "n0", 1: "n1", 2: "s0", 3: "s0", 4: "s1"}) // one may move
	service("job-2", 4, map[int]string{0: "n2", 1: "n3", 2: "s2", 3: "s3"})          // none may
	for i := range 4 {
		name := ids.Machine(fmt.Sprint("s", i))
		machine := cluster.machines.Ensure(name, now, now.Add(time.Minute))
		machine.Zone, machine.Type, machine.Addr = "south", "small", string(name)+":1"
		machine.UnansweredProbes, machine.SuspectSince = 5, now.Add(time.Second)
	}
	cluster.trustSilence = now.Add(17*time.Second + 500*time.Millisecond)
	if terminated := cluster.MachinesToTerminate(now.Add(3*time.Second), map[ids.Machine]bool{}); len(terminated) != 0 {
		t.Fatalf("returned %v while the leases may still last", terminated)
	}
	gone := cluster.MachinesToTerminate(now.Add(5*time.Second), map[ids.Machine]bool{})
	if len(gone) != 2 || gone[0] != "s0" || gone[1] != "s1" {
		t.Fatalf("returned %v, not s0 and s1", gone)
	}
}

func TestExplainReportsLostRestartedAndPendingTasks(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	for i := range 4 {
		cluster.heartbeat(ids.Machine(fmt.Sprint("s", i)), "south", 1)
	}
	cluster.HandleRecord("job-1", 1, newRecord("job-1", "blue", record.Normal, 16, 1), now)
	cluster.Plan(now)
	cluster.markAllStored()
	for i := range 4 {
		cluster.heartbeat(ids.Machine(fmt.Sprint("n", i)), "north", 1)
		machine := cluster.machines.Machines[ids.Machine(fmt.Sprint("s", i))]
		machine.UnansweredProbes, machine.SuspectSince = 3, time.Now()
	}
	if !cluster.UnreachableZones()["south"] {
		t.Fatal("the south is not dark")
	}
	if got := strings.Join(cluster.Explain("job-1"), "\n"); !strings.Contains(got, "nothing is heard of south (16)") || !strings.Contains(got, "leases") {
		t.Errorf("in the dark: %s", got)
	}
	// The leases of all but one lapse; two of the tasks find a place.
	for i := range 3 {
		cluster.machines.Machines[ids.Machine(fmt.Sprint("s", i))].LeaseExpiresAt = now
	}
	cluster.ExpireLeases(now.Add(time.Second))
	eventMessages := func() (out []string) {
		for _, event := range cluster.jobs.Get("job-1").Record.Events {
			out = append(out, event.Message)
		}
		return out
	}
	if events := eventMessages(); len(events) > 3 || !strings.Contains(strings.Join(events, "\n"), "tasks gone in south") {
		t.Errorf("the trail of twelve tasks lost at once: %q", events)
	}
	cluster.jobs.Get("job-1").MaxAssigned = 4 + 2
	cluster.Plan(now)
	got := strings.Join(append(eventMessages(), cluster.Explain("job-1")...), "\n")
	for _, want := range []string{"tasks lost in south (2) start again: north (2)", "lost in south (10) and not started again yet", "on machines in north (2)", "nothing is heard of south (4)"} {
		if !strings.Contains(got, want) {
			t.Errorf("not told: %q, only\n%s", want, got)
		}
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
	cluster.HandleRecord("job-1", 1, newRecord("job-1", "blue", record.Normal, 2, 1), now)
	cluster.Plan(now)
	report := &worker.Report{Machine: "m1", Addr: "m1:1", Type: "small", Zone: "north", Incarnation: 2, Sequence: 2, FencingToken: 7}
	cluster.ReconcileHeartbeat(report, true, true)
	job := cluster.jobs.Get("job-1")
	job.StoredVersion = job.Version
	cluster.versionStored(job)
	cluster.Plan(now)
	job.StoredVersion = job.Version
	cluster.versionStored(job)
	if got := cluster.NextBatches(10); len(got) != 1 || got[0].Incarnation != 2 || len(got[0].Commands) != 2 {
		t.Fatalf("sent %+v", got)
	}
}
