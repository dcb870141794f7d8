package scheduler

import (
	"log/slog"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// recordRoom decides whether a job's record has room for further assignments: all of a job's assignments
// must fit into one value of the state service before their tasks may start. It measures by encoding the
// record.
type recordRoom struct {
	*State
	cluster Cluster
}

// holds reports whether a job's record fits into a value with planned assignments in addition to the
// present ones, and its size in bytes with them.
func (r *recordRoom) holds(job *workload.Job, planned []record.TaskAssignment) (size int, fits bool) {
	size, err := r.cluster.RecordSize(job, planned)
	if err != nil {
		slog.Error("encoding of job record failed", "job", job.ID(), "err", err)
		return 0, false
	}
	return size, size <= int(r.valueBytes())
}

// planned returns the assignment of a task to a machine as the job's record would store it.
func (r *recordRoom) planned(task int, attempt ids.Attempt, name ids.Machine) record.TaskAssignment {
	location := record.Location{Machine: name, Incarnation: 1, Attempt: attempt, FencingToken: r.cluster.FencingToken()}
	if machine := r.Machines.Machines[name]; machine != nil {
		location.Incarnation = machine.Incarnation
	}
	return record.TaskAssignment{Task: task, Location: location}
}
