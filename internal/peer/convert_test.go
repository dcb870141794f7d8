package peer

import (
	"reflect"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/liveness"
	"github.com/pebbletrail/pebbletrail/internal/provisioning"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

func TestConversionsKeepEveryField(t *testing.T) {
	// Guards against a field that is added to a type and its message but not copied by the conversion.
	hint := clusterstate.Hint{Name: "host-000001", Address: "10.1.0.1:9000", Type: "small", Zone: "north", Spot: true, Incarnation: 2,
		Images: worker.Images{Names: []string{"img"}, Sizes: []float64{1.5}}, Booting: true, ProvisionedFor: 3 * time.Second}
	position := clusterstate.HintPosition{Generation: 7, Sequence: 12, Complete: true, ReceivedAt: time.Unix(1700000000, 0)}
	redirected := liveness.RedirectedWorker{Machine: "host-000002", Ago: 3 * time.Second}
	shortage := provisioning.Shortage{Duration: 4 * time.Second, Machines: 5}
	spec := rollout.Spec{Name: "spring", Replace: true, Surge: true, WaveSize: 2, Pause: 3, Deadline: 4, DeadlineAction: "wait", Observe: 5,
		Select: rollout.Selection{Machines: []ids.Machine{"host-000001"}, Digest: "d", Zone: "north", Type: "small", Older: true}}
	plan := rollout.Plan{Machines: []ids.Machine{"host-000001"}, Waves: [][]ids.Machine{{"host-000001"}}, Takes: 6,
		Blocked: []rollout.BlockedMachine{{Name: "host-000002", Why: []string{"full"}}}}
	specOnWire, planOnWire := specToWire(&spec), planToWire(&plan)
	for name, testCase := range map[string]struct{ original, onWire, roundTripped any }{
		"hint":   {hint, hintToWire(hint), hintFromWire(hintToWire(hint))},
		"mark":   {position, hintPositionToWire(position), hintPositionFromWire(hintPositionToWire(position))},
		"strand": {redirected, redirectedWorkerToWire(redirected), redirectedWorkerFromWire(redirectedWorkerToWire(redirected))},
		"lack":   {shortage, shortageToWire(shortage), shortageFromWire(shortageToWire(shortage))},
		"spec":   {spec, specOnWire, *specFromWire(&specOnWire)},
		"plan":   {plan, planOnWire, *planFromWire(&planOnWire)},
	} {
		expectNoZeroField(t, name, reflect.ValueOf(testCase.original))
		expectNoZeroField(t, name+" on the wire", reflect.ValueOf(testCase.onWire))
		if !reflect.DeepEqual(testCase.roundTripped, testCase.original) {
			t.Errorf("%s after conversion to the message and back: got %+v, want %+v", name, testCase.roundTripped, testCase.original)
		}
	}
}

// expectNoZeroField checks that every exported field of value is set, including those of nested structs
// and of the elements of slices.
func expectNoZeroField(t *testing.T, path string, value reflect.Value) {
	t.Helper()
	if value.IsZero() {
		t.Errorf("%s has its zero value", path)
	}
	switch value.Kind() {
	case reflect.Slice:
		for i := range value.Len() {
			expectNoZeroField(t, path, value.Index(i))
		}
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() {
				expectNoZeroField(t, path+"."+field.Name, value.Field(i))
			}
		}
	}
}
