package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// leaderToken is the fencing token of the leader.
const leaderToken ids.Generation = 7

// fakeJobs removes assignments, counts changes and records other calls.
type fakeJobs struct {
	index *capacity.Index
	calls []string
}

func (f *fakeJobs) RemoveAssignment(assignment *workload.Assignment) {
	delete(assignment.Job.Assignments, assignment.TaskIndex)
	f.index.Release(f.index.Node(assignment.Machine), assignment)
}

func (f *fakeJobs) MarkChanged(job *workload.Job)  { job.Version++ }
func (f *fakeJobs) MarkUrgent(*workload.Job)       { f.calls = append(f.calls, "urgent") }
func (f *fakeJobs) FinishIfComplete(*workload.Job) { f.calls = append(f.calls, "finish") }

// newTestQueue returns an empty queue without machines.
func newTestQueue() (*Queue, *fakeJobs) {
	registry := worker.NewRegistry(20)
	index := capacity.NewIndex(registry)
	jobs := &fakeJobs{index: index}
	return NewQueue(registry, index, jobs), jobs
}

// assign adds a machine that reported at lastReport, with an assigned task whose marker is stored.
func assign(queue *Queue, jobs *fakeJobs, name ids.Machine, lastReport time.Time) (*workload.Assignment, *worker.Machine) {
	machine := queue.machines.Ensure(name, lastReport, lastReport)
	machine.HasReported, machine.Addr, machine.Incarnation, machine.LastReportAt = true, string(name)+":1", 1, lastReport
	job := workload.NewJob(record.New(record.Spec{ID: ids.Job("job-" + name), Tasks: 1, JobType: record.Array}, 1, "writer"), 1)
	assignment := &workload.Assignment{Job: job, Machine: name, Incarnation: 1, Attempt: 1, FencingToken: leaderToken, MarkerVersion: 1}
	job.Assignments[0] = assignment
	jobs.index.Allocate(jobs.index.Ensure(name), assignment)
	queue.AddFor(assignment)
	return assignment, machine
}

// nextCommands returns the batches that NextBatches returns for at most limit machines, and their commands
// as a text such as "m1: start job-m1/0".
func nextCommands(queue *Queue, limit int) (batches []Batch, text string) {
	batches = queue.NextBatches(limit, Permission{Tokens: ids.TokenRange{First: leaderToken, Last: leaderToken}, Starts: true, RecordsRead: time.Now()}, time.Now())
	var parts []string
	for _, batch := range batches {
		for _, command := range batch.Commands {
			parts = append(parts, fmt.Sprintf("%s: %s %s", batch.Machine, command.Verb, command.Task))
		}
	}
	return batches, strings.Join(parts, ", ")
}

func TestNextBatchesReturnsOnlyPendingCommands(t *testing.T) {
	const start, stop = "m: start job-m/0", "m: stop job-m/0"
	for _, c := range []struct {
		name   string
		change func(*workload.Assignment, *worker.Machine)
		want   string
	}{
		{"a stored marker", func(*workload.Assignment, *worker.Machine) {}, start},
		{"a marker that is not stored", func(a *workload.Assignment, _ *worker.Machine) { a.MarkerVersion = 2 }, ""},
		{"records to be read first", func(a *workload.Assignment, _ *worker.Machine) { a.Job.ReadRequiredAfter = time.Now().Add(time.Hour) }, ""},
		{"a start that was sent", func(a *workload.Assignment, _ *worker.Machine) { a.StartSent = true }, ""},
		{"another incarnation", func(a *workload.Assignment, _ *worker.Machine) { a.Incarnation = 2 }, ""},
		{"a stop", func(a *workload.Assignment, _ *worker.Machine) { stopTask(a, true) }, stop},
		{"a stop of a task that was not seen", func(a *workload.Assignment, _ *worker.Machine) { stopTask(a, false) }, ""},
		{"a stop that was sent", func(a *workload.Assignment, _ *worker.Machine) { stopTask(a, true); a.StopSentAt = a.StopRequestedAt }, ""},
		{"a stop that is requested again", func(a *workload.Assignment, _ *worker.Machine) {
			stopTask(a, true)
			a.StopSentAt = a.StopRequestedAt.Add(-time.Second)
		}, stop},
		{"a call in flight", func(_ *workload.Assignment, m *worker.Machine) { m.CommandsInFlight = true }, ""},
		{"an unanswered probe", func(_ *workload.Assignment, m *worker.Machine) { m.UnansweredProbes = 1 }, ""},
		{"a machine to be deleted", func(_ *workload.Assignment, m *worker.Machine) { m.Deleting = true }, ""},
		{"a machine that has not reported", func(_ *workload.Assignment, m *worker.Machine) { m.HasReported = false }, ""},
	} {
		queue, jobs := newTestQueue()
		assignment, machine := assign(queue, jobs, "m", time.Now())
		c.change(assignment, machine)
		if _, got := nextCommands(queue, 10); got != c.want {
			t.Errorf("%s: sent %q, want %q", c.name, got, c.want)
		}
		if c.want != "" && !machine.CommandsInFlight || c.want == stop && assignment.StopSentAt.Before(assignment.StopRequestedAt) {
			t.Errorf("%s: the sent command is not recorded: in flight %v, stop sent at %v", c.name, machine.CommandsInFlight, assignment.StopSentAt)
		}
		if outstanding := len(machine.UnconfirmedStarts) == 1; outstanding != (c.want == start) {
			t.Errorf("%s: unconfirmed start recorded: %v", c.name, outstanding)
		}
	}
}

