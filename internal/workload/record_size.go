package workload

import (
	"encoding/json"
	"log/slog"

	"github.com/pebbletrail/pebbletrail/internal/record"
)

// EncodedSize is how many bytes the parts of a job's record took when it was last encoded.
type EncodedSize struct {
	PerAssignment float64 // what one assignment took
	Rest          int     // all but the assignments
	Description   int     // the description alone
}

// RecordEncodedSize notes what a record's assignments took of it, and what the rest did that can't
// be given up.
func (j *Job) RecordEncodedSize(assignments []record.AssignmentGroup, size int) {
	if n := len(j.Assignments); n > 0 {
		taken := record.AssignmentsSize(assignments)
		j.EncodedSize.PerAssignment, j.EncodedSize.Rest = float64(taken)/float64(n), size-taken
	}
}

// Of an encoded record, in bytes: what a job takes beside its description before anything of it is
// assigned, what a description is taken for at most, what an assignment takes at first (its machine's
// name and 20 more), and what one takes at the least once finished tasks have broken up the ranges.
const (
	emptyRecordBytes     = 400
	maxDescriptionBytes  = 1500
	firstAssignmentBytes = 40
	scatteredTaskBytes   = 5
)

// Shares of a value that a record may fill, by what is known of it, and the fewest tasks that are
// assigned at a time.
const (
	firstFillShare   = 0.92
	fillShare        = 0.9
	assignmentMargin = 1.25
	minAssigned      = 4
)

// MaxAssignedTasks bounds how many tasks of the job are assigned at a time, so that its record always
// fits a value: a large array goes in batches. At first an assignment counts for as many bytes as its
// machine's name and 20 more; then by what the assignments took when they were last stored, since many
// small tasks share a machine. What is finished in between breaks the ranges up: once a machine's
// tasks are no longer next to one another, each takes the bytes of its number.
func (j *Job) MaxAssignedTasks(valueBytes float64) int {
	description := min(maxDescriptionBytes, float64(j.descriptionSize()))
	n := int((valueBytes*firstFillShare - description) / firstAssignmentBytes)
	if size := j.EncodedSize; size.PerAssignment > 0 {
		each := assignmentMargin*max(size.PerAssignment, scatteredTaskBytes) + 1
		n = max(n, int((valueBytes*fillShare-float64(size.Rest))/each))
	}
	if j.MaxAssigned > 0 {
		n = min(n, j.MaxAssigned)
	}
	return max(minAssigned, n)
}

// descriptionSize is about how many bytes of a record a job takes before any of it is assigned: small
// values must not go to waste on a guess.
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

// MayRecordFinished tells whether one more task may be noted as finished that no assignment accounts
// for: not if forgetting such tasks was what made the record fit.
func (j *Job) MayRecordFinished() bool {
	return j.KeptRuns == 0 || j.Record.Finished.SpanCount() < j.KeptRuns
}
