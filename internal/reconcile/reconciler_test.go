package reconcile

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/costs"
	"github.com/pebbletrail/pebbletrail/internal/dispatch"
	"github.com/pebbletrail/pebbletrail/internal/estimate"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// leaderToken is the fencing token of this term, earlierToken that of the previous leader.
const (
	leaderToken  ids.Generation = 7
	earlierToken ids.Generation = 6
)

// fakeCluster implements Cluster on the state of its reconciler, and counts changes marked as urgent.
type fakeCluster struct {
	reconciler             *Reconciler
	directStartOutstanding bool
	urgent                 int
	reserved               int
}

func (c *fakeCluster) Assign(assignment *workload.Assignment) {
	assignment.Job.Assignments[assignment.TaskIndex] = assignment
	c.reconciler.Capacity.Allocate(c.reconciler.Capacity.Ensure(assignment.Machine), assignment)
}

func (c *fakeCluster) RemoveAssignment(assignment *workload.Assignment) {
	delete(assignment.Job.Assignments, assignment.TaskIndex)
	c.reconciler.Capacity.Release(c.reconciler.Capacity.Node(assignment.Machine), assignment)
}

func (c *fakeCluster) Stop(assignment *workload.Assignment, grace ids.Seconds, reason string) {
	assignment.Stopping, assignment.StopGrace, assignment.StopReason, assignment.StopRequestedAt = true, grace, reason, time.Now()
}

func (c *fakeCluster) RecordEvent(job *workload.Job, format string, args ...any) {
	job.Record.Events = append(job.Record.Events, record.Event{Message: fmt.Sprintf(format, args...)})
}

func (c *fakeCluster) NoDirectStartOutstanding(*workload.Assignment) bool {
	return !c.directStartOutstanding
}
func (c *fakeCluster) MarkChanged(job *workload.Job)  { job.Version++ }
func (c *fakeCluster) MarkUrgent(*workload.Job)       { c.urgent++ }
func (c *fakeCluster) FinishIfComplete(*workload.Job) {}
func (c *fakeCluster) HintChanged(*worker.Machine)    {}
func (c *fakeCluster) RequestPlan()                   {}
func (c *fakeCluster) ReserveTokens()                 { c.reserved++ }

// newTestReconciler returns a reconciler that has received a report of the machine "m".
func newTestReconciler() (*Reconciler, *fakeCluster) {
	settings := &config.Settings{Operator: config.DefaultOperator()}
	settings.Params.Workers = config.WorkerIntervals{ReportS: 2, LeaseS: 20}
	registry := worker.NewRegistry(20)
	index := capacity.NewIndex(registry)
	index.SetTypes([]placement.InstanceType{{Label: "small", Cores: 8, RAM: 16, CacheGB: 20, PullGBPerS: 1, BootS: 30}})
	cluster := &fakeCluster{}
	cluster.reconciler = New(State{Settings: settings, Jobs: workload.NewQueue(), Machines: registry, Capacity: index,
		Estimates: estimate.New(settings, index), Commands: dispatch.NewQueue(registry, index, cluster), Costs: &costs.Account{},
		FirstToken: leaderToken}, cluster)
	heartbeat(cluster.reconciler, 1)
	return cluster.reconciler, cluster
}

// reportOf returns a report of the machine "m" that lists the given tasks.
func reportOf(sequence ids.SequenceNumber, tasks ...worker.TaskStatus) *worker.Report {
	return &worker.Report{Machine: "m", Addr: "m:1", Type: "small", Zone: "north", Incarnation: 1, Sequence: sequence,
		FencingToken: leaderToken, Tasks: tasks}
}

// reconcileReport reconciles a report as a heartbeat and returns the commands in the response, such as
// "start job/0".
func reconcileReport(reconciler *Reconciler, report *worker.Report) (commands []string) {
	permission := dispatch.Permission{Tokens: ids.TokenRange{First: leaderToken, Last: leaderToken}, Starts: true, RecordsRead: time.Now()}
	for _, command := range reconciler.Report(report, Source{Heartbeat: true}, permission, time.Now()).Commands {
		commands = append(commands, command.Verb+" "+command.Task)
	}
	return commands
}

// heartbeat reconciles a heartbeat of the machine "m" and returns the commands in the response.
func heartbeat(reconciler *Reconciler, sequence ids.SequenceNumber, tasks ...worker.TaskStatus) []string {
	return reconcileReport(reconciler, reportOf(sequence, tasks...))
}

