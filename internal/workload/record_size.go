package workload

import (
	"encoding/json"
	"log/slog"

	"github.com/pebbletrail/pebbletrail/internal/record"
)

// EncodedSize is the size in bytes of the parts of a job's record, as it was last encoded.
type EncodedSize struct {
	PerAssignment float64 // mean of the assignments
	Rest          int     // everything but the assignments
	Description   int     // the description and the empty record around it; 0: not known yet
}

// RecordEncodedSize records how much of an encoded record of a size in bytes its assignments take, and how
// much the rest does.
func (j *Job) RecordEncodedSize(assignments []record.AssignmentGroup, size int) {
	if n := len(j.Assignments); n > 0 {
		assigned := record.AssignmentsSize(assignments)
		j.EncodedSize.PerAssignment, j.EncodedSize.Rest = float64(assigned)/float64(n), size-assigned
	}
}

// Sizes of the parts of an encoded record, in bytes.
const (
	// emptyRecordBytes is the size of a record without its description and assignments.
	emptyRecordBytes = 400
	// maxDescriptionBytes bounds what a description is counted for.
	maxDescriptionBytes = 1500
	// firstAssignmentBytes is the size of an assignment before any was encoded: the name of its machine
	// and 20 bytes more.
	firstAssignmentBytes = 40
	// scatteredTaskBytes is the least size of an assignment whose neighbours on the machine have finished.
	scatteredTaskBytes = 5
)

const (
	// firstFillShare and fillShare are the shares of a value that a record may fill, before and after its
	// assignments were encoded.
	firstFillShare = 0.92
	fillShare      = 0.9
	// assignmentMargin is the factor by which assignments may become larger than they were.
	assignmentMargin = 1.25
	// minAssigned is the number of tasks that may always be assigned.
	minAssigned = 4
)

// MaxAssignedTasks returns how many tasks of the job may be assigned at a time, so that its record fits into
// a value of the state service; large arrays are assigned in batches. The size of an assignment is assumed
// at first, and measured once assignments were stored, since many small tasks share a machine. Finished
// tasks break up the ranges in which tasks are stored: when a machine's tasks are no longer contiguous,
// each takes the bytes of its number.
func (j *Job) MaxAssignedTasks(valueBytes float64) int {
	description := min(maxDescriptionBytes, float64(j.descriptionSize()))
	tasks := int((valueBytes*firstFillShare - description) / firstAssignmentBytes)
	if size := j.EncodedSize; size.PerAssignment > 0 {
		perTask := assignmentMargin*max(size.PerAssignment, scatteredTaskBytes) + 1
		tasks = max(tasks, int((valueBytes*fillShare-float64(size.Rest))/perTask))
	}
	if j.MaxAssigned > 0 {
		tasks = min(tasks, j.MaxAssigned)
	}
	return max(minAssigned, tasks)
}

// descriptionSize returns about how many bytes a job's record takes before any task is assigned. It is
// measured rather than assumed, so that small values are not wasted.
func (j *Job) descriptionSize() int {
	if j.EncodedSize.Description == 0 {
		raw, err := json.Marshal(&j.Record.Spec)
		if err != nil {
			slog.Error("job description can't be encoded", "job", j.ID(), "err", err)
		}
		j.EncodedSize.Description = len(raw) + emptyRecordBytes
	}
	return j.EncodedSize.Description
}

// MayRecordFinished reports whether one more finished task without an assignment may be recorded. That is
// not so if the record only fits because such tasks were left out.
func (j *Job) MayRecordFinished() bool {
	return j.KeptRuns == 0 || j.Record.Finished.SpanCount() < j.KeptRuns
}
