package scheduler

import (
	"fmt"
	"log/slog"

	"github.com/pebbletrail/pebbletrail/internal/capacity"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// recordRoom decides whether a job's record has room for further assignments: all of a job's assignments
// must fit into one value of the state service before their tasks may start. Estimates only decide how much
// is tried at once. That a task waits for lack of room is always measured, by encoding the record.
type recordRoom struct {
	*State
	cluster Cluster
}

// maxMeasuredPerPass is the maximum number of a job's assignments that a pass measures one by one, since each
// measurement encodes the whole record.
const maxMeasuredPerPass = 32

// recordAllowance is how many further tasks of a job may be assigned in a pass.
type recordAllowance struct {
	estimated int // tasks for which the record has room by the estimate
	measured  int // further tasks, each of which is measured before it is assigned
}

func (r recordAllowance) total() int { return r.estimated + r.measured }

// allowance returns how many more tasks of an array or a service may be assigned. The tasks of an array that
// exceed the estimate wait until others have ended. Those of a service do not end, so they are measured.
func (r *recordRoom) allowance(job *workload.Job) recordAllowance {
	estimated := max(0, job.EstimatedMaxAssigned(r.valueBytes())-len(job.Assignments))
	isService := job.Record.Spec.JobType == record.Service
	switch {
	case isService && job.EstimateTooLow:
		return recordAllowance{measured: maxMeasuredPerPass}
	case isService:
		return recordAllowance{estimated: estimated, measured: maxMeasuredPerPass}
	case job.EstimateTooLow:
		return recordAllowance{measured: min(estimated, maxMeasuredPerPass)}
	}
	return recordAllowance{estimated: estimated}
}

// holds reports whether a job's record fits into a value with planned assignments in addition to the
// present ones, and its size in bytes with them.
func (r *recordRoom) holds(job *workload.Job, planned []record.TaskAssignment) (size int, fits bool) {
	size, err := r.cluster.RecordSize(job, planned)
	if err != nil {
		slog.Error("encoding of job record failed", "job", job.ID(), "err", err)
		return 0, false
	}
	return size, size <= r.valueLimit()
}

// holdsTask reports whether a job's record has room for one more task on a node, and records the result
// with the job.
func (r *recordRoom) holdsTask(job *workload.Job, task int, attempt ids.Attempt, node *capacity.Node) bool {
	size, fits := r.holds(job, []record.TaskAssignment{r.planned(task, attempt, node.Name)})
	reason := ""
	if !fits {
		reason = fmt.Sprintf("its record is full: with one more task it would take %d bytes, and a value of the state service holds %d", size, r.valueLimit())
	}
	job.SetRecordFull(reason)
	return fits
}

// planned returns the assignment of a task to a machine as the job's record would store it.
func (r *recordRoom) planned(task int, attempt ids.Attempt, name ids.Machine) record.TaskAssignment {
	location := record.Location{Machine: name, Incarnation: 1, Attempt: attempt, FencingToken: r.cluster.FencingToken()}
	if machine := r.Machines.Machines[name]; machine != nil {
		location.Incarnation = machine.Incarnation
	}
	return record.TaskAssignment{Task: task, Location: location}
}
