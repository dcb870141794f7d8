package record

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/pebbletrail/pebbletrail/internal/placement"
)

func TestStoredFieldNamesOfSpecsAreUnchanged(t *testing.T) {
	// Guards against a rename in the code that changes the stored form. Other versions of the
	// program read it, and data under names that they don't know is lost.
	spec := Spec{ID: "job-1", Class: "c", Team: "red", JobType: Gang, Priority: High, Tasks: 2, Resources: placement.Resources{Cores: 1},
		Image: "i", ImageGB: 2, InstanceTypes: []string{"t"}, Zone: "z", SingleZone: true, Spread: true, AllowSpot: true, EstimatedDuration: 3,
		CheckpointInterval: 4, CheckpointDuration: 5, Deadline: 6, DependsOn: nil}
	want := `{"id":"job-1","class":"c","team":"red","shape":"gang","priority":2,"tasks":2,"need":` + string(marshal(t, spec.Resources)) +
		`,"image":"i","imageGb":2,"types":["t"],"zone":"z","oneZone":true,"spread":true,"spot":true,"estimate":3,"checkpoint":4,"save":5,"due":6}`
	if got := string(marshal(t, spec)); got != want {
		t.Errorf("encoded as\n%s, want\n%s", got, want)
	}
	var decoded Spec
	if err := json.Unmarshal([]byte(want), &decoded); err != nil || !reflect.DeepEqual(decoded, spec) {
		t.Errorf("decoded as %+v, error %v", decoded, err)
	}
}

func marshal(t *testing.T, value any) []byte {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
