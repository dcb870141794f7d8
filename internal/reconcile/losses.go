package reconcile

import (
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/worker"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// lossRecorder records lost tasks, and the restarts of tasks that were lost.
type lossRecorder struct {
	*State
	cluster Cluster
}

// markLost removes the assignment of a task that is proven not to be on its machine any more, and records
// the loss.
func (l *lossRecorder) markLost(assignment *workload.Assignment, reason string) {
	job := assignment.Job
	if machine := l.Machines.Machines[assignment.Machine]; machine != nil {
		logLoss(assignment, machine, reason)
	}
	if !job.Ended {
		l.recordLoss(assignment, reason)
	}
	l.cluster.RemoveAssignment(assignment)
	if job.Ended {
		return
	}
	if !job.Cancelled() {
		l.Costs.AddLostWork(assignment, "machine lost", time.Now())
	}
	l.cluster.MarkChanged(job)
	// The evidence may come from the cloud and be known to this process only. If the loss were stored late,
	// a successor would have to wait for the evidence again before it could start the task.
	l.cluster.MarkUrgent(job)
	l.cluster.FinishIfComplete(job)
}

// logLoss logs the evidence for a loss, so that a wrong conclusion can be investigated.
func logLoss(assignment *workload.Assignment, machine *worker.Machine, reason string) {
	slog.Info("task is proven lost, removing its assignment", "task", assignment.Task(), "machine", assignment.Machine, "why", reason,
		"attempt", assignment.Attempt, "token", assignment.FencingToken, "incarnation", assignment.Incarnation,
		"confirmed", assignment.Confirmed, "reported", machine.HasReported, "reportToken", machine.FencingToken,
		"reportIncarnation", machine.Incarnation, "reportSequence", machine.Sequence)
}

// unknownZone replaces the zone of a machine that never reported and was never listed by the cloud.
const unknownZone = "an unknown zone"

// zoneOf returns a machine's zone for use in event texts, or unknownZone.
func (l *lossRecorder) zoneOf(name ids.Machine) string {
	if machine := l.Machines.Machines[name]; machine != nil && machine.Zone != "" {
		return machine.Zone
	}
	return unknownZone
}

// recordLoss records in the job's events that a task is proven not to be on its machine any more.
// Consecutive losses of the same kind share one event.
func (l *lossRecorder) recordLoss(assignment *workload.Assignment, reason string) {
	job, events, last := assignment.Job, assignment.Job.Record.Events, ""
	if n := len(events); n > 0 {
		last = events[n-1].Message
	}
	line, replaces := job.Losses.Add(assignment.TaskIndex, assignment.Machine, l.zoneOf(assignment.Machine), reason, last)
	if replaces {
		job.Record.Events = events[:len(events)-1]
	}
	l.cluster.RecordEvent(job, "%s", line)
}

// recordRestarts records in a job's events the zones in which lost tasks were assigned again.
func (l *lossRecorder) recordRestarts(job *workload.Job, assigned []*workload.Assignment) {
	to, from := map[string]int{}, map[string]int{}
	for _, assignment := range assigned {
		zone, lost := job.Losses.Restarted(assignment.TaskIndex)
		if !lost {
			continue
		}
		from[zone]++
		if machine := l.Machines.Machines[assignment.Machine]; machine != nil {
			to[machine.Zone]++
		}
	}
	if len(from) > 0 {
		l.cluster.RecordEvent(job, "tasks lost in %s start again: %s", workload.FormatByZone(from), workload.FormatByZone(to))
	}
}
