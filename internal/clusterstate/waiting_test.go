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

// manyNeeds are the names of n jobs, which begin alike.
func manyNeeds(n int) (needs []ids.Job) {
	for i := range n {
		needs = append(needs, ids.Job(fmt.Sprintf("job-%06d", 412+37*i)))
	}
	return needs
}

func TestAWaitingRecordIsReadBackInBothForms(t *testing.T) {
	// Guards against names that are lost, cut or changed when they are packed, and against
	// records of the first form, with all names spelled out, that are no longer read.
	for _, needs := range [][]ids.Job{
		{"job-1"}, {"job-1", "job-12"}, {"job-7", "job-0007", "job-70"}, {"job-3", "job-2", "job-1"}, manyNeeds(150),
	} {
		rec := newRecord("job-9", "blue", record.Normal, 4, 1)
		rec.Spec.DependsOn = needs
		spelled, ok := rec.EncodeWaiting(64 * 1024)
		if !ok || !strings.Contains(string(spelled), `"awaits":["job-`) {
			t.Fatalf("with room for it the record is %s", spelled)
		}
		var list []*record.Record // what the first version with pipelines reads
		if err := json.Unmarshal(spelled, &list); err != nil || len(list) != 1 {
			t.Errorf("another form than the first version's: %s", spelled)
		}
		forms := []json.RawMessage{spelled}
		if packed, ok := rec.EncodeWaiting(len(spelled) - 1); ok && len(needs) > 1 {
			forms = append(forms, packed)
		} else if len(needs) > 10 {
			t.Errorf("%d names are not packed", len(needs))
		}
		for _, raw := range forms {
			back, err := record.DecodeWaiting(raw)
			if err != nil || !slices.Equal(back.Spec.DependsOn, needs) || back.Spec.ID != "job-9" || back.Spec.Tasks != 4 {
				t.Errorf("%s is read back as %+v, %v", raw, back, err)
			}
			if _, err := record.Decode(raw); err == nil {
				t.Errorf("read as a claimable job's: %s", raw)
			}
		}
		if !slices.Equal(rec.Spec.DependsOn, needs) {
			t.Error("writing a waiting record loses what it awaits")
		}
	}
	for _, bad := range []string{`[]`, `{}`, `[null]`, `[{"spec":{}},"job-:1","x"]`, `[{"spec":{}},7]`, `["job-:1"]`} {
		if rec, err := record.DecodeWaiting(json.RawMessage(bad)); err == nil {
			t.Errorf("%s is read as %+v", bad, rec)
		}
	}
}

func TestAWaitingRecordFillsAValueAndStillMovesOn(t *testing.T) {
	// Guards against a record that can be stored while it waits, but neither as claimable
	// nor as ended, so that the job would be stuck.
	const limit = 2048
	now := time.Now()
	for _, c := range []struct {
		needed record.Status
		needs  int
	}{{record.Done, 150}, {record.Done, 100}, {record.Cancelled, 150}, {record.Cancelled, 100}} {
		needed := c.needed
		cluster := testBook()
		cluster.settings.Params.State.ValueKB = limit / 1024
		rec := newRecord("job-9", "blue", record.Normal, 4, 1)
		rec.Spec.DependsOn = manyNeeds(c.needs)
		if _, ok := rec.EncodeWaiting(limit); !ok {
			t.Fatalf("%d names do not fit", c.needs)
		}
		cluster.mu.Lock()
		cluster.addWaitingJobs(now, &workload.WaitingJob{Record: rec, Revision: 3})
		for _, need := range rec.Spec.DependsOn {
			cluster.jobEnded(need, needed)
		}
		var moves []commit.Change
		add := func(change commit.Change) bool { moves = append(moves, change); return true }
		if needed == record.Done {
			cluster.collectReadyMoves(add)
		} else {
			cluster.collectCancelledMoves(add)
		}
		cluster.mu.Unlock()
		if len(moves) != 1 {
			t.Fatalf("%s: %d moves", needed, len(moves))
		}
		raw := moves[0].Ops[1].Value
		if len(raw) > limit {
			t.Errorf("%s: %d bytes", needed, len(raw))
		}
		if needed == record.Done && float64(len(raw)) > limit*record.MaxSpecShare {
			t.Errorf("%d bytes leave little room for places", len(raw))
		}
		if back, err := record.Decode(raw); err != nil || needed != record.Done && !strings.Contains(back.Events[len(back.Events)-1].Message, "which was cancelled") {
			t.Errorf("%s: read back as %+v, %v", needed, back, err)
		}
	}
}