// stopTask requests that a task be stopped. seen indicates whether a report has shown the task on its machine.
func stopTask(assignment *workload.Assignment, seen bool) {
	assignment.StartSent, assignment.Confirmed, assignment.Stopping, assignment.StopRequestedAt = true, seen, true, time.Now()
}

func TestMarkerIsStoredAgainAfterGenerationIsRaised(t *testing.T) {
	queue, jobs := newTestQueue()
	assignment, _ := assign(queue, jobs, "m", time.Now())
	assignment.FencingToken = leaderToken - 1
	if _, got := nextCommands(queue, 10); got != "" || assignment.FencingToken != leaderToken || assignment.MarkerVersion != 2 || len(jobs.calls) != 1 {
		t.Errorf("sent %q under token %d; marker in version %d, calls %v", got, assignment.FencingToken, assignment.MarkerVersion, jobs.calls)
	}
	assignment.Job.StoredVersion = 2
	queue.AddFor(assignment)
	if _, got := nextCommands(queue, 10); got == "" {
		t.Error("no start is sent after the new marker is stored")
	}
}

func TestStartWithoutResponseStaysUnconfirmed(t *testing.T) {
	for _, c := range []struct {
		name                  string
		outcome               worker.Outcome
		stopping              bool
		outstanding, assigned int
		calls                 string
	}{
		{"executed", worker.Executed, false, 0, 1, ""},
		{"rejected", worker.Rejected, false, 0, 1, ""},
		{"unanswered", worker.OutcomeUnknown, false, 1, 1, ""},
		{"not sent", worker.NotSent, false, 0, 0, ""},
		{"not sent and to be stopped", worker.NotSent, true, 0, 0, "finish"},
	} {
		queue, jobs := newTestQueue()
		assignment, machine := assign(queue, jobs, "m", time.Now())
		batches, _ := nextCommands(queue, 10)
		assignment.Stopping = c.stopping
		queue.RecordOutcome(batches[0], c.outcome)
		if machine.CommandsInFlight || len(machine.UnconfirmedStarts) != c.outstanding {
			t.Errorf("%s: in flight %v, %d unconfirmed starts", c.name, machine.CommandsInFlight, len(machine.UnconfirmedStarts))
		}
		if assigned := len(assignment.Job.Assignments); assigned != c.assigned || strings.Join(jobs.calls, " ") != c.calls {
			t.Errorf("%s: %d assignments, want %d; calls %v", c.name, assigned, c.assigned, jobs.calls)
		}
		machine.RecordCall(true, time.Now())
		queue.AddFor(assignment)
		if _, again := nextCommands(queue, 10); again != "" {
			t.Errorf("%s: sent %q a second time", c.name, again)
		}
	}
}
