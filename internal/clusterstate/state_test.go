package clusterstate

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

func newTestSettings() *config.Settings {
	settings := &config.Settings{Operator: config.DefaultOperator()}
	settings.Params.Workers = config.WorkerIntervals{ReportS: 2, LeaseS: 20, GangWaitS: 30, GangPeerS: 5, CancelS: 40}
	settings.Params.State = config.StateLimits{RPS: 100, WriteRPS: 100, ValueKB: 8, TxnOps: 12}
	settings.Params.Teams = []config.Team{{Name: "red", CPUs: 4, CPUsMax: 40}, {Name: "blue", CPUs: 4}}
	settings.Params.Zones = []string{"north", "south"}
	return settings
}

func newTestState() *State {
	cluster := New(newTestSettings(), "w", 7, time.Now())
	cluster.SetMachineTypes(testInstanceTypes())
	return cluster
}

// setTeams replaces the teams of the settings.
func (c *State) setTeams(teams ...config.Team) {
	c.settings.Params.Teams = teams
	c.quota = quota.NewTracker(0, 1, teamLimits(c.settings), 0)
	c.scheduler.Quota = c.quota
}

// newCommitter is a committer of a cluster state's changes.
func newCommitter(cluster *State, store *state.Client) *commit.Committer {
	return commit.New(cluster, store, "a", cluster.keys, 0, commit.Events{})
}

func testInstanceTypes() []placement.InstanceType {
	return []placement.InstanceType{{Label: "small", Cores: 4, RAM: 16, CacheGB: 20, PullGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 30, Zones: []string{"north", "south"}}}
}

func (c *State) heartbeat(name ids.Machine, zone string, sequence ids.SequenceNumber, tasks ...worker.TaskStatus) []worker.Command {
	return c.ReconcileHeartbeat(&worker.Report{Machine: name, Addr: string(name) + ":1", Type: "small", Zone: zone, Incarnation: 1, Sequence: sequence, FencingToken: 7, Tasks: tasks}, true, true)
}

func newRecord(id ids.Job, team string, priority record.Priority, tasks int, cores float64) *record.Record {
	return record.New(record.Spec{ID: id, Class: "c", Team: team, Shape: record.Array, Priority: priority, Tasks: tasks, EstimatedDuration: 10,
		Resources: placement.Resources{Cores: cores, RAM: 1}, Image: "i", ImageGB: 1}, ids.TimestampOf(time.Now()), "user")
}

// markAllStored pretends that all changes were committed.
func (c *State) markAllStored() {
	for _, job := range c.jobs.All() {
		job.StoredVersion = job.Version
	}
	c.NextBatches(1000)
}

func TestStatusTransitionsNeverLeaveTerminalStatus(t *testing.T) {
	t.Parallel()
	for _, from := range []record.Status{record.Queued, record.Claimed, record.Cancelling, record.Cancelled, record.Done} {
		for _, to := range []record.Status{record.Queued, record.Claimed, record.Cancelling, record.Cancelled, record.Done} {
			if from.IsTerminal() && from.CanBecome(to) {
				t.Errorf("%s may become %s", from, to)
			}
		}
	}
	if record.Cancelling.CanBecome(record.Done) || !record.Claimed.CanBecome(record.Cancelling) || !record.Queued.CanBecome(record.Cancelled) {
		t.Error("the table is not the one meant")
	}
}

func TestLargeRecordFitsLimitAndRoundTrips(t *testing.T) {
	t.Parallel()
	cluster := newTestState()
	rec := newRecord("job-1", "red", record.Low, 100000, 1)
	job := cluster.addJob(rec, 1, time.Now())
	for i := range 99000 {
		if i%40 != 0 || i > 1000 {
			job.Record.Finished.Add(i)
		}
	}
	for i := range cluster.maxAssignedTasks(job) {
		cluster.addAssignment(&workload.Assignment{Job: job, TaskIndex: i * 40, Machine: ids.Machine(fmt.Sprintf("host-%06d", i)), Incarnation: 1, Attempt: 9, FencingToken: 7})
	}
	stored := job.Record
	stored.Assignments = workload.GroupAssignments(job.Assignments)
	raw, ok := stored.Encode(8 * 1024)
	if !ok {
		t.Fatal("does not fit")
	}
	decoded, err := record.Decode(raw)
	if err != nil || decoded.AssignedTasks() != cluster.maxAssignedTasks(job) || decoded.Finished.Len() != job.Record.Finished.Len() {
		t.Fatalf("%v; %d open, %d finished", err, decoded.AssignedTasks(), decoded.Finished.Len())
	}
}

