package clusterstate

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

func newTestSettings() *config.Settings {
	settings := &config.Settings{Operator: config.DefaultOperator()}
	settings.Params.Workers = config.WorkerIntervals{ReportS: 2, LeaseS: 20, GangWaitS: 30, GangPeerS: 5, CancelS: 40}
	settings.Params.State = config.StateLimits{RPS: 100, WriteRPS: 100, ValueKB: 8, TxnOps: 12}
	settings.Params.Teams = []config.Team{{Name: "red", CPUs: 4, CPUsMax: 40}, {Name: "blue", CPUs: 4}}
	settings.Params.Zones = []string{"north", "south"}
	return settings
}

func newTestState() *State {
	cluster := New(newTestSettings(), "w", 7, time.Now())
	cluster.SetMachineTypes(testInstanceTypes())
	return cluster
}

func testInstanceTypes() []placement.InstanceType {
	return []placement.InstanceType{{Label: "small", Cores: 4, RAM: 16, CacheGB: 20, PullGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 30, Zones: []string{"north", "south"}}}
}

// setTeams replaces the teams of the settings.
func (c *State) setTeams(teams ...config.Team) {
	c.settings.Params.Teams = teams
	c.quota = quota.NewTracker(0, 1, teamLimits(c.settings), 0)
	c.scheduler.Quota = c.quota
}

// newCommitter is a committer of a cluster state's changes.
func newCommitter(cluster *State, store *state.Client) *commit.Committer {
	return commit.New(cluster, store, "a", cluster.keys, 0, commit.Events{})
}

func newRecord(id ids.Job, team string, priority record.Priority, tasks int, cores float64) *record.Record {
	return record.New(record.Spec{ID: id, Class: "c", Team: team, Shape: record.Array, Priority: priority, Tasks: tasks, EstimatedDuration: 10,
		Resources: placement.Resources{Cores: cores, RAM: 1}, Image: "i", ImageGB: 1}, ids.TimestampOf(time.Now()), "user")
}

func newWaitingRecord(id ids.Job, priority record.Priority, deadline ids.Seconds, dependsOn ...ids.Job) *record.Record {
	rec := newRecord(id, "red", priority, 1, 1)
	rec.Spec.DependsOn, rec.Spec.Deadline = dependsOn, deadline
	return rec
}

func (c *State) heartbeat(name ids.Machine, zone string, sequence ids.SequenceNumber, tasks ...worker.TaskStatus) []worker.Command {
	return c.ReconcileHeartbeat(&worker.Report{Machine: name, Addr: string(name) + ":1", Type: "small", Zone: zone, Incarnation: 1, Sequence: sequence, FencingToken: 7, Tasks: tasks}, true, true)
}

// markAllStored pretends that all changes were committed.
func (c *State) markAllStored() {
	for _, job := range c.jobs.All() {
		job.StoredVersion = job.Version
	}
	c.NextBatches(1000)
}

// heartbeatAll lets every machine report what is placed on it: ends tells how a task ends
// at once, empty while it runs.
func (c *State) heartbeatAll(sequence ids.SequenceNumber, exitCause func(assignment *workload.Assignment) string) {
	statuses := map[ids.Machine][]worker.TaskStatus{}
	for _, job := range c.jobs.All() {
		for _, assignment := range job.Assignments {
			if !assignment.StartSent {
				continue // nobody has told its machine yet
			}
			status := worker.TaskStatus{Task: assignment.Task().String(), Attempt: assignment.Attempt, State: worker.StateRunning}
			if cause := exitCause(assignment); cause != "" && assignment.Confirmed {
				status.State, status.Cause = worker.StateExited, cause
			}
			statuses[assignment.Machine] = append(statuses[assignment.Machine], status)
		}
	}
	zones := map[ids.Machine]string{}
	for _, machine := range c.machines.Machines {
		zones[machine.Name] = machine.Zone
	}
	for name, zone := range zones {
		c.heartbeat(name, zone, sequence, statuses[name]...)
	}
}

