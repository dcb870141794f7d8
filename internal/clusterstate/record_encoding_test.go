package clusterstate

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

func TestAssignmentsRoundTripThroughRecord(t *testing.T) {
	t.Parallel()
	// Incarnations, attempts and fencing tokens differ, and some machines' names are prefixes of others.
	assignments := map[int]*workload.Assignment{}
	for i := range 400 {
		task := i * 7 % 1000
		assignments[task] = &workload.Assignment{
			TaskIndex:    task,
			Machine:      ids.Machine(fmt.Sprintf("host-%d", i%37)),
			Incarnation:  ids.Incarnation(1 + i%11/10),
			Attempt:      ids.Attempt(1 + i%5/3*i),
			FencingToken: ids.Generation(3 + i%100/97),
		}
	}
	rec := &record.Record{Assignments: workload.GroupAssignments(assignments)}
	raw, ok := rec.Encode(1 << 20)
	if !ok {
		t.Fatal("the record does not fit")
	}
	decodedRecord, err := record.Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	decoded := 0
	decodedRecord.EachAssignment(func(task int, location record.Location) {
		decoded++
		assignment := assignments[task]
		if assignment == nil {
			t.Errorf("task %d, which is not assigned, is decoded as %v", task, location)
			return
		}
		want := record.Location{
			Machine:      assignment.Machine,
			Incarnation:  assignment.Incarnation,
			Attempt:      assignment.Attempt,
			FencingToken: assignment.FencingToken,
		}
		if location != want {
			t.Errorf("task %d is decoded as %v, want %v", task, location, want)
		}
	})
	if decoded != len(assignments) {
		t.Errorf("%d of %d assignments decoded", decoded, len(assignments))
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
	for i := range job.EstimatedMaxAssigned(testValueBytes) {
		cluster.addAssignment(&workload.Assignment{
			Job:          job,
			TaskIndex:    i * 40,
			Machine:      ids.Machine(fmt.Sprintf("host-%06d", i)),
			Incarnation:  1,
			Attempt:      9,
			FencingToken: testGeneration,
		})
	}
	stored := job.Record
	stored.Assignments = workload.GroupAssignments(job.Assignments)
	raw, ok := stored.Encode(testValueBytes)
	if !ok {
		t.Fatal("the record does not fit")
	}
	decoded, err := record.Decode(raw)
	if err != nil || decoded.AssignedTasks() != job.EstimatedMaxAssigned(testValueBytes) || decoded.Finished.Len() != job.Record.Finished.Len() {
		t.Fatalf("decode the record: %v; %d tasks assigned, %d finished", err, decoded.AssignedTasks(), decoded.Finished.Len())
	}
}

func TestEvictionsSurviveRecordRoundTrip(t *testing.T) {
	rec := newRecord("job-1", "red", record.Normal, 3, 1)
	rec.AddEviction(0, 1, "spring", 1)
	rec.AddEviction(1, 1, "spring", 1)
	rec.AddEviction(0, 2, "spring", 2)
	raw, fits := rec.Encode(testValueBytes)
	if !fits {
		t.Fatal("the record does not fit")
	}
	decoded, err := record.Decode(raw)
	if err != nil || decoded.EvictedTasks() != 2 {
		t.Fatalf("%d evicted tasks decoded, want 2: %v", decoded.EvictedTasks(), err)
	}
	if attempt, evicted := decoded.EvictedAttempt(0); !evicted || attempt != 2 {
		t.Errorf("task 0 is evicted in attempt %d, want 2", attempt)
	}
	if !decoded.RetainEvictions(func(task int, _ ids.Attempt) bool { return task != 0 }) || decoded.EvictedTasks() != 1 {
		t.Errorf("%d evicted tasks left, want 1", decoded.EvictedTasks())
	}
	for i := range 2000 {
		decoded.AddEviction(2*i, 1, "spring", 3)
	}
	if decoded.EvictionsFit(testValueBytes) {
		t.Error("thousands of evictions count as fitting their share of a stored value")
	}
}

func TestFinalRecordFitsLimitAndKeepsOutcome(t *testing.T) {
	// Guards against an outcome, or the cancellation of a queued job, that cannot be stored because of
	// parts of the record that are no longer needed, and against losing why the job ended.
	rec := newRecord("job-1", "red", record.Low, 4000, 1)
	for i := 0; i < 4000; i += 2 {
		rec.Finished.Add(i)
	}
	for i := range 200 {
		rec.Spec.DependsOn = append(rec.Spec.DependsOn, ids.Job("job-"+strings.Repeat("1", 1+i%9)))
	}
	for range 12 {
		rec.Events = append(rec.Events, record.Event{Message: strings.Repeat("earlier ", 10)})
	}
	rec.Status = record.Cancelled
	rec.Events = append(rec.Events, record.Event{Message: "cancelled: it needs job-7"})
	raw, fits := rec.EncodeFinal(2048)
	if !fits || len(raw) > 2048 {
		t.Fatalf("the final record has %d bytes, more than its limit", len(raw))
	}
	var got record.Record
	if err := json.Unmarshal(raw, &got); err != nil {
		t.Fatal(err)
	}
	if got.Finished.Len() != 2000 || len(got.Events) == 0 || got.Events[len(got.Events)-1].Message != "cancelled: it needs job-7" {
		t.Errorf("%d finished tasks are decoded, want 2000; events %v", got.Finished.Len(), got.Events)
	}
	if rec.Finished.SpanCount() != 2000 || len(rec.Spec.DependsOn) != 200 {
		t.Error("encoding a final record changed it")
	}
}

func TestStatusTransitionsNeverLeaveTerminalStatus(t *testing.T) {
	t.Parallel()
	statuses := []record.Status{record.Queued, record.Claimed, record.Cancelling, record.Cancelled, record.Done}
	for _, from := range statuses {
		for _, to := range statuses {
			if from.IsTerminal() && from.CanBecome(to) {
				t.Errorf("the terminal status %s may become %s", from, to)
			}
		}
	}
	if record.Cancelling.CanBecome(record.Done) || !record.Claimed.CanBecome(record.Cancelling) || !record.Queued.CanBecome(record.Cancelled) {
		t.Error("a status transition is missing, or one is allowed that must not be")
	}
}

func TestStoredCancellationRoundTripsAndIsNotAJobRecord(t *testing.T) {
	// Guards against a version without cancellation keys decoding a cancellation as a job's record, and
	// against a controller that cannot read what another has stored.
	raw := record.Cancellation{At: 1700000000000, Writer: "a.1"}.Encode()
	if _, err := record.Decode(raw); err == nil {
		t.Errorf("the cancellation %s is decoded as a job's record", raw)
	}
	decoded, err := record.DecodeCancellation(raw)
	if err != nil || decoded.At != 1700000000000 || decoded.Writer != "a.1" {
		t.Errorf("the cancellation is decoded as %+v, %v", decoded, err)
	}
	if id, kind := record.ParseKey(record.CancelKey("job-7")); id != "job-7" || kind != record.StoredCancellation {
		t.Errorf("the key of the cancellation is parsed as that of %s, kind %v", id, kind)
	}
	for _, wrong := range []string{`[]`, `{}`, `[1]`, `x`} {
		if _, err := record.DecodeCancellation(json.RawMessage(wrong)); err == nil {
			t.Errorf("%s is decoded as a cancellation", wrong)
		}
	}
}

func TestWaitingRecordRoundTripsInBothForms(t *testing.T) {
	// Guards against IDs that are lost, truncated or changed when they are packed, and against failing to
	// read records of the first form, in which all IDs are spelled out.
	for name, dependencies := range map[string][]ids.Job{
		"one":             {"job-1"},
		"one is a prefix": {"job-1", "job-12"},
		"leading zeros":   {"job-7", "job-0007", "job-70"},
		"descending":      {"job-3", "job-2", "job-1"},
		"many":            newDependencyIDs(150),
	} {
		t.Run(name, func(t *testing.T) {
			rec := newRecord("job-9", "blue", record.Normal, 4, 1)
			rec.Spec.DependsOn = dependencies
			spelled, ok := rec.EncodeWaiting(64 * 1024)
			if !ok || !strings.Contains(string(spelled), `"awaits":["job-`) {
				t.Fatalf("with enough space the IDs are not spelled out: %s", spelled)
			}
			var list []*record.Record // what the first version with pipelines reads
			if err := json.Unmarshal(spelled, &list); err != nil || len(list) != 1 {
				t.Errorf("the record is not in the form of the first version with pipelines: %s", spelled)
			}
			forms := []json.RawMessage{spelled}
			if packed, ok := rec.EncodeWaiting(len(spelled) - 1); ok && len(dependencies) > 1 {
				forms = append(forms, packed)
			} else if len(dependencies) > 10 {
				t.Errorf("%d dependency IDs are not packed", len(dependencies))
			}
			for _, raw := range forms {
				decoded, err := record.DecodeWaiting(raw)
				if err != nil {
					t.Errorf("decode %s: %v", raw, err)
					continue
				}
				spec := decoded.Spec
				if !slices.Equal(spec.DependsOn, dependencies) || spec.ID != "job-9" || spec.Tasks != 4 {
					t.Errorf("%s is decoded as %+v", raw, decoded)
				}
				if _, err := record.Decode(raw); err == nil {
					t.Errorf("a waiting job's record is decoded as a ready job's: %s", raw)
				}
			}
			if !slices.Equal(rec.Spec.DependsOn, dependencies) {
				t.Error("encoding a waiting record changed its dependencies")
			}
		})
	}
	for _, bad := range []string{`[]`, `{}`, `[null]`, `[{"spec":{}},"job-:1","x"]`, `[{"spec":{}},7]`, `["job-:1"]`} {
		if rec, err := record.DecodeWaiting(json.RawMessage(bad)); err == nil {
			t.Errorf("the malformed record %s is decoded as %+v", bad, rec)
		}
	}
}
