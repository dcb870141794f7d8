package clusterstate

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

func TestSilentZoneIsLeftToLeaseExpiry(t *testing.T) {
	t.Parallel()
	cluster := newTestState()
	names := []ids.Machine{"n1", "n2", "n3", "n4", "n5", "s1", "s2", "s3"}
	for _, name := range names {
		zone := "north"
		if name[0] == 's' {
			zone = "south"
		}
		cluster.heartbeat(name, zone, 1)
	}
	markSilent := func(silent ...ids.Machine) {
		for _, name := range silent {
			machine := cluster.machines.Machines[name]
			machine.LastReportAt = time.Now().Add(-6 * time.Second)
			machine.SuspectSince = time.Now().Add(-5 * time.Second)
			machine.UnansweredProbes = 2
		}
	}
	markSilent("n1")
	if terminated := cluster.machinesToTerminate(time.Now()); len(terminated) != 1 || terminated[0] != "n1" {
		t.Fatalf("one silent machine: terminating %v, want n1", terminated)
	}
	markSilent("s1", "s2", "s3")
	for _, name := range cluster.machinesToTerminate(time.Now()) {
		if name[0] == 's' {
			t.Errorf("%s is to be terminated although all of its zone is silent", name)
		}
	}
	if !cluster.UnreachableZones()["south"] || cluster.UnreachableZones()["north"] {
		t.Errorf("unreachable zones: %v, want south", cluster.UnreachableZones())
	}
}

func TestUnreachableZoneNotMistakenForSingleSilentMachines(t *testing.T) {
	t.Parallel()
	// Machines with replicas are probed sooner than others, so for some seconds only they look silent in a
	// partitioned zone. When the zone is reachable again, machines that have not reported yet must not be
	// terminated for their silence during the partition.
	cluster := newTestState()
	cluster.settings.Params.Workers.ReportS = 10
	start := time.Now()
	zoneOf := func(i int) string { return []string{"north", "south"}[i%2] }
	for i := range 40 {
		cluster.heartbeat(ids.Machine(fmt.Sprintf("m%02d", i)), zoneOf(i), 1)
	}
	service := newServiceRecord("job-1", "blue", record.Critical, 20, 2)
	cluster.submit(1, service, start)
	cluster.Plan(start)
	setLastReport := func(name string, ago time.Duration) {
		machine := cluster.machines.Machines[ids.Machine(name)]
		machine.LastReportAt = start.Add(-ago)
		machine.UnansweredProbes = 0
		machine.RecordCall(true, start)
	}
	// The south has been silent for 5 s; ten of its machines have left two probes unanswered.
	probed := 0
	for i := range 40 {
		name := fmt.Sprintf("m%02d", i)
		setLastReport(name, time.Duration(i)*20*time.Millisecond)
		if zoneOf(i) == "south" {
			setLastReport(name, 5*time.Second)
			if probed++; probed <= 10 {
				machine := cluster.machines.Machines[ids.Machine(name)]
				machine.UnansweredProbes = 2
				machine.SuspectSince = start.Add(-2500 * time.Millisecond)
				machine.UnreachableSince = start.Add(-1500 * time.Millisecond)
			}
		}
	}
	if terminated := cluster.machinesToTerminate(start); len(terminated) != 0 {
		t.Fatalf("terminating %v, which are in an unreachable zone", terminated)
	}
	if !cluster.UnreachableZones()["south"] || cluster.UnreachableZones()["north"] {
		t.Fatalf("unreachable zones: %v, want south", cluster.UnreachableZones())
	}
	// A minute later one of them reports.
	for i := range 40 {
		if machine := cluster.machines.Machines[ids.Machine(fmt.Sprintf("m%02d", i))]; zoneOf(i) == "south" {
			machine.UnansweredProbes = 20
			machine.LastReportAt = start.Add(-time.Minute)
			machine.SuspectSince = start.Add(-58 * time.Second)
			machine.UnreachableSince = start.Add(-57 * time.Second)
			machine.FailedCalls = 20
		}
	}
	cluster.heartbeat("m01", "south", 2)
	cluster.RecordProbeAnswer("m01", true)
	if terminated := cluster.machinesToTerminate(start); len(terminated) != 0 {
		t.Fatalf("terminating %v when the zone became reachable again", terminated)
	}
	// A machine that stays silent although the others report again is terminated.
	for i := range 40 {
		if name := fmt.Sprintf("m%02d", i); name != "m03" {
			setLastReport(name, 0)
		}
	}
	missing := cluster.machines.Machines["m03"]
	missing.UnansweredProbes = 2
	missing.SuspectSince = start.Add(-3 * time.Second)
	if terminated := cluster.machinesToTerminate(start); len(terminated) != 1 || terminated[0] != "m03" {
		t.Fatalf("terminating %v, want only m03, which did not come back", terminated)
	}
}

