package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

func TestCloudDistinguishesFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		network, cloud, _, _, provisioner := newTestProvisioner(0)
		request := provisioningRequest{Name: "h", Type: "small", Count: 1}
		if _, err := provisioner.Cloud.provision(ctx, request, nil); !errors.Is(err, errNoCapacity) {
			t.Errorf("provision without capacity: error %v, want errNoCapacity", err)
		}
		cloud.SetDown(true)
		if _, err := provisioner.Cloud.provision(ctx, request, nil); !errors.Is(err, errUnavailable) {
			t.Errorf("provision during an outage: error %v, want errUnavailable", err)
		}
		network.SetRule(func(_, _ string, _ *http.Request, _ []byte) fake.Outcome { return fake.Drop })
		if err := provisioner.Cloud.delete(ctx, []ids.Machine{"host-1"}, nil); !errors.Is(err, errOutcomeUnknown) {
			t.Errorf("delete without a response: error %v, want errOutcomeUnknown", err)
		}
	})
}

func TestMachineListIsDecodedFromCloudFieldNames(t *testing.T) {
	const page = `{"hosts":[{"uid":"host-1","endpoint":"10.1.0.1:9000","build":"g8","yard":"a","loaners":true,"status":"running","heldS":61.5}],"more":true}`
	var answer listAnswer
	if err := json.Unmarshal([]byte(page), &answer); err != nil {
		t.Fatal(err)
	}
	want := []clusterstate.ListedMachine{{Name: "host-1", Address: "10.1.0.1:9000", Type: "g8", Zone: "a", Spot: true, Status: "running", ProvisionedFor: 61.5}}
	if got := answer.machines(); !slices.Equal(got, want) || !answer.More {
		t.Errorf("decoded machines %+v, more %v; want %+v, more true", got, answer.More, want)
	}
}
