package clusterstate

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/eviction"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

func TestEvictionWaitsForStoredPermitAndAvailableStore(t *testing.T) {
	now := time.Now()
	cluster := newStateWithDrains(t, now)
	cluster.SetOrders(newDrainOrders("m1", "m2"))
	runEviction(cluster, now)
	if n := cluster.jobs.Get("job-1").Record.EvictedTasks(); n != 1 || cluster.countStopping("job-1") != 0 {
		t.Fatalf("%d permits and %d stops before the permit is stored, want 1 and 0", n, cluster.countStopping("job-1"))
	}
	cluster.markAllStored()
	cluster.StoreAvailable = func() bool { return false }
	runEviction(cluster, now)
	if cluster.countStopping("job-1") != 0 {
		t.Error("a replica is stopped while the store is unavailable, so that it could not be restarted")
	}
	if !strings.Contains(fmt.Sprint(cluster.DrainBlockers()), "the state service does not answer") {
		t.Errorf("drain blockers %v do not name the unavailable store", cluster.DrainBlockers())
	}
	cluster.StoreAvailable = func() bool { return true }
	runEviction(cluster, now)
	if cluster.countStopping("job-1") != 1 || cluster.jobs.Get("job-1").Record.EvictedTasks() != 1 {
		t.Errorf("%d stops and %d permits once the store is available, want one each", cluster.countStopping("job-1"), cluster.jobs.Get("job-1").Record.EvictedTasks())
	}
}

func TestEvictionPermitWithdrawnOnlyAfterMachineSawNewFencingToken(t *testing.T) {
	// A stop sent by an earlier leader may still arrive until the machine has seen this leader's fencing
	// token.
	now := time.Now()
	cluster := newStateWithDrains(t, now)
	cluster.SetOrders(newDrainOrders("m1"))
	runEviction(cluster, now)
	cluster.markAllStored()
	cluster.SetOrders(rollout.NewOrders())
	runEviction(cluster, now)
	if n := cluster.jobs.Get("job-1").Record.EvictedTasks(); n != 1 {
		t.Fatalf("%d permits are left while a stop of an earlier leader may arrive, want 1", n)
	}
	for i := range 4 {
		markReported(cluster, ids.Machine(fmt.Sprint("m", i+1)), cluster.firstToken, now)
	}
	runEviction(cluster, now)
	if n := cluster.jobs.Get("job-1").Record.EvictedTasks(); n != 0 || cluster.countStopping("job-1") != 0 {
		t.Errorf("%d permits are left and %d stops were sent, want none", n, cluster.countStopping("job-1"))
	}
}

func TestRelocationRespectsDisruptionBudget(t *testing.T) {
	for _, test := range []struct {
		name  string
		down  int // replicas that are not running
		moved int // replicas that may be relocated
	}{
		{"all replicas run", 0, 1},
		{"one replica is down", 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			cluster := newStateWithDrains(t, now)
			for i := range test.down {
				cluster.assignmentsOf("job-1")[i].Status = worker.StatePulling
			}
			markReported(cluster, "m5", 1, now)
			var source *workload.Assignment
			for i, assignment := range cluster.assignmentsOf("job-1") {
				if i >= test.down {
					source = assignment
				}
			}
			for _, node := range cluster.capacity.Nodes() {
				cluster.capacity.ImageArrived(node, cluster.machines.Machines[node.Name], source.Job.Record.Spec.Image, 1, 100)
			}
			cluster.evictor.RelocateReplica(cluster.machines.Machines[source.Machine], now)
			if n := cluster.jobs.Get("job-1").Record.EvictedTasks(); n != test.moved || cluster.countStopping("job-1") != 0 {
				t.Errorf("%d permits, want %d; %d stops without a stored permit", n, test.moved, cluster.countStopping("job-1"))
			}
		})
	}
}

func TestQuarantinedMachineDrainedWithinDisruptionBudget(t *testing.T) {
	now := time.Now()
	cluster := newStateWithDrains(t, now)
	for _, name := range []ids.Machine{"m1", "m2"} {
		cluster.machines.Machines[name].DrainReason = "tasks keep failing there"
		cluster.machines.MarkLeaving(name)
	}
	cluster.evictor.StopOnLeavingMachines(now)
	if cluster.countStopping("job-1") != 0 {
		t.Fatal("a replica is stopped without a stored permit")
	}
	runEviction(cluster, now)
	cluster.markAllStored()
	runEviction(cluster, now)
	if n := cluster.countStopping("job-1"); n != 1 {
		t.Errorf("%d replicas are stopped at a time, want 1", n)
	}
}

