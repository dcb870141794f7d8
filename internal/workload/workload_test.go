package workload

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

var testStart = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)

// testJob returns an array job of ten tasks that was submitted some seconds after testStart.
func testJob(id ids.Job, submittedAfter int) *Job {
	spec := record.Spec{ID: id, JobType: record.Array, Priority: record.Normal, Tasks: 10, Resources: placement.Resources{Cores: 2, RAM: 4}}
	return NewJob(record.New(spec, ids.TimestampOf(testStart.Add(time.Duration(submittedAfter)*time.Second)), "writer"), 1)
}

func jobIDs(jobs []*Job) string {
	var names []string
	for _, job := range jobs {
		names = append(names, string(job.ID()))
	}
	return strings.Join(names, " ")
}

func TestBackoffDoublesUpToTheMaximumDelay(t *testing.T) {
	backoff := Backoff{First: 5, Max: 60}
	for failures, want := range map[int]time.Duration{
		1: 5 * time.Second, 2: 10 * time.Second, 3: 20 * time.Second, 4: 40 * time.Second, 5: time.Minute, 1000: time.Minute,
	} {
		if got := backoff.Delay(failures); got != want {
			t.Errorf("delay after %d failures: %v, want %v", failures, got, want)
		}
	}
	job := testJob("a", 0)
	job.BackOff(3, testStart, backoff)
	retry := job.BackOff(3, testStart, backoff)
	if retry.Failures != 2 || !retry.NotBefore.Equal(testStart.Add(10*time.Second)) || job.EnsureRetry(3) != retry {
		t.Errorf("retry state after two failures: %+v", retry)
	}
	job.Assignments[4] = &Assignment{Job: job, TaskIndex: 4}
	job.BackOff(4, testStart, backoff)
	if got := job.CountBackingOff(testStart); got != 1 {
		t.Errorf("%d unassigned tasks back off, want 1", got)
	}
}

func TestAssignedTasksAreBoundedByTheRecordSize(t *testing.T) {
	for _, c := range []struct {
		name       string
		valueBytes float64
		size       EncodedSize
		want       int
	}{
		{name: "nothing encoded yet", valueBytes: 10000, size: EncodedSize{Description: 1200}, want: 200},
		{name: "a large description counts for its bound", valueBytes: 10000, size: EncodedSize{Description: 9000}, want: 192},
		{name: "small assignments", valueBytes: 10000, size: EncodedSize{PerAssignment: 8, Rest: 1000, Description: 1200}, want: 727},
		{name: "tiny assignments count as scattered", valueBytes: 10000, size: EncodedSize{PerAssignment: 1, Rest: 1000, Description: 1200}, want: 1103},
		{name: "large assignments do not lower the first bound", valueBytes: 10000, size: EncodedSize{PerAssignment: 500, Rest: 1000, Description: 1200}, want: 200},
		{name: "a value smaller than the description", valueBytes: 100, size: EncodedSize{Description: 1200}, want: 4},
	} {
		job := testJob("a", 0)
		job.EncodedSize = c.size
		if got := job.EstimatedMaxAssigned(c.valueBytes); got != c.want {
			t.Errorf("%s: %d tasks may be assigned, want %d", c.name, got, c.want)
		}
	}
}

func TestRecordIsFullUntilItIsMeasuredAgainOrShrinks(t *testing.T) {
	// Guards against a bound that outlives what was measured: fewer tasks were assigned forever.
	job := testJob("a", 0)
	for task := range 3 {
		job.Assignments[task] = &Assignment{Job: job, TaskIndex: task}
	}
	if job.RecordFull() {
		t.Error("a record that was never measured is full")
	}
	job.SetRecordFull("no room")
	if !job.RecordFull() || job.Room.Reason != "no room" {
		t.Errorf("full: %v, reason %q", job.RecordFull(), job.Room.Reason)
	}
	delete(job.Assignments, 2)
	if job.RecordFull() {
		t.Error("the record is full although it has fewer assignments")
	}
	job.SetRecordFull("no room")
	job.SetRecordFull("")
	if job.RecordFull() {
		t.Error("the record is full although it was measured again")
	}
}

