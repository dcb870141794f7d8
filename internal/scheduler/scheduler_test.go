package scheduler

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/estimate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// fakeCluster applies the scheduler's decisions and records which tasks it stops.
type fakeCluster struct {
	scheduler *Scheduler
	stopped   []string
}

func (c *fakeCluster) StoreAvailable() bool         { return true }
func (c *fakeCluster) FencingToken() ids.Generation { return 1 }
func (c *fakeCluster) YieldLock() bool              { return true }

func (c *fakeCluster) Assign(assignment *workload.Assignment) {
	assignment.Job.Assignments[assignment.TaskIndex] = assignment
	c.scheduler.Capacity.Allocate(c.scheduler.Capacity.Ensure(assignment.Machine), assignment)
	c.scheduler.Quota.AddUsage(assignment.Job.Record.Spec.Team, assignment.Job.Record.Spec.Resources)
}

func (c *fakeCluster) MarkersPending(job *workload.Job)                     { job.Version++ }
func (c *fakeCluster) RecordRestarts(*workload.Job, []*workload.Assignment) {}
func (c *fakeCluster) RecordEvent(*workload.Job, string, ...any)            {}
func (c *fakeCluster) QuotaForRelocated(*workload.Job) placement.Resources {
	return placement.Resources{}
}

func (c *fakeCluster) RecordSize(job *workload.Job, planned []record.TaskAssignment) (int, error) {
	rec := job.Record
	rec.Assignments = workload.GroupAssignments(job.Assignments, planned...)
	return rec.MinSize()
}

func (c *fakeCluster) ShrinkRecord(*workload.Job) {}

func (c *fakeCluster) Stop(assignment *workload.Assignment, grace ids.Seconds, _ string) {
	assignment.Stopping, assignment.StopGrace = true, grace
	c.stopped = append(c.stopped, assignment.Task().String())
}

// newTestScheduler returns a scheduler for two machines with four cores each and two teams: "red" has a
// guarantee of four cores and a limit of six, "blue" has no guarantee and no limit.
func newTestScheduler(now time.Time) (*Scheduler, *fakeCluster) {
	settings := &config.Settings{Operator: config.DefaultOperator()}
	settings.Params.Workers = config.WorkerIntervals{ReportS: 2, LeaseS: 20}
	settings.Params.State.ValueKB = 8
	settings.Params.Teams = []config.Team{{Name: "red", CPUs: 4, CPUsMax: 6}, {Name: "blue"}}
	registry := worker.NewRegistry(20)
	index := capacity.NewIndex(registry)
	index.SetTypes([]placement.InstanceType{{Label: "small", Cores: 4, RAM: 16, PullGBPerS: 1, Price: 1, BootS: 30}})
	limits := map[string]quota.Limit{"red": quota.LimitOf(6, 0), "blue": quota.LimitOf(0, 0)}
	cluster := &fakeCluster{}
	scheduler := New(State{Settings: settings, Jobs: workload.NewQueue(), Machines: registry, Capacity: index,
		Quota: quota.NewTracker(0, 1, limits, 0), Estimates: estimate.New(settings, index)}, cluster, rand.New(rand.NewPCG(1, 2)))
	cluster.scheduler = scheduler
	for _, name := range []ids.Machine{"m1", "m2"} {
		machine := registry.Ensure(name, now, now)
		machine.Type, machine.HasReported, machine.LastAnsweredAt = "small", true, now
		index.Reindex(index.Ensure(name))
	}
	return scheduler, cluster
}

// addJob adds an array job whose tasks need one core each.
func addJob(scheduler *Scheduler, id ids.Job, team string, priority record.Priority, tasks int, submitted time.Time) *workload.Job {
	spec := record.Spec{ID: id, Class: "class", Team: team, JobType: record.Array, Priority: priority, Tasks: tasks, EstimatedDuration: 10,
		Resources: placement.Resources{Cores: 1, RAM: 1}, Image: "image"}
	job := workload.NewJob(record.New(spec, ids.TimestampOf(submitted), "writer"), 1)
	scheduler.Jobs.Add(job)
	return job
}

// runTasks assigns all tasks of a job to a machine, as running since the given time.
func runTasks(cluster *fakeCluster, job *workload.Job, machine ids.Machine, since time.Time) {
	for task := range job.Record.Spec.Tasks {
		cluster.Assign(&workload.Assignment{Job: job, TaskIndex: task, Machine: machine, Status: worker.StateRunning, RunningSince: since})
	}
}

