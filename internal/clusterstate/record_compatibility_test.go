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
		t.Errorf("%s is encoded as\n%s, not\n%s", name, raw, want)
	}
}

func TestProductionRecordsRoundTripUnchanged(t *testing.T) {
	// Guards against a field that one version drops, renames or interprets differently: what the production
	// version wrote must be written back unchanged, with every assignment.
	for _, name := range []string{"queued.json", "claimed.json", "cancelling.json", "done.json"} {
		t.Run(name, func(t *testing.T) {
			want := readProductionFile(t, name)
			rec, err := record.Decode(want)
			if err != nil {
				t.Fatalf("decode %s: %v", name, err)
			}
			raw, fits := rec.Encode(testValueBytes)
			if !fits {
				t.Fatalf("%s does not fit", name)
			}
			checkSameJSON(t, name, raw, want)
			// The same through the cluster state of a new leader.
			if rec.Status.IsTerminal() {
				return
			}
			cluster := newTestState()
			cluster.Load(map[ids.Job]*record.Record{"job-1": rec}, map[ids.Job]ids.Revision{"job-1": 3}, 3, time.Now())
			job := cluster.jobs.Get("job-1")
			reencoded := job.Record
			reencoded.Assignments = workload.GroupAssignments(job.Assignments)
			raw, _ = reencoded.Encode(testValueBytes)
			checkSameJSON(t, name+" through the cluster state", raw, want)
		})
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
	// Guards against records that a leader of the production version would misread. It must skip a waiting
	// job's record: otherwise it would start the job at once and drop its dependencies.
	rec := newRecord("job-2", "blue", record.Normal, 4, 1)
	rec.Spec.DependsOn = []ids.Job{"job-1"}
	raw, ok := rec.EncodeWaiting(testValueBytes)
	var old map[string]any // any type that decodes only JSON objects, as in the production version
	if err := json.Unmarshal(raw, &old); !ok || err == nil {
		t.Errorf("a waiting job's record is a JSON object, which the production version would decode: %s", raw)
	}
	if decoded, err := record.DecodeWaiting(raw); err != nil || decoded.Spec.DependsOn[0] != "job-1" {
		t.Errorf("the waiting job's record is decoded as %v, %v", decoded, err)
	}
	if _, err := record.Decode(raw); err == nil {
		t.Error("a waiting job's record is decoded as a ready job's")
	}
	// Once the job is ready, the only new fields of its record are ones that may be lost.
	rec.ReadyAt = 1700000000000
	raw, _ = rec.Encode(testValueBytes)
	if err := json.Unmarshal(raw, &old); err != nil {
		t.Fatal(err)
	}
	delete(old, "ready")
	delete(old["spec"].(map[string]any), "awaits")
	var known map[string]any
	if err := json.Unmarshal(readProductionFile(t, "claimed.json"), &known); err != nil {
		t.Fatal(err)
	}
	for _, part := range []struct{ got, want map[string]any }{
		{old, known},
		{old["spec"].(map[string]any), known["spec"].(map[string]any)},
	} {
		for field := range part.got {
			if _, ok := part.want[field]; !ok {
				t.Errorf("the production version does not know the field %q", field)
			}
		}
	}
}

// firstPipelineVersionDir holds records written by the first version with pipelines, which still had the
// version number 0.1.0. A cluster may have run any version, so its records must stay readable.
const firstPipelineVersionDir = "testdata/0.1.0-pipelines"

func TestFirstPipelineVersionRecordsRoundTripUnchanged(t *testing.T) {
	// Guards against a change of the stored form of a job that waits, or has waited, for dependencies: the
	// first version with pipelines may have stored the record, and may read it again.
	for _, test := range []struct {
		name   string
		decode func(json.RawMessage) (*record.Record, error)
		encode func(*record.Record, int) (json.RawMessage, bool)
	}{
		{"waiting.json", record.DecodeWaiting, (*record.Record).EncodeWaiting},
		{"ready.json", record.Decode, (*record.Record).Encode},
		{"ended-by-need.json", record.Decode, (*record.Record).EncodeFinal},
	} {
		t.Run(test.name, func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join(firstPipelineVersionDir, test.name))
			if err != nil {
				t.Fatal(err)
			}
			rec, err := test.decode(want)
			if err != nil {
				t.Fatalf("decode %s: %v", test.name, err)
			}
			if len(rec.Spec.DependsOn) != 2 || rec.Spec.DependsOn[1] != "job-000012" {
				t.Errorf("%s: the job depends on %v", test.name, rec.Spec.DependsOn)
			}
			raw, fits := test.encode(rec, testValueBytes)
			if !fits {
				t.Fatalf("%s does not fit", test.name)
			}
			checkSameJSON(t, test.name, raw, want)
		})
	}
}