func TestSimilarLossesShareAnEventLine(t *testing.T) {
	var losses LossHistory
	lastLine := "accepted"
	for _, c := range []struct {
		task         int
		zone, reason string
		otherLine    bool // another event came after the last loss
		want         string
		replaces     bool
	}{
		{task: 1, zone: "north", reason: "lease expired", want: "task 1 gone on m in north: lease expired"},
		{task: 2, zone: "north", reason: "lease expired", want: "2 tasks gone in north, task 2 on m the last: lease expired", replaces: true},
		{task: 3, zone: "north", reason: "lease expired", want: "3 tasks gone in north, task 3 on m the last: lease expired", replaces: true},
		{task: 4, zone: "south", reason: "lease expired", want: "task 4 gone on m in south: lease expired"},
		{task: 5, zone: "south", reason: "machine gone", want: "task 5 gone on m in south: machine gone"},
		{task: 6, zone: "south", reason: "machine gone", otherLine: true, want: "task 6 gone on m in south: machine gone"},
	} {
		if c.otherLine {
			lastLine = "another event"
		}
		line, replaces := losses.Add(c.task, "m", c.zone, c.reason, lastLine)
		if line != c.want || replaces != c.replaces {
			t.Errorf("task %d: %q, replaces %v; want %q, %v", c.task, line, replaces, c.want, c.replaces)
		}
		lastLine = line
	}
	if zone, lost := losses.Restarted(4); zone != "south" || !lost {
		t.Errorf("Restarted(4): zone %q, lost %v; want south, true", zone, lost)
	}
	if _, lost := losses.Restarted(4); lost {
		t.Error("a task that was assigned again counts as lost")
	}
	count := losses.CountByZone(func(task int) bool { return task != 1 })
	if got := FormatByZone(count); got != "north (2), south (2)" {
		t.Errorf("lost tasks by zone: %s", got)
	}
}

func TestQueueIsOrderedBySubmission(t *testing.T) {
	queue := NewQueue()
	jobs := map[ids.Job]*Job{}
	for id, submitted := range map[ids.Job]int{"d": 3, "b": 1, "c": 1, "a": 2, "e": 0} {
		jobs[id] = testJob(id, submitted)
		queue.Add(jobs[id])
	}
	if got := jobIDs(queue.Ordered()); got != "e b c a d" {
		t.Errorf("order of submission: %s", got)
	}
	queue.Remove(jobs["c"])
	if got := jobIDs(queue.Ordered()); got != "e b a d" || queue.Len() != 4 || queue.Get("c") != nil {
		t.Errorf("after a removal: %s, %d jobs", got, queue.Len())
	}
	if queue.Contains(testJob("a", 2)) || !queue.Contains(jobs["a"]) {
		t.Error("the queue mistakes a job for another one with the same ID")
	}
}

func TestQueueDropsTheOldestRetiredIDs(t *testing.T) {
	queue := NewQueue()
	name := func(i int) ids.Job { return ids.Job(strconv.Itoa(i)) }
	queue.Retire(name(0))
	for i := range maxRetired + 2 {
		queue.Retire(name(i))
	}
	if queue.RetiredCount() != maxRetired {
		t.Errorf("%d retired IDs are recorded, want %d", queue.RetiredCount(), maxRetired)
	}
	for i, want := range map[int]bool{0: false, 1: false, 2: true, maxRetired + 1: true} {
		if got := queue.IsRetired(name(i)); got != want {
			t.Errorf("ID %d is retired: %v, want %v", i, got, want)
		}
	}
}

func TestDueChangesAreOrderedByUrgency(t *testing.T) {
	const delay = time.Second
	changes := NewChanges()
	add := func(id ids.Job, submitted int, change func(*Job)) *Job {
		job := testJob(id, submitted)
		job.Version++
		changes.Add(job)
		job.ChangedAt = testStart
		change(job)
		return job
	}
	add("plain", 1, func(*Job) {})
	add("older", 0, func(*Job) {})
	add("high", 2, func(job *Job) { job.Record.Spec.Priority = record.High })
	urgent := add("urgent", 3, func(job *Job) { job.Urgent, job.ChangedAt = true, testStart.Add(delay) })
	add("recent", 0, func(job *Job) { job.ChangedAt = testStart.Add(delay / 2) })
	add("oversize", 0, func(job *Job) { job.OversizeVersion = job.Version })
	add("stored", 0, func(job *Job) { job.StoredVersion = job.Version })
	add("ended", 0, func(job *Job) { job.Ended = true })
	if got := jobIDs(changes.Due(testStart.Add(delay), delay)); got != "urgent high older plain" {
		t.Errorf("due jobs: %s", got)
	}
	if got := len(changes.All()); got != 6 || !changes.HasUrgent() {
		t.Errorf("%d jobs have changes, urgent %v", got, changes.HasUrgent())
	}
	changes.Remove(urgent)
	if changes.HasUrgent() || slices.Contains(changes.All(), urgent) {
		t.Error("a removed job is still urgent")
	}
}

