package fleet

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/clusterstate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// valueStore is a requestStore that also keeps the stored values.
type valueStore struct {
	requestStore
	values map[string]string
}

func (s *valueStore) Apply(ctx context.Context, ops []state.Op) error {
	if err := s.requestStore.Apply(ctx, ops); err != nil {
		return err
	}
	for _, op := range ops {
		delete(s.values, op.Remove)
		if op.Put != "" {
			s.values[op.Put] = string(op.Value)
		}
	}
	return nil
}

func TestRequestStaysStoredWithItsMachinesUntilTheyAreDeleted(t *testing.T) {
	// Guards against the use of a machine before its owner is stored, and against requests that are never
	// removed from the store.
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		_, cloud, cluster, _, provisioner := newTestProvisioner(2)
		store := &valueStore{requestStore{names: map[string]bool{}}, map[string]string{}}
		provisioner.Store, provisioner.Keys, provisioner.Shard = store, record.KeysOf(1, 3), 1
		provisioner.Owns = func(ids.Machine) bool { return true }
		provisioner.OtherShardsShortage = func() (time.Duration, int) { return 0, 1 }
		cluster.HandleRecord("job-1", 1, newJob("job-1", 1), time.Now())
		provisioner.Step(ctx)
		key := "pool/~1/hire/h-s1-7-1"
		if !strings.Contains(store.values[key], `"hosts":["host-000001"]`) {
			t.Fatalf("stored values %v, want the request with its machine", store.values)
		}
		// A later leader learns of the machine from the stored request.
		next := &Provisioner{Cluster: clusterstate.New(testSettings(), "w", 8, time.Now())}
		next.LoadRequests([]state.Entry{{Key: key, Value: []byte(store.values[key])}})
		if next.Cluster.Summary()["machines"] != 1 || len(next.requests.outstanding) != 0 {
			t.Errorf("next leader has %v machines and %d outstanding requests, want 1 and 0", next.Cluster.Summary()["machines"], len(next.requests.outstanding))
		}
		// The demand exceeds the cloud's capacity, so a shortage is published to the other shards.
		cluster.HandleRecord("job-2", 2, newJob("job-2", 40), time.Now())
		stepEverySecond(ctx, provisioner, 8)
		if cluster.Shortage().Duration == 0 {
			t.Error("no shortage published although the cloud refuses machines for a waiting job")
		}
		stepEverySecond(ctx, provisioner, 300) // the machines never come up and are deleted
		if len(cloud.DeletedMachines()) == 0 {
			t.Fatal("machines that never came up were not deleted")
		}
		for _, machine := range cloud.DeletedMachines() {
			for storedAt, value := range store.values {
				if strings.Contains(value, machine) && len(provisioner.requests.fulfilled) == 0 {
					t.Errorf("stored request %s still contains deleted machine %s", storedAt, machine)
				}
			}
		}
		if _, kept := store.values[key]; kept {
			t.Error("request is still stored although its only machine was deleted")
		}
	})
}

func TestIdleMachinesAreReleasedForShardsWithAShortage(t *testing.T) {
	// Guards against jobs of a shard that wait forever while another shard holds idle machines.
	cluster := clusterstate.New(testSettings(), "w", 7, time.Now())
	cluster.SetMachineTypes([]placement.InstanceType{{Label: "small", Cores: 4, RAM: 16, Zones: []string{"north"}}})
	for _, machine := range []ids.Machine{"busy", "idle", "spare"} {
		cluster.ReconcileHeartbeat(heartbeat(machine, 1))
	}
	now := time.Now()
	if deleted := cluster.MachinesToTerminate(now, map[ids.Machine]bool{"busy": true}); len(deleted) != 0 {
		t.Fatalf("machines %v selected for termination although no shard has a shortage", deleted)
	}
	cluster.ShareCapacity(time.Second, 1, now)
	if deleted := cluster.MachinesToTerminate(now, map[ids.Machine]bool{"busy": true}); len(deleted) != 2 {
		t.Errorf("machines %v selected for termination, want the 2 idle ones", deleted)
	}
	cluster.ShareCapacity(time.Minute, 3, now)
	if cluster.Summary()["draining"] != 0 {
		t.Error("a shard with the average number of machines drains a machine for another shard")
	}
	for range 3 {
		cluster.ShareCapacity(time.Minute, 1, now)
	}
	if cluster.Summary()["draining"] != 1 {
		t.Errorf("%v machines are drained at the same time for another shard, want 1", cluster.Summary()["draining"])
	}
}

func TestUnlistedMachinesDoNotBlockProvisioning(t *testing.T) {
	// Guards against a new leader that never requests machines because all were deleted right before the
	// failover: it received no heartbeats and concluded that it was cut off by a network partition.
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		_, cloud, cluster, _, provisioner := newTestProvisioner(2)
		var hints clusterstate.HintCache
		hints.Receive([]clusterstate.Hint{{Name: "gone", Address: "gone:1", Type: "small", Zone: "north", Incarnation: 1}}, clusterstate.HintPosition{Complete: true})
		cluster.ApplyHints(&hints, time.Now())
		cluster.HandleRecord("job-1", 1, newJob("job-1", 1), time.Now())
		stepEverySecond(ctx, provisioner, 40)
		if len(cloud.ProvisioningRequests()) == 0 {
			t.Error("no request was sent for a waiting job")
		}
	})
}