// addJob adds a job "job" with three tasks.
func addJob(reconciler *Reconciler, jobType record.JobType) *workload.Job {
	spec := record.Spec{ID: "job", Team: "red", JobType: jobType, Tasks: 3, EstimatedDuration: 10,
		Resources: placement.Resources{Cores: 1, RAM: 1}, Image: "image"}
	job := workload.NewJob(record.New(spec, ids.TimestampOf(time.Now()), "writer"), 1)
	reconciler.Jobs.Add(job)
	return job
}

// assign adds a started, confirmed assignment of a job's first task to the machine "m".
func assign(cluster *fakeCluster, job *workload.Job) *workload.Assignment {
	assignment := &workload.Assignment{Job: job, Machine: "m", Incarnation: 1, Attempt: 1, FencingToken: leaderToken,
		StartSent: true, Confirmed: true, Status: worker.StateRunning, RunningSince: time.Now()}
	cluster.Assign(assignment)
	return assignment
}

// status returns a reported status of the first task of the job "job".
func status(state, cause string) worker.TaskStatus {
	return worker.TaskStatus{Task: "job/0", Attempt: 1, State: state, Cause: cause}
}

// lastEvent returns the last event of a job.
func lastEvent(job *workload.Job) string { return job.Record.Events[len(job.Record.Events)-1].Message }

func TestUnreportedTaskIsLostOnceItCannotStart(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*workload.Assignment, *worker.Report, *fakeCluster)
		lost   string // reason of the loss; empty if the task is not lost
	}{
		{"it was reported before", func(*workload.Assignment, *worker.Report, *fakeCluster) {}, "its worker reports it no longer"},
		{"its start may be on its way", func(a *workload.Assignment, _ *worker.Report, _ *fakeCluster) { a.Confirmed = false }, ""},
		{"no start was sent", func(a *workload.Assignment, _ *worker.Report, _ *fakeCluster) {
			a.Confirmed, a.StartSent, a.FencingToken = false, false, earlierToken
		}, ""},
		{"its start carries a lower token than the worker has seen", func(a *workload.Assignment, _ *worker.Report, _ *fakeCluster) {
			a.Confirmed, a.FencingToken = false, earlierToken
		}, "its start was turned away"},
		{"it is stopped and a later heartbeat lacks it", func(a *workload.Assignment, _ *worker.Report, _ *fakeCluster) {
			a.Confirmed, a.Stopping, a.OfferedAt = false, true, 1
		}, "its start was dropped"},
		{"it is stopped and was offered in answer to this heartbeat", func(a *workload.Assignment, _ *worker.Report, _ *fakeCluster) {
			a.Confirmed, a.Stopping, a.OfferedAt = false, true, 2
		}, ""},
		{"it is stopped and a direct start is outstanding", func(a *workload.Assignment, _ *worker.Report, c *fakeCluster) {
			a.Confirmed, a.Stopping, c.directStartOutstanding = false, true, true
		}, ""},
		{"its lease expired", func(_ *workload.Assignment, r *worker.Report, _ *fakeCluster) { r.Incarnation = 2 }, "its worker's lease lapsed"},
		{"the same before its start was sent", func(a *workload.Assignment, r *worker.Report, _ *fakeCluster) {
			a.Confirmed, a.StartSent, r.Incarnation = false, false, 2
		}, "accepted"}, // removed without an event
	} {
		reconciler, cluster := newTestReconciler()
		job := addJob(reconciler, record.Array)
		assignment, report := assign(cluster, job), reportOf(2)
		c.change(assignment, report, cluster)
		reconcileReport(reconciler, report)
		if lost := len(job.Assignments) == 0; lost != (c.lost != "") || !strings.Contains(lastEvent(job), c.lost) {
			t.Errorf("%s: lost %v, last event %q; want %q", c.name, lost, lastEvent(job), c.lost)
		}
		if stored := cluster.urgent > 0; stored != strings.HasPrefix(c.lost, "its") {
			t.Errorf("%s: marked as urgent: %v", c.name, stored)
		}
	}
}

