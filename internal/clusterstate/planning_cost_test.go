package clusterstate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/worker"
)

// The test counts examined machines instead of measuring time: the cost of a pass must depend on what
// changed, and must not grow with the number of machines times the number of jobs or tasks.
func TestPlanningCostFollowsChangesNotFleetSize(t *testing.T) {
	t.Parallel()
	now := time.Now()
	const machines, jobs = 4000, 800
	cluster := newStateWithMachines(machines)
	cost := func(change func()) int {
		before := machinesExamined(cluster)
		change()
		planUntilStable(cluster, now)
		return machinesExamined(cluster) - before
	}
	submitJob := func(number, tasks int, cores float64) {
		rec := newRecord(ids.Job(fmt.Sprintf("job-%d", number)), "blue", record.Normal, tasks, cores)
		rec.Spec.Image = fmt.Sprint("image-", number%20)
		cluster.submit(ids.Revision(number+1), rec, now)
	}
	// Filling the fleet: a job may examine every machine once, however many tasks it has.
	full := cost(func() {
		for i := range jobs {
			submitJob(i, 20, 1)
		}
	})
	if assigned := countAssignments(cluster); assigned != machines*4 {
		t.Fatalf("%d tasks are assigned to %d cores", assigned, machines*4)
	}
	if most := jobs * (machines + 20*5); full > most {
		t.Errorf("assigning %d tasks of %d jobs examined %d machines, more than %d", countAssignments(cluster), jobs, full, most)
	}
	cluster.markAllStored()
	// A full fleet: hundreds of pending jobs must not each search it for room.
	if n := cost(func() {
		for i := range 300 {
			submitJob(1000+i, 20, 1)
		}
	}); n > 100 {
		t.Errorf("300 jobs that find no room examined %d machines", n)
	}
	// One machine is freed: only that one is examined, for the first pending jobs.
	if n := cost(func() {
		for assignment := range cluster.capacity.AssignmentsOn("host-000007") {
			cluster.removeAssignment(assignment)
		}
	}); n > 100 {
		t.Errorf("%d machines were examined after one was freed", n)
	}
	if n := len(cluster.capacity.AssignmentsOn("host-000007")); n != 4 {
		t.Errorf("%d tasks are assigned to the four cores that became free, want 4", n)
	}
	// Nothing changed: only the head of the queue is examined.
	if n := cost(func() {}); n > 100 {
		t.Errorf("%d machines were examined although nothing changed", n)
	}
}

func TestCapacityIndexMatchesAssignments(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newStateWithMachines(40)
	for i := range 30 {
		rec := newRecord(ids.Job(fmt.Sprintf("job-%d", i)), "blue", record.Normal, 7, 1)
		rec.Spec.Image = fmt.Sprint("image-", i%5)
		cluster.submit(ids.Revision(i+1), rec, now)
	}
	cluster.Plan(now)
	cluster.markAllStored()
	check := func(when string) {
		t.Helper()
		assigned := map[ids.Machine]int{}
		for _, job := range cluster.jobs.All() {
			for _, assignment := range job.Assignments {
				assigned[assignment.Machine]++
			}
		}
		for name, node := range cluster.capacity.Nodes() {
			want, got := assigned[name], len(node.Assignments)
			if got != want || node.Used.Cores != float64(want) {
				t.Fatalf("%s: %s has %d assignments and %v in use, but the jobs have %d there", when, name, got, node.Used, want)
			}
			open := node.Class != nil
			if machine := cluster.machines.Machines[name]; open != (machine.HasReported && assigned[name] < 4) {
				t.Fatalf("%s: %s with %d tasks is indexed as open: %v", when, name, assigned[name], open)
			}
			if open && !slices.Contains(node.Class.OpenNodes, node) {
				t.Fatalf("%s: %s is not among the open nodes of its class", when, name)
			}
		}
		if err := cluster.capacity.CheckConsistency(); err != nil {
			t.Fatalf("%s: %v", when, err)
		}
	}
	check("after planning")
	for i, name := range []ids.Machine{"host-000001", "host-000002", "host-000003"} {
		var statuses []worker.TaskStatus
		for assignment := range cluster.capacity.AssignmentsOn(name) {
			statuses = append(statuses, newRunningStatus(assignment))
		}
		cluster.heartbeat(name, "north", ids.SequenceNumber(i+2), statuses...)
		check("while tasks run")
		for position := range statuses {
			statuses[position].State = worker.StateExited
			statuses[position].Cause = worker.CauseDone
		}
		cluster.heartbeat(name, "north", ids.SequenceNumber(i+3), statuses...)
		check("after tasks are done")
	}
	cluster.MachineTerminated("host-000004")
	check("after a termination")
	cluster.Plan(now)
	check("after planning again")
}

func TestPlanningYieldsLockToHeartbeatsInLargeFleet(t *testing.T) {
	t.Parallel()
	// Guards against a pass that examines all machines for each of hundreds of jobs, as after the loss
	// of the whole fleet, while every heartbeat waits for the lock.
	now := time.Now()
	for _, machines := range []int{400, largestFleetSize} {
		t.Run(fmt.Sprintf("%d machines", machines), func(t *testing.T) {
			cluster := newStateWithMachines(machines)
			for i := range 300 {
				rec := newRecord(ids.Job(fmt.Sprintf("job-%d", i)), "blue", record.Normal, machines/100, 1)
				rec.Spec.Image = fmt.Sprint("image-", i)
				cluster.submit(ids.Revision(i+1), rec, now)
			}
			most := planUntilStable(cluster, now)
			if limit := scheduler.MaxExaminedPerLock + 2*machines; most > limit {
				t.Errorf("a pass examined %d machines without releasing the lock, more than %d", most, limit)
			}
			if assigned := countAssignments(cluster); assigned != 300*(machines/100) {
				t.Errorf("%d tasks are assigned, want those of all jobs", assigned)
			}
			t.Logf("%d machines examined in all, at most %d without releasing the lock", machinesExamined(cluster), most)
		})
	}
}

func TestPreemptionExaminesFewMachinesPerTaskInLargeFleet(t *testing.T) {
	t.Parallel()
	// Guards against examining the whole fleet for each of hundreds of urgent tasks, as after many spot
	// preemptions at once: with 6,000 machines the leader was blocked until its lease had expired.
	now := time.Now()
	cluster := newStateWithMachines(largestFleetSize)
	for i := range largestFleetSize / 30 {
		rec := newRecord(ids.Job(fmt.Sprintf("job-%d", i)), "blue", record.Normal, 200, 1)
		rec.Spec.Image = fmt.Sprint("image-", i%20)
		cluster.submit(ids.Revision(i+1), rec, now)
	}
	planUntilStable(cluster, now)
	if assigned := countAssignments(cluster); assigned != 4*largestFleetSize {
		t.Fatalf("%d tasks are assigned, want a full fleet", assigned)
	}
	const urgent = 150
	service := newServiceRecord("job-900000", "blue", record.Critical, urgent, 1)
	service.Spec.Image = "image-new"
	cluster.submit(1, service, now)
	before := machinesExamined(cluster)
	for pass := range 2*urgent + 10 {
		cluster.Plan(now.Add(time.Duration(pass) * 25 * time.Millisecond))
	}
	if assigned := len(cluster.assignmentsOf("job-900000")); assigned != urgent {
		t.Errorf("%d of %d urgent tasks are assigned", assigned, urgent)
	}
	if count := machinesExamined(cluster) - before; count > 5*urgent*scheduler.MaxPreemptionCandidates {
		t.Errorf("%d machines were examined for %d urgent tasks", count, urgent)
	}
}
