package estimate

import (
	"math"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

var start = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)

// testTypes are a small machine type and a large one that boots more slowly and pulls images faster.
var testTypes = []placement.InstanceType{
	{Label: "small", Cores: 4, RAM: 16, PullGBPerS: 0.5, BootS: 30},
	{Label: "large", Cores: 16, RAM: 64, PullGBPerS: 2, BootS: 60},
}

func newTestEstimator() *Estimator {
	index := capacity.NewIndex(worker.NewRegistry(20))
	index.SetTypes(testTypes)
	settings := &config.Settings{}
	settings.Params.Objectives = []config.Objective{{Kind: config.ObjectiveFinished, Class: "urgent", WithinS: 90}}
	return New(settings, index)
}

func bootedMachine(provisioned time.Time) *worker.Machine {
	return &worker.Machine{Identity: worker.Identity{Type: "small"}, Provisioning: worker.Provisioning{ProvisionedAt: provisioned}}
}

func TestBootTimeFollowsRecentBoots(t *testing.T) {
	for _, c := range []struct {
		name  string
		boots []int // seconds
		want  time.Duration
	}{
		{"none", nil, 30 * time.Second},
		{"faster than nominal", []int{10, 10}, 30 * time.Second},
		{"three quarters below", []int{300, 40, 50, 60, 70}, 70 * time.Second},
		{"older ones are dropped", []int{900, 900, 900, 900, 50, 50, 50, 50, 50, 50, 50, 50}, 50 * time.Second},
	} {
		estimator := newTestEstimator()
		for _, seconds := range c.boots {
			estimator.RecordBoot(bootedMachine(start), start.Add(time.Duration(seconds)*time.Second))
		}
		if got := estimator.BootTime(&testTypes[0]); got != c.want {
			t.Errorf("%s: boot time %v, want %v", c.name, got, c.want)
		}
	}
}

func TestMachinesAreOvertakenByLaterOnes(t *testing.T) {
	estimator := newTestEstimator()
	if estimator.LaterMachineBooted(bootedMachine(start)) {
		t.Error("a machine is overtaken although no machine has booted")
	}
	estimator.RecordBoot(bootedMachine(start), start.Add(time.Minute))
	for after, want := range map[time.Duration]bool{-time.Minute: true, time.Second: true, 2 * time.Second: false, time.Minute: false} {
		if got := estimator.LaterMachineBooted(bootedMachine(start.Add(after))); got != want {
			t.Errorf("machine provisioned %v after the one that has booted: overtaken is %v", after, got)
		}
	}
}

func TestPullsAndBootsAreEstimatedForTheFastestTypeWithRoom(t *testing.T) {
	for _, c := range []struct {
		cores           float64
		pull, provision float64 // seconds
	}{
		{2, 5, 50}, // the large type pulls fastest, the small type is provisioned fastest
		{8, 5, 65},
		{99, 0, math.Inf(1)},
	} {
		spec := &record.Spec{Resources: placement.Resources{Cores: c.cores}, ImageGB: 10, EstimatedDuration: 7}
		estimator := newTestEstimator()
		if pull, provision := estimator.ImagePullSeconds(spec), estimator.ProvisionSeconds(spec); pull != c.pull || provision != c.provision {
			t.Errorf("%v cores: %v s to pull, %v s to provision; want %v and %v", c.cores, pull, provision, c.pull, c.provision)
		}
		if got, want := estimator.JobDuration(spec), ids.Seconds(c.pull+7).Duration(); got != want {
			t.Errorf("%v cores: the job takes %v, want %v", c.cores, got, want)
		}
	}
}

func TestQueueHorizonIsAFractionOfTheSlack(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*workload.Job)
		want   float64
	}{
		{"no deadline", func(*workload.Job) {}, 60},
		{"a deadline", func(job *workload.Job) { job.Record.Spec.Deadline = 140 }, 30},
		{"a deadline that is close", func(job *workload.Job) { job.Record.Spec.Deadline = 25 }, 10},
		{"an objective of its class", func(job *workload.Job) { job.Record.Spec.Class = "urgent" }, 17.5},
		{"high priority", func(job *workload.Job) { job.Record.Spec.Priority = record.High }, 10},
		{"guaranteed", func(job *workload.Job) { job.Guaranteed = true }, 10},
		{"a gang waits as long as for a new machine", func(job *workload.Job) { job.Record.Spec.JobType = record.Gang }, 32},
	} {
		spec := record.Spec{ID: "job", JobType: record.Array, Priority: record.Normal, Tasks: 1, EstimatedDuration: 20, ImageGB: 1, Resources: placement.Resources{Cores: 1}}
		job := workload.NewJob(record.New(spec, ids.TimestampOf(start), "writer"), 1)
		c.change(job)
		if got := newTestEstimator().QueueHorizon(job); got != c.want {
			t.Errorf("%s: queue horizon %v s, want %v", c.name, got, c.want)
		}
	}
}
