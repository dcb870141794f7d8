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

// Counts machines looked at, not time: that a pass costs what changed, and not
// the fleet times the jobs or tasks, must not be lost unseen.
func TestPlanningCostFollowsChangesNotFleetSize(t *testing.T) {
	t.Parallel()
	now := time.Now()
	const machines, jobs = 4000, 800
	cluster := newStateWithMachines(t, machines)
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
	// Filling: a job may look at every machine once, however many tasks it has.
	full := cost(func() {
		for i := range jobs {
			submitJob(i, 20, 1)
		}
	})
	if placed := countAssignments(cluster); placed != machines*4 {
		t.Fatalf("%d tasks on %d cores", placed, machines*4)
	}
	if most := jobs * (machines + 20*5); full > most {
		t.Errorf("placing %d tasks of %d jobs looked at %d machines, more than %d", countAssignments(cluster), jobs, full, most)
	}
	cluster.markAllStored()
	// Full: hundreds of waiting jobs find that out once, not each anew.
	if n := cost(func() {
		for i := range 300 {
			submitJob(1000+i, 20, 1)
		}
	}); n > 100 {
		t.Errorf("300 jobs that find no room looked at %d machines", n)
	}
	// One machine frees up: only it is worth a look, for the first that wait.
	if n := cost(func() {
		for assignment := range cluster.capacity.AssignmentsOn("host-000007") {
			cluster.removeAssignment(assignment)
		}
	}); n > 100 {
		t.Errorf("a machine freed up, and %d were looked at", n)
	}
	if n := len(cluster.capacity.AssignmentsOn("host-000007")); n != 4 {
		t.Errorf("%d tasks placed on the four cores that became free", n)
	}
	// Nothing changed: nothing is looked at but the head of the queue.
	if n := cost(func() {}); n > 100 {
		t.Errorf("nothing changed, and %d machines were looked at", n)
	}
}

func TestCapacityIndexMatchesAssignments(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newStateWithMachines(t, 40)
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
			if len(node.Assignments) != assigned[name] || node.Used.Cores != float64(assigned[name]) {
				t.Fatalf("%s: %s has %d places and %v in use, the jobs know of %d", when, name, len(node.Assignments), node.Used, assigned[name])
			}
			open := node.Class != nil
			if machine := cluster.machines.Machines[name]; open != (machine.HasReported && assigned[name] < 4) {
				t.Fatalf("%s: %s with %d tasks is on a shelf: %v", when, name, assigned[name], open)
			}
			if open && !slices.Contains(node.Class.Open, node) {
				t.Fatalf("%s: %s is not listed in its class", when, name)
			}
		}
		if err := cluster.capacity.CheckConsistency(); err != nil {
			t.Fatalf("%s: %v", when, err)
		}
	}
	check("placed")
	for i, name := range []ids.Machine{"host-000001", "host-000002", "host-000003"} {
		var statuses []worker.TaskStatus
		for assignment := range cluster.capacity.AssignmentsOn(name) {
			statuses = append(statuses, worker.TaskStatus{Task: assignment.Task().String(), Attempt: assignment.Attempt, State: worker.StateRunning})
		}
		cluster.heartbeat(name, "north", ids.SequenceNumber(i+2), statuses...)
		check("running")
		for k := range statuses {
			statuses[k].State = worker.StateExited
			statuses[k].Cause = worker.CauseDone
		}
		cluster.heartbeat(name, "north", ids.SequenceNumber(i+3), statuses...)
		check("done")
	}
	cluster.MachineTerminated("host-000004")
	check("returned")
	cluster.Plan(now)
	check("placed again")
}

func TestPlanningYieldsLockToHeartbeatsInLargeFleet(t *testing.T) {
	t.Parallel()
	// Guards against a pass that looks at all machines for each of hundreds of jobs, as
	// after a total loss, while every heartbeat waits for it.
	now := time.Now()
	for _, machines := range []int{400, largestFleetSize} {
		cluster := newStateWithMachines(t, machines)
		for i := range 300 {
			rec := newRecord(ids.Job(fmt.Sprintf("job-%d", i)), "blue", record.Normal, machines/100, 1)
			rec.Spec.Image = fmt.Sprint("image-", i)
			cluster.submit(ids.Revision(i+1), rec, now)
		}
		most := planUntilStable(cluster, now)
		if limit := scheduler.MaxExaminedPerLock + 2*machines; most > limit {
			t.Errorf("%d machines: a pass looked at %d without a break, more than %d", machines, most, limit)
		}
		if placed := countAssignments(cluster); placed != 300*(machines/100) {
			t.Errorf("%d machines: %d tasks placed", machines, placed)
		}
		t.Logf("%d machines: %d looks in all, %d without a break at most", machines, machinesExamined(cluster), most)
	}
}

func TestPreemptionExaminesFewMachinesPerTaskInLargeFleet(t *testing.T) {
	t.Parallel()
	// Guards against weighing the whole fleet for each of hundreds of urgent tasks, as after
	// a spot wave: at 6,000 machines the leader stood still until its lease had lapsed.
	now := time.Now()
	cluster := newStateWithMachines(t, largestFleetSize)
	for i := range largestFleetSize / 30 {
		rec := newRecord(ids.Job(fmt.Sprintf("job-%d", i)), "blue", record.Normal, 200, 1)
		rec.Spec.Image = fmt.Sprint("image-", i%20)
		cluster.submit(ids.Revision(i+1), rec, now)
	}
	planUntilStable(cluster, now)
	if placed := countAssignments(cluster); placed != 4*largestFleetSize {
		t.Fatalf("%d tasks fill the fleet", placed)
	}
	const urgent = 150
	service := newServiceRecord("job-900000", "blue", record.Critical, urgent, 1)
	service.Spec.Image = "image-new"
	cluster.submit(1, service, now)
	before := machinesExamined(cluster)
	for pass := range 2*urgent + 10 {
		cluster.Plan(now.Add(time.Duration(pass) * 25 * time.Millisecond))
	}
	if placed := len(cluster.assignmentsOf("job-900000")); placed != urgent {
		t.Errorf("%d of %d urgent tasks found a place", placed, urgent)
	}
	if looks := machinesExamined(cluster) - before; looks > 5*urgent*scheduler.MaxPreemptionCandidates {
		t.Errorf("%d machines were looked at for %d tasks", looks, urgent)
	}
}
