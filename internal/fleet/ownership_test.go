package fleet

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/claim"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// ownHires is a store that also keeps what is stored of hires.
type ownHires struct {
	shelf
	values map[string]string
}

func (s *ownHires) Apply(ctx context.Context, ops []state.Op) error {
	if err := s.shelf.Apply(ctx, ops); err != nil {
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

func TestAHireOfOneOfSeveralShardsNamesItsMachinesUntilTheyAreGone(t *testing.T) {
	// Guards against a machine that is used before it is stored whose it is, and against
	// hires that stay stored for ever.
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		_, cloud, cluster, _, p := setup(2)
		store := &ownHires{shelf{names: map[string]bool{}}, map[string]string{}}
		p.Store, p.Keys, p.Shard = store, record.KeysOf(1, 3), 1
		p.Owns = func(ids.Machine) bool { return true }
		p.OthersLack = func() (time.Duration, int) { return 0, 1 }
		cluster.HandleRecord("job-1", 1, job("job-1", 1), time.Now())
		p.Step(ctx)
		key := "pool/~1/hire/h-s1-7-1"
		if !strings.Contains(store.values[key], `"hosts":["host-000001"]`) {
			t.Fatalf("stored: %v", store.values)
		}
		// A successor knows the machine from what is stored.
		next := &Provisioner{Cluster: claim.NewClusterState(set(), "w", 8, time.Now())}
		next.Adopt([]state.Entry{{Key: key, Value: []byte(store.values[key])}})
		if next.Cluster.Summary()["machines"] != 1 || len(next.open) != 0 {
			t.Errorf("a successor knows %v machines and %d open hires", next.Cluster.Summary()["machines"], len(next.open))
		}
		// More is wanted than there is: the others are told.
		cluster.HandleRecord("job-2", 2, job("job-2", 40), time.Now())
		for range 8 {
			p.Step(ctx)
			time.Sleep(time.Second)
		}
		if cluster.Shortage().For == 0 {
			t.Error("the cloud refuses what waits, and nobody is told")
		}
		for range 300 { // they never come up and are returned
			p.Step(ctx)
			time.Sleep(time.Second)
		}
		if len(cloud.Gone()) == 0 {
			t.Fatal("nothing was returned")
		}
		for _, name := range cloud.Gone() {
			for at, value := range store.values {
				if strings.Contains(value, name) && len(p.kept) == 0 {
					t.Errorf("%s still names %s", at, name)
				}
			}
		}
		if _, kept := store.values[key]; kept {
			t.Error("the hire is stored although its machine is gone")
		}
	})
}

func TestRoomIsSharedWithShardsThatLackIt(t *testing.T) {
	// Guards against jobs of a shard that wait for good while another one holds machines.
	cluster := claim.NewClusterState(set(), "w", 7, time.Now())
	cluster.SetMachineTypes([]placement.Type{{Label: "small", Cores: 4, RAM: 16, Zones: []string{"north"}}})
	hear := func(name ids.Machine) { cluster.ReconcileHeartbeat(heartbeat(name), true, true) }
	for _, name := range []ids.Machine{"busy", "idle", "spare"} {
		hear(name)
	}
	now := time.Now()
	if gone := cluster.MachinesToTerminate(now, map[ids.Machine]bool{"busy": true}); len(gone) != 0 {
		t.Fatalf("returned %v although nobody lacks room", gone)
	}
	cluster.ShareCapacity(time.Second, 1, now)
	if gone := cluster.MachinesToTerminate(now, map[ids.Machine]bool{"busy": true}); len(gone) != 2 {
		t.Errorf("returned %v, not what is idle", gone)
	}
	cluster.ShareCapacity(time.Minute, 3, now)
	if cluster.Summary()["draining"] != 0 {
		t.Error("a shard with its part gives a machine up")
	}
	for range 3 {
		cluster.ShareCapacity(time.Minute, 1, now)
	}
	if cluster.Summary()["draining"] != 1 {
		t.Errorf("%v machines are given up at once", cluster.Summary()["draining"])
	}
}

func TestMachinesThatTheCloudDoesNotListAreNotWaitedFor(t *testing.T) {
	// Guards against a leader whose machines were all returned right before its takeover: it
	// heard of none, took that for its own being cut off, and hired nothing for good.
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		_, cloud, cluster, _, p := setup(2)
		cluster.ApplyHints(map[ids.Machine]claim.Hint{"gone": {Name: "gone", Addr: "gone:1", Type: "small", Zone: "north", Session: 1}}, time.Now())
		cluster.HandleRecord("job-1", 1, job("job-1", 1), time.Now())
		for range 40 {
			p.Step(ctx)
			time.Sleep(time.Second)
		}
		if len(cloud.Hires()) == 0 {
			t.Error("nothing was hired for a job that waits")
		}
	})
}