func TestJobsAreRankedByUrgencyThenSize(t *testing.T) {
	now := time.Now()
	old := now.Add(-workload.StarvationTime - time.Minute)
	scheduler, _ := newTestScheduler(now)
	addJob(scheduler, "guaranteed", "red", record.Normal, 2, now)
	addJob(scheduler, "beyond-guarantee", "red", record.Normal, 5, now.Add(time.Second))
	addJob(scheduler, "high", "blue", record.High, 9, now)
	addJob(scheduler, "small", "blue", record.Normal, 1, now)
	addJob(scheduler, "large", "blue", record.Normal, 9, now)
	addJob(scheduler, "low", "blue", record.Low, 1, now)
	addJob(scheduler, "starving", "blue", record.Low, 9, old)
	addJob(scheduler, "starving-longer", "blue", record.Low, 9, old.Add(-time.Second))
	addJob(scheduler, "critical", "blue", record.Critical, 9, now)
	addJob(scheduler, "failing", "blue", record.High, 1, now).Record.FailedMachines = 3
	addJob(scheduler, "cancelled", "blue", record.High, 1, now).Record.Status = record.Cancelled
	var names []string
	for _, job := range scheduler.Ranked(now) {
		names = append(names, string(job.ID()))
	}
	got := strings.Join(names, " ")
	if want := "critical starving-longer starving guaranteed high small beyond-guarantee large low failing"; got != want {
		t.Errorf("job ranking %s\nwant        %s", got, want)
	}
}

func TestPreemptionStopsTasksWithLeastLoss(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name   string
		job    record.Priority
		others func(*Scheduler, *fakeCluster)
		want   string
	}{
		{"the lowest priority first", record.High, func(s *Scheduler, cluster *fakeCluster) {
			runTasks(cluster, addJob(s, "normal", "blue", record.Normal, 3, now), "m1", now)
			runTasks(cluster, addJob(s, "low", "blue", record.Low, 1, now), "m1", now.Add(-time.Hour))
			runTasks(cluster, addJob(s, "high", "blue", record.High, 4, now), "m2", now)
		}, "low/0"},
		{"the machine on which least is lost", record.High, func(s *Scheduler, cluster *fakeCluster) {
			runTasks(cluster, addJob(s, "long", "blue", record.Low, 4, now), "m1", now.Add(-time.Hour))
			runTasks(cluster, addJob(s, "short", "blue", record.Normal, 4, now), "m2", now.Add(-time.Second))
		}, "short/0"},
		{"the least loss among equals", record.High, func(s *Scheduler, cluster *fakeCluster) {
			runTasks(cluster, addJob(s, "a-long", "blue", record.Low, 2, now), "m1", now.Add(-time.Hour))
			runTasks(cluster, addJob(s, "b-short", "blue", record.Low, 2, now), "m1", now.Add(-time.Second))
			runTasks(cluster, addJob(s, "high", "blue", record.High, 4, now), "m2", now)
		}, "b-short/0"},
		{"critical work waits for no checkpoint", record.Critical, func(s *Scheduler, cluster *fakeCluster) {
			saving := addJob(s, "saving", "blue", record.Low, 2, now)
			saving.Record.Spec.CheckpointInterval, saving.Record.Spec.CheckpointDuration = 1000, 5
			runTasks(cluster, saving, "m1", now.Add(-500*time.Second))
			runTasks(cluster, addJob(s, "plain", "blue", record.Normal, 2, now), "m1", now.Add(-500*time.Second))
			runTasks(cluster, addJob(s, "critical", "blue", record.Critical, 4, now), "m2", now)
		}, "plain/0"},
		{"nothing for normal work", record.Normal, func(s *Scheduler, cluster *fakeCluster) {
			runTasks(cluster, addJob(s, "a", "blue", record.Low, 4, now), "m1", now)
			runTasks(cluster, addJob(s, "b", "blue", record.Low, 4, now), "m2", now)
		}, ""},
		{"nothing while a protected start is all there is", record.High, func(s *Scheduler, cluster *fakeCluster) {
			job := addJob(s, "starved", "blue", record.Low, 4, now)
			runTasks(cluster, job, "m1", now)
			for _, assignment := range job.Assignments {
				assignment.ProtectedUntil = now.Add(time.Minute)
			}
			runTasks(cluster, addJob(s, "high", "blue", record.High, 4, now), "m2", now)
		}, ""},
	} {
		scheduler, cluster := newTestScheduler(now)
		c.others(scheduler, cluster)
		addJob(scheduler, "urgent", "blue", c.job, 1, now)
		if !scheduler.Run(now) {
			t.Errorf("%s: the planning pass was not completed", c.name)
		}
		if got := strings.Join(cluster.stopped, " "); got != c.want {
			t.Errorf("%s: stopped tasks %q, want %q", c.name, got, c.want)
		}
	}
}

