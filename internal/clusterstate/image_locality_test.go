package clusterstate

import (
	"fmt"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

func TestReplicaWaitsBrieflyForPreemptionWhereImageIsCached(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	cluster.heartbeat("warm", "north", 1)
	cluster.heartbeat("cold", "north", 1)
	cluster.cacheImage("warm", "svc", 5)
	cluster.submit(1, newRecord("job-1", "blue", record.Normal, 4, 1), now)
	cluster.cacheImage("warm", "i", 1) // so that the array is assigned there
	cluster.Plan(now)
	cluster.markAllStored()
	if len(cluster.capacity.AssignmentsOn("warm")) != 4 {
		t.Fatal("the array is not assigned to the machine with its image")
	}
	service := newServiceRecord("job-2", "blue", record.Critical, 1, 1)
	service.Spec.Image = "svc"
	service.Spec.ImageGB = 5
	cluster.submit(2, service, now)
	cluster.Plan(now)
	cluster.Plan(now.Add(30 * time.Millisecond)) // it waits while the preemption is in progress
	if len(cluster.assignmentsOf("job-2")) != 0 {
		t.Fatal("assigned to a machine without the image, although the machine that has it is being freed by preemption")
	}
	// The preempted task did not stop: an image pull is better than no start.
	cluster.Plan(now.Add(3 * time.Second))
	if assignment := cluster.assignmentsOf("job-2")[0]; assignment == nil || assignment.Machine != "cold" {
		t.Fatalf("assigned as %+v, want the machine without the image", assignment)
	}
}

func TestReplicaNotPreemptedForImageLocality(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	cluster.heartbeat("warm", "north", 1)
	cluster.heartbeat("cold", "north", 1)
	cluster.cacheImage("warm", "svc", 5)
	newService := func(id ids.Job, team string, tasks int) *record.Record {
		rec := newServiceRecord(id, team, record.Critical, tasks, 1)
		rec.Spec.Image = "svc"
		rec.Spec.ImageGB = 5
		return rec
	}
	// Team red runs more than its guarantee of four cores, blue nothing yet.
	cluster.submit(1, newService("job-1", "red", 5), now)
	cluster.Plan(now)
	cluster.markAllStored()
	cluster.submit(2, newService("job-2", "blue", 1), now)
	cluster.Plan(now)
	for _, assignment := range cluster.assignmentsOf("job-1") {
		if assignment.Stopping {
			t.Fatalf("the replica on %s is preempted although another machine has room", assignment.Machine)
		}
	}
	if len(cluster.assignmentsOf("job-2")) != 1 {
		t.Fatal("the other team's replica is not assigned")
	}
}

func TestCandidateSearchWidensToAllMachinesAfterMiss(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	planSingleTask := func(id ids.Job, cores float64) {
		cluster.submit(1, newRecord(id, "blue", record.Normal, 1, cores), now)
		cluster.Plan(now)
	}
	for i := range 60 {
		cluster.heartbeat(ids.Machine(fmt.Sprintf("m%02d", i)), "north", 1)
	}
	for i := range 59 {
		planSingleTask(ids.Job(fmt.Sprintf("job-%d", i)), 3)
	}
	cluster.heartbeat("wide", "north", 1)
	planSingleTask("job-100", 4) // only two machines of 61 have four free cores
	planSingleTask("job-101", 4)
	planSingleTask("job-102", 4)
	assigned := 0
	for _, id := range []ids.Job{"job-100", "job-101", "job-102"} {
		assigned += len(cluster.assignmentsOf(id))
	}
	if assigned != 2 {
		t.Fatalf("%d of 2 tasks that fit are assigned", assigned)
	}
	cluster.heartbeat("warm", "north", 1)
	cluster.cacheImage("warm", "other", 1)
	cluster.addMachines("cold", 5, "north")
	rec := newRecord("job-200", "blue", record.Normal, 1, 1)
	rec.Spec.Image = "other"
	cluster.submit(1, rec, now)
	cluster.Plan(now)
	if assignment := cluster.assignmentsOf("job-200")[0]; assignment == nil || assignment.Machine != "warm" {
		t.Fatalf("assigned as %+v, want the machine with the image", assignment)
	}
}

func TestGangWithCachedImageGoesFirstAmongEqualGangs(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	cluster.settings.Params.Teams[1].CPUs = 0 // no guarantee for either gang
	cluster.heartbeat("m1", "north", 1)
	cluster.cacheImage("m1", "cached", 8)
	for id, image := range map[ids.Job]string{"job-1": "other", "job-2": "cached"} {
		rec := newGangRecord(id, "blue", record.High, 1, 4)
		rec.Spec.Image = image
		rec.Spec.ImageGB = 8
		cluster.submit(1, rec, now)
	}
	cluster.Plan(now)
	if len(cluster.assignmentsOf("job-2")) != 1 || len(cluster.assignmentsOf("job-1")) != 0 {
		t.Fatal("the machine is not assigned to the gang whose image is cached there")
	}
}
