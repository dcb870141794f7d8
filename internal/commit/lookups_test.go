package commit

import (
	"errors"
	"testing"

	"github.com/pebbletrail/pebbletrail/internal/record"
)

// Guards against a log line without a reason for a final record whose status is not final.
func TestFinalRecordWithoutFinalStatusIsAnError(t *testing.T) {
	for _, status := range []record.Status{record.Queued, record.Cancelling, record.Done, record.Cancelled} {
		rec := record.New(record.Spec{ID: "job-1"}, 1, "w")
		rec.Status = status
		raw, _ := rec.Encode(1 << 10)
		got, err := decodeFinalStatus(raw)
		if status.IsTerminal() && (err != nil || got != status) || !status.IsTerminal() && !errors.Is(err, errNotFinal) {
			t.Errorf("status %q: %q, error %v", status, got, err)
		}
	}
	if _, err := decodeFinalStatus([]byte(`[`)); err == nil || errors.Is(err, errNotFinal) {
		t.Errorf("unreadable record: error %v", err)
	}
}
