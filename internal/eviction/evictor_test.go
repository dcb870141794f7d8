package eviction

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/estimate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
	"github.com/pebbletrail/pebbletrail/internal/scheduler"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// firstToken is the fencing token at the beginning of the term.
const firstToken ids.Generation = 7

// fakeCluster records the stopped tasks and the reasons.
type fakeCluster struct {
	storeDown  bool
	terminated ids.Machine
	stopped    []string
}

func (c *fakeCluster) Stop(assignment *workload.Assignment, _ ids.Seconds, reason string) {
	assignment.Stopping = true
	c.stopped = append(c.stopped, fmt.Sprintf("%s: %s", assignment.Task(), reason))
}

func (c *fakeCluster) StoreAvailable() bool          { return !c.storeDown }
func (c *fakeCluster) MarkChanged(job *workload.Job) { job.Version++ }
func (c *fakeCluster) MarkUrgent(*workload.Job)      {}
func (c *fakeCluster) RecordSize(*workload.Job, []record.TaskAssignment) (int, error) {
	return 0, nil
}
func (c *fakeCluster) Terminated(machine ids.Machine) bool { return machine == c.terminated }
func (c *fakeCluster) CloudListConclusive() bool           { return false }

// fixture is an evictor with four machines, m1 to m4, each with a replica of the service "web".
type fixture struct {
	*Evictor
	fake *fakeCluster
	web  *workload.Job
	now  time.Time
}

// newFixture returns a fixture with drains enabled or disabled, and without orders of rollouts.
func newFixture(drains bool) *fixture {
	settings := &config.Settings{Operator: config.DefaultOperator(), Features: &config.Features{}}
	if drains {
		settings.Features.Drains = &config.Drains{}
	}
	settings.Params.Workers = config.WorkerIntervals{ReportS: 2, LeaseS: 20}
	settings.Params.State.ValueKB = 8
	registry := worker.NewRegistry(20)
	index := capacity.NewIndex(registry)
	index.SetTypes([]placement.InstanceType{
		{Label: "small", Cores: 4, RAM: 16, CacheGB: 20, PullGBPerS: 1, Price: 1, BootS: 30, Zones: []string{"north"}},
		{Label: "gpu", Cores: 4, RAM: 16, Accels: 1, CacheGB: 20, PullGBPerS: 1, Price: 9, BootS: 30, Zones: []string{"north"}},
	})
	jobs, estimates := workload.NewQueue(), estimate.New(settings, index)
	planner := scheduler.New(scheduler.State{Settings: settings, Jobs: jobs, Machines: registry, Capacity: index,
		Estimates: estimates}, nil, nil)
	f := &fixture{fake: &fakeCluster{}, now: time.Now()}
	f.Evictor = New(State{Settings: settings, Jobs: jobs, Machines: registry, Capacity: index, Estimates: estimates,
		Scheduler: planner, FirstToken: firstToken, Lock: &sync.Mutex{}}, f.fake)
	f.SetOrders(rollout.NewOrders())
	f.web = f.addJob("web", record.Service, 4)
	for task := range 4 {
		f.runTask(f.web, task, f.addMachine(ids.Machine(fmt.Sprint("m", task+1)), "small").Name)
	}
	return f
}

// addMachine adds a machine that has reported and has seen an earlier leader's token.
func (f *fixture) addMachine(name ids.Machine, machineType string) *worker.Machine {
	machine := f.Machines.Ensure(name, f.now, f.now)
	machine.HasReported, machine.Type, machine.Zone, machine.Incarnation = true, machineType, "north", 1
	machine.LastReportAt, machine.LastAnsweredAt, machine.FencingToken = f.now, f.now, firstToken-1
	f.Capacity.Reindex(f.Capacity.Ensure(name))
	return machine
}

// addJob adds a job whose tasks need three of the four cores of a machine.
func (f *fixture) addJob(id ids.Job, jobType record.JobType, tasks int) *workload.Job {
	spec := record.Spec{ID: id, Team: "red", JobType: jobType, Tasks: tasks, EstimatedDuration: 10, Priority: record.Normal,
		Resources: placement.Resources{Cores: 3, RAM: 1}, Image: "image", ImageGB: 1}
	job := workload.NewJob(record.New(spec, ids.TimestampOf(f.now), "writer"), 1)
	f.Jobs.Add(job)
	return job
}

