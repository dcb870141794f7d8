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
)

// newStateWithDrains is a cluster state with drains on and a service of four replicas, one on each of four
// machines, that are all up.
func newStateWithDrains(t *testing.T, now time.Time) *State {
	t.Helper()
	return newStateWithDrainSettings(t, now, &config.Drains{})
}

// newStateWithDrainSettings is the same with other settings of drains.
func newStateWithDrainSettings(t *testing.T, now time.Time, drains *config.Drains) *State {
	t.Helper()
	settings := newTestSettings()
	settings.Features = &config.Features{Drains: drains}
	cluster := New(settings, "w", 7, time.Now())
	cluster.SetMachineTypes(testInstanceTypes())
	for i := range 4 {
		markReported(cluster, ids.Machine(fmt.Sprint("m", i+1)), 1, now)
	}
	service := newRecord("job-1", "red", record.Normal, 4, 4)
	service.Spec.Shape = record.Service
	cluster.HandleRecord("job-1", 1, service, now)
	cluster.CarryOut(rollout.NewOrders())
	cluster.Plan(now)
	cluster.markAllStored()
	job := cluster.jobs.Get("job-1")
	if len(job.Assignments) != 4 {
		t.Fatalf("%d places", len(job.Assignments))
	}
	for _, assignment := range job.Assignments {
		assignment.StartSent, assignment.Confirmed, assignment.Status, assignment.RunningSince = true, true, worker.StateRunning, now.Add(-time.Minute)
	}
	return cluster
}

// newDrainOrders empty the machines named.
func newDrainOrders(names ...ids.Machine) *rollout.Orders {
	orders := rollout.NewOrders()
	for _, name := range names {
		orders.Machines[name] = rollout.Order{Rollout: "spring", Wave: 1, Drain: true}
	}
	return orders
}

// runEviction looks at the evictions, whatever the time of the last look.
func runEviction(cluster *State, now time.Time) {
	cluster.evictor.Look(now)
}

// countStoppingReplicas counts the replicas that are being stopped.
func countStoppingReplicas(cluster *State) (count int) {
	for _, assignment := range cluster.jobs.Get("job-1").Assignments {
		if assignment.Stopping {
			count++
		}
	}
	return count
}
