package fleet

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// maxFleetSize is the number of machines that the service must support.
const maxFleetSize = 6000

// provisionAll provisions count machines and delivers a heartbeat of each.
func provisionAll(ctx context.Context, t *testing.T, cluster *clusterstate.State, cloud *Cloud, count int) {
	t.Helper()
	for i := range count / maxPerRequest {
		request := provisioningRequest{Name: ids.ProvisioningRequest(fmt.Sprint("first-", i)), Type: "small", Zone: "north", Count: maxPerRequest}
		machines, err := cloud.provision(ctx, request, nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, machine := range machines {
			cluster.ReconcileHeartbeat(heartbeat(machine, 1))
		}
	}
}

func TestRequestDoesNotWaitForTheListOfALargeFleet(t *testing.T) {
	// Guards against reading all pages of the machine list before anything else: at six thousand machines
	// the calls of each such read took three seconds, and the reads repeat.
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		network, cloud, cluster, _, provisioner := newTestProvisioner(maxFleetSize + 100)
		provisionAll(ctx, t, cluster, provisioner.Cloud, maxFleetSize)
		provisioner.Step(ctx)
		// The cloud allows five calls per second, and its list lags by five seconds.
		provisioner.Cloud, provisioner.ListInterval = NewCloud("cloud:1", network.Client("a"), 5), 2500*time.Millisecond
		completedReads, slowest := map[time.Time]bool{}, time.Duration(0)
		step := func() {
			provisioner.Step(ctx)
			time.Sleep(250 * time.Millisecond)
			if !provisioner.listProgress.reading {
				completedReads[provisioner.listProgress.startedAt] = true
			}
		}
		for i := range 20 {
			spec := record.Spec{ID: ids.Job(fmt.Sprint("job-", i)), Class: "c", Team: "red", Zone: "south", JobType: record.Service,
				Tasks: 1, Resources: placement.Resources{Cores: 4, RAM: 4}}
			cluster.HandleRecord(spec.ID, 1, record.New(spec, ids.TimestampOf(time.Now()), "user"), time.Now())
			startedAt, before := time.Now(), len(cloud.ProvisioningRequests())
			for len(cloud.ProvisioningRequests()) == before && time.Since(startedAt) < 10*time.Second {
				step()
			}
			slowest = max(slowest, time.Since(startedAt))
			step()
			step()
		}
		if slowest > time.Second {
			t.Errorf("slowest provisioning request was sent after %v, want at most 1s", slowest)
		}
		if len(completedReads) < 2 {
			t.Errorf("machine list was read to its end %d times, want at least 2", len(completedReads))
		}
	})
}