// runTasks lets a second pass on every machine: tasks placed run for a while, and
// end done.
func (c *State) runTasks(sequence ids.SequenceNumber, duration time.Duration, ended map[workload.TaskAttempt]bool) {
	for name := range c.machines.Machines {
		var statuses []worker.TaskStatus
		for assignment := range c.capacity.AssignmentsOn(name) {
			status := worker.TaskStatus{Task: assignment.Task().String(), Attempt: assignment.Attempt, State: worker.StateRunning}
			if assignment.Stopping {
				status.State, status.Cause = worker.StateExited, worker.CauseStopped
			} else if time.Since(assignment.AssignedAt) >= duration {
				status.State, status.Cause = worker.StateExited, worker.CauseDone
				ended[assignment.Key()] = true
			}
			statuses = append(statuses, status)
		}
		c.heartbeat(name, c.machines.Machines[name].Zone, sequence, statuses...)
	}
	for _, job := range c.changes.All() {
		if job.Record.Status.IsTerminal() {
			job.StoredVersion = job.Version
			c.retireJob(job)
		}
	}
}

// machinesWithStarts lists the machines that get a start now.
func (c *State) machinesWithStarts() map[ids.Machine]bool {
	machines := map[ids.Machine]bool{}
	for _, batch := range c.NextBatches(1000) {
		for _, command := range batch.Commands {
			machines[batch.Machine] = machines[batch.Machine] || command.Verb == "start"
		}
	}
	return machines
}

// markReported has a machine report.
func markReported(cluster *State, name ids.Machine, token ids.Generation, now time.Time) {
	machine := cluster.machines.Ensure(name, now, now)
	machine.HasReported, machine.Type, machine.Zone, machine.Incarnation, machine.LastReportAt, machine.LastAnsweredAt, machine.FencingToken = true, "small", "north", 1, now, now, token
	cluster.capacity.Reindex(cluster.capacity.Ensure(name))
}

// newStateWithMachines is a cluster state with n machines of four cores, in two zones.
func newStateWithMachines(t *testing.T, count int) *State {
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	t.Cleanup(func() { slog.SetDefault(previous) })
	cluster := newTestState()
	for i := range count {
		cluster.heartbeat(ids.Machine(fmt.Sprintf("host-%06d", i)), []string{"north", "south"}[i%2], 1)
	}
	return cluster
}

// machinesExamined is how many machines planning has looked at so far.
func machinesExamined(cluster *State) int {
	total, _ := cluster.scheduler.MachinesExamined()
	return total
}

// mostExaminedPerLock is the most of them that it looked at while it held the lock once.
func mostExaminedPerLock(cluster *State) int {
	_, most := cluster.scheduler.MachinesExamined()
	return most
}

// planUntilStable plans until a pass places nothing more, as a leader's passes do one after the
// other, and returns the most machines that one looked at while it held the lock.
func planUntilStable(cluster *State, now time.Time) (most int) {
	for {
		placed := countAssignments(cluster)
		cluster.Plan(now)
		if countAssignments(cluster) == placed {
			return mostExaminedPerLock(cluster)
		}
	}
}

func countAssignments(cluster *State) (count int) {
	for _, job := range cluster.jobs.All() {
		count += len(job.Assignments)
	}
	return count
}

func newProvisioningRequest(label, zone string) placement.ProvisioningRequest {
	return placement.ProvisioningRequest{Type: label, Zone: zone, Count: 1}
}

func newStateWithGang(now time.Time) (*State, *workload.Job) {
	cluster := newTestState()
	cluster.heartbeat("warm", "north", 1)
	cluster.heartbeat("cold", "north", 1)
	cluster.capacity.ImageArrived(cluster.capacity.Ensure("warm"), cluster.machines.Machines["warm"], "i", 1, 20)
	rec := newRecord("job-1", "blue", record.High, 2, 3)
	rec.Spec.Shape = record.Gang
	cluster.HandleRecord("job-1", 1, rec, now)
	cluster.Plan(now)
	for _, job := range cluster.jobs.All() {
		job.StoredVersion = job.Version
		cluster.versionStored(job)
	}
	return cluster, cluster.jobs.Get("job-1")
}

// newWorkerHandler answers direct commands like a worker that does as told.
func newWorkerHandler(name ids.Machine) http.Handler {
	sequence := ids.SequenceNumber(100)
	tasks := []worker.TaskStatus{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var batch worker.CommandBatch
		json.NewDecoder(r.Body).Decode(&batch)
		for _, command := range batch.Commands {
			if command.Verb == "start" {
				tasks = append(tasks, worker.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: worker.StateRunning})
			}
		}
		sequence++
		json.NewEncoder(w).Encode(&worker.Report{Machine: name, Addr: string(name) + ":1", Type: "small", Zone: "north", Incarnation: 1,
			Sequence: sequence, FencingToken: 7, Tasks: tasks})
	})
}

// largestFleetSize is how many machines the service is to run at: about 4,000, and half as
// many again on some days.
const largestFleetSize = 6000
