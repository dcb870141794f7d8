package rehearsal

import (
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestIncompleteRunWritesRecordAndReport(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	findings := &QuotaFindings{Teams: []Team{redTeam}, Duration: 10 * time.Second, Within: time.Second,
		Events: breachEvents(), IncompleteReason: "the time was up"}
	findings.analyze()
	if !findings.Failed() {
		t.Error("Failed returned false for an incomplete run with a breach")
	}
	if err := findings.writeFiles(folder); err != nil {
		t.Fatal(err)
	}
	events, err := ReadRecord(filepath.Join(folder, "record.jsonl.zst"))
	if err != nil || !reflect.DeepEqual(events, breachEvents()) {
		t.Errorf("ReadRecord returned events %v, error %v", events, err)
	}
	page, err := findings.report()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"This run failed", "the time was up", "team red used 5 cores", "controller-1", "<svg"} {
		if !strings.Contains(string(page), want) {
			t.Errorf("the report does not contain %q", want)
		}
	}
}
