package election

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

func TestProductionLeaderRecordIsEncodedUnchanged(t *testing.T) {
	// Guards against a field of the stored record that is dropped, renamed or interpreted differently. The file
	// was written by the version that deploy/service.toml names as production.
	stored, err := os.ReadFile("testdata/production/owner.json")
	if err != nil {
		t.Fatal(err)
	}
	var leader leaderRecord
	if err := json.Unmarshal(stored, &leader); err != nil {
		t.Fatal(err)
	}
	written, err := json.Marshal(leader)
	if err != nil {
		t.Fatal(err)
	}
	var before, after any
	if json.Unmarshal(stored, &before) != nil || json.Unmarshal(written, &after) != nil || !reflect.DeepEqual(before, after) {
		t.Errorf("leader record encoded as\n%s, want\n%s", written, stored)
	}
}