func TestPreemptionFollowsPriorityAndQuota(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	cluster.heartbeat("m1", "north", 1)
	cluster.HandleRecord("job-1", 1, newRecord("job-1", "blue", record.Normal, 4, 1), now)
	cluster.Plan(now)
	cluster.markAllStored()
	if len(cluster.capacity.AssignmentsOn("m1")) != 4 {
		t.Fatal("not placed")
	}
	// Same priority, beyond its guarantee: waits.
	cluster.HandleRecord("job-2", 2, newRecord("job-2", "red", record.Normal, 5, 1), now)
	cluster.Plan(now)
	for assignment := range cluster.capacity.AssignmentsOn("m1") {
		if assignment.Stopping {
			t.Fatal("displaced by work of the same priority")
		}
	}
	// Critical work displaces what is lower, and only as much as it needs.
	cluster.HandleRecord("job-3", 3, newRecord("job-3", "red", record.Critical, 1, 2), now)
	cluster.Plan(now)
	stopped := 0
	for assignment := range cluster.capacity.AssignmentsOn("m1") {
		if assignment.Stopping {
			stopped++
		}
	}
	if stopped != 2 {
		t.Fatalf("%d tasks of one core stopped for one of two", stopped)
	}
	if job := cluster.jobs.Get("job-3"); !strings.Contains(job.PendingReason, "m1") {
		t.Errorf("its waiting is explained as %q", job.PendingReason)
	}
}

func TestSmallJobsRankFirstUntilLargeJobHasWaited(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	large, small := newRecord("job-1", "blue", record.Normal, 60, 1), newRecord("job-2", "blue", record.Normal, 5, 1)
	large.Submitted = ids.TimestampOf(now.Add(-time.Second))
	cluster.HandleRecord("job-1", 1, large, now)
	cluster.HandleRecord("job-2", 2, small, now)
	if jobs := cluster.scheduler.Ranked(now); jobs[0].Record.Spec.ID != "job-2" {
		t.Error("the large job goes first although both are new")
	}
	cluster.jobs.Get("job-1").Record.Submitted = ids.TimestampOf(now.Add(-5 * time.Minute))
	if jobs := cluster.scheduler.Ranked(now); jobs[0].Record.Spec.ID != "job-1" {
		t.Error("the large job never gets its turn")
	}
}

func TestLowPriorityRisesAtMostOneLevelOnceStarted(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	low, high := newRecord("job-1", "blue", record.Low, 60, 1), newRecord("job-2", "blue", record.High, 60, 1)
	low.Submitted, low.Attempt = ids.TimestampOf(now.Add(-time.Hour)), 1
	cluster.HandleRecord("job-1", 1, low, now)
	cluster.HandleRecord("job-2", 2, high, now)
	if jobs := cluster.scheduler.Ranked(now); jobs[0].Record.Spec.ID != "job-2" {
		t.Error("low work overtook high work")
	}
	// But what has not begun at all for so long does, for its first start.
	cluster.jobs.Get("job-1").Record.Attempt = 0
	if jobs := cluster.scheduler.Ranked(now); jobs[0].Record.Spec.ID != "job-1" {
		t.Error("a job that never began waits on")
	}
}

