package costs

import (
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

var start = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)

func testAssignment(status string, cores float64) *workload.Assignment {
	spec := record.Spec{ID: "job", JobType: record.Array, Tasks: 1, Resources: placement.Resources{Cores: cores, RAM: 1}}
	return &workload.Assignment{Job: workload.NewJob(record.New(spec, ids.TimestampOf(start), "writer"), 1), Status: status}
}

func TestCostsAreSplitByWhatMachinesDo(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*worker.Machine)
		tasks  []*workload.Assignment
		want   Breakdown
	}{
		{"booting", func(machine *worker.Machine) { machine.HasReported = false }, nil, Breakdown{Boot: 8}},
		{"idle", func(*worker.Machine) {}, nil, Breakdown{Idle: 8}},
		{"idle, a spot instance", func(machine *worker.Machine) { machine.Spot = true }, nil, Breakdown{Idle: 2}},
		{"failed", func(machine *worker.Machine) { machine.Failed = true }, nil, Breakdown{}},
		{"of a type that is not known", func(machine *worker.Machine) { machine.Type = "other" }, nil, Breakdown{}},
		{"running, waiting and pulling", func(*worker.Machine) {}, []*workload.Assignment{
			testAssignment(worker.StateRunning, 1), testAssignment(worker.StateWaiting, 0.5), testAssignment(worker.StateCheckpointing, 0.5),
			testAssignment(worker.StatePulling, 0.5), testAssignment("", 0.5)}, Breakdown{Run: 2, Wait: 2, Pull: 2, Free: 2}},
		{"by the scarcest resource", func(*worker.Machine) {}, []*workload.Assignment{testAssignment(worker.StateRunning, 0.1)}, Breakdown{Run: 0.5, Free: 7.5}},
	} {
		registry := worker.NewRegistry(20)
		index := capacity.NewIndex(registry)
		index.SetTypes([]placement.InstanceType{{Label: "small", Cores: 4, RAM: 16, Price: 8, SpotPrice: 2}})
		machine := registry.Ensure("m", start, start)
		machine.Type, machine.HasReported = "small", true
		c.change(machine)
		for _, assignment := range c.tasks {
			index.Allocate(index.Ensure("m"), assignment)
		}
		var account Account
		account.Accrue(start, registry, index)
		account.Accrue(start.Add(time.Hour), registry, index)
		if got, _ := account.Summary(); got != c.want {
			t.Errorf("%s: costs %+v, want %+v", c.name, got, c.want)
		}
	}
}

func TestLostWorkCountsSinceTheLastCheckpoint(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(*workload.Assignment)
		want     float64
		recorded bool
	}{
		{"all of it", func(*workload.Assignment) {}, 200, true},
		{"since a checkpoint", func(a *workload.Assignment) { a.Job.Record.Spec.CheckpointInterval = 30 }, 20, true},
		{"a service loses none", func(a *workload.Assignment) { a.Job.Record.Spec.JobType = record.Service }, 0, false},
		{"never ran", func(a *workload.Assignment) { a.RunningSince = time.Time{} }, 0, false},
	} {
		var account Account
		registry := worker.NewRegistry(20)
		account.Accrue(start, registry, capacity.NewIndex(registry))
		assignment := testAssignment(worker.StateRunning, 2)
		assignment.RunningSince = start
		c.change(assignment)
		account.AddLostWork(assignment, "preempted", start.Add(100*time.Second))
		_, lostCoreSeconds := account.Summary()
		if got, recorded := lostCoreSeconds["preempted"]; got != c.want || recorded != c.recorded {
			t.Errorf("%s: %v lost core-seconds, recorded: %v", c.name, got, recorded)
		}
	}
}
