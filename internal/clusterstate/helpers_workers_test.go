package clusterstate

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// addMachines adds machines of a zone by their first heartbeats. They are named with the prefix and a
// number from 0 on.
func (c *State) addMachines(prefix string, count int, zone string) {
	for i := range count {
		c.heartbeat(ids.Machine(fmt.Sprint(prefix, i)), zone, 1)
	}
}

// cacheImage records that a machine has an image of sizeGB in its cache.
func (c *State) cacheImage(name ids.Machine, image string, sizeGB float64) {
	c.capacity.ImageArrived(c.capacity.Ensure(name), c.machines.Machines[name], image, sizeGB, testCacheGB)
}

// newReport returns a report without tasks, of a machine in its first incarnation that has seen the test
// state's fencing token.
func newReport(name ids.Machine, zone string, sequence ids.SequenceNumber) *worker.Report {
	return &worker.Report{
		Machine:      name,
		Addr:         string(name) + ":1",
		Type:         "small",
		Zone:         zone,
		Incarnation:  1,
		Sequence:     sequence,
		FencingToken: testGeneration,
	}
}

// heartbeat reconciles a heartbeat of a machine that reports these tasks, and returns the commands in the
// answer.
func (c *State) heartbeat(name ids.Machine, zone string, sequence ids.SequenceNumber, tasks ...worker.TaskStatus) []worker.Command {
	report := newReport(name, zone, sequence)
	report.Tasks = tasks
	return c.ReconcileHeartbeat(report).Commands
}

// answerCommands records that every direct command sent so far was answered.
func (c *State) answerCommands() {
	for _, machine := range c.machines.Machines {
		machine.CommandsInFlight, machine.UnconfirmedStarts = false, nil
	}
}

// startTaskDirectly submits job-1 with one task and sends its start directly to machine m1, which answers.
func (c *State) startTaskDirectly() {
	now := time.Now()
	c.heartbeat("m1", "north", 1)
	c.submit(1, newRecord("job-1", "blue", record.Normal, 1, 1), now)
	c.Plan(now)
	c.markAllStored()
	c.NextBatches(1)
	c.answerCommands()
}

// heartbeatAll reconciles a heartbeat of every machine, which reports the tasks whose starts were sent to
// it. exitCause returns the cause with which a task exits now, or an empty string while it runs.
func (c *State) heartbeatAll(sequence ids.SequenceNumber, exitCause func(assignment *workload.Assignment) string) {
	statuses := map[ids.Machine][]worker.TaskStatus{}
	for _, job := range c.jobs.All() {
		for _, assignment := range job.Assignments {
			if !assignment.StartSent {
				continue
			}
			status := newRunningStatus(assignment)
			if cause := exitCause(assignment); cause != "" && assignment.Confirmed {
				status.State = worker.StateExited
				status.Cause = cause
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

// runTasks reconciles a heartbeat of every machine with its tasks: those to be stopped have exited, those
// assigned for at least the duration are done (and recorded in ended), the others run. Jobs that end
// in this way are retired.
func (c *State) runTasks(sequence ids.SequenceNumber, duration time.Duration, ended map[workload.TaskAttempt]bool) {
	for name := range c.machines.Machines {
		var statuses []worker.TaskStatus
		for assignment := range c.capacity.AssignmentsOn(name) {
			status := newRunningStatus(assignment)
			if assignment.Stopping {
				status.State = worker.StateExited
				status.Cause = worker.CauseStopped
			} else if time.Since(assignment.AssignedAt) >= duration {
				status.State = worker.StateExited
				status.Cause = worker.CauseDone
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

// markReported marks a machine of the north as having reported and answered just now, in its first
// incarnation, and as having seen the fencing token.
func markReported(cluster *State, name ids.Machine, token ids.Generation, now time.Time) {
	machine := cluster.machines.Ensure(name, now, now)
	machine.HasReported = true
	machine.Type = "small"
	machine.Zone = "north"
	machine.Incarnation = 1
	machine.LastReportAt = now
	machine.LastAnsweredAt = now
	machine.FencingToken = token
	cluster.capacity.Reindex(cluster.capacity.Ensure(name))
}

// taskNamesByMachine returns the task names of a job's assignments, each of which is on a different
// machine.
func taskNamesByMachine(job *workload.Job) map[ids.Machine]string {
	names := map[ids.Machine]string{}
	for _, assignment := range job.Assignments {
		names[assignment.Machine] = assignment.Task().String()
	}
	return names
}

// newStatus returns a worker's status of the first attempt of a task.
func newStatus(task, taskState string) worker.TaskStatus {
	return worker.TaskStatus{Task: task, Attempt: 1, State: taskState}
}

// newExitedStatus returns a worker's status of the first attempt of a task that has exited.
func newExitedStatus(task, cause string) worker.TaskStatus {
	return worker.TaskStatus{Task: task, Attempt: 1, State: worker.StateExited, Cause: cause}
}

// newRunningStatus returns a worker's status of an assigned task that runs.
func newRunningStatus(assignment *workload.Assignment) worker.TaskStatus {
	return worker.TaskStatus{Task: assignment.Task().String(), Attempt: assignment.Attempt, State: worker.StateRunning}
}

// newWorkerHandler returns a handler that answers direct commands like a worker that carries them out at
// once.
func newWorkerHandler(t *testing.T, name ids.Machine) http.Handler {
	sequence := ids.SequenceNumber(100)
	tasks := []worker.TaskStatus{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var batch worker.CommandBatch
		if err := json.NewDecoder(r.Body).Decode(&batch); err != nil {
			t.Errorf("decode the commands sent to %s: %v", name, err)
		}
		for _, command := range batch.Commands {
			if command.Verb == "start" {
				tasks = append(tasks, worker.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: worker.StateRunning})
			}
		}
		sequence++
		report := newReport(name, "north", sequence)
		report.Tasks = tasks
		if err := json.NewEncoder(w).Encode(report); err != nil {
			t.Errorf("encode the answer of %s: %v", name, err)
		}
	})
}
