package clusterstate

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// recordBytes returns the size of a job's record with its present assignments and without what may be
// left out to make room. The tests compare with it whatever the scheduler decides.
func recordBytes(t *testing.T, cluster *State, job *workload.Job) int {
	t.Helper()
	stored := job.Record
	stored.Generation, stored.Writer, stored.Seq = cluster.generation(), cluster.writer, job.Version
	stored.Assignments = workload.GroupAssignments(job.Assignments)
	stored.Spec.DependsOn, stored.Events = nil, nil
	raw, fits := stored.Encode(1 << 20)
	if !fits {
		t.Fatal("the record can't be encoded")
	}
	return len(raw)
}

// storedJobs are jobs whose records are in a store that enforces its limits.
type storedJobs struct {
	t         *testing.T
	cluster   *State
	store     *fake.Store
	client    *state.Client
	committer *commit.Committer
}

// newStoredJobs returns a store with the given limit on values, which the cluster state knows.
func newStoredJobs(t *testing.T, cluster *State, valueKB float64) *storedJobs {
	t.Helper()
	_, store, client := newTestStore()
	store.SetLimits(int(valueKB*1024), 4)
	cluster.settings.Params.State.ValueKB, cluster.settings.Params.State.TxnOps = valueKB, 4
	return &storedJobs{t: t, cluster: cluster, store: store, client: client, committer: newCommitter(cluster, client)}
}

// submit stores a job's record and passes it to the cluster state.
func (s *storedJobs) submit(rec *record.Record) *workload.Job {
	s.t.Helper()
	raw, _ := rec.Encode(s.cluster.ValueLimit())
	revision, err := s.client.Commit(context.Background(), state.Txn{Ops: []state.Op{{Put: record.JobKey(rec.Spec.ID), Value: raw}}}, state.Urgent)
	if err != nil {
		s.t.Fatal(err)
	}
	s.cluster.submit(ids.Revision(revision), rec, time.Now())
	return s.cluster.jobs.Get(rec.Spec.ID)
}

// commit stores all changes that are due, and checks that none exceeds the limits of the store.
func (s *storedJobs) commit() (groups int) {
	s.t.Helper()
	for s.committer.CommitGroup(context.Background()) {
		if groups++; groups > 100 {
			s.t.Fatal("there are always more changes to store")
		}
	}
	if s.store.TooLarge > 0 {
		s.t.Fatalf("%d writes exceeded the limits of the store", s.store.TooLarge)
	}
	return groups
}

// limitEstimate lowers the limit on values so far that a number of a job's tasks may be assigned by the
// estimate.
func limitEstimate(cluster *State, job *workload.Job, tasks int) {
	for bytes := 100.0; job.EstimatedMaxAssigned(bytes) <= tasks; bytes++ {
		cluster.settings.Params.State.ValueKB = bytes / 1024
	}
}

// Regression: a gang waited forever beside machines with room for all its tasks, since its record was
// estimated to be too large and the estimate of a job without assignments was never corrected.
func TestGangStartsIfItsRecordFits(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		valueKB         float64
		tasks, machines int
	}{
		{2, 40, 14},
		{2, 100, 100},
		{8, 300, 100},
		{8, 600, 600},
	} {
		t.Run(fmt.Sprintf("%d tasks in %v KiB", c.tasks, c.valueKB), func(t *testing.T) {
			now := time.Now()
			cluster := newStateWithMachines(c.machines)
			cores := 1.0
			if c.tasks == c.machines {
				cores = 4 // one task on each machine
			}
			stored := newStoredJobs(t, cluster, c.valueKB)
			stored.submit(newGangRecord("job-1", "blue", record.Normal, c.tasks, cores))
			cluster.Plan(now)
			job := cluster.jobs.Get("job-1")
			if len(job.Assignments) != c.tasks {
				t.Fatalf("%d of %d tasks are assigned: %s", len(job.Assignments), c.tasks, job.PendingReason)
			}
			size := recordBytes(t, cluster, job)
			t.Logf("the record of %d tasks on %d machines takes %d of %v bytes", c.tasks, c.machines, size, c.valueKB*1024)
			stored.commit()
			if job.StoredVersion < job.Version {
				t.Errorf("the record of %d bytes is not stored", size)
			}
		})
	}
}

