package clusterstate

import (
	"log/slog"

	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// handleOversize deals with a job's record that does not fit into a value: written by an older
// version under a larger limit, or with more assignments than the estimate allowed for. What
// has not been started yet is taken back, since nothing of it may start without a stored
// assignment and it must not hold room for ever; from then on fewer tasks of the job are
// assigned at a time. Tasks that may be on machines stay: the record becomes smaller as
// they end, and is not tried again before it has changed.
func (c *State) handleOversize(job *workload.Job) {
	if !job.Oversize {
		slog.Warn("record too large to store; fewer tasks at a time", "job", job.Record.Spec.ID, "places", len(job.Assignments))
	}
	job.Oversize = true
	job.PendingReason = "its places do not fit into a record of the state service"
	job.OversizeVersion = job.Version
	single := len(job.Assignments) <= 1
	if claimed := min(len(job.Assignments), c.maxAssignedTasks(job)); c.removeUnsentOf(job) {
		job.MaxAssigned = max(1, claimed/2)
		c.markChanged(job)
	}
	if single && len(job.Assignments) == 0 {
		c.forgetScattered(job)
	}
}

// removeUnsentOf removes the assignments whose start never went out; it tells whether there
// were any.
func (c *State) removeUnsentOf(job *workload.Job) bool {
	dropped := false
	for _, i := range workload.SortedTasks(job.Assignments) {
		if assignment := job.Assignments[i]; !assignment.StartSent {
			c.removeAssignment(assignment)
			dropped = true
		}
	}
	return dropped
}

// forgetScattered makes a record fit that has no assignments left and yet is too large, or
// has no room for a single one: of the finished tasks only the longest runs are kept,
// so that half of the value is free again for assignments. The others start again; as their
// results are kept, they exit as done once they have their image.
func (c *State) forgetScattered(job *workload.Job) {
	if job.Record.Finished.SpanCount() < 2 {
		return // that is not what makes it large
	}
	for runs := job.Record.Finished.SpanCount(); runs > 1; {
		runs /= 2
		job.Record.Finished = job.Record.Finished.LongestSpans(runs)
		job.KeptRuns = runs
		rec := job.Record
		rec.Events = nil
		if _, fits := rec.Encode(c.ValueLimit() / 2); fits {
			break
		}
	}
	job.MaxAssigned = 0
	c.recordEvent(job, "some finished tasks are asked for again: which ones were done does not fit into its record")
	c.markChanged(job)
}