// runTask assigns a task to a machine, where it has been running for a minute.
func (f *fixture) runTask(job *workload.Job, task int, machine ids.Machine) *workload.Assignment {
	assignment := &workload.Assignment{Job: job, TaskIndex: task, Machine: machine, Incarnation: 1, Attempt: 1, StartSent: true,
		Confirmed: true, Status: worker.StateRunning, RunningSince: f.now.Add(-time.Minute)}
	job.Assignments[task] = assignment
	f.Capacity.Allocate(f.Capacity.Ensure(machine), assignment)
	return assignment
}

// order gives machines the same order of the rollout "spring".
func (f *fixture) order(order rollout.Order, machines ...ids.Machine) {
	orders := rollout.NewOrders()
	order.Rollout, order.Wave = "spring", 1
	for _, name := range machines {
		orders.Machines[name] = order
	}
	f.SetOrders(orders)
}

// permits returns the number of evictions in the service's record.
func (f *fixture) permits() int { return f.web.Record.EvictedTasks() }

func TestTaskIsStoppedOnlyWithStoredAndValidPermit(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*fixture)
		stops  int
	}{
		{"stored", func(*fixture) {}, 1},
		{"not stored", func(f *fixture) { f.web.StoredVersion = 0 }, 0},
		{"the store does not answer", func(f *fixture) { f.fake.storeDown = true }, 0},
		{"the rollout is paused", func(f *fixture) { f.order(rollout.Order{}, "m1", "m2") }, 0},
		{"its start is not confirmed", func(f *fixture) { f.web.Assignments[0].Confirmed = false }, 0},
		{"another replica failed since", func(f *fixture) { f.web.Assignments[3].Status = worker.StatePulling }, 0},
	} {
		f := newFixture(true)
		f.order(rollout.Order{Drain: true}, "m1", "m2")
		f.Evaluate(f.now)
		if f.permits() != 1 || len(f.fake.stopped) != 0 || !strings.Contains(fmt.Sprint(f.Blockers()["m2"]), "1 of its 4 replicas are down") {
			t.Fatalf("after the first evaluation: %d permits, stopped %v, m2 waits for %v", f.permits(), f.fake.stopped, f.Blockers()["m2"])
		}
		f.web.StoredVersion = f.web.Version
		c.change(f)
		f.Run(f.now.Add(EvaluationInterval - 1))
		f.Run(f.now.Add(EvaluationInterval))
		if f.Evaluations() != 2 || len(f.Blockers()["m2"]) > 1 {
			t.Errorf("%s: %d evaluations, m2 waits for %v", c.name, f.Evaluations(), f.Blockers()["m2"])
		}
		if len(f.fake.stopped) != c.stops || c.stops > 0 && f.fake.stopped[0] != "web/0: moved from m1 by rollout spring, wave 1" {
			t.Errorf("%s: stopped %v", c.name, f.fake.stopped)
		}
	}
}

func TestPermitIsWithdrawnOnlyWhenNoEarlierStopCanTakeEffect(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*worker.Machine, *workload.Assignment)
		left   int
	}{
		{"the machine has seen this term's token", func(m *worker.Machine, _ *workload.Assignment) { m.FencingToken = firstToken }, 0},
		{"it has seen an earlier one", func(*worker.Machine, *workload.Assignment) {}, 1},
		{"it has not reported", func(m *worker.Machine, _ *workload.Assignment) {
			m.FencingToken, m.HasReported = firstToken, false
		}, 1},
		{"it is for an earlier attempt", func(_ *worker.Machine, a *workload.Assignment) { a.Attempt = 2 }, 0},
		{"not confirmed", func(m *worker.Machine, a *workload.Assignment) { m.FencingToken, a.Confirmed = firstToken, false }, 1},
	} {
		f := newFixture(true)
		f.web.Record.AddEviction(0, 1, "spring", 1)
		c.change(f.Machines.Machines["m1"], f.web.Assignments[0])
		f.Load(f.web)
		f.Evaluate(f.now)
		if f.permits() != c.left || f.web.Assignments[0].Evicting != (c.left > 0) || len(f.fake.stopped) > 0 {
			t.Errorf("%s: %d permits left, stopped %v", c.name, f.permits(), f.fake.stopped)
		}
	}
}

