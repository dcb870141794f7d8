package clusterstate

import (
	"fmt"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// newStateWithDrains returns a cluster state with drains enabled and a service of four replicas, which run
// on the machines m1 to m4, one on each.
func newStateWithDrains(t *testing.T, now time.Time) *State {
	t.Helper()
	return newStateWithDrainSettings(t, now, &config.Drains{})
}

// newStateWithDrainSettings is like newStateWithDrains, with the given settings of drains.
func newStateWithDrainSettings(t *testing.T, now time.Time, drains *config.Drains) *State {
	t.Helper()
	settings := newTestSettings()
	settings.Features = &config.Features{Drains: drains}
	cluster := New(settings, "w", 7, time.Now())
	cluster.SetMachineTypes(testInstanceTypes())
	for i := range 4 {
		markReported(cluster, ids.Machine(fmt.Sprint("m", i+1)), 1, now)
	}
	service := newServiceRecord("job-1", "red", record.Normal, 4, 4)
	cluster.submit(1, service, now)
	cluster.SetOrders(rollout.NewOrders())
	cluster.Plan(now)
	cluster.markAllStored()
	job := cluster.jobs.Get("job-1")
	if len(job.Assignments) != 4 {
		t.Fatalf("%d of 4 replicas are assigned", len(job.Assignments))
	}
	for _, assignment := range job.Assignments {
		markRunning(assignment, now.Add(-time.Minute))
	}
	return cluster
}

// markRunning marks an assignment as started and its task as running, and reported, since a time.
func markRunning(assignment *workload.Assignment, since time.Time) {
	assignment.StartSent = true
	assignment.Confirmed = true
	assignment.Status = worker.StateRunning
	assignment.RunningSince = since
}

// newDrainOrders returns a rollout's orders to drain the named machines.
func newDrainOrders(names ...ids.Machine) *rollout.Orders {
	orders := rollout.NewOrders()
	for _, name := range names {
		orders.Machines[name] = rollout.Order{Rollout: "spring", Wave: 1, Drain: true}
	}
	return orders
}

// runEviction runs an eviction pass, regardless of when the last one ran.
func runEviction(cluster *State, now time.Time) {
	cluster.evictor.Evaluate(now)
}
