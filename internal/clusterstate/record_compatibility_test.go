package clusterstate

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// productionDir holds records written by the version that deploy/service.toml names as
// production. While the service is upgraded both versions work on the same records, and the
// leader may be of either.
const productionDir = "testdata/production"

// readProductionFile returns a file of productionDir.
func readProductionFile(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(productionDir, name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// checkSameJSON fails the test unless both values are the same JSON.
func checkSameJSON(t *testing.T, name string, raw, want []byte) {
	t.Helper()
	var gotValue, wantValue any
	if err := json.Unmarshal(raw, &gotValue); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(want, &wantValue); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(gotValue, wantValue) {
		t.Errorf("%s is written back as\n%s, not\n%s", name, raw, want)
	}
}

func TestProductionRecordsRoundTripUnchanged(t *testing.T) {
	// Guards against a field that one version drops, renames or reads otherwise: what
	// production wrote comes back to the letter, with every place in its place.
	for _, name := range []string{"queued.json", "claimed.json", "cancelling.json", "done.json"} {
		want := readProductionFile(t, name)
		rec, err := record.Decode(want)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		raw, ok := rec.Encode(8192)
		if !ok {
			t.Fatal(name)
		}
		checkSameJSON(t, name, raw, want)
		// Through the cluster state of a new leader as well.
		if rec.Status.IsTerminal() {
			continue
		}
		cluster := newTestState()
		cluster.Load(map[ids.Job]*record.Record{"job-1": rec}, map[ids.Job]ids.Revision{"job-1": 3}, 3, time.Now())
		job := cluster.jobs.Get("job-1")
		reencoded := job.Record
		reencoded.Assignments = workload.GroupAssignments(job.Assignments)
		raw, _ = reencoded.Encode(8192)
		checkSameJSON(t, name+" through the book", raw, want)
	}
	want := readProductionFile(t, "generation.json")
	var generation commit.GenerationRecord
	if err := json.Unmarshal(want, &generation); err != nil {
		t.Fatal(err)
	}
	raw, _ := json.Marshal(generation)
	checkSameJSON(t, "generation.json", raw, want)
}

func TestProductionVersionCanReadNewRecords(t *testing.T) {
	// Guards against records that an old leader would take for something else. One that
	// awaits others it must pass over: it would start it at once, and drop what it awaits.
	rec := newRecord("job-2", "blue", record.Normal, 4, 1)
	rec.Spec.DependsOn = []ids.Job{"job-1"}
	raw, ok := rec.EncodeWaiting(8192)
	var old map[string]any // any type that reads objects only, as production's does
	if err := json.Unmarshal(raw, &old); !ok || err == nil {
		t.Errorf("a waiting job's record reads as an object: %s", raw)
	}
	if decoded, err := record.DecodeWaiting(raw); err != nil || decoded.Spec.DependsOn[0] != "job-1" {
		t.Errorf("read back as %v, %v", decoded, err)
	}
	if _, err := record.Decode(raw); err == nil {
		t.Error("a waiting job's record is taken for a claimable one's")
	}
	// Once it awaits nothing any more, only fields are new that may be lost.
	rec.ReadyAt = 1700000000000
	raw, _ = rec.Encode(8192)
	if err := json.Unmarshal(raw, &old); err != nil {
		t.Fatal(err)
	}
	delete(old, "ready")
	delete(old["spec"].(map[string]any), "awaits")
	var known map[string]any
	if err := json.Unmarshal(readProductionFile(t, "claimed.json"), &known); err != nil {
		t.Fatal(err)
	}
	for _, part := range []struct{ got, want map[string]any }{{old, known}, {old["spec"].(map[string]any), known["spec"].(map[string]any)}} {
		for field := range part.got {
			if _, ok := part.want[field]; !ok {
				t.Errorf("production knows no field %q", field)
			}
		}
	}
}

// The files in testdata/0.1.0-pipelines were written by the first version with
// pipelines, which still called itself 0.1.0: any version may have been running.
const firstPipelineVersionDir = "testdata/0.1.0-pipelines"

func TestFirstPipelineVersionRecordsRoundTripUnchanged(t *testing.T) {
	// Guards against a change of the stored form of a job that waits, or has waited:
	// that version may have stored it, and may read it again.
	type form struct {
		name   string
		decode func(json.RawMessage) (*record.Record, error)
		encode func(*record.Record, int) (json.RawMessage, bool)
	}
	for _, test := range []form{
		{"waiting.json", record.DecodeWaiting, (*record.Record).EncodeWaiting},
		{"ready.json", record.Decode, (*record.Record).Encode},
		{"ended-by-need.json", record.Decode, (*record.Record).EncodeFinal},
	} {
		want, err := os.ReadFile(filepath.Join(firstPipelineVersionDir, test.name))
		if err != nil {
			t.Fatal(err)
		}
		rec, err := test.decode(want)
		if err != nil {
			t.Fatalf("%s: %v", test.name, err)
		}
		if len(rec.Spec.DependsOn) != 2 || rec.Spec.DependsOn[1] != "job-000012" {
			t.Errorf("%s: awaits %v", test.name, rec.Spec.DependsOn)
		}
		raw, fits := test.encode(rec, 8192)
		if !fits {
			t.Fatal(test.name)
		}
		checkSameJSON(t, test.name, raw, want)
	}
}