func TestJobsStarveUntilTheirFirstStartLasts(t *testing.T) {
	late := testStart.Add(StarvationTime + time.Second)
	for _, c := range []struct {
		name   string
		change func(*Job)
		now    time.Time
		want   bool
	}{
		{"waiting for long", func(*Job) {}, late, true},
		{"not long enough", func(*Job) {}, testStart.Add(StarvationTime), false},
		{"started", func(job *Job) { job.Record.Attempt, job.StartLasted = 1, true }, late, false},
		{"stopped right after the start", func(job *Job) { job.Record.Attempt = 1 }, late, true},
		{"waits anew after that", func(job *Job) { job.Record.Attempt, job.UnassignedSince = 1, testStart.Add(2*time.Second) }, late, false},
		{"has an assignment", func(job *Job) { job.Assignments[0] = &Assignment{} }, late, false},
		{"has finished a task", func(job *Job) { job.Record.Finished.Add(0) }, late, false},
	} {
		job := testJob("a", 0)
		c.change(job)
		if got := job.Starving(c.now); got != c.want {
			t.Errorf("%s: starving %v", c.name, got)
		}
	}
}

func TestFailuresOnSeveralMachinesMakeTheJobSuspect(t *testing.T) {
	for _, c := range []struct {
		machines         []ids.Machine
		earlier          int // machines with failures under earlier leaders
		finished         bool
		suspect, failing bool
	}{
		{machines: []ids.Machine{"a", "a", "a"}},
		{machines: []ids.Machine{"a", "b"}, suspect: true},
		{machines: []ids.Machine{"a", "b", "c"}, suspect: true, failing: true},
		{machines: []ids.Machine{"a"}, earlier: 3, suspect: true, failing: true},
		{machines: []ids.Machine{"a", "b", "c"}, finished: true},
	} {
		job := testJob("a", 0)
		job.Record.FailedMachines = c.earlier
		if c.finished {
			job.Record.Finished.Add(0)
		}
		for _, machine := range c.machines {
			job.Failures.AddFailure(machine, testStart, testStart.Add(time.Minute))
		}
		if job.Suspect() != c.suspect || job.Failing() != c.failing {
			t.Errorf("failures on %v, %d before, finished %v: suspect %v, failing %v", c.machines, c.earlier, c.finished, job.Suspect(), job.Failing())
		}
	}
}

func TestPreemptionCostIsTheProgressSinceTheLastCheckpoint(t *testing.T) {
	now := testStart.Add(100 * time.Second)
	for _, c := range []struct {
		name         string
		change       func(*record.Spec)
		notRunning   bool
		cost         float64
		grace        ids.Seconds
		littleToSave bool
	}{
		{name: "without checkpoints", change: func(*record.Spec) {}, cost: 200},
		{name: "not running", change: func(*record.Spec) {}, notRunning: true, cost: 0.2},
		{name: "a service", change: func(spec *record.Spec) { spec.JobType = record.Service }, cost: 2000},
		{name: "ten seconds after a checkpoint", change: func(spec *record.Spec) { spec.CheckpointInterval, spec.CheckpointDuration = 30, 5 }, cost: 10, grace: 7, littleToSave: true},
		{name: "forty seconds after a checkpoint", change: func(spec *record.Spec) { spec.CheckpointInterval, spec.CheckpointDuration = 60, 5 }, cost: 10, grace: 7},
		{name: "with checkpoints, not running", change: func(spec *record.Spec) { spec.CheckpointInterval, spec.CheckpointDuration = 60, 5 }, notRunning: true, cost: 0.2, grace: 7, littleToSave: true},
	} {
		job := testJob("a", 0)
		c.change(&job.Record.Spec)
		assignment := &Assignment{Job: job, RunningSince: testStart}
		if c.notRunning {
			assignment.RunningSince = time.Time{}
		}
		cost, grace, little := assignment.PreemptionCost(now), assignment.CheckpointGrace(), assignment.LittleToSave(now)
		if cost != c.cost || grace != c.grace || little != c.littleToSave {
			t.Errorf("%s: cost %v, grace %v, little to save %v; want %v, %v, %v", c.name, cost, grace, little, c.cost, c.grace, c.littleToSave)
		}
	}
}