func TestOrphanedTaskIsAdoptedOrStopped(t *testing.T) {
	for _, c := range []struct {
		name              string
		jobType           record.JobType
		change            func(*Reconciler, *workload.Job)
		task              string
		adopted, stopping bool
		command           string
	}{
		{"of a job", record.Array, func(*Reconciler, *workload.Job) {}, "job/0", true, false, ""},
		{"of a gang", record.Gang, func(*Reconciler, *workload.Job) {}, "job/0", true, true, "stop job/0"},
		{"of a cancelled job", record.Array, func(_ *Reconciler, j *workload.Job) {
			j.Record.Status = record.Cancelling
		}, "job/0", true, true, "stop job/0"},
		{"that is finished", record.Array, func(_ *Reconciler, j *workload.Job) { j.Record.Finished.Add(0) }, "job/0", true, true, "stop job/0"},
		{"of no known job", record.Array, func(r *Reconciler, j *workload.Job) { r.Jobs.Remove(j) }, "job/0", false, false, "stop job/0"},
		{"beyond the job's tasks", record.Array, func(*Reconciler, *workload.Job) {}, "job/3", false, false, "stop job/3"},
		{"that is assigned elsewhere", record.Array, func(r *Reconciler, j *workload.Job) {
			r.cluster.Assign(&workload.Assignment{Job: j, Machine: "other", Attempt: 2, StartSent: true})
		}, "job/0", false, false, "stop job/0"},
	} {
		reconciler, _ := newTestReconciler()
		job := addJob(reconciler, c.jobType)
		c.change(reconciler, job)
		reported := status(worker.StateRunning, "")
		reported.Task, reported.Attempt = c.task, 4
		commands := heartbeat(reconciler, 2, reported)
		if got := strings.Join(commands, ", "); got != c.command {
			t.Errorf("%s: commands %q, want %q", c.name, got, c.command)
		}
		assignment := job.Assignments[0]
		if adopted := assignment != nil && assignment.Machine == "m"; adopted != c.adopted {
			t.Errorf("%s: adopted %v, want %v", c.name, adopted, c.adopted)
		}
		if c.adopted && (assignment.Stopping != c.stopping || assignment.MarkerVersion != job.Version || job.Record.Attempt != 4) {
			t.Errorf("%s: adopted as %+v with last attempt %d", c.name, assignment, job.Record.Attempt)
		}
	}
}

func TestOutcomeIsClearedOnlyAfterItIsStored(t *testing.T) {
	reconciler, cluster := newTestReconciler()
	job := addJob(reconciler, record.Array)
	assign(cluster, job)
	done := status(worker.StateExited, worker.CauseDone)
	if commands := heartbeat(reconciler, 2, done); commands != nil || !job.Record.Finished.Contains(0) || len(job.Assignments) != 0 {
		t.Fatalf("after the outcome was reported: commands %v, finished tasks %v, %d assignments", commands, job.Record.Finished, len(job.Assignments))
	}
	if commands := heartbeat(reconciler, 3, done); commands != nil {
		t.Errorf("commands %v before the outcome is stored", commands)
	}
	job.StoredVersion = job.Version
	if commands := heartbeat(reconciler, 4, done); len(commands) != 1 || commands[0] != "clear job/0" {
		t.Errorf("commands %v after the outcome is stored", commands)
	}
}

func TestClearIsSentOnlyUnderTokenThatRejectsEarlierCommands(t *testing.T) {
	done := status(worker.StateExited, worker.CauseDone)
	const last = leaderToken + 2
	for _, c := range []struct {
		name      string
		sent      ids.Generation // token of the last direct commands, 0 for none
		inFlight  bool
		heartbeat bool
		token     ids.Generation // of the response
		clears    int
		reserved  int
	}{
		{"no direct commands", 0, false, true, leaderToken, 1, 0},
		{"direct commands", leaderToken, false, true, leaderToken + 1, 1, 0},
		{"direct commands under a raised token", leaderToken + 1, false, true, leaderToken + 2, 1, 0},
		{"direct commands in flight", leaderToken, true, true, leaderToken, 0, 0},
		{"no higher token left", last, false, true, leaderToken, 0, 1},
		{"a report that is not a heartbeat", leaderToken, false, false, leaderToken, 1, 0},
	} {
		reconciler, cluster := newTestReconciler()
		machine := reconciler.Machines.Machines["m"]
		machine.RecordDirectCommands(c.sent)
		machine.CommandsInFlight = c.inFlight
		permission := dispatch.Permission{Tokens: ids.TokenRange{First: leaderToken, Last: last}, Starts: true, RecordsRead: time.Now()}
		response := reconciler.Report(reportOf(2, done), Source{Heartbeat: c.heartbeat}, permission, time.Now())
		if response.FencingToken != c.token || len(response.Commands) != c.clears || cluster.reserved != c.reserved {
			t.Errorf("%s: token %d, commands %v, %d requests for tokens", c.name, response.FencingToken, response.Commands, cluster.reserved)
		}
	}
}

