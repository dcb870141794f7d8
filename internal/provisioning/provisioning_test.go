package provisioning

import (
	"fmt"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/estimate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/liveness"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// fakeScheduler ranks jobs by their time of submission and has no quotas.
type fakeScheduler struct{ jobs *workload.Queue }

func (s fakeScheduler) Ranked(time.Time) []*workload.Job              { return s.jobs.Ordered() }
func (s fakeScheduler) TasksWithinQuota(_ *record.Spec, want int) int { return want }

// noRollouts implements Rollouts without any rollout.
type noRollouts struct{}

func (noRollouts) IsObservedReplacement(ids.Machine) bool     { return false }
func (noRollouts) OrderFor(ids.Machine) (rollout.Order, bool) { return rollout.Order{}, false }
func (noRollouts) MayConsolidate() bool                       { return true }
func (noRollouts) SurgeDemands() []placement.Demand           { return nil }

// testPlanner returns the planner of an empty fleet. Its only machine type boots in 30 seconds.
func testPlanner() *Planner {
	settings := &config.Settings{Operator: config.DefaultOperator()}
	settings.Params.Workers = config.WorkerIntervals{ReportS: 2, LeaseS: 20}
	settings.Params.Cloud.ListLagS = 10
	settings.Params.Objectives = []config.Objective{{Kind: config.ObjectiveFinished, Class: "batch", WithinS: 300}, {Kind: config.ObjectiveWait, Class: "interactive", WithinS: 5}}
	registry := worker.NewRegistry(20)
	index := capacity.NewIndex(registry)
	index.SetTypes([]placement.InstanceType{{Label: "small", Cores: 4, RAM: 16, PullGBPerS: 1, Price: 1, BootS: 30}})
	jobs := workload.NewQueue()
	return New(State{Settings: settings, Jobs: jobs, Machines: registry, Capacity: index, Estimates: estimate.New(settings, index),
		Scheduler: fakeScheduler{jobs}, Rollouts: noRollouts{}, Zones: liveness.NewZones(),
		StoreAvailable: func() bool { return true }, EarliestLeaseExpiry: func() time.Time { return time.Time{} }})
}

// addMachine adds a machine of the given age. A machine that is booting has not reported.
func addMachine(planner *Planner, name ids.Machine, now time.Time, age time.Duration, booting bool) *worker.Machine {
	machine := planner.Machines.Ensure(name, now.Add(-age), now.Add(-age))
	machine.Type, machine.Booting, machine.HasReported = "small", booting, !booting
	machine.LastReportAt, machine.LastAnsweredAt, machine.ListedAt = now, now, now
	planner.Capacity.Reindex(planner.Capacity.Ensure(name))
	return machine
}

// addJob adds a job whose tasks each need one core and are estimated to take ten seconds.
func addJob(planner *Planner, id ids.Job, class string, jobType record.JobType, priority record.Priority, tasks int, now time.Time) *workload.Job {
	spec := record.Spec{ID: id, Class: class, Team: "red", JobType: jobType, Priority: priority, Tasks: tasks, EstimatedDuration: 10,
		Resources: placement.Resources{Cores: 1, RAM: 1}, Image: "image", ImageGB: 1}
	job := workload.NewJob(record.New(spec, ids.TimestampOf(now), "writer"), 1)
	planner.Jobs.Add(job)
	return job
}

// runTasks assigns tasks of a job to a machine, as running since the given time.
func runTasks(planner *Planner, job *workload.Job, tasks int, machine ids.Machine, since time.Time) {
	for range tasks {
		assignment := &workload.Assignment{Job: job, TaskIndex: len(job.Assignments), Machine: machine, Status: worker.StateRunning, RunningSince: since}
		job.Assignments[assignment.TaskIndex] = assignment
		planner.Capacity.Allocate(planner.Capacity.Ensure(machine), assignment)
	}
}

// Regression: no machine was ever rented for a job of an empty fleet whose tasks were estimated to take half a
// second, since its share of a slot was rounded down to none.
func TestMachineIsWantedHoweverShortTheEstimate(t *testing.T) {
	now := time.Now()
	for _, shape := range []record.JobType{record.Array, record.Gang, record.Service} {
		for _, estimated := range []ids.Seconds{0, 1e-9, 0.1, 0.5, 1, 1e6} {
			planner := testPlanner()
			addJob(planner, "job-1", "class", shape, record.Normal, 1, now).Record.Spec.EstimatedDuration = estimated
			if demands := planner.Demands(now); len(demands) != 1 || demands[0].Count != 1 {
				t.Errorf("%s, estimated to take %v s: demands %+v, want one task", shape, estimated, demands)
			}
		}
	}
}

func TestMachinesAreLateByTheBootTimeOfTheirType(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		age     time.Duration
		booting bool
		want    BootStatus
	}{
		{time.Minute, true, NotLate}, // twice the boot time of its type
		{61 * time.Second, true, Late},
		{4 * time.Minute, true, Late},
		{241 * time.Second, true, BootTimedOut},
		{time.Hour, false, NotLate},
	} {
		planner := testPlanner()
		if got := planner.BootStatus(addMachine(planner, "m", now, c.age, c.booting), now); got != c.want {
			t.Errorf("age %v, booting %v: lateness %v, want %v", c.age, c.booting, got, c.want)
		}
	}
}