func TestEvictionEndsWhenTaskRunsAgain(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*fixture)
		left   int
	}{
		{"stopped", func(f *fixture) { f.web.Assignments[0].Stopping = true }, 1},
		{"not assigned again", func(f *fixture) { delete(f.web.Assignments, 0) }, 1},
		{"just started", func(f *fixture) { f.rerunElsewhere().RunningSince = f.now }, 1},
		{"up again", func(f *fixture) { f.rerunElsewhere() }, 0},
		{"cancelled", func(f *fixture) { f.web.Record.Status = record.Cancelling }, 0},
	} {
		f := newFixture(true)
		f.order(rollout.Order{}, "m1")
		f.web.Record.AddEviction(0, 1, "spring", 1)
		f.Load(f.web)
		c.change(f)
		f.Evaluate(f.now)
		if f.permits() != c.left {
			t.Errorf("%s: %d permits left", c.name, f.permits())
		}
	}
}

// rerunElsewhere runs the service's first task on another machine, under the next attempt.
func (f *fixture) rerunElsewhere() *workload.Assignment {
	assignment := f.runTask(f.web, 0, f.addMachine("m5", "small").Name)
	assignment.Attempt = 2
	return assignment
}

func TestDrainReportsWhatItWaitsFor(t *testing.T) {
	stop := rollout.Order{Stop: true}
	for _, c := range []struct {
		name   string
		change func(f *fixture, other *workload.Assignment)
		order  rollout.Order
		want   string // empty: the task is evicted
	}{
		{"saves checkpoints", func(_ *fixture, a *workload.Assignment) { a.Job.Record.Spec.CheckpointInterval = 5 }, rollout.Order{}, ""},
		{"low priority", func(_ *fixture, a *workload.Assignment) { a.Job.Record.Spec.Priority = record.Low }, rollout.Order{}, ""},
		{"saves none", func(*fixture, *workload.Assignment) {}, rollout.Order{}, "job/0 can't save and runs to its end"},
		{"after the deadline", func(*fixture, *workload.Assignment) {}, stop, ""},
		{"not confirmed", func(_ *fixture, a *workload.Assignment) { a.Confirmed = false }, stop, "the start of job/0 is not confirmed yet"},
		{"a gang on one machine", func(f *fixture, a *workload.Assignment) {
			a.Job.Record.Spec.JobType = record.Gang
			f.runTask(a.Job, 1, "m5")
		}, stop, "team red: 0 tasks are interrupted and 2 more would be, of at most 1 at a time"},
		{"silent", func(f *fixture, _ *workload.Assignment) { f.Machines.Machines["m5"].UnansweredProbes = 1 }, stop, "nothing is heard of it"},
		{"a gang that is not complete", func(f *fixture, a *workload.Assignment) {
			a.Job.Record.Spec.JobType = record.Gang
			f.runTask(a.Job, 1, "m6").Confirmed = false
		}, stop, "not all tasks of gang job are known to be on their machines"},
		{"a service without another possible place", func(f *fixture, a *workload.Assignment) {
			a.Job.Record.Spec.JobType, a.Job.Record.Spec.InstanceTypes = record.Service, []string{"none"}
		}, rollout.Order{}, "job/0 could start in no other place that its job allows"},
	} {
		f := newFixture(true)
		other := f.runTask(f.addJob("job", record.Array, 2), 0, f.addMachine("m5", "small").Name)
		c.change(f, other)
		c.order.Drain = true
		f.order(c.order, "m5")
		f.Evaluate(f.now)
		if got := strings.Join(f.Blockers()["m5"], "; "); got != c.want || other.Evicting != (c.want == "") {
			t.Errorf("%s: waits for %q, evicting %v; want %q", c.name, got, other.Evicting, c.want)
		}
	}
}