func TestMissingTaskIsLostOnlyOnceNoCopyCanStartIt(t *testing.T) {
	reconciler, cluster := newTestReconciler()
	assignment := assign(cluster, addJob(reconciler, record.Array))
	reconciler.Machines.Machines["m"].RecordDirectCommands(leaderToken)
	permission := dispatch.Permission{Tokens: ids.TokenRange{First: leaderToken, Last: leaderToken + 2}}
	response := reconciler.Report(reportOf(2), Source{Heartbeat: true}, permission, time.Now())
	if len(assignment.Job.Assignments) != 1 || response.FencingToken != leaderToken+1 {
		t.Errorf("%d assignments, response under token %d, want the task kept and the token raised", len(assignment.Job.Assignments), response.FencingToken)
	}
	report := reportOf(3)
	report.FencingToken = response.FencingToken
	reconciler.Report(report, Source{Heartbeat: true}, permission, time.Now())
	if len(assignment.Job.Assignments) != 0 {
		t.Error("the task is kept although its worker rejects every copy of its start")
	}
}

func TestResultWithoutAssignmentIsRecorded(t *testing.T) {
	for _, c := range []struct {
		name   string
		cause  string
		change func(*workload.Job)
		kept   bool
	}{
		{"an unexpected result", worker.CauseDone, func(*workload.Job) {}, true},
		{"an unexpected failure", worker.CauseError, func(*workload.Job) {}, false},
		{"of a cancelled job", worker.CauseDone, func(j *workload.Job) { j.Record.Status = record.Cancelling }, false},
		{"of a task that is assigned again", worker.CauseDone, func(j *workload.Job) {
			j.Assignments[0] = &workload.Assignment{Job: j, Machine: "other", Attempt: 2}
		}, false},
	} {
		reconciler, _ := newTestReconciler()
		job := addJob(reconciler, record.Array)
		c.change(job)
		commands := heartbeat(reconciler, 2, status(worker.StateExited, c.cause))
		if kept := job.Record.Finished.Contains(0); kept != c.kept || (len(commands) == 0) != c.kept {
			t.Errorf("%s: kept %v, commands %v", c.name, kept, commands)
		}
	}
}

func TestOnlyOutcomeOfSentStartEndsAssignment(t *testing.T) {
	for _, c := range []struct {
		name        string
		jobType     record.JobType
		cause       string
		sent        bool
		attempt     ids.Attempt
		incarnation ids.Incarnation // of the assignment
		reportToken ids.Generation  // the fencing token in the report
		ends        bool
	}{
		{"of this start", record.Array, worker.CauseError, true, 1, 1, leaderToken, true},
		{"before the start was sent", record.Array, worker.CauseError, false, 1, 1, leaderToken, false},
		{"of another attempt", record.Array, worker.CauseError, true, 2, 1, earlierToken, false},
		{"of an earlier incarnation", record.Array, worker.CauseError, true, 1, 2, leaderToken, false},
		{"of a gang", record.Gang, worker.CauseError, true, 1, 1, leaderToken, true},
		{"of a gang, before the term", record.Gang, worker.CauseError, true, 1, 1, earlierToken, false},
		{"of a gang that is done, before the term", record.Gang, worker.CauseDone, true, 1, 1, earlierToken, true},
	} {
		reconciler, cluster := newTestReconciler()
		job, report := addJob(reconciler, c.jobType), reportOf(2, status(worker.StateExited, c.cause))
		assignment := assign(cluster, job)
		assignment.StartSent, assignment.Confirmed, assignment.Attempt, assignment.Incarnation = c.sent, false, c.attempt, c.incarnation
		report.FencingToken = c.reportToken
		reconcileReport(reconciler, report)
		if ended := len(job.Assignments) == 0; ended != c.ends {
			t.Errorf("%s: assignment ended: %v", c.name, ended)
		}
		if finished := job.Record.Finished.Len(); c.cause == worker.CauseDone && finished != 3 {
			t.Errorf("%s: %d finished tasks, want 3", c.name, finished)
		}
	}
}