func TestGangEvictedWholeFromQuarantinedMachine(t *testing.T) {
	// The gang's tasks on other machines must be stopped together with the task there; otherwise they
	// end as failed and save no checkpoint.
	now := time.Now()
	interrupted := uint32(2)
	budget := &config.DisruptionBudget{TasksInterrupted: &interrupted}
	cluster := newStateWithDrainSettings(t, now, &config.Drains{DefaultBudget: budget})
	for _, name := range []ids.Machine{"m5", "m6"} {
		markReported(cluster, name, cluster.firstToken, now)
	}
	gang := newGangRecord("job-2", "red", record.Normal, 2, 4)
	gang.Spec.CheckpointInterval = 10
	gang.Spec.CheckpointDuration = 1
	cluster.submit(1, gang, now)
	cluster.Plan(now)
	cluster.markAllStored()
	for _, assignment := range cluster.assignmentsOf("job-2") {
		markRunning(assignment, now.Add(-time.Minute))
	}
	cluster.machines.Machines["m5"].DrainReason = "tasks keep failing there"
	cluster.machines.MarkLeaving("m5")
	for range 3 {
		runEviction(cluster, now)
		cluster.markAllStored()
	}
	stopped := 0
	for _, assignment := range cluster.assignmentsOf("job-2") {
		if assignment.Stopping && assignment.StopGrace > 0 {
			stopped++
		}
	}
	if stopped != 2 {
		t.Errorf("%d of 2 tasks are stopped with time for a checkpoint", stopped)
	}
}

func TestEvictionFindsRoomOnAcceleratorMachine(t *testing.T) {
	// Only accelerator machines have room here. If they were not used, a rollout that provisions
	// replacements first would wait forever.
	now := time.Now()
	cluster := newStateWithDrains(t, now)
	accelerated := placement.InstanceType{Label: "accelerated", Cores: 8, Accels: 2, RAM: 64, Zones: []string{"north"}}
	cluster.SetMachineTypes(append(testInstanceTypes(), accelerated))
	job := cluster.jobs.Get("job-1")
	if node := cluster.evictor.FindCapacity(job, nil, nil, now); node != nil {
		t.Fatalf("found room on %s, which is full", node.Name)
	}
	markReported(cluster, "m9", 1, now)
	cluster.machines.Machines["m9"].Type = accelerated.Label
	cluster.capacity.Reindex(cluster.capacity.Ensure("m9"))
	if node := cluster.evictor.FindCapacity(job, nil, nil, now); node == nil || node.Name != "m9" {
		t.Errorf("found room on %v, want m9", node)
	}
}

func TestPlanningChecksNoBudgetWithoutDrains(t *testing.T) {
	// Guards against budget checks in planning passes while drains are disabled, and against more than one
	// per eviction.EvaluationInterval while a rollout is in progress.
	now := time.Now()
	off := newTestState()
	markReported(off, "m1", 1, now)
	off.Plan(now)
	if off.evictor.Enabled() {
		t.Error("drains are enabled without their feature flag")
	}
	cluster := newStateWithDrains(t, now)
	for range 100 {
		cluster.Plan(now)
	}
	if cluster.evictor.Evaluations() != 0 {
		t.Errorf("%d budget checks without a rollout", cluster.evictor.Evaluations())
	}
	cluster.SetOrders(newDrainOrders("m1"))
	for i := range 100 {
		cluster.Plan(now.Add(time.Duration(i) * 10 * time.Millisecond))
	}
	if most := int(time.Second/eviction.EvaluationInterval) + 1; cluster.evictor.Evaluations() > most {
		t.Errorf("%d budget checks within a second", cluster.evictor.Evaluations())
	}
}

// Regression: a replica was stopped for a drain, or its permit could never be stored, although the record had no
// room for the eviction beside the assignments. The eviction stays until the replica runs again, and the replica
// could not be assigned again as long as the eviction stayed.
func TestDrainWaitsIfTheRecordHasNoRoomForTheEviction(t *testing.T) {
	for _, c := range []struct {
		room    int // bytes that the record leaves free
		permits int
	}{{room: 20, permits: 0}, {room: 120, permits: 1}} {
		now := time.Now()
		cluster := newStateWithDrains(t, now)
		job := cluster.jobs.Get("job-1")
		cluster.settings.Params.State.ValueKB = 56
		cluster.SetOrders(newDrainOrders("m1"))
		// Evictions may fill an eighth of a value, so the record must be large for them to be allowed at all.
		job.Record.Spec.Class = strings.Repeat("c", 2000)
		size := recordBytes(t, cluster, job)
		cluster.settings.Params.State.ValueKB = float64(size+c.room) / 1024
		runEviction(cluster, now)
		if n := job.Record.EvictedTasks(); n != c.permits {
			t.Errorf("room for %d bytes: %d permits, want %d", c.room, n, c.permits)
		}
		if after := recordBytes(t, cluster, job); after > cluster.ValueLimit() {
			t.Errorf("room for %d bytes: the record takes %d of %d bytes after the permits", c.room, after, cluster.ValueLimit())
		}
		if blockers := fmt.Sprint(cluster.DrainBlockers()); c.permits == 0 && !strings.Contains(blockers, "no room for more evictions") {
			t.Errorf("drain blockers %s do not name the full record", blockers)
		}
	}
}
