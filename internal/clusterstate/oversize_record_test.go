package clusterstate

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

func TestFinalRecordFitsLimitAndKeepsOutcome(t *testing.T) {
	// Guards against an end, or the cancellation of a queued job, that can't be stored
	// because of what nobody needs any more, and against losing why the job ended.
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
		t.Fatalf("a final record of %d bytes", len(raw))
	}
	var got record.Record
	if err := json.Unmarshal(raw, &got); err != nil {
		t.Fatal(err)
	}
	if got.Finished.Len() != 2000 || len(got.Events) == 0 || got.Events[len(got.Events)-1].Message != "cancelled: it needs job-7" {
		t.Errorf("%d tasks are told as done, and %v", got.Finished.Len(), got.Events)
	}
	if rec.Finished.SpanCount() != 2000 || len(rec.Spec.DependsOn) != 200 {
		t.Error("to write a record changed it")
	}
}

func TestOversizeRecordNotEncodedAgainUnchanged(t *testing.T) {
	// Guards against encoding a large record four times a second for nothing.
	cluster := newTestState()
	job := cluster.addJob(newRecord("job-1", "blue", record.Low, 10, 1), 1, time.Now())
	limits := commit.LimitsOf(state.NewBudget(1000, 1000, 1, 0.6))
	cluster.markChanged(job)
	cluster.markUrgent(job)
	limit := cluster.settings.Params.State.ValueKB
	cluster.settings.Params.State.ValueKB = 0.01
	if group, _ := cluster.CollectChanges(limits); len(group) != 0 || job.OversizeVersion != job.Version {
		t.Fatalf("%d writes of a record that does not fit", len(group))
	}
	cluster.settings.Params.State.ValueKB = limit
	if group, _ := cluster.CollectChanges(limits); len(group) != 0 {
		t.Error("it is encoded again unchanged")
	}
	cluster.markChanged(job)
	if group, _ := cluster.CollectChanges(limits); len(group) != 1 {
		t.Errorf("%d writes once it has changed", len(group))
	}
}