// Guards against a decision by anything else than the size of the record: of gangs of all sizes around the
// limit, on one task a machine, exactly those wait whose record does not fit.
func TestGangWaitsOnlyIfItsRecordDoesNotFit(t *testing.T) {
	t.Parallel()
	const valueBytes, machines = 1024, 120
	started := 0
	for tasks := 1; tasks <= machines; tasks++ {
		now := time.Now()
		cluster := newStateWithMachines(machines)
		cluster.settings.Params.State.ValueKB = valueBytes / 1024.0
		cluster.submit(1, newGangRecord("job-1", "blue", record.High, tasks, 4), now)
		cluster.Plan(now)
		cluster.Plan(now)
		job := cluster.jobs.Get("job-1")
		if len(job.Assignments) == tasks {
			if size := recordBytes(t, cluster, job); size > valueBytes {
				t.Fatalf("a gang of %d tasks starts whose record takes %d bytes", tasks, size)
			}
			started = tasks
			continue
		}
		// The record with the same machines under a larger limit.
		cluster.settings.Params.State.ValueKB = 56
		cluster.Plan(now)
		if size := recordBytes(t, cluster, job); len(job.Assignments) != tasks || size <= valueBytes {
			t.Fatalf("a gang of %d tasks waits whose record takes %d of %d bytes; %d assigned", tasks, size, valueBytes, len(job.Assignments))
		}
	}
	if started == 0 || started == machines {
		t.Errorf("the largest gang that starts has %d tasks: the limit is not tested", started)
	}
}

// Guards against machines that are rented, reserved or cleared of other work for a gang that can't be stored
// on any machines, and against a reason without the measured sizes.
func TestGangThatCannotBeStoredDisturbsNothingAndSaysWhy(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newStateWithMachines(100)
	cluster.settings.Params.State.ValueKB = 0.78
	cluster.submit(1, newServiceRecord("job-2", "blue", record.Low, 4, 4), now)
	cluster.Plan(now)
	cluster.markAllStored()
	cluster.submit(2, newGangRecord("job-1", "blue", record.High, 100, 4), now)
	later := now.Add(workload.StarvationTime + time.Minute)
	for range 3 {
		cluster.Plan(later)
	}
	job := cluster.jobs.Get("job-1")
	if len(job.Assignments) > 0 || !strings.Contains(job.PendingReason, "need at least 100 machines") || !strings.Contains(job.PendingReason, "holds 798") {
		t.Errorf("%d assignments, pending reason %q", len(job.Assignments), job.PendingReason)
	}
	if stopped := cluster.countStopping("job-2"); stopped > 0 || !job.RecordFull() {
		t.Errorf("%d tasks are stopped for it; its record is full: %v", stopped, job.RecordFull())
	}
	if demands := cluster.planner.Demands(later); len(demands) > 0 {
		t.Errorf("machines are wanted for it: %+v", demands)
	}
}

// Guards against a gang that waits although its record would fit if its tasks shared fewer machines: the best
// machines by score are not always those.
func TestGangIsPackedIfItsRecordFitsOnlyThen(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newStateWithMachines(150)
	// Of 100 machines one core is free, which scores best; 50 are empty.
	cluster.submit(1, newServiceRecord("job-2", "blue", record.Critical, 100, 3), now)
	cluster.Plan(now)
	cluster.markAllStored()
	cluster.settings.Params.State.ValueKB = 0.75
	cluster.submit(2, newGangRecord("job-1", "blue", record.Normal, 100, 1), now)
	cluster.Plan(now)
	job := cluster.jobs.Get("job-1")
	machines := map[ids.Machine]bool{}
	for _, assignment := range job.Assignments {
		machines[assignment.Machine] = true
	}
	if len(job.Assignments) != 100 || len(machines) != 25 || recordBytes(t, cluster, job) > cluster.ValueLimit() {
		t.Errorf("%d tasks on %d machines: %s", len(job.Assignments), len(machines), job.PendingReason)
	}
}

// Guards against a gang that waits forever because the room that is free on many machines counts as enough,
// although its record fits only on few: no machine was rented for it.
func TestMachinesAreWantedForAGangThatMustShareMachines(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newStateWithMachines(100)
	cluster.submit(1, newServiceRecord("job-2", "blue", record.Normal, 100, 3), now)
	cluster.Plan(now)
	cluster.markAllStored()
	cluster.settings.Params.State.ValueKB = 0.75
	cluster.submit(2, newGangRecord("job-1", "blue", record.Normal, 100, 1), now)
	cluster.Plan(now)
	job := cluster.jobs.Get("job-1")
	if len(job.Assignments) > 0 || !strings.Contains(job.PendingReason, "only on so many machines") {
		t.Fatalf("%d tasks are assigned, pending reason %q", len(job.Assignments), job.PendingReason)
	}
	demands := cluster.planner.Demands(now)
	if len(demands) != 1 || float64(demands[0].Count)*demands[0].Request.Resources.Cores != 100 || demands[0].Request.Resources.Cores < 2 {
		t.Fatalf("demands %+v, want machines with room for several tasks each", demands)
	}
	for i := range demands[0].Count {
		cluster.heartbeat(ids.Machine(fmt.Sprintf("host-%06d", 200+i)), "north", 1)
	}
	cluster.Plan(now)
	if len(job.Assignments) != 100 || recordBytes(t, cluster, job) > cluster.ValueLimit() {
		t.Errorf("%d tasks are assigned on the machines that were wanted: %s", len(job.Assignments), job.PendingReason)
	}
}