func TestMachineQuarantinedOnlyForFailuresOfDifferentJobs(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	cluster.HandleRecord("job-1", 1, newRecord("job-1", "blue", record.Normal, 1, 1), now)
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
		cluster.HandleRecord(id, ids.Revision(n+5), newRecord(id, "blue", record.Normal, 1, 1), now)
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

func TestTaskClearedOnlyOnceOutcomeIsStored(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	cluster.heartbeat("m1", "north", 1)
	cluster.HandleRecord("job-1", 1, newRecord("job-1", "blue", record.Normal, 1, 1), now)
	cluster.Plan(now)
	cluster.markAllStored()
	machine := cluster.machines.Machines["m1"]
	machine.UnconfirmedStarts = nil // its answer came
	done := worker.TaskStatus{Task: "job-1/0", Attempt: 1, State: worker.StateExited, Cause: worker.CauseDone}
	if commands := cluster.heartbeat("m1", "north", 2, done); len(commands) != 0 {
		t.Fatalf("ordered %v before the outcome was stored", commands)
	}
	if commands := cluster.heartbeat("m1", "north", 3, done); len(commands) != 0 {
		t.Fatalf("ordered %v before the outcome was stored", commands)
	}
	cluster.markAllStored()
	if commands := cluster.heartbeat("m1", "north", 4, done); len(commands) != 1 || commands[0].Verb != "clear" {
		t.Fatalf("ordered %v", commands)
	}
	// With a late start unaccounted for, a cleared attempt could begin anew.
	machine.UnconfirmedStarts = []worker.UnconfirmedStart{{Task: "job-1/0", Attempt: 1, FencingToken: 7, Incarnation: 1}}
	if commands := cluster.heartbeat("m1", "north", 5, done); len(commands) != 0 {
		t.Fatalf("ordered %v although a late start may come", commands)
	}
}

func TestSilentZoneIsLeftToLeaseExpiry(t *testing.T) {
	t.Parallel()
	cluster := newTestState()
	names := []ids.Machine{"n1", "n2", "n3", "n4", "n5", "s1", "s2", "s3"}
	for _, name := range names {
		zone := "north"
		if name[0] == 's' {
			zone = "south"
		}
		cluster.heartbeat(name, zone, 1)
	}
	silence := func(silent ...ids.Machine) {
		for _, name := range silent {
			machine := cluster.machines.Machines[name]
			machine.LastReportAt, machine.SuspectSince, machine.UnansweredProbes = time.Now().Add(-6*time.Second), time.Now().Add(-5*time.Second), 2
		}
	}
	silence("n1")
	if terminated := cluster.MachinesToTerminate(time.Now(), map[ids.Machine]bool{}); len(terminated) != 1 || terminated[0] != "n1" {
		t.Fatalf("one silent machine: returned %v", terminated)
	}
	silence("s1", "s2", "s3")
	for _, name := range cluster.MachinesToTerminate(time.Now(), map[ids.Machine]bool{}) {
		if name[0] == 's' {
			t.Errorf("%s returned although all of its zone is silent", name)
		}
	}
	if !cluster.UnreachableZones()["south"] || cluster.UnreachableZones()["north"] {
		t.Errorf("dark: %v", cluster.UnreachableZones())
	}
}

func TestTeamLimitBoundsAssignments(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	for i := range 20 {
		cluster.heartbeat(ids.Machine(fmt.Sprint("m", i)), "north", 1)
	}
	cluster.HandleRecord("job-1", 1, newRecord("job-1", "red", record.Normal, 60, 1), now)
	cluster.Plan(now)
	cluster.Plan(now)
	if n := len(cluster.jobs.Get("job-1").Assignments); n != 40 {
		t.Errorf("%d cores placed of a limit of 40", n)
	}
}

func TestTeamAtLimitPreemptsOwnLowerPriorityWork(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	for i := range 20 {
		cluster.heartbeat(ids.Machine(fmt.Sprint("m", i)), "north", 1)
	}
	cluster.HandleRecord("job-1", 1, newRecord("job-1", "red", record.Normal, 60, 1), now)
	cluster.Plan(now)
	cluster.markAllStored()
	cluster.HandleRecord("job-2", 2, newRecord("job-2", "red", record.Critical, 1, 2), now)
	cluster.Plan(now)
	cluster.Plan(now)
	stopping := 0
	for _, assignment := range cluster.jobs.Get("job-1").Assignments {
		if assignment.Stopping {
			stopping++
		}
	}
	if stopping != 2 || !strings.Contains(cluster.jobs.Get("job-2").PendingReason, "limit") {
		t.Errorf("%d tasks of one core stopped for one of two; it waits for %q", stopping, cluster.jobs.Get("job-2").PendingReason)
	}
}

func TestReplicaWaitsBrieflyForPreemptionWhereImageIsCached(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	cluster.heartbeat("warm", "north", 1)
	cluster.heartbeat("cold", "north", 1)
	cluster.capacity.ImageArrived(cluster.capacity.Ensure("warm"), cluster.machines.Machines["warm"], "svc", 5, 20)
	cluster.HandleRecord("job-1", 1, newRecord("job-1", "blue", record.Normal, 4, 1), now)
	cluster.capacity.ImageArrived(cluster.capacity.Ensure("warm"), cluster.machines.Machines["warm"], "i", 1, 20) // so that the array goes there
	cluster.Plan(now)
	cluster.markAllStored()
	if len(cluster.capacity.AssignmentsOn("warm")) != 4 {
		t.Fatal("the array is elsewhere")
	}
	service := newRecord("job-2", "blue", record.Critical, 1, 1)
	service.Spec.Shape, service.Spec.Image, service.Spec.ImageGB = record.Service, "svc", 5
	cluster.HandleRecord("job-2", 2, service, now)
	cluster.Plan(now)
	cluster.Plan(now.Add(30 * time.Millisecond)) // while the stop is under way it waits
	if len(cluster.jobs.Get("job-2").Assignments) != 0 {
		t.Fatal("placed where it has to fetch although its image is on a machine whose work makes way")
	}
	cluster.Plan(now.Add(3 * time.Second)) // the stop had no effect: better cold than never
	if assignment := cluster.jobs.Get("job-2").Assignments[0]; assignment == nil || assignment.Machine != "cold" {
		t.Fatalf("placed %+v", assignment)
	}
}

func TestPreemptionSurplusUsedByAllCriticalJobs(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	for _, name := range []ids.Machine{"m1", "m2", "m3"} {
		cluster.heartbeat(name, "north", 1)
	}
	cluster.HandleRecord("job-1", 1, newRecord("job-1", "blue", record.Normal, 3, 4), now)
	cluster.Plan(now)
	cluster.markAllStored()
	for name := range cluster.machines.Machines {
		for assignment := range cluster.capacity.AssignmentsOn(name) {
			assignment.Confirmed = true
		}
	}
	for i := range 3 {
		id := ids.Job(fmt.Sprint("job-2", i))
		cluster.HandleRecord(id, ids.Revision(i+2), newRecord(id, "blue", record.Critical, 1, 1), now)
	}
	cluster.Plan(now) // each displaces a task of four cores for one core
	for name := range cluster.machines.Machines {
		for assignment := range cluster.capacity.AssignmentsOn(name) {
			if assignment.Stopping {
				cluster.removeAssignment(assignment)
			}
		}
	}
	for i := range 9 {
		id := ids.Job(fmt.Sprint("job-3", i))
		cluster.HandleRecord(id, ids.Revision(i+9), newRecord(id, "blue", record.Critical, 1, 1), now)
	}
	cluster.Plan(now.Add(50 * time.Millisecond))
	assigned := 0
	for id, job := range cluster.jobs.All() {
		if id != "job-1" {
			assigned += len(job.Assignments)
		}
	}
	if assigned != 12 {
		t.Errorf("%d of 12 critical tasks placed on twelve free cores", assigned)
	}
}

func TestCheckpointSkippedWhenLittleWorkWouldBeLost(t *testing.T) {
	t.Parallel()
	now := time.Now()
	job := &workload.Job{Record: *newRecord("job-1", "blue", record.Low, 1, 4)}
	job.Record.Spec.CheckpointInterval, job.Record.Spec.CheckpointDuration = 60, 5
	for ran, want := range map[time.Duration]bool{2 * time.Second: true, 40 * time.Second: false, 65 * time.Second: true} {
		assignment := &workload.Assignment{Job: job, RunningSince: now.Add(-ran)}
		if assignment.LittleToSave(now) != want {
			t.Errorf("after %v of running: %v", ran, !want)
		}
	}
}

func TestReplicaNotPreemptedForImageLocality(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	cluster.heartbeat("warm", "north", 1)
	cluster.heartbeat("cold", "north", 1)
	cluster.capacity.ImageArrived(cluster.capacity.Ensure("warm"), cluster.machines.Machines["warm"], "svc", 5, 20)
	newService := func(id ids.Job, team string, tasks int) *record.Record {
		rec := newRecord(id, team, record.Critical, tasks, 1)
		rec.Spec.Shape, rec.Spec.Image, rec.Spec.ImageGB = record.Service, "svc", 5
		return rec
	}
	// red runs more than its guarantee of four cores, blue nothing yet.
	cluster.HandleRecord("job-1", 1, newService("job-1", "red", 5), now)
	cluster.Plan(now)
	cluster.markAllStored()
	cluster.HandleRecord("job-2", 2, newService("job-2", "blue", 1), now)
	cluster.Plan(now)
	for _, assignment := range cluster.jobs.Get("job-1").Assignments {
		if assignment.Stopping {
			t.Fatalf("replica on %s stopped although another machine has room", assignment.Machine)
		}
	}
	if len(cluster.jobs.Get("job-2").Assignments) != 1 {
		t.Fatal("the other team's replica was not placed")
	}
}

func TestCandidateSearchWidensToAllMachinesAfterMiss(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	planSingleTask := func(id ids.Job, cores float64) {
		cluster.HandleRecord(id, 1, newRecord(id, "blue", record.Normal, 1, cores), now)
		cluster.Plan(now)
	}
	for i := range 60 {
		cluster.heartbeat(ids.Machine(fmt.Sprintf("m%02d", i)), "north", 1)
	}
	for i := range 59 {
		planSingleTask(ids.Job(fmt.Sprintf("job-%d", i)), 3)
	}
	cluster.heartbeat("wide", "north", 1)
	planSingleTask("job-100", 4) // only two machines of sixty-one have room for it
	planSingleTask("job-101", 4)
	planSingleTask("job-102", 4)
	if n := len(cluster.jobs.Get("job-100").Assignments) + len(cluster.jobs.Get("job-101").Assignments) + len(cluster.jobs.Get("job-102").Assignments); n != 2 {
		t.Fatalf("%d of 2 that fit were placed", n)
	}
	cluster.heartbeat("warm", "north", 1)
	cluster.capacity.ImageArrived(cluster.capacity.Ensure("warm"), cluster.machines.Machines["warm"], "other", 1, 20)
	for i := range 5 {
		cluster.heartbeat(ids.Machine(fmt.Sprintf("cold%d", i)), "north", 1)
	}
	rec := newRecord("job-200", "blue", record.Normal, 1, 1)
	rec.Spec.Image = "other"
	cluster.HandleRecord("job-200", 1, rec, now)
	cluster.Plan(now)
	if assignment := cluster.jobs.Get("job-200").Assignments[0]; assignment == nil || assignment.Machine != "warm" {
		t.Fatalf("placed %+v, not where its image is", assignment)
	}
}

func TestMachineWithOneWayPartitionIsReplaced(t *testing.T) {
	t.Parallel()
	// Guards against a cut of one direction: its beats come in, so that it looks
	// well, but no start and no answer ever reaches it.
	now := time.Now()
	cluster := newTestState()
	for i := range 6 {
		cluster.heartbeat(ids.Machine(fmt.Sprint("m", i)), "north", 1)
	}
	cluster.HandleRecord("job-1", 1, newRecord("job-1", "blue", record.Normal, 1, 1), now)
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
	cluster.HandleRecord("job-2", 2, newRecord("job-2", "blue", record.Normal, 12, 1), now)
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
	machine.UnreachableSince, machine.SuspectSince = now.Add(-10*time.Second), now.Add(-10*time.Second)
	if assignment := cluster.jobs.Get("job-1").Assignments[0]; assignment == nil || assignment.Machine != unreachable {
		t.Fatal("the uncertain start was given up without evidence")
	}
	if terminated := cluster.MachinesToTerminate(time.Now(), map[ids.Machine]bool{}); len(terminated) != 1 || terminated[0] != unreachable {
		t.Fatalf("returned %v, not %s alone", terminated, unreachable)
	}
	cluster.MachineTerminated(unreachable) // the cloud's word is the evidence
	cluster.Plan(now)
	if assignment := cluster.jobs.Get("job-1").Assignments[0]; assignment == nil || assignment.Machine == unreachable {
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

func newStateWithGang(now time.Time) (*State, *workload.Job) {
	cluster := newTestState()
	cluster.heartbeat("warm", "north", 1)
	cluster.heartbeat("cold", "north", 1)
	cluster.capacity.ImageArrived(cluster.capacity.Ensure("warm"), cluster.machines.Machines["warm"], "i", 1, 20)
	rec := newRecord("job-1", "blue", record.High, 2, 3)
	rec.Spec.Shape = record.Gang
	cluster.HandleRecord("job-1", 1, rec, now)
	cluster.Plan(now)
	for _, job := range cluster.jobs.All() {
		job.StoredVersion = job.Version
		cluster.versionStored(job)
	}
	return cluster, cluster.jobs.Get("job-1")
}

// machinesWithStarts lists the machines that get a start now.
func (c *State) machinesWithStarts() map[ids.Machine]bool {
	machines := map[ids.Machine]bool{}
	for _, batch := range c.NextBatches(1000) {
		for _, command := range batch.Commands {
			machines[batch.Machine] = machines[batch.Machine] || command.Verb == "start"
		}
	}
	return machines
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
	job.StoredVersion = job.Version
	cluster.versionStored(job)
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

func TestGangWithCachedImageGoesFirstAmongEqualGangs(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	cluster.settings.Params.Teams[1].CPUs = 0 // neither is guaranteed
	cluster.heartbeat("m1", "north", 1)
	cluster.capacity.ImageArrived(cluster.capacity.Ensure("m1"), cluster.machines.Machines["m1"], "held", 8, 20)
	for id, image := range map[ids.Job]string{"job-1": "other", "job-2": "held"} {
		rec := newRecord(id, "blue", record.High, 1, 4)
		rec.Spec.Shape, rec.Spec.Image, rec.Spec.ImageGB = record.Gang, image, 8
		cluster.HandleRecord(id, 1, rec, now)
	}
	cluster.Plan(now)
	if len(cluster.jobs.Get("job-2").Assignments) != 1 || len(cluster.jobs.Get("job-1").Assignments) != 0 {
		t.Fatal("the machine fetches although a gang waits whose image it holds")
	}
}

func TestSilentMachineWithReplicaTerminatedBeforeReportInterval(t *testing.T) {
	t.Parallel()
	cluster := newTestState()
	cluster.settings.Params.Workers.ReportS = 10
	now := time.Now()
	for i := range 8 {
		cluster.heartbeat(ids.Machine(fmt.Sprint("m", i)), "north", 1)
	}
	service := newRecord("job-1", "blue", record.Critical, 1, 4)
	service.Spec.Shape = record.Service
	cluster.HandleRecord("job-1", 1, service, now)
	cluster.HandleRecord("job-2", 2, newRecord("job-2", "blue", record.Normal, 1, 4), now)
	cluster.Plan(now)
	cluster.markAllStored()
	withReplica, withoutReplica := cluster.jobs.Get("job-1").Assignments[0].Machine, cluster.jobs.Get("job-2").Assignments[0].Machine
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
		machine.LastReportAt, machine.SuspectSince, machine.UnansweredProbes = now.Add(-4500*time.Millisecond), now.Add(-2*time.Second), 2
	}
	if terminated := cluster.MachinesToTerminate(now, map[ids.Machine]bool{}); len(terminated) != 1 || terminated[0] != withReplica {
		t.Fatalf("returned %v, not %s", terminated, withReplica)
	}
	// One unanswered question may be bad luck.
	cluster.machines.Machines[withoutReplica].UnansweredProbes = 1
	cluster.machines.Machines[withoutReplica].LastReportAt = now.Add(-12 * time.Second)
	if terminated := cluster.MachinesToTerminate(now, map[ids.Machine]bool{}); len(terminated) != 1 {
		t.Fatalf("returned %v after one question", terminated)
	}
}

func TestChangesOnlyThisLeaderKnowsAreStoredAtOnce(t *testing.T) {
	t.Parallel()
	// Outcomes wait for one another, since workers report them until they are
	// cleared. That a machine is gone, the next leader would learn much later.
	now := time.Now()
	cluster := newTestState()
	cluster.heartbeat("m1", "north", 1)
	cluster.HandleRecord("job-1", 1, newRecord("job-1", "blue", record.Normal, 2, 1), now)
	cluster.Plan(now)
	limits := commit.LimitsOf(state.NewBudget(100, 100, 1, 0.6))
	commitOnce := func() int {
		group, _ := cluster.CollectChanges(limits)
		for _, change := range group {
			cluster.changeStored(change, change.Job.Revision+1)
		}
		cluster.NextBatches(1000)
		return len(group)
	}
	if commitOnce() != 1 {
		t.Fatal("the marker is not stored at once")
	}
	cluster.machines.Machines["m1"].UnconfirmedStarts = nil
	cluster.heartbeat("m1", "north", 2, worker.TaskStatus{Task: "job-1/0", Attempt: 1, State: worker.StateExited, Cause: worker.CauseDone},
		worker.TaskStatus{Task: "job-1/1", Attempt: 1, State: worker.StateRunning})
	if commitOnce() != 0 {
		t.Fatal("an outcome that may wait is stored by itself")
	}
	cluster.MachineTerminated("m1")
	if commitOnce() != 1 {
		t.Fatal("that a machine is gone waits")
	}
}

func TestJobTooLargeForRecordExplainsAndReservesNothing(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newStateWithMachines(t, 100)
	limit := cluster.maxAssignedTasks(&workload.Job{Record: *newRecord("job-2", "blue", record.Normal, 200, 1)}) // it follows from what the description leaves
	gang := newRecord("job-1", "blue", record.High, limit+1, 1)
	gang.Spec.Shape = record.Gang
	cluster.HandleRecord("job-1", 1, gang, now)
	cluster.HandleRecord("job-2", 2, newRecord("job-2", "blue", record.Normal, limit+50, 1), now)
	cluster.Plan(now)
	cluster.Plan(now)
	if job := cluster.jobs.Get("job-1"); len(job.Assignments) != 0 || !strings.Contains(job.PendingReason, "record") {
		t.Errorf("the gang has %d places and waits for %q", len(job.Assignments), job.PendingReason)
	}
	if job := cluster.jobs.Get("job-2"); len(job.Assignments) != limit || !strings.Contains(job.PendingReason, "record") {
		t.Errorf("the array has %d places, not %d, and waits for %q", len(job.Assignments), limit, job.PendingReason)
	}
	// A record that comes out larger all the same gives up what has not
	// started, and the job goes on in smaller batches.
	cluster.handleOversize(cluster.jobs.Get("job-2"))
	cluster.Plan(now)
	if n := len(cluster.jobs.Get("job-2").Assignments); n == 0 || n > limit/2 {
		t.Errorf("%d places after the record did not fit", n)
	}
}

func TestPreviousLeadersWriteSeenBeforeTakeoverListingIsKept(t *testing.T) {
	// Found by transactions without answers around a takeover, two starts of one task:
	// the last leader's marker reached the new one as news, before it had read the
	// records, and was taken for a user's write, which places nothing.
	t.Parallel()
	now := time.Now()
	marked := func(generation ids.Generation) *record.Record {
		rec := newRecord("job-1", "red", record.Normal, 2, 1)
		rec.Status, rec.Attempt, rec.Generation, rec.Writer = record.Claimed, 1, generation, "a.1/6"
		rec.Assignments = []record.AssignmentGroup{{FencingToken: generation, Incarnation: 1, Attempt: 1, Prefix: "m1", Entries: ":0-1"}}
		return rec
	}
	for name, listed := range map[string]ids.Revision{"the list is as new": 26, "the list is older": 25, "not in the list": 0, "newer": 27} {
		cluster := newTestState()
		cluster.HandleRecord("job-1", 25, newRecord("job-1", "red", record.Normal, 2, 1), now)
		cluster.HandleRecord("job-1", 26, marked(6), now)
		records, revisions := map[ids.Job]*record.Record{}, map[ids.Job]ids.Revision{}
		switch listed {
		case 25:
			records["job-1"], revisions["job-1"] = newRecord("job-1", "red", record.Normal, 2, 1), 25
		case 26, 27:
			records["job-1"], revisions["job-1"] = marked(6), listed
		}
		cluster.Load(records, revisions, max(listed, 25), now)
		if job := cluster.jobs.Get("job-1"); job == nil || len(job.Assignments) != 2 || job.Revision != max(26, listed) {
			t.Errorf("%s: the places are lost: %+v", name, job)
		}
	}
	// What ended before the records were read is not there either.
	b := newTestState()
	b.HandleRecord("job-1", 26, marked(6), now)
	b.HandleRecord("job-1", 27, nil, now)
	b.Load(map[ids.Job]*record.Record{}, map[ids.Job]ids.Revision{}, 27, now)
	if b.jobs.Len() != 0 || b.quota.Usage("red").Cores != 0 {
		t.Errorf("%d jobs, %v cores of an ended job", b.jobs.Len(), b.quota.Usage("red").Cores)
	}
}
