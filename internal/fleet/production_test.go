package fleet

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"github.com/pebbletrail/pebbletrail/internal/placement"
)

func TestProductionCloudRecordsAreWrittenBackUnchanged(t *testing.T) {
	// Guards against changes after which another version decodes a stored request or the machine types
	// differently. The files were written by the version that deploy/service.toml names.
	for name, value := range map[string]any{"hire.json": &provisioningRequest{}, "types.json": &[]placement.InstanceType{}} {
		want, err := os.ReadFile("testdata/production/" + name)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(want, value); err != nil {
			t.Fatal(err)
		}
		raw, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		var before, after any
		if json.Unmarshal(want, &before) != nil || json.Unmarshal(raw, &after) != nil || !reflect.DeepEqual(before, after) {
			t.Errorf("%s is encoded again as %s, want %s", name, raw, want)
		}
	}
}