// Regression: replicas beyond the estimate never started, since those that run never end.
func TestServiceGetsAllReplicasThatItsRecordHolds(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		valueKB  float64
		replicas int
		all      bool
	}{
		{valueKB: 2, replicas: 180, all: true},
		{valueKB: 2, replicas: 300},
		{valueKB: 8, replicas: 800, all: true},
		{valueKB: 8, replicas: 1200},
	} {
		t.Run(fmt.Sprintf("%d replicas in %v KiB", c.replicas, c.valueKB), func(t *testing.T) {
			cluster := newStateWithMachines(1200)
			stored := newStoredJobs(t, cluster, c.valueKB)
			job := stored.submit(newServiceRecord("job-1", "blue", record.Normal, c.replicas, 4))
			for range 100 {
				cluster.Plan(time.Now())
				stored.commit()
			}
			size := recordBytes(t, cluster, job)
			t.Logf("%d of %d replicas are assigned, in %d bytes", len(job.Assignments), c.replicas, size)
			if c.all != (len(job.Assignments) == c.replicas) {
				t.Fatalf("%d of %d replicas are assigned: %s", len(job.Assignments), c.replicas, job.PendingReason)
			}
			const entryBytes = 12 // more than one more replica takes
			if !c.all && (size+entryBytes <= cluster.ValueLimit() || !strings.Contains(job.PendingReason, "record is full")) {
				t.Errorf("replicas wait though the record takes %d of %d bytes: %s", size, cluster.ValueLimit(), job.PendingReason)
			}
			if demands := cluster.planner.Demands(time.Now()); len(demands) > 0 {
				t.Errorf("machines are wanted for replicas that can't be stored: %+v", demands)
			}
		})
	}
}

// Regression: after one record that did not fit, at most half as many tasks were assigned at a time, forever.
// A service or a gang that needs them all got no replacements and no start any more.
func TestJobsRecoverAfterARecordThatDidNotFit(t *testing.T) {
	t.Parallel()
	for name, newJob := range map[string]func(ids.Job, string, record.Priority, int, float64) *record.Record{
		"array": newRecord, "gang": newGangRecord, "service": newServiceRecord,
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newStateWithMachines(60)
			stored := newStoredJobs(t, cluster, 8)
			job := stored.submit(newJob("job-1", "blue", record.Normal, 60, 4))
			cluster.Plan(time.Now())
			if len(job.Assignments) != 60 {
				t.Fatalf("%d of 60 tasks are assigned", len(job.Assignments))
			}
			// The limit is too low for a moment, as when evictions fill the record until their tasks run again.
			cluster.settings.Params.State.ValueKB = 0.6
			stored.commit()
			if len(job.Assignments) != 0 || !job.Oversize {
				t.Fatalf("%d assignments that were not stored are left", len(job.Assignments))
			}
			cluster.settings.Params.State.ValueKB = 8
			for range 10 {
				cluster.Plan(time.Now())
				stored.commit()
			}
			if len(job.Assignments) != 60 || job.StoredVersion < job.Version {
				t.Errorf("%d of 60 tasks are assigned: %s", len(job.Assignments), job.PendingReason)
			}
		})
	}
}

// Regression: an array whose finished tasks leave room for one to three assignments never went on. Four were
// assigned whatever the size of the record, which then did not fit, so they were removed again, endlessly.
func TestArrayGoesOnInARecordWithLittleRoom(t *testing.T) {
	t.Parallel()
	const tasks = 400
	for room := 0; room <= 130; room += 5 {
		cluster := newStateWithMachines(20)
		rec := newRecord("job-1", "blue", record.Normal, tasks, 4)
		for task := 0; task < tasks; task += 2 {
			rec.Finished.Add(task)
		}
		probe := &workload.Job{Record: *rec}
		stored := newStoredJobs(t, cluster, float64(recordBytes(t, cluster, probe)+20+room)/1024)
		job := stored.submit(rec)
		writes := 0
		for range 20 {
			cluster.Plan(time.Now())
			writes += stored.commit()
		}
		if len(job.Assignments) == 0 || job.StoredVersion < job.Version {
			t.Errorf("room for %d bytes: %d tasks are assigned after %d writes: %s", room, len(job.Assignments), writes, job.PendingReason)
		}
		if writes > 5 {
			t.Errorf("room for %d bytes: %d writes while nothing ended", room, writes)
		}
	}
}
