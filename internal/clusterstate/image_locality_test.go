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
	cluster.cacheImage("warm", "i", 1) // so that the array goes there
	cluster.Plan(now)
	cluster.markAllStored()
	if len(cluster.capacity.AssignmentsOn("warm")) != 4 {
		t.Fatal("the array is elsewhere")
	}
	service := newServiceRecord("job-2", "blue", record.Critical, 1, 1)
	service.Spec.Image = "svc"
	service.Spec.ImageGB = 5
	cluster.HandleRecord("job-2", 2, service, now)
	cluster.Plan(now)
	cluster.Plan(now.Add(30 * time.Millisecond)) // while the stop is under way it waits
	if len(cluster.assignmentsOf("job-2")) != 0 {
		t.Fatal("placed where it has to fetch although its image is on a machine whose work makes way")
	}
	cluster.Plan(now.Add(3 * time.Second)) // the stop had no effect: better cold than never
	if assignment := cluster.assignmentsOf("job-2")[0]; assignment == nil || assignment.Machine != "cold" {
		t.Fatalf("placed %+v", assignment)
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
	// red runs more than its guarantee of four cores, blue nothing yet.
	cluster.HandleRecord("job-1", 1, newService("job-1", "red", 5), now)
	cluster.Plan(now)
	cluster.markAllStored()
	cluster.HandleRecord("job-2", 2, newService("job-2", "blue", 1), now)
	cluster.Plan(now)
	for _, assignment := range cluster.assignmentsOf("job-1") {
		if assignment.Stopping {
			t.Fatalf("replica on %s stopped although another machine has room", assignment.Machine)
		}
	}
	if len(cluster.assignmentsOf("job-2")) != 1 {
		t.Fatal("the other team's replica was not placed")
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
	planSingleTask("job-100", 4) // only two machines of sixty-one have room for it
	planSingleTask("job-101", 4)
	planSingleTask("job-102", 4)
	if n := len(cluster.assignmentsOf("job-100")) + len(cluster.assignmentsOf("job-101")) + len(cluster.assignmentsOf("job-102")); n != 2 {
		t.Fatalf("%d of 2 that fit were placed", n)
	}
	cluster.heartbeat("warm", "north", 1)
	cluster.cacheImage("warm", "other", 1)
	for i := range 5 {
		cluster.heartbeat(ids.Machine(fmt.Sprintf("cold%d", i)), "north", 1)
	}
	rec := newRecord("job-200", "blue", record.Normal, 1, 1)
	rec.Spec.Image = "other"
	cluster.HandleRecord("job-200", 1, rec, now)
	cluster.Plan(now)
	if assignment := cluster.assignmentsOf("job-200")[0]; assignment == nil || assignment.Machine != "warm" {
		t.Fatalf("placed %+v, not where its image is", assignment)
	}
}

func TestGangWithCachedImageGoesFirstAmongEqualGangs(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	cluster.settings.Params.Teams[1].CPUs = 0 // neither is guaranteed
	cluster.heartbeat("m1", "north", 1)
	cluster.cacheImage("m1", "held", 8)
	for id, image := range map[ids.Job]string{"job-1": "other", "job-2": "held"} {
		rec := newGangRecord(id, "blue", record.High, 1, 4)
		rec.Spec.Image = image
		rec.Spec.ImageGB = 8
		cluster.HandleRecord(id, 1, rec, now)
	}
	cluster.Plan(now)
	if len(cluster.assignmentsOf("job-2")) != 1 || len(cluster.assignmentsOf("job-1")) != 0 {
		t.Fatal("the machine fetches although a gang waits whose image it holds")
	}
}
