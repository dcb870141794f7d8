package clusterstate

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/pebbletrail/pebbletrail/internal/record"
)

// The files in testdata/0.1.0-pipelines were written by the first version with
// pipelines, which still called itself 0.1.0: any version may have been running.
const firstPipelines = "testdata/0.1.0-pipelines"

func TestRecordsOfTheFirstVersionWithPipelinesAreReadAndWrittenBackAlike(t *testing.T) {
	// Guards against a change of the stored form of a job that waits, or has waited:
	// that version may have stored it, and may read it again.
	type form struct {
		name   string
		decode func(json.RawMessage) (*record.Record, error)
		encode func(*record.Record, int) (json.RawMessage, bool)
	}
	for _, f := range []form{
		{"waiting.json", record.DecodeWaiting, (*record.Record).EncodeWaiting},
		{"ready.json", record.Decode, (*record.Record).Encode},
		{"ended-by-need.json", record.Decode, (*record.Record).EncodeFinal},
	} {
		want, err := os.ReadFile(filepath.Join(firstPipelines, f.name))
		if err != nil {
			t.Fatal(err)
		}
		rec, err := f.decode(want)
		if err != nil {
			t.Fatalf("%s: %v", f.name, err)
		}
		if len(rec.Spec.DependsOn) != 2 || rec.Spec.DependsOn[1] != "job-000012" {
			t.Errorf("%s: awaits %v", f.name, rec.Spec.DependsOn)
		}
		raw, fits := f.encode(rec, 8192)
		if !fits {
			t.Fatal(f.name)
		}
		sameJSON(t, f.name, raw, want)
	}
}

func TestACancellationStoredApartReadsBackAndIsNoRecordToOthers(t *testing.T) {
	// Guards against a version that knows nothing of such keys taking one for the
	// record of a job, and against a node that can't read what another has stored.
	raw := record.Cancellation{At: 1700000000000, Writer: "a.1"}.Encode()
	if _, err := record.Decode(raw); err == nil {
		t.Errorf("%s is taken for a record", raw)
	}
	back, err := record.DecodeCancellation(raw)
	if err != nil || back.At != 1700000000000 || back.Writer != "a.1" {
		t.Errorf("read back as %+v, %v", back, err)
	}
	if id, kind := record.ParseKey(record.CancelKey("job-7")); id != "job-7" || kind != record.StoredCancellation {
		t.Errorf("its key is read as that of %s, %v", id, kind)
	}
	for _, wrong := range []string{`[]`, `{}`, `[1]`, `x`} {
		if _, err := record.DecodeCancellation(json.RawMessage(wrong)); err == nil {
			t.Errorf("%s is taken for a cancellation", wrong)
		}
	}
}
