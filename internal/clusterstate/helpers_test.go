package clusterstate

import (
	"fmt"
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/fake"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// TestMain discards what the package logs: some tests lose hundreds of machines.
func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// testStoreAddress is the address of the tests' store.
const testStoreAddress = "state:1"

// testValueBytes is the size limit of a value in the tests' stores.
const testValueBytes = 8192

// testGeneration is the fencing token of the term of a test state.
const testGeneration = 7

// newTestSettings returns settings with two zones and two teams, of which only red has a limit.
func newTestSettings() *config.Settings {
	settings := &config.Settings{Operator: config.DefaultOperator()}
	settings.Params.Workers = config.WorkerIntervals{ReportS: 2, LeaseS: 20, GangWaitS: 30, GangPeerS: 5, CancelS: 40}
	settings.Params.State = config.StateLimits{RPS: 100, WriteRPS: 100, ValueKB: 8, TxnOps: 12}
	settings.Params.Teams = []config.Team{{Name: "red", CPUs: 4, CPUsMax: 40}, {Name: "blue", CPUs: 4}}
	settings.Params.Zones = []string{"north", "south"}
	return settings
}

// newTestState returns an empty cluster state that knows the instance types.
func newTestState() *State {
	cluster := New(newTestSettings(), "w", testGeneration, time.Now())
	cluster.SetMachineTypes(testInstanceTypes())
	return cluster
}

// testCacheGB is the size of the image cache of a machine of testInstanceTypes.
const testCacheGB = 20

// testInstanceTypes returns the cloud's instance types: one of four cores in two zones.
func testInstanceTypes() []placement.InstanceType {
	return []placement.InstanceType{{
		Label:      "small",
		Cores:      4,
		RAM:        16,
		CacheGB:    testCacheGB,
		PullGBPerS: 1,
		Price:      1,
		SpotPrice:  0.4,
		BootS:      30,
		Zones:      []string{"north", "south"},
	}}
}

// setTeams replaces the teams of the settings.
func (c *State) setTeams(teams ...config.Team) {
	c.settings.Params.Teams = teams
	c.quota = quota.NewTracker(0, 1, teamLimits(c.settings), 0)
	c.scheduler.Quota = c.quota
}

// newCommitter returns a committer of a cluster state's changes.
func newCommitter(cluster *State, store *state.Client) *commit.Committer {
	return commit.New(cluster, store, "a", cluster.keys, 0, commit.Events{})
}

// newRecord returns the record of a new job: an array whose tasks run for 10 s and need an image of 1 GB.
func newRecord(id ids.Job, team string, priority record.Priority, tasks int, cores float64) *record.Record {
	spec := record.Spec{
		ID:                id,
		Class:             "c",
		Team:              team,
		JobType:           record.Array,
		Priority:          priority,
		Tasks:             tasks,
		EstimatedDuration: 10,
		Resources:         placement.Resources{Cores: cores, RAM: 1},
		Image:             "i",
		ImageGB:           1,
	}
	return record.New(spec, ids.TimestampOf(time.Now()), "user")
}

// newWaitingRecord returns the record of a job of team red with one task, which waits for its dependencies.
// Deadline 0 means none.
func newWaitingRecord(id ids.Job, priority record.Priority, deadline ids.Seconds, dependsOn ...ids.Job) *record.Record {
	rec := newRecord(id, "red", priority, 1, 1)
	rec.Spec.DependsOn = dependsOn
	rec.Spec.Deadline = deadline
	return rec
}

// newServiceRecord is like newRecord, for a service.
func newServiceRecord(id ids.Job, team string, priority record.Priority, replicas int, cores float64) *record.Record {
	rec := newRecord(id, team, priority, replicas, cores)
	rec.Spec.JobType = record.Service
	return rec
}

// newGangRecord is like newRecord, for a gang.
func newGangRecord(id ids.Job, team string, priority record.Priority, tasks int, cores float64) *record.Record {
	rec := newRecord(id, team, priority, tasks, cores)
	rec.Spec.JobType = record.Gang
	return rec
}

// submit passes a job's record to the cluster state, as if a user had submitted the job.
func (c *State) submit(revision ids.Revision, rec *record.Record, now time.Time) {
	c.HandleRecord(rec.Spec.ID, revision, rec, now)
}

// submitWaiting is like submit, for a job that waits for its dependencies.
func (c *State) submitWaiting(revision ids.Revision, rec *record.Record, now time.Time) {
	c.HandleWaitingJob(rec.Spec.ID, revision, rec, now)
}

// assignmentsOf returns a job's assignments by task index.
func (c *State) assignmentsOf(id ids.Job) map[int]*workload.Assignment {
	return c.jobs.Get(id).Assignments
}

// machinesToTerminate returns the machines to terminate now if the plan of the fleet needs none of them.
func (c *State) machinesToTerminate(now time.Time) []ids.Machine {
	return c.MachinesToTerminate(now, map[ids.Machine]bool{})
}

// countStopping counts a job's tasks that are being stopped.
func (c *State) countStopping(id ids.Job) (count int) {
	for _, assignment := range c.assignmentsOf(id) {
		if assignment.Stopping {
			count++
		}
	}
	return count
}

// markStored records that the current version of a job's record is stored, so that its starts may be sent.
func (c *State) markStored(job *workload.Job) {
	job.StoredVersion = job.Version
	c.recordStoredVersion(job)
}

// markAllStored marks all changes as stored and all pending commands as sent.
func (c *State) markAllStored() {
	for _, job := range c.jobs.All() {
		job.StoredVersion = job.Version
	}
	c.NextBatches(1000)
}

// machinesWithStarts sends the pending commands and returns the machines that get a start.
func (c *State) machinesWithStarts() map[ids.Machine]bool {
	machines := map[ids.Machine]bool{}
	for _, batch := range c.NextBatches(1000) {
		for _, command := range batch.Commands {
			machines[batch.Machine] = machines[batch.Machine] || command.Verb == "start"
		}
	}
	return machines
}

// newStateWithMachines returns a cluster state with machines of four cores, host-000000 and so on,
// alternately in the north and the south.
func newStateWithMachines(count int) *State {
	cluster := newTestState()
	for i := range count {
		cluster.heartbeat(ids.Machine(fmt.Sprintf("host-%06d", i)), []string{"north", "south"}[i%2], 1)
	}
	return cluster
}

// machinesExamined returns how many machines planning has examined so far.
func machinesExamined(cluster *State) int {
	total, _ := cluster.scheduler.MachinesExamined()
	return total
}

// mostExaminedPerLock returns the most machines that planning has examined without releasing the lock.
func mostExaminedPerLock(cluster *State) int {
	_, most := cluster.scheduler.MachinesExamined()
	return most
}

// planUntilStable runs planning passes until one assigns nothing more, and returns the most machines that
// planning has examined without releasing the lock.
func planUntilStable(cluster *State, now time.Time) (most int) {
	for {
		assigned := countAssignments(cluster)
		cluster.Plan(now)
		if countAssignments(cluster) == assigned {
			return mostExaminedPerLock(cluster)
		}
	}
}

// countAssignments counts the assignments of all jobs.
func countAssignments(cluster *State) (count int) {
	for _, job := range cluster.jobs.All() {
		count += len(job.Assignments)
	}
	return count
}

// newProvisioningRequest returns a request for one machine.
func newProvisioningRequest(label, zone string) placement.ProvisioningRequest {
	return placement.ProvisioningRequest{Type: label, Zone: zone, Count: 1}
}

// newStateWithGang returns a cluster state with a gang of two tasks, whose assignments are stored: one on
// the machine "warm", which has the image in its cache, and one on "cold", which does not.
func newStateWithGang(now time.Time) (*State, *workload.Job) {
	cluster := newTestState()
	cluster.heartbeat("warm", "north", 1)
	cluster.heartbeat("cold", "north", 1)
	cluster.cacheImage("warm", "i", 1)
	rec := newGangRecord("job-1", "blue", record.High, 2, 3)
	cluster.submit(1, rec, now)
	cluster.Plan(now)
	for _, job := range cluster.jobs.All() {
		cluster.markStored(job)
	}
	return cluster, cluster.jobs.Get("job-1")
}

// removeStoppingAssignments removes the assignments that are being stopped, as if their tasks had exited,
// machine by machine in random order.
func (c *State) removeStoppingAssignments() {
	for name := range c.machines.Machines {
		for assignment := range c.capacity.AssignmentsOn(name) {
			if assignment.Stopping {
				c.removeAssignment(assignment)
			}
		}
	}
}

// newTestStore returns a store without limits, the network that it listens on, and a client of it with
// 1000 requests and as many writes per second.
func newTestStore() (*fake.Network, *fake.Store, *state.Client) {
	network, store := fake.NewNetwork(), fake.NewStore()
	network.Listen(testStoreAddress, store)
	client := state.NewClient(testStoreAddress, network.Client("a"), state.NewBudget(1000, 1000, 1, 0.6))
	return network, store, client
}

// largestFleetSize is the largest number of machines that the service must support: usually there are about
// 4,000, and at times half as many again.
const largestFleetSize = 6000