func TestSurgeEvictsReplicaOnlyWithCapacityElsewhere(t *testing.T) {
	for _, c := range []struct {
		name             string
		change           func(*fixture)
		replace          bool
		permits, demands int
	}{
		{"no room", func(*fixture) {}, false, 0, 1},
		{"the rollout provisions replacements", func(*fixture) {}, true, 0, 0},
		{"a machine with accelerators boots", func(f *fixture) {
			machine := f.addMachine("m5", "gpu")
			machine.HasReported, machine.Booting = false, true
		}, false, 0, 0},
		{"room", func(f *fixture) { f.addMachine("m5", "small") }, false, 1, 0},
		{"room on a machine with accelerators", func(f *fixture) { f.addMachine("m5", "gpu") }, false, 1, 0},
		{"room that is reserved", func(f *fixture) {
			f.Scheduler.Reservations.Set(f.addMachine("m5", "small").Name, reservationFor(f.web, f.now, time.Minute))
		}, false, 0, 1},
	} {
		f := newFixture(true)
		c.change(f)
		f.order(rollout.Order{Drain: true, Surge: true, Replace: c.replace}, "m1")
		f.Evaluate(f.now)
		if demands := len(f.SurgeDemands()); f.permits() != c.permits || demands != c.demands {
			t.Errorf("%s: %d permits, %d demands", c.name, f.permits(), demands)
		}
		if _, reserved := f.Scheduler.Reservations.On("m5", f.now); c.permits > 0 && !reserved {
			t.Errorf("%s: no capacity is reserved on m5", c.name)
		}
	}
}

func TestTasksOnLeavingMachinesAreStoppedInTime(t *testing.T) {
	const reclaimed = "job/0: the cloud takes m5 back"
	for _, c := range []struct {
		name       string
		checkpoint ids.Seconds
		left       time.Duration // until the cloud reclaims the machine
		failing    bool
		drains     bool
		want       string
	}{
		{"saves, early", 10, 17 * time.Second, false, true, ""}, // a grace period of 13 s and a margin of 3 s
		{"saves, late", 10, 16 * time.Second, false, true, reclaimed},
		{"saves none, can't finish", 0, time.Second, false, true, reclaimed},
		{"saves none, finishes", 0, 5 * time.Hour, false, true, ""},
		{"tasks fail, drains enabled", 0, 0, true, true, ""},
		{"tasks fail, drains disabled", 0, 0, true, false, "job/0: machine m5 is drained: bad disk"},
	} {
		f := newFixture(c.drains)
		machine, job := f.addMachine("m5", "small"), f.addJob("job", record.Array, 1)
		job.Record.Spec.EstimatedDuration = 3600
		if c.checkpoint > 0 {
			job.Record.Spec.CheckpointInterval, job.Record.Spec.CheckpointDuration = 60, c.checkpoint
		}
		f.runTask(job, 0, "m5")
		if c.failing {
			machine.DrainReason = "bad disk"
		} else {
			machine.SpotTerminationAt = f.now.Add(c.left)
		}
		f.Machines.MarkLeaving("m5")
		f.StopOnLeavingMachines(f.now)
		if got := strings.Join(f.fake.stopped, "; "); got != c.want {
			t.Errorf("%s: stopped %q, want %q", c.name, got, c.want)
		}
	}
}

func TestOrdersCordonMachinesAndKeepReplacements(t *testing.T) {
	f := newFixture(true)
	orders := rollout.NewOrders()
	orders.Machines["m1"], orders.Keep["m2"] = rollout.Order{Rollout: "spring"}, true
	orders.Provisioning = []rollout.ProvisioningRequest{{Name: rollout.ReplacementPrefix + "1"}, {Name: rollout.ReplacementPrefix + "2"}}
	if !f.SetOrders(orders) || f.SetOrders(orders) || !f.Machines.Machines["m1"].Cordoned || f.MayConsolidate() {
		t.Error("the machine with an order is not cordoned exactly once, or may be consolidated")
	}
	f.ReplacementsProvisioned(rollout.ReplacementPrefix+"1", []ids.Machine{"m2"})
	if requests := f.ReplacementsToProvision(); len(requests) != 1 || requests[0].Name != rollout.ReplacementPrefix+"2" {
		t.Errorf("replacements to provision: %v", requests)
	}
	f.ReplacementLost("m2", "it does not come up")
	f.ReplacementLost("m3", "it does not come up")
	f.Machines.Remove("m2")
	f.Machines.Remove("m3")
	f.fake.terminated = "m3"
	view := f.NewView()
	if lost, other := view.Machine("m2"), view.Machine("m3"); lost.Failed == "" || lost.Deleted || other.Failed != "" || !other.Deleted {
		t.Errorf("view of the lost replacement %+v, of another machine %+v", lost, other)
	}
	if !f.SetOrders(rollout.NewOrders()) || f.Machines.Machines["m1"].Cordoned || !f.MayConsolidate() {
		t.Error("the machine without an order is still cordoned or may not be consolidated")
	}
}
