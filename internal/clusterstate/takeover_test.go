package clusterstate

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/provisioning"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

func TestNewLeaderKnowsPendingInstancesFromHints(t *testing.T) {
	t.Parallel()
	// Guards against renting twice after a takeover: the cloud's list lags by more
	// than a takeover takes.
	synctest.Test(t, func(t *testing.T) {
		predecessor := newStateWithMachines(t, 2)
		predecessor.MachinesProvisioned([]ids.Machine{"host-000100"}, newProvisioningRequest("small", "south"), time.Now())
		time.Sleep(40 * time.Second)
		hints, position := predecessor.Hints(HintPosition{})
		var received HintCache
		received.Receive(hints, position)
		time.Sleep(25 * time.Second)
		cluster := newTestState()
		cluster.ApplyHints(&received, time.Now())
		machine := cluster.machines.Machines["host-000100"]
		if machine == nil || !machine.Booting {
			t.Fatal("it is not known to be on its way")
		}
		if cluster.planner.Lateness(machine, time.Now()) == provisioning.NotLate {
			t.Errorf("rented %v ago, with boots of 30 s, it is not late", time.Since(machine.ProvisionedAt))
		}
		cluster.submit(1, newRecord("job-1", "blue", record.Normal, 40, 1), time.Now())
		cluster.Plan(time.Now())
		if lines := fmt.Sprint(cluster.Explain("job-1")); !strings.Contains(lines, "1 machines it could use are booting, 1 of them late") {
			t.Errorf("explained as %s", lines)
		}
	})
}

func TestTakeoverProbesEachMachineOnce(t *testing.T) {
	t.Parallel()
	// Counts what a new leader asks and looks at: both grow with the fleet and no faster,
	// and no machine is asked twice when it answers.
	const slots = 240
	for _, machines := range []int{400, largestFleetSize} {
		now := time.Now()
		predecessor := newStateWithMachines(t, machines)
		predecessor.submit(1, newRecord("job-1", "blue", record.Normal, machines, 1), now)
		planUntilStable(predecessor, now)
		hints, position := predecessor.Hints(HintPosition{})
		stored := predecessor.jobs.Get("job-1").Record
		stored.Assignments = workload.GroupAssignments(predecessor.assignmentsOf("job-1"))

		successor := newTestState()
		var known HintCache
		known.Receive(hints, position)
		successor.ApplyHints(&known, now)
		successor.Load(map[ids.Job]*record.Record{"job-1": &stored}, map[ids.Job]ids.Revision{"job-1": 1}, 1, now)
		probes, rounds := 0, 0
		for ; rounds < 1000; rounds++ {
			now = now.Add(101 * time.Millisecond)
			due := successor.DueProbes(now, slots)
			if len(due) == 0 || probes >= machines {
				break
			}
			for i, probe := range due {
				probes++
				successor.ProbeAnswered(probe.Machine, true)
				successor.heartbeat(probe.Machine, []string{"north", "south"}[i%2], 2)
				successor.machines.Machines[probe.Machine].LastReportAt = now
			}
		}
		if probes != machines || rounds > machines/slots+1 {
			t.Errorf("%d machines: %d questions in %d rounds", machines, probes, rounds)
		}
		for name, machine := range successor.machines.Machines {
			if !machine.HasReported {
				t.Fatalf("%d machines: %s was not asked", machines, name)
			}
		}
		t.Logf("%d machines: %d questions in %d rounds", machines, probes, rounds)
	}
}

func TestPreviousLeadersWriteSeenBeforeTakeoverListingIsKept(t *testing.T) {
	// Found by transactions without answers around a takeover, two starts of one task:
	// the last leader's marker reached the new one as news, before it had read the
	// records, and was taken for a user's write, which places nothing.
	t.Parallel()
	now := time.Now()
	marked := func(generation ids.Generation) *record.Record {
		rec := newRecord("job-1", "red", record.Normal, 2, 1)
		rec.Status = record.Claimed
		rec.Attempt = 1
		rec.Generation = generation
		rec.Writer = "a.1/6"
		rec.Assignments = []record.AssignmentGroup{{FencingToken: generation, Incarnation: 1, Attempt: 1, Prefix: "m1", Entries: ":0-1"}}
		return rec
	}
	for name, listed := range map[string]ids.Revision{"the list is as new": 26, "the list is older": 25, "not in the list": 0, "newer": 27} {
		cluster := newTestState()
		cluster.submit(25, newRecord("job-1", "red", record.Normal, 2, 1), now)
		cluster.HandleRecord("job-1", 26, marked(6), now)
		records, revisions := map[ids.Job]*record.Record{}, map[ids.Job]ids.Revision{}
		switch listed {
		case 25:
			records["job-1"], revisions["job-1"] = newRecord("job-1", "red", record.Normal, 2, 1), 25
		case 26, 27:
			records["job-1"], revisions["job-1"] = marked(6), listed
		}
		cluster.Load(records, revisions, max(listed, 25), now)
		if job := cluster.jobs.Get("job-1"); job == nil || len(job.Assignments) != 2 || job.Revision != max(26, listed) {
			t.Errorf("%s: the places are lost: %+v", name, job)
		}
	}
	// What ended before the records were read is not there either.
	b := newTestState()
	b.HandleRecord("job-1", 26, marked(6), now)
	b.HandleRecord("job-1", 27, nil, now)
	b.Load(map[ids.Job]*record.Record{}, map[ids.Job]ids.Revision{}, 27, now)
	if b.jobs.Len() != 0 || b.quota.Usage("red").Cores != 0 {
		t.Errorf("%d jobs, %v cores of an ended job", b.jobs.Len(), b.quota.Usage("red").Cores)
	}
}

func TestRemovalSeenBeforeTakeoverListingWins(t *testing.T) {
	// Guards against a job that its user cancelled while the new leader read the
	// records: it would count as waiting, and what awaits it would not end.
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		cluster := newTestState()
		cluster.HandleWaitingJob("job-2", 9, nil, now)
		cluster.HandleWaitingJob("job-4", 4, nil, now) // an earlier record of that key
		cluster.LoadWaitingJobs(map[ids.Job]*record.Record{
			"job-2": newWaitingRecord("job-2", record.Low, 0, "job-1"), "job-3": newWaitingRecord("job-3", record.Low, 0, "job-2"), "job-4": newWaitingRecord("job-4", record.Low, 0, "job-1"),
		}, map[ids.Job]ids.Revision{"job-2": 5, "job-3": 6, "job-4": 7}, now)
		if _, asked := cluster.dependencies.lookups["job-2"]; !asked || cluster.dependencies.waiting["job-2"] != nil || cluster.dependencies.waiting["job-4"] == nil {
			t.Errorf("it is looked up: %v; those that wait: %v", asked, cluster.dependencies.waiting)
		}
		cluster.jobEnded("job-2", record.Cancelled)
		if cancelledBy := cluster.dependencies.graph.CancelledBy("job-3"); cancelledBy != "job-2" {
			t.Errorf("what awaits it is cancelled by %q", cancelledBy)
		}
		cluster.HandleWaitingJob("job-9", 10, nil, now)
		if len(cluster.dependencies.departed) != 0 {
			t.Error("what came after the records is remembered")
		}
	})
}