func TestResponseContainsPendingCommands(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(*workload.Assignment, *worker.Machine)
		sequence ids.SequenceNumber
		want     string
	}{
		{"a stored marker", func(*workload.Assignment, *worker.Machine) {}, 2, "start job/0"},
		{"a start that may be lost", func(a *workload.Assignment, _ *worker.Machine) { a.StartSent = true }, 2, "start job/0"},
		{"a marker that is not stored", func(a *workload.Assignment, _ *worker.Machine) { a.MarkerVersion = 9 }, 2, ""},
		{"another token", func(a *workload.Assignment, _ *worker.Machine) { a.FencingToken = earlierToken }, 2, ""},
		{"a machine to be deleted", func(_ *workload.Assignment, m *worker.Machine) { m.Deleting = true }, 2, ""},
		{"unread records", func(a *workload.Assignment, _ *worker.Machine) { a.Job.ReadRequiredAfter = time.Now().Add(time.Hour) }, 2, ""},
		{"a start, to an overtaken heartbeat", func(*workload.Assignment, *worker.Machine) {}, 1, ""},
		{"a stop, to an overtaken heartbeat", func(a *workload.Assignment, _ *worker.Machine) {
			a.StartSent, a.Confirmed, a.Stopping, a.Status = true, true, true, worker.StateRunning
		}, 1, "stop job/0"},
		{"a start under a later incarnation", func(a *workload.Assignment, _ *worker.Machine) { a.Incarnation = 2 }, 2, ""},
		{"a stop of a task that was not seen", func(a *workload.Assignment, _ *worker.Machine) { a.StartSent, a.Stopping = true, true }, 1, ""},
	} {
		reconciler, cluster := newTestReconciler()
		assignment := assign(cluster, addJob(reconciler, record.Array))
		assignment.StartSent, assignment.Confirmed = false, false
		c.change(assignment, reconciler.Machines.Machines["m"])
		if commands := reconciler.Report(reportOf(1), Source{}, dispatch.Permission{}, time.Now()).Commands; len(commands) > 0 {
			t.Errorf("%s: commands %v in response to a report that is not a heartbeat", c.name, commands)
		}
		got, starts := strings.Join(heartbeat(reconciler, c.sequence), ", "), c.want == "start job/0"
		if got != c.want || starts && (!assignment.StartSent || assignment.OfferedAt != 2) {
			t.Errorf("%s: commands %q, want %q; assignment %+v", c.name, got, c.want, assignment)
		}
	}
}

func TestFailedAndRefusedTasksBackOffAndAvoidMachine(t *testing.T) {
	for _, c := range []struct {
		cause  string
		delays []time.Duration
	}{
		{worker.CauseError, []time.Duration{time.Second, 2 * time.Second, 4 * time.Second}},
		{worker.CauseNoRoom, []time.Duration{time.Second, time.Second}},
	} {
		synctest.Test(t, func(t *testing.T) {
			reconciler, cluster := newTestReconciler()
			reconciler.Settings.Operator.BackoffS, reconciler.Settings.Operator.BackoffMaxS = 1, 60
			job := addJob(reconciler, record.Array)
			for i, want := range c.delays {
				assign(cluster, job)
				heartbeat(reconciler, ids.SequenceNumber(2+i), status(worker.StateExited, c.cause))
				if retry := job.Retries[0]; retry == nil || time.Until(retry.NotBefore) != want || !retry.Avoid["m"] {
					t.Errorf("%s, attempt %d: retry %+v, want a delay of %v", c.cause, i+1, retry, want)
				}
			}
		})
	}
}

func TestMachineIsDrainedWhenTasksOfHealthyJobsKeepFailing(t *testing.T) {
	for _, good := range []bool{true, false} {
		reconciler, cluster := newTestReconciler()
		reconciler.Settings.Operator.FaultyAfter = 2
		job := addJob(reconciler, record.Array)
		if good {
			job.Record.Finished.Add(1)
		}
		for i := range 2 {
			machine := reconciler.Machines.Machines["m"]
			if machine.DrainReason != "" {
				t.Fatalf("machine drained after %d failures", i)
			}
			assign(cluster, job)
			heartbeat(reconciler, ids.SequenceNumber(2+i), status(worker.StateExited, worker.CauseError))
		}
		drained := reconciler.Machines.Machines["m"].DrainReason != ""
		if drained != good || len(reconciler.Machines.Leaving()) > 0 != good {
			t.Errorf("job has a finished task: %v, machine drained: %v", good, drained)
		}
	}
}
