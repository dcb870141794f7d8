package clusterstate

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// newDependencyIDs are the names of n jobs, which begin alike.
func newDependencyIDs(count int) (dependencies []ids.Job) {
	for i := range count {
		dependencies = append(dependencies, ids.Job(fmt.Sprintf("job-%06d", 412+37*i)))
	}
	return dependencies
}

func TestWaitingRecordRoundTripsInBothForms(t *testing.T) {
	// Guards against names that are lost, cut or changed when they are packed, and against
	// records of the first form, with all names spelled out, that are no longer read.
	for _, dependencies := range [][]ids.Job{
		{"job-1"}, {"job-1", "job-12"}, {"job-7", "job-0007", "job-70"}, {"job-3", "job-2", "job-1"}, newDependencyIDs(150),
	} {
		rec := newRecord("job-9", "blue", record.Normal, 4, 1)
		rec.Spec.DependsOn = dependencies
		spelled, ok := rec.EncodeWaiting(64 * 1024)
		if !ok || !strings.Contains(string(spelled), `"awaits":["job-`) {
			t.Fatalf("with room for it the record is %s", spelled)
		}
		var list []*record.Record // what the first version with pipelines reads
		if err := json.Unmarshal(spelled, &list); err != nil || len(list) != 1 {
			t.Errorf("another form than the first version's: %s", spelled)
		}
		forms := []json.RawMessage{spelled}
		if packed, ok := rec.EncodeWaiting(len(spelled) - 1); ok && len(dependencies) > 1 {
			forms = append(forms, packed)
		} else if len(dependencies) > 10 {
			t.Errorf("%d names are not packed", len(dependencies))
		}
		for _, raw := range forms {
			decoded, err := record.DecodeWaiting(raw)
			if err != nil || !slices.Equal(decoded.Spec.DependsOn, dependencies) || decoded.Spec.ID != "job-9" || decoded.Spec.Tasks != 4 {
				t.Errorf("%s is read back as %+v, %v", raw, decoded, err)
			}
			if _, err := record.Decode(raw); err == nil {
				t.Errorf("read as a claimable job's: %s", raw)
			}
		}
		if !slices.Equal(rec.Spec.DependsOn, dependencies) {
			t.Error("writing a waiting record loses what it awaits")
		}
	}
	for _, bad := range []string{`[]`, `{}`, `[null]`, `[{"spec":{}},"job-:1","x"]`, `[{"spec":{}},7]`, `["job-:1"]`} {
		if rec, err := record.DecodeWaiting(json.RawMessage(bad)); err == nil {
			t.Errorf("%s is read as %+v", bad, rec)
		}
	}
}

func TestFullWaitingRecordCanStillBeMoved(t *testing.T) {
	// Guards against a record that can be stored while it waits, but neither as claimable
	// nor as ended, so that the job would be stuck.
	const limit = 2048
	now := time.Now()
	for _, test := range []struct {
		needed record.Status
		needs  int
	}{{record.Done, 150}, {record.Done, 100}, {record.Cancelled, 150}, {record.Cancelled, 100}} {
		outcome := test.needed
		cluster := newTestState()
		cluster.settings.Params.State.ValueKB = limit / 1024
		rec := newRecord("job-9", "blue", record.Normal, 4, 1)
		rec.Spec.DependsOn = newDependencyIDs(test.needs)
		if _, ok := rec.EncodeWaiting(limit); !ok {
			t.Fatalf("%d names do not fit", test.needs)
		}
		cluster.mu.Lock()
		cluster.addWaitingJobs(now, &workload.WaitingJob{Record: rec, Revision: 3})
		for _, need := range rec.Spec.DependsOn {
			cluster.jobEnded(need, outcome)
		}
		var moves []commit.Change
		add := func(change commit.Change) bool { moves = append(moves, change); return true }
		if outcome == record.Done {
			cluster.collectReadyMoves(add)
		} else {
			cluster.collectCancelledMoves(add)
		}
		cluster.mu.Unlock()
		if len(moves) != 1 {
			t.Fatalf("%s: %d moves", outcome, len(moves))
		}
		raw := moves[0].Ops[1].Value
		if len(raw) > limit {
			t.Errorf("%s: %d bytes", outcome, len(raw))
		}
		if outcome == record.Done && float64(len(raw)) > limit*record.MaxSpecShare {
			t.Errorf("%d bytes leave little room for places", len(raw))
		}
		if decoded, err := record.Decode(raw); err != nil || outcome != record.Done && !strings.Contains(decoded.Events[len(decoded.Events)-1].Message, "which was cancelled") {
			t.Errorf("%s: read back as %+v, %v", outcome, decoded, err)
		}
	}
}
