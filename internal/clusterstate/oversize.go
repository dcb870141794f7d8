package clusterstate

import (
	"log/slog"

	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// handleOversize handles a job whose record does not fit a stored value: an older version wrote it under a
// larger limit, or its assignments are larger than estimated. Assignments whose starts were not sent are
// removed, since no task may start without a stored assignment and they must not hold capacity forever. From
// then on the record is measured before tasks of the job are assigned. Assignments of tasks that may be on
// machines stay: the record becomes smaller as they end, and is not encoded again before it has changed.
func (c *State) handleOversize(job *workload.Job) {
	if !job.Oversize {
		slog.Warn("job record too large to store; assigning fewer tasks of the job at a time", "job", job.Record.Spec.ID, "places", len(job.Assignments))
	}
	job.Oversize = true
	job.PendingReason = "its places do not fit into a record of the state service"
	job.OversizeVersion = job.Version
	hadAtMostOne := len(job.Assignments) <= 1
	if c.removeUnsentAssignments(job) {
		job.EstimateTooLow = true
		c.markChanged(job)
	}
	if hadAtMostOne && len(job.Assignments) == 0 {
		c.dropScatteredFinishedTasks(job)
	}
}

// removeUnsentAssignments removes the assignments of a job whose starts were never sent, and reports
// whether there were any.
func (c *State) removeUnsentAssignments(job *workload.Job) bool {
	removed := false
	for _, i := range workload.SortedTasks(job.Assignments) {
		if assignment := job.Assignments[i]; !assignment.StartSent {
			c.removeAssignment(assignment)
			removed = true
		}
	}
	return removed
}

// dropScatteredFinishedTasks shrinks a record that has no assignments left and is still too large, or has
// no space for a single one. Of the finished tasks it keeps only the longest runs of consecutive ones, so
// that half of the value is free for assignments. The other finished tasks start again; as their results
// are kept, they exit as done once they have their image.
func (c *State) dropScatteredFinishedTasks(job *workload.Job) {
	if job.Record.Finished.SpanCount() < 2 {
		return // finished tasks are not what makes the record large
	}
	for runs := job.Record.Finished.SpanCount(); runs > 1; {
		runs /= 2
		job.Record.Finished = job.Record.Finished.LongestSpans(runs)
		job.KeptSpans = runs
		rec := job.Record
		rec.Events = nil
		if _, fits := rec.Encode(c.ValueLimit() / 2); fits {
			break
		}
	}
	job.EstimateTooLow = false
	job.SetRecordFull("")
	c.recordEvent(job, "some finished tasks are asked for again: which ones were done does not fit into its record")
	c.markChanged(job)
}