func TestTakeoverTerminatesMachinesOfUnreachableZoneOnceLeasesExpired(t *testing.T) {
	t.Parallel()
	// Guards against a new leader that waits for leases that it knows nothing of although the replicas
	// ended long ago. Where the zone spread rule leaves no room elsewhere, terminating the machines would
	// gain nothing.
	now := time.Now()
	cluster := newTestState()
	cluster.addMachines("n", 9, "north")
	loadService := func(id ids.Job, tasks int, machineOf map[int]string) {
		rec := newServiceRecord(id, "blue", record.Critical, tasks, 1)
		rec.Spec.Spread = true
		rec.Status = record.Claimed
		assignments := map[int]*workload.Assignment{}
		for i, name := range machineOf {
			assignments[i] = &workload.Assignment{TaskIndex: i, Machine: ids.Machine(name), Incarnation: 1, Attempt: 1, FencingToken: 3}
		}
		rec.Assignments = workload.GroupAssignments(assignments)
		cluster.Load(map[ids.Job]*record.Record{id: rec}, map[ids.Job]ids.Revision{id: 1}, 0, now)
	}
	// One replica of job-1 may move to the north, none of job-2.
	loadService("job-1", 5, map[int]string{0: "n0", 1: "n1", 2: "s0", 3: "s0", 4: "s1"})
	loadService("job-2", 4, map[int]string{0: "n2", 1: "n3", 2: "s2", 3: "s3"})
	for i := range 4 {
		name := ids.Machine(fmt.Sprint("s", i))
		machine := cluster.machines.Ensure(name, now, now.Add(time.Minute))
		machine.Zone = "south"
		machine.Type = "small"
		machine.Addr = string(name) + ":1"
		machine.UnansweredProbes = 5
		machine.SuspectSince = now.Add(time.Second)
	}
	cluster.earliestLeaseExpiry = now.Add(17*time.Second + 500*time.Millisecond)
	if terminated := cluster.machinesToTerminate(now.Add(3 * time.Second)); len(terminated) != 0 {
		t.Fatalf("terminating %v while the leases may not have expired", terminated)
	}
	if terminated := cluster.machinesToTerminate(now.Add(5 * time.Second)); !slices.Equal(terminated, []ids.Machine{"s0", "s1"}) {
		t.Fatalf("terminating %v, want s0 and s1", terminated)
	}
}

func TestExplainReportsLostRestartedAndPendingTasks(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cluster := newTestState()
	cluster.addMachines("s", 4, "south")
	cluster.submit(1, newRecord("job-1", "blue", record.Normal, 16, 1), now)
	cluster.Plan(now)
	cluster.markAllStored()
	for i := range 4 {
		cluster.heartbeat(ids.Machine(fmt.Sprint("n", i)), "north", 1)
		machine := cluster.machines.Machines[ids.Machine(fmt.Sprint("s", i))]
		machine.UnansweredProbes = 3
		machine.SuspectSince = time.Now()
	}
	if !cluster.UnreachableZones()["south"] {
		t.Fatal("the south does not count as unreachable")
	}
	explained := strings.Join(cluster.Explain("job-1"), "\n")
	if !strings.Contains(explained, "nothing is heard of south (16)") || !strings.Contains(explained, "leases") {
		t.Errorf("the explanation while the zone is unreachable is %s", explained)
	}
	// The leases of all machines but one expire; two of the lost tasks are reassigned.
	for i := range 3 {
		cluster.machines.Machines[ids.Machine(fmt.Sprint("s", i))].LeaseExpiresAt = now
	}
	cluster.ExpireLeases(now.Add(time.Second))
	eventMessages := func() (messages []string) {
		for _, event := range cluster.jobs.Get("job-1").Record.Events {
			messages = append(messages, event.Message)
		}
		return messages
	}
	if events := eventMessages(); len(events) > 3 || !strings.Contains(strings.Join(events, "\n"), "tasks gone in south") {
		t.Errorf("the events after twelve tasks were lost at once are %q", events)
	}
	limitEstimate(cluster, cluster.jobs.Get("job-1"), 4+2)
	cluster.Plan(now)
	got := strings.Join(append(eventMessages(), cluster.Explain("job-1")...), "\n")
	for _, want := range []string{
		"tasks lost in south (2) start again: north (2)",
		"lost in south (10) and not started again yet",
		"on machines in north (2)",
		"nothing is heard of south (4)",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is missing in the events and the explanation:\n%s", want, got)
		}
	}
}
