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

func TestStoredCancellationRoundTripsAndIsNotAJobRecord(t *testing.T) {
	// Guards against a version that knows nothing of such keys taking one for the
	// record of a job, and against a node that can't read what another has stored.
	raw := record.Cancellation{At: 1700000000000, Writer: "a.1"}.Encode()
	if _, err := record.Decode(raw); err == nil {
		t.Errorf("%s is taken for a record", raw)
	}
	decoded, err := record.DecodeCancellation(raw)
	if err != nil || decoded.At != 1700000000000 || decoded.Writer != "a.1" {
		t.Errorf("read back as %+v, %v", decoded, err)
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
