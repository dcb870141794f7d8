package clusterstate

import (
	"encoding/json"
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
	// Guards against provisioning twice after a takeover: the lag of the cloud's list is longer than a
	// takeover.
	synctest.Test(t, func(t *testing.T) {
		predecessor := newStateWithMachines(2)
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
			t.Fatal("the pending instance is not known to be booting")
		}
		if cluster.planner.BootStatus(machine, time.Now()) == provisioning.NotLate {
			t.Errorf("provisioned %v ago with a boot time of 30 s, the machine does not count as late", time.Since(machine.ProvisionedAt))
		}
		cluster.submit(1, newRecord("job-1", "blue", record.Normal, 40, 1), time.Now())
		cluster.Plan(time.Now())
		if lines := fmt.Sprint(cluster.Explain("job-1")); !strings.Contains(lines, "1 machines it could use are booting, 1 of them late") {
			t.Errorf("the explanation does not name the late booting machine: %s", lines)
		}
	})
}

func TestTakeoverProbesEachMachineOnce(t *testing.T) {
	t.Parallel()
	// Guards against a number of probes by a new leader that grows faster than the fleet, and against
	// probing a machine that answers twice.
	const slots = 240
	for _, machines := range []int{400, largestFleetSize} {
		t.Run(fmt.Sprintf("%d machines", machines), func(t *testing.T) {
			now := time.Now()
			predecessor := newStateWithMachines(machines)
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
				due := successor.SelectProbes(now, slots)
				if len(due) == 0 || probes >= machines {
					break
				}
				for i, probe := range due {
					probes++
					successor.RecordProbeAnswer(probe.Machine, true)
					successor.heartbeat(probe.Machine, []string{"north", "south"}[i%2], 2)
					successor.machines.Machines[probe.Machine].LastReportAt = now
				}
			}
			if probes != machines || rounds > machines/slots+1 {
				t.Errorf("%d probes in %d rounds, want one probe of each machine", probes, rounds)
			}
			for name, machine := range successor.machines.Machines {
				if !machine.HasReported {
					t.Fatalf("%s was not probed", name)
				}
			}
			t.Logf("%d probes in %d rounds", probes, rounds)
		})
	}
}

func TestPreviousLeadersWriteSeenBeforeTakeoverListingIsKept(t *testing.T) {
	// Regression: when transactions stayed unanswered around a takeover, one task was started twice. The
	// previous leader's assignment write reached the new leader as a change, before it had listed the
	// records, and was handled like a user's write, which contains no assignments.
	t.Parallel()
	now := time.Now()
	assignedRecord := func(generation ids.Generation) *record.Record {
		rec := newRecord("job-1", "red", record.Normal, 2, 1)
		rec.Status = record.Claimed
		rec.Attempt = 1
		rec.Generation = generation
		rec.Writer = "a.1/6"
		rec.Assignments = []record.AssignmentGroup{{
			FencingToken: generation,
			Incarnation:  1,
			Attempt:      1,
			Prefix:       "m1",
			Entries:      ":0-1",
		}}
		return rec
	}
	for name, listed := range map[string]ids.Revision{
		"the listing is as new": 26,
		"the listing is older":  25,
		"not in the listing":    0,
		"the listing is newer":  27,
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestState()
			cluster.submit(25, newRecord("job-1", "red", record.Normal, 2, 1), now)
			cluster.HandleRecord("job-1", 26, assignedRecord(6), now)
			records, revisions := map[ids.Job]*record.Record{}, map[ids.Job]ids.Revision{}
			switch listed {
			case 25:
				records["job-1"] = newRecord("job-1", "red", record.Normal, 2, 1)
				revisions["job-1"] = 25
			case 26, 27:
				records["job-1"] = assignedRecord(6)
				revisions["job-1"] = listed
			}
			cluster.Load(records, revisions, max(listed, 25), now)
			if job := cluster.jobs.Get("job-1"); job == nil || len(job.Assignments) != 2 || job.Revision != max(26, listed) {
				t.Errorf("the assignments are lost, or the revision is wrong: %+v", job)
			}
		})
	}
	// A job that ended before the listing leaves nothing behind.
	cluster := newTestState()
	cluster.HandleRecord("job-1", 26, assignedRecord(6), now)
	cluster.HandleRecord("job-1", 27, nil, now)
	cluster.Load(map[ids.Job]*record.Record{}, map[ids.Job]ids.Revision{}, 27, now)
	if cluster.jobs.Len() != 0 || cluster.quota.Usage("red").Cores != 0 {
		t.Errorf("%d jobs and %v cores in use are left of an ended job", cluster.jobs.Len(), cluster.quota.Usage("red").Cores)
	}
}

func TestRemovalSeenBeforeTakeoverListingWins(t *testing.T) {
	// Guards against a job that its user cancelled while the new leader listed the records: it would
	// count as waiting, and its dependents would not end.
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		cluster := newTestState()
		cluster.HandleWaitingJob("job-2", 9, nil, now)
		cluster.HandleWaitingJob("job-4", 4, nil, now) // removal of an earlier record of that key
		records := map[ids.Job]*record.Record{
			"job-2": newWaitingRecord("job-2", record.Low, 0, "job-1"),
			"job-3": newWaitingRecord("job-3", record.Low, 0, "job-2"),
			"job-4": newWaitingRecord("job-4", record.Low, 0, "job-1"),
		}
		cluster.LoadWaitingJobs(records, map[ids.Job]ids.Revision{"job-2": 5, "job-3": 6, "job-4": 7}, now)
		waiting := cluster.dependencies.waiting
		if _, due := cluster.dependencies.lookups["job-2"]; !due || waiting["job-2"] != nil || waiting["job-4"] == nil {
			t.Errorf("the removed job is looked up: %v; waiting jobs: %v", due, waiting)
		}
		cluster.dependencies.recordOutcome("job-2", record.Cancelled)
		if cancelledBy := cluster.dependencies.graph.CancelledBy("job-3"); cancelledBy != "job-2" {
			t.Errorf("the dependent of the removed job is cancelled by %q, want job-2", cancelledBy)
		}
		cluster.HandleWaitingJob("job-9", 10, nil, now)
		if len(cluster.dependencies.removedBeforeLoad) != 0 {
			t.Error("a removal seen after the listing is remembered")
		}
	})
}

func TestSummaryOfStatusCanBeEncoded(t *testing.T) {
	t.Parallel()
	cluster := newTestState()
	cluster.heartbeat("m1", "north", 1)
	raw, err := json.Marshal(cluster.Summary())
	if want := fmt.Sprintf(`"generation":%d`, cluster.generation()); err != nil || !strings.Contains(string(raw), want) {
		t.Errorf("encoded as %s, error %v; want %s", raw, err, want)
	}
}