func TestOneLateMachineOfATypeIsReplacedUntilOthersOvertakeThem(t *testing.T) {
	now := time.Now()
	planner := testPlanner()
	for i := range 3 {
		addMachine(planner, ids.Machine(fmt.Sprintf("late%d", i)), now, 90*time.Second-time.Duration(i)*time.Second, true)
	}
	addMachine(planner, "booting", now, 10*time.Second, true)
	if replaced := planner.boots.replaced(now); len(replaced) != 1 || !replaced["late0"] {
		t.Errorf("replaced machines %v, want only the oldest", replaced)
	}
	if got := planner.boots.countExpected(now)["small"]; got != 3 {
		t.Errorf("%d booting machines count as expected, want 3", got)
	}
	up := addMachine(planner, "up", now, 80*time.Second, false)
	planner.Estimates.RecordBoot(up, now.Add(-50*time.Second))
	if replaced := planner.boots.replaced(now); len(replaced) != 3 {
		t.Errorf("replaced machines %v, want all late ones", replaced)
	}
}

func TestUsageSamplesGiveTheExpectedConcurrency(t *testing.T) {
	for _, c := range []struct {
		samples                []int
		percentile90, expected int
	}{
		{nil, 0, 0},
		{[]int{0, 0, 0}, 0, 0},
		{[]int{4, 4, 4, 4}, 4, 6}, // 4 + 0.7*2 - 0.05
		{[]int{0, 0, 0, 0, 0, 0, 0, 0, 0, 10}, 10, 2},
		{[]int{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 10}, 0, 2},
	} {
		usage := &classUsage{wanted: c.samples, running: c.samples}
		if percentile90, expected := usage.wantedPercentile90(), usage.expectedConcurrency(); percentile90 != c.percentile90 || expected != c.expected {
			t.Errorf("samples %v: 90th percentile %d, expected concurrency %d; want %d, %d", c.samples, percentile90, expected, c.percentile90, c.expected)
		}
	}
}