func TestQuotaPreemptionFavorsMoreUrgentJobs(t *testing.T) {
	now := time.Now()
	scheduler, cluster := newTestScheduler(now)
	lowerPriority := addJob(scheduler, "lesser", "red", record.Normal, 9, now)
	scheduler.Run(now)
	if got := len(lowerPriority.Assignments); got != 6 {
		t.Fatalf("%d tasks of one core assigned with a limit of six cores, want 6", got)
	}
	urgent := addJob(scheduler, "urgent", "red", record.High, 2, now)
	scheduler.Run(now)
	if len(cluster.stopped) != 2 || !strings.Contains(urgent.PendingReason, "lesser work of its own makes way") {
		t.Errorf("stopped tasks %v, want two; pending reason: %s", cluster.stopped, urgent.PendingReason)
	}
	reservations := scheduler.admission.reservations
	if got := reservations.withheldFrom(lowerPriority, now); got.Cores != 2 {
		t.Errorf("%v cores are withheld from the job of lower priority, want 2", got.Cores)
	}
	if got := reservations.withheldFrom(urgent, now).Cores + reservations.withheldFrom(lowerPriority, now.Add(quotaReservationTime)).Cores; got != 0 {
		t.Errorf("%v cores are withheld from the job with the reservation, or after its expiry; want 0", got)
	}
}

func TestZoneRulesLimitTasksPerZone(t *testing.T) {
	for _, c := range []struct {
		name             string
		single, spread   bool
		north, south     int
		inNorth, inSouth int // how many of ten more tasks are allowed
	}{
		{name: "no rule", north: 3, inNorth: 10, inSouth: 10},
		{name: "one zone, none yet", single: true, inNorth: 10, inSouth: 10},
		{name: "one zone, begun", single: true, north: 1, inNorth: 10},
		{name: "one zone, already in two", single: true, north: 1, south: 1},
		{name: "spread", spread: true, north: 2, inNorth: 1, inSouth: 3},
		{name: "spread, a zone full", spread: true, north: 4, inSouth: 3},
	} {
		spec := record.Spec{ID: "job", Tasks: 5, SingleZone: c.single, Spread: c.spread}
		spread := ZoneSpreadOf(workload.NewJob(record.New(spec, 0, "writer"), 1), worker.NewRegistry(20))
		for range c.north {
			spread.Add("north")
		}
		for range c.south {
			spread.Add("south")
		}
		if north, south := spread.Allowed("north", 10), spread.Allowed("south", 10); north != c.inNorth || south != c.inSouth {
			t.Errorf("%s: %d more tasks allowed in north, %d in south; want %d, %d", c.name, north, south, c.inNorth, c.inSouth)
		}
	}
}

func TestReservationsEndByExpiryOrUse(t *testing.T) {
	now := time.Now()
	job := workload.NewJob(record.New(record.Spec{ID: "job", Tasks: 1}, 0, "writer"), 1)
	reservations := newReservations()
	for machine, reservation := range map[ids.Machine]Reservation{
		"own": {Job: "job", ExpiresAt: now.Add(time.Minute), AwaitsTaskEnd: true}, "used": {Job: "job", ExpiresAt: now.Add(time.Minute)},
		"expired": {Job: "job", ExpiresAt: now}, "other": {Job: "other", ExpiresAt: now.Add(time.Minute), AwaitsTaskEnd: true},
	} {
		reservations.Set(machine, reservation)
	}
	reservations.consume("used", job)
	reservations.consume("other", job)
	if _, reserved := reservations.On("expired", now); reserved || !reservations.isReservedFor("expired", "job") {
		t.Error("an expired reservation is still in effect, or was removed")
	}
	if awaiting, remaining := reservations.countAwaitingTaskEnd(now), reservations.dropExpired("job", now); awaiting != 2 || remaining != 1 {
		t.Errorf("%d reservations wait for running tasks to end, %d remain for the job; want 2, 1", awaiting, remaining)
	}
	reservations.removeForJob(job)
	if got := len(reservations.all()); got != 1 {
		t.Errorf("%d reservations remain, want only the one for the other job", got)
	}
}
