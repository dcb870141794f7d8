package clusterstate

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

func TestRecordSizeDoesNotThrottleLargeArray(t *testing.T) {
	t.Parallel()
	// Regression: with values of 8 KiB only 150 of 25,000 short tasks were assigned at a time, and the
	// job was not done within seven minutes.
	synctest.Test(t, func(t *testing.T) {
		cluster := newStateWithMachines(200)
		rec := newRecord("job-1", "blue", record.Low, 25000, 0.25)
		rec.Spec.Resources.RAM = 0.9
		cluster.submit(1, rec, time.Now())
		job := cluster.jobs.Get("job-1")
		limit := int(cluster.settings.Params.State.ValueKB * 1024)
		most, seconds := 0, 0
		for sequence := ids.SequenceNumber(2); job.Unfinished() > 0 && seconds < 600; sequence++ {
			cluster.Plan(time.Now())
			full := job.Record
			full.Generation = cluster.generation()
			full.Writer = cluster.writer
			full.Seq = job.Version
			full.Assignments = workload.GroupAssignments(job.Assignments)
			raw, ok := full.Encode(limit)
			if !ok {
				t.Fatalf("the record of %d assignments does not fit", len(job.Assignments))
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
			t.Errorf("at most %d tasks were assigned at a time; the job took %d s", most, seconds)
		}
	})
}

func TestOnlyRecordSizeBoundsAssignedTasks(t *testing.T) {
	t.Parallel()
	// Guards against a fixed limit on a job's assigned tasks that is smaller than a large fleet, although
	// a stored value has space for more.
	now := time.Now()
	cluster := newStateWithMachines(largestFleetSize)
	cluster.settings.Params.State.ValueKB = 56 // as much as a transaction carries
	cluster.submit(1, newRecord("job-1", "blue", record.Normal, 4*largestFleetSize, 1), now)
	job := cluster.jobs.Get("job-1")
	for range 20 {
		planUntilStable(cluster, now)
		stored := job.Record
		stored.Assignments = workload.GroupAssignments(job.Assignments)
		raw, fits := stored.Encode(int(cluster.settings.Params.State.ValueKB * 1024))
		if !fits {
			t.Fatalf("the record of %d assignments does not fit", len(job.Assignments))
		}
		job.RecordEncodedSize(stored.Assignments, len(raw))
		cluster.markAllStored()
	}
	if len(job.Assignments) < largestFleetSize {
		t.Errorf("%d tasks are assigned at a time, fewer than there are machines", len(job.Assignments))
	}
}

func TestOversizeRecordNotEncodedAgainUnchanged(t *testing.T) {
	// Guards against encoding an unchanged large record four times a second.
	cluster := newTestState()
	job := cluster.addJob(newRecord("job-1", "blue", record.Low, 10, 1), 1, time.Now())
	limits := commit.NewLimits(state.NewBudget(1000, 1000, 1, 0.6))
	cluster.markChanged(job)
	cluster.markUrgent(job)
	limit := cluster.settings.Params.State.ValueKB
	cluster.settings.Params.State.ValueKB = 0.01
	if group, _ := cluster.CollectChanges(limits); len(group) != 0 || job.OversizeVersion != job.Version {
		t.Fatalf("%d changes, want none, of a record that does not fit", len(group))
	}
	cluster.settings.Params.State.ValueKB = limit
	if group, _ := cluster.CollectChanges(limits); len(group) != 0 {
		t.Error("the unchanged record is encoded again")
	}
	cluster.markChanged(job)
	if group, _ := cluster.CollectChanges(limits); len(group) != 1 {
		t.Errorf("%d changes once the record has changed, want 1", len(group))
	}
}

func TestRecordsRewrittenSmallerAfterValueLimitDrops(t *testing.T) {
	// Guards against sending a value that no longer fits again and again, and against removing from the
	// record the assignments of tasks that may be on machines.
	synctest.Test(t, func(t *testing.T) {
		_, store, client := newTestStore()
		ctx := context.Background()
		predecessor := newStateWithMachines(60)
		rec := newRecord("job-1", "blue", record.Normal, 300, 0.5)
		predecessor.submit(1, rec, time.Now())
		predecessor.Plan(time.Now())
		full := predecessor.jobs.Get("job-1").Record
		full.Status = record.Claimed
		full.Assignments = workload.GroupAssignments(predecessor.assignmentsOf("job-1"))
		full.Writer = "old"
		for i := range 12 {
			message := fmt.Sprintf("event %d %s", i, strings.Repeat("x", 60))
			full.Events = append(full.Events, record.Event{Message: message})
		}
		raw, fitsBefore := full.Encode(testValueBytes)
		const lower = 520
		if _, fitsAfter := full.Encode(lower); !fitsBefore || fitsAfter || len(predecessor.assignmentsOf("job-1")) < 100 {
			t.Fatalf("a record of %d bytes with %d assignments does not test the lower limit", len(raw), len(predecessor.assignmentsOf("job-1")))
		}
		revision, err := client.Commit(ctx, state.Txn{Ops: []state.Op{{Put: record.JobKey("job-1"), Value: raw}}}, state.Urgent)
		if err != nil {
			t.Fatal(err)
		}
		cluster := newStateWithMachines(60)
		cluster.settings.Params.State.ValueKB = lower / 1024.0
		cluster.settings.Params.State.TxnOps = 4
		store.SetLimits(lower, 4)
		stored, err := record.Decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		listed := ids.Revision(revision)
		cluster.Load(map[ids.Job]*record.Record{"job-1": stored}, map[ids.Job]ids.Revision{"job-1": listed}, listed, time.Now())
		committer := newCommitter(cluster, client)
		job := cluster.jobs.Get("job-1")
		assigned := len(job.Assignments)
		cluster.markChanged(job)
		cluster.markUrgent(job)
		for range 5 {
			committer.CommitGroup(ctx)
			time.Sleep(time.Second)
		}
		if store.TooLarge > 0 || len(job.Assignments) != assigned {
			t.Fatalf("%d writes were too large, %d of %d assignments are left", store.TooLarge, len(job.Assignments), assigned)
		}
		seconds := 0
		for sequence := ids.SequenceNumber(2); job.Unfinished() > 0 && seconds < 300; sequence++ {
			cluster.Plan(time.Now())
			committer.CommitGroup(ctx)
			cluster.NextBatches(1000)
			cluster.heartbeatAll(sequence, func(assignment *workload.Assignment) string {
				if (assignment.TaskIndex*7+int(sequence))%3 == 0 {
					return worker.CauseDone
				}
				return ""
			})
			time.Sleep(time.Second)
			seconds++
		}
		for range 5 {
			committer.CommitGroup(ctx)
			time.Sleep(time.Second)
		}
		if ended := store.Value(record.FinalRecordKey("job-1")) != nil; store.TooLarge > 0 || !ended {
			t.Errorf("%d writes were too large; after %d s the final record is stored: %v", store.TooLarge, seconds, ended)
		}
	})
}

func TestArrayIsAssignedInBatchesByTheEstimate(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newStateWithMachines(100)
	// The limit follows from the space that the job's description leaves in the record.
	limit := (&workload.Job{Record: *newRecord("job-2", "blue", record.Normal, 200, 1)}).EstimatedMaxAssigned(testValueBytes)
	cluster.submit(2, newRecord("job-2", "blue", record.Normal, limit+50, 1), now)
	cluster.Plan(now)
	cluster.Plan(now)
	if job := cluster.jobs.Get("job-2"); len(job.Assignments) != limit || !strings.Contains(job.PendingReason, "record") {
		t.Errorf("the array has %d assignments, want %d; its pending reason is %q", len(job.Assignments), limit, job.PendingReason)
	}
}
