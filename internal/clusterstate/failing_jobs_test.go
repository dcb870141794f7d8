package clusterstate

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/liveness"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/provisioning"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// heartbeatAll lets every machine report what is placed on it: ends tells how a task ends
// at once, empty while it runs.
func (c *State) heartbeatAll(sequence ids.SequenceNumber, exitCause func(assignment *workload.Assignment) string) {
	statuses := map[ids.Machine][]worker.TaskStatus{}
	for _, job := range c.jobs.All() {
		for _, assignment := range job.Assignments {
			if !assignment.StartSent {
				continue // nobody has told its machine yet
			}
			status := worker.TaskStatus{Task: assignment.Task().String(), Attempt: assignment.Attempt, State: worker.StateRunning}
			if cause := exitCause(assignment); cause != "" && assignment.Confirmed {
				status.State, status.Cause = worker.StateExited, cause
			}
			statuses[assignment.Machine] = append(statuses[assignment.Machine], status)
		}
	}
	zones := map[ids.Machine]string{}
	for _, machine := range c.machines.Machines {
		zones[machine.Name] = machine.Zone
	}
	for name, zone := range zones {
		c.heartbeat(name, zone, sequence, statuses[name]...)
	}
}

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
				most = max(most, len(cluster.jobs.Get("job-1").Assignments))
			}
			cluster.markAllStored()
			if sequence > 10 {
				demands, _, _ := cluster.CapacityDemands(now)
				for _, demand := range demands {
					if demand.Request.Image == "i" && !demand.Headroom && demand.Count > 0 && cluster.jobs.Get("job-2").Unassigned() == 0 {
						t.Fatalf("rented for %d tasks that fail wherever they run", demand.Count)
					}
				}
				for _, assignment := range cluster.jobs.Get("job-2").Assignments {
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
		if n := len(cluster.jobs.Get("job-2").Assignments); n != 60 {
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
		if n := len(successor.jobs.Get("job-1").Assignments); n != 1 {
			t.Errorf("a new owner starts %d tasks of it", n)
		}
		// A cancel ends it at once.
		cluster.HandleRecord("job-1", 99, &record.Record{Spec: bad.Spec, Status: record.Cancelling, Writer: "user"}, time.Now())
		for _, assignment := range cluster.jobs.Get("job-1").Assignments {
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
		cluster.HandleRecord("job-1", 1, newRecord("job-1", "blue", record.Normal, 8, 1), time.Now())
		var bad ids.Machine
		for sequence := ids.SequenceNumber(2); sequence < 30; sequence++ {
			cluster.Plan(time.Now())
			cluster.markAllStored()
			if bad == "" {
				bad = cluster.jobs.Get("job-1").Assignments[0].Machine
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
		rec := newRecord("job-1", "blue", record.Critical, 2, 1)
		rec.Spec.Shape = record.Service
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

func TestRecordSizeDoesNotThrottleLargeArray(t *testing.T) {
	t.Parallel()
	// Found by hunt: 25,000 tasks of seconds on values of 8 KiB, of which 150 were
	// under way at a time, were not done in seven minutes.
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(t, 200)
		rec := newRecord("job-1", "blue", record.Low, 25000, 0.25)
		rec.Spec.Resources.RAM = 0.9
		cluster.HandleRecord("job-1", 1, rec, time.Now())
		job := cluster.jobs.Get("job-1")
		limit := int(cluster.settings.Params.State.ValueKB * 1024)
		most, seconds := 0, 0
		for sequence := ids.SequenceNumber(2); job.Unfinished() > 0 && seconds < 600; sequence++ {
			cluster.Plan(time.Now())
			full := job.Record
			full.Generation, full.Writer, full.Seq = cluster.generation, cluster.writer, job.Version
			full.Assignments = workload.GroupAssignments(job.Assignments)
			raw, ok := full.Encode(limit)
			if !ok {
				t.Fatalf("%d places do not fit", len(job.Assignments))
			}
			job.RecordEncodedSize(full.Assignments, len(raw))
			cluster.markAllStored()
			most = max(most, len(job.Assignments))
			cluster.heartbeatAll(sequence, func(assignment *workload.Assignment) string {
				if time.Since(assignment.AssignedAt) >= 4*time.Second && (assignment.TaskIndex*7+int(sequence))%3 > 0 {
					return worker.CauseDone // out of order, so that ranges break up
				}
				return ""
			})
			time.Sleep(time.Second)
			seconds++
		}
		if most < 700 || seconds > 200 {
			t.Errorf("at most %d tasks under way, done after %d s", most, seconds)
		}
	})
}

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

func TestNewLeaderKnowsPendingInstancesFromHints(t *testing.T) {
	t.Parallel()
	// Guards against renting twice after a takeover: the cloud's list lags by more
	// than a takeover takes.
	synctest.Test(t, func(t *testing.T) {
		predecessor := newStateWithMachines(t, 2)
		predecessor.MachinesProvisioned([]ids.Machine{"host-000100"}, newProvisioningRequest("small", "south"), time.Now())
		time.Sleep(40 * time.Second)
		hints, position := predecessor.Hints(HintPosition{})
		var received HintCache
		received.Receive(hints, position)
		time.Sleep(25 * time.Second)
		cluster := newTestState()
		cluster.ApplyHints(&received, time.Now())
		machine := cluster.machines.Machines["host-000100"]
		if machine == nil || !machine.Booting {
			t.Fatal("it is not known to be on its way")
		}
		if cluster.planner.Lateness(machine, time.Now()) == provisioning.NotLate {
			t.Errorf("rented %v ago, with boots of 30 s, it is not late", time.Since(machine.ProvisionedAt))
		}
		cluster.HandleRecord("job-1", 1, newRecord("job-1", "blue", record.Normal, 40, 1), time.Now())
		cluster.Plan(time.Now())
		if lines := fmt.Sprint(cluster.Explain("job-1")); !strings.Contains(lines, "1 machines it could use are booting, 1 of them late") {
			t.Errorf("explained as %s", lines)
		}
	})
}

func newProvisioningRequest(label, zone string) placement.ProvisioningRequest {
	return placement.ProvisioningRequest{Type: label, Zone: zone, Count: 1}
}

func TestAssignmentsRoundTripThroughRecord(t *testing.T) {
	t.Parallel()
	// Sessions, attempts and tokens apart, and names of which one begins another.
	assignments := map[int]*workload.Assignment{}
	for i := range 400 {
		assignments[i*7%1000] = &workload.Assignment{TaskIndex: i * 7 % 1000, Machine: ids.Machine(fmt.Sprintf("host-%d", i%37)), Incarnation: ids.Incarnation(1 + i%11/10),
			Attempt: ids.Attempt(1 + i%5/3*i), FencingToken: ids.Generation(3 + i%100/97)}
	}
	rec := &record.Record{Assignments: workload.GroupAssignments(assignments)}
	raw, ok := rec.Encode(1 << 20)
	if !ok {
		t.Fatal("not encoded")
	}
	decodedRecord, err := record.Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	decoded := 0
	decodedRecord.EachAssignment(func(i int, location record.Location) {
		decoded++
		if assignment := assignments[i]; assignment == nil || location != (record.Location{Machine: assignment.Machine, Incarnation: assignment.Incarnation, Attempt: assignment.Attempt, FencingToken: assignment.FencingToken}) {
			t.Errorf("task %d is read back as %v", i, location)
		}
	})
	if decoded != len(assignments) {
		t.Errorf("%d of %d places read back", decoded, len(assignments))
	}
}