func TestHeadroomIsKeptForClassesThatStartBeforeMachinesBoot(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name       string
		class      string
		jobType    record.JobType
		priority   record.Priority
		samples    int
		want       int
		noScaleOut bool
	}{
		{"critical work", "other", record.Service, record.Critical, 1, 1, false},
		{"a class without an objective", "other", record.Gang, record.Normal, 1, 0, false},
		{"a class that starts sooner than a boot, after a takeover", "interactive", record.Gang, record.Normal, 1, 10, true},
		{"the same later", "interactive", record.Gang, record.Normal, minSamples, 2, false},
	} {
		planner := testPlanner()
		addMachine(planner, "m", now, time.Hour, false)
		runTasks(planner, addJob(planner, "job", c.class, c.jobType, c.priority, 4, now), 4, "m", now)
		for i := range c.samples {
			planner.SampleUsage(now.Add(time.Duration(i) * sampleInterval))
		}
		demands := planner.headroom.demands()
		count, noScaleOut := 0, false
		for _, demand := range demands {
			count, noScaleOut = count+demand.Count, demand.NoScaleOut
		}
		if count != c.want || noScaleOut != c.noScaleOut {
			t.Errorf("%s: headroom for %d tasks, NoScaleOut %v; want %d, %v", c.name, count, noScaleOut, c.want, c.noScaleOut)
		}
	}
}

func TestUsageIsSampledOnceASecondAndForgottenAfterAWindow(t *testing.T) {
	now := time.Now()
	planner := testPlanner()
	job := addJob(planner, "job", "batch", record.Array, record.Normal, 2, now)
	if !planner.SampleUsage(now) || planner.SampleUsage(now.Add(sampleInterval/2)) {
		t.Error("usage is not sampled exactly once in a sample interval")
	}
	planner.Jobs.Remove(job)
	for i := range usageWindow {
		if _, known := planner.usage.classes["batch"]; !known {
			t.Fatalf("the class was removed after only %d samples without tasks", i)
		}
		planner.SampleUsage(now.Add(time.Duration(i+1) * sampleInterval))
	}
	if len(planner.usage.classes) != 0 {
		t.Error("a class without tasks is kept for more than the usage window")
	}
}

func TestDemandsOfSimilarJobsAreRoundedTogether(t *testing.T) {
	now := time.Now()
	planner := testPlanner()
	for i := range 4 { // each needs a sixth of a slot: ten seconds of a horizon of sixty
		addJob(planner, ids.Job(fmt.Sprintf("small%d", i)), "other", record.Array, record.Normal, 1, now)
	}
	addJob(planner, "service", "web", record.Service, record.High, 3, now)
	addJob(planner, "failing", "bad", record.Array, record.Normal, 5, now).Record.FailedMachines = 3
	counts := map[bool]int{}
	for _, demand := range planner.Demands(now) {
		counts[demand.Preempt] += demand.Count
	}
	if counts[false] != 1 || counts[true] != 3 {
		t.Errorf("demand of %d slots for the small jobs and %d for the service, want 1 and 3", counts[false], counts[true])
	}
}

func TestMachinesWithTheLeastUseForTheirPriceAreConsolidatedFirst(t *testing.T) {
	now := time.Now()
	planner := testPlanner()
	settled := now.Add(-time.Hour)
	for name, replicas := range map[ids.Machine]int{"two": 2, "one": 1, "empty": 0, "mixed": 1, "young": 1} {
		machine := addMachine(planner, name, now, time.Hour, false)
		runTasks(planner, addJob(planner, ids.Job(name), "web", record.Service, record.Normal, 4, now), replicas, name, settled)
		if name == "young" {
			machine.ProvisionedAt = now.Add(-minConsolidatedAge / 2)
		}
	}
	runTasks(planner, addJob(planner, "array", "batch", record.Array, record.Normal, 1, now), 1, "mixed", settled)
	candidates := planner.ConsolidationCandidates(now)
	if len(candidates) != 2 || candidates[0].Name != "one" || candidates[1].Name != "two" || len(candidates[1].Needs) != 2 {
		t.Errorf("candidates %+v, want one and two, in this order", candidates)
	}
	planner.Consolidate("one", now)
	if got := planner.ConsolidationCandidates(now); got != nil {
		t.Errorf("candidates %v while a machine is being emptied, want none", got)
	}
	if !planner.Consolidate("", now) || planner.Consolidate("", now) {
		t.Error("ending a consolidation does not report whether a machine was being emptied")
	}
}

