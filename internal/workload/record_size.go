package workload

import (
	"encoding/json"
	"log/slog"

	"github.com/pebbletrail/pebbletrail/internal/record"
)

// EncodedSize contains the sizes in bytes of the parts of a job's record when it was last encoded.
type EncodedSize struct {
	PerAssignment float64 // mean size of an assignment
	Rest          int     // everything except the assignments
	Description   int     // the description and an otherwise empty record; 0: not known yet
}

// RecordEncodedSize records the size of the assignments in an encoded record, and that of the rest. size is
// the size of the whole record in bytes.
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
	// maxDescriptionBytes is the largest size that is assumed for a description.
	maxDescriptionBytes = 1500
	// initialAssignmentBytes is the size assumed for an assignment before any was encoded: the name of its
	// machine and 20 bytes more.
	initialAssignmentBytes = 40
	// scatteredTaskBytes is the minimum size assumed for an assignment: the size of one that can't share a
	// range of indices, because the tasks with adjacent indices on the same machine have finished.
	scatteredTaskBytes = 5
)

const (
	// initialFillShare and fillShare are the fractions of a value's maximum size that a record may fill, before
	// and after its assignments were first encoded.
	initialFillShare = 0.92
	fillShare        = 0.9
	// assignmentMargin is the factor by which assignments may grow beyond their last encoded size.
	assignmentMargin = 1.25
	// minAssigned is the least estimate, so that a job's first assignments are tried however large its record.
	minAssigned = 4
)

// EstimatedMaxAssigned returns an estimate of how many tasks of the job may be assigned at a time, so that the
// job's record fits into a value of the state service; large arrays are assigned in batches. The size of an
// assignment is assumed at first. Once assignments have been encoded, their mean size is used, which is smaller
// if many small tasks share a machine. Finished tasks break up the ranges of task indices in which assignments
// are stored: if the tasks on a machine are not contiguous, each takes the bytes of its own index.
//
// The estimate is for arrays, whose assigned tasks end and make room for the others. It must not decide that
// tasks of a gang or a service wait, since nothing would correct it: their records are measured instead.
func (j *Job) EstimatedMaxAssigned(valueBytes float64) int {
	description := min(maxDescriptionBytes, float64(j.descriptionSize()))
	tasks := int((valueBytes*initialFillShare - description) / initialAssignmentBytes)
	if size := j.EncodedSize; size.PerAssignment > 0 {
		perTask := assignmentMargin*max(size.PerAssignment, scatteredTaskBytes) + 1
		tasks = max(tasks, int((valueBytes*fillShare-float64(size.Rest))/perTask))
	}
	return max(minAssigned, tasks)
}

// RecordRoom is what was measured of the room for assignments in a job's record.
type RecordRoom struct {
	Full     bool   // the record had no room for another assignment
	Assigned int    // how many tasks were assigned when that was measured
	Reason   string // the measured sizes, for users; set if Full is
}

// RecordFull reports whether the job's record has no room for another assignment. A record that was full
// counts as full until it was measured again, or until it has fewer assignments.
func (j *Job) RecordFull() bool { return j.Room.Full && len(j.Assignments) >= j.Room.Assigned }

// SetRecordFull records that the job's record, as it is now, has no room for another assignment, with the
// reason for users; an empty reason records that it has room.
func (j *Job) SetRecordFull(reason string) {
	j.Room = RecordRoom{Full: reason != "", Assigned: len(j.Assignments), Reason: reason}
}

// descriptionSize returns the approximate size in bytes of a job's record before any task is assigned. The
// description is encoded to determine its size, because an assumed size would waste space if the maximum size
// of a value is small.
func (j *Job) descriptionSize() int {
	if j.EncodedSize.Description == 0 {
		raw, err := json.Marshal(&j.Record.Spec)
		if err != nil {
			slog.Error("encoding of job description failed", "job", j.ID(), "err", err)
		}
		j.EncodedSize.Description = len(raw) + emptyRecordBytes
	}
	return j.EncodedSize.Description
}

// MayRecordFinished reports whether one more finished task without an assignment may be recorded. It may not
// if such tasks had to be left out to make the record fit.
func (j *Job) MayRecordFinished() bool {
	return j.KeptSpans == 0 || j.Record.Finished.SpanCount() < j.KeptSpans
}