func TestMachinesAreTerminatedForAReason(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name   string
		change func(*Planner, *worker.Machine)
		needed bool
		want   string
	}{
		{name: "idle and needed", change: func(*Planner, *worker.Machine) {}, needed: true},
		{name: "idle", change: func(*Planner, *worker.Machine) {}, want: "idle"},
		{name: "recently idle", change: func(_ *Planner, m *worker.Machine) { m.IdleSince = now }},
		{name: "in use", change: func(p *Planner, m *worker.Machine) {
			runTasks(p, addJob(p, "job", "batch", record.Array, record.Normal, 1, now), 1, m.Name, now)
		}},
		{name: "failed", change: func(_ *Planner, m *worker.Machine) { m.Failed = true }, needed: true, want: "it stopped by itself"},
		{name: "drained", change: func(_ *Planner, m *worker.Machine) { m.DrainReason = "for repair" }, needed: true, want: "for repair"},
		{name: "idle during other shards' shortage", change: func(p *Planner, m *worker.Machine) { p.shortage.othersHaveShortage, m.IdleSince = true, now }, want: releasedForOtherShard},
		{name: "silent", change: func(_ *Planner, m *worker.Machine) {
			m.LastReportAt, m.SuspectSince, m.UnansweredProbes = now.Add(-20*time.Second), now.Add(-15*time.Second), 3
		}, needed: true, want: "silent"},
		{name: "hopeless", change: func(_ *Planner, m *worker.Machine) { m.HasReported, m.Booting = false, true }, needed: true, want: "it does not come up"},
		{name: "late and not needed", change: func(_ *Planner, m *worker.Machine) {
			m.HasReported, m.Booting, m.ProvisionedAt = false, true, now.Add(-100*time.Second)
		}, want: "it is late, and no longer needed"},
		{name: "not listed any more", change: func(p *Planner, m *worker.Machine) {
			m.HasReported, m.ListedAt = false, now.Add(-time.Hour)
			p.CloudListRead(now)
		}, needed: true, want: "the cloud does not list it"},
	} {
		planner := testPlanner()
		needed := map[ids.Machine]bool{"m": c.needed}
		machine := addMachine(planner, "m", now, time.Hour, false)
		for i := range 4 { // other machines, which report
			other := addMachine(planner, ids.Machine(fmt.Sprintf("other%d", i)), now, time.Hour, false)
			needed[other.Name] = true
		}
		c.change(planner, machine)
		names := planner.MachinesToTerminate(now, needed)
		if machine.DeleteReason != c.want || (len(names) == 1) != (c.want != "") {
			t.Errorf("%s: terminated machines %v with reason %q, want reason %q", c.name, names, machine.DeleteReason, c.want)
		}
	}
}

// Guards against work that waits for tasks which, by their estimates, should have ended long ago: what they use
// counts as free soon, so no machine is rented for as long as they run. In KNOWN-RED.txt.
func TestOverdueTasksDoNotKeepMachinesFromBeingRented(t *testing.T) {
	now := time.Now()
	planner := testPlanner()
	planner.Capacity.SetTypes([]placement.InstanceType{{Label: "small", Cores: 4, RAM: 16, PullGBPerS: 1, Price: 1, BootS: 30, Zones: []string{"north"}}})
	addMachine(planner, "m", now, 2*time.Hour, false)
	overdue := addJob(planner, "job-1", "class", record.Array, record.Normal, 4, now)
	overdue.Record.Spec.EstimatedDuration = 1
	runTasks(planner, overdue, 4, "m", now.Add(-time.Hour))
	addJob(planner, "job-2", "class", record.Array, record.Normal, 4, now.Add(-time.Hour))
	everythingOffered := func(string, string, bool) bool { return true }
	requests, _ := placement.PlanScaleOut(planner.Demands(now), planner.Instances(now), planner.Types(), everythingOffered)
	if len(requests) == 0 {
		t.Errorf("no machine is rented for a job that has waited for an hour; demands: %+v", planner.Demands(now))
	}
}
