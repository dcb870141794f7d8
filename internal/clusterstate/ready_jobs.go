package clusterstate

import (
	"cmp"
	"iter"
	"log/slog"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/commit"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// collectReadyMoves collects the moves of waiting jobs that become schedulable. After a group with such
// moves, the next group contains no moves of ready jobs if there are urgent changes, so that the end of a
// job with many dependents does not delay all other changes.
func (t *dependencyTracker) collectReadyMoves(add func(commit.Change) bool) {
	if t.lastGroupMovedJobs && t.changes.HasUrgent() {
		t.lastGroupMovedJobs = false
		return
	}
	t.lastGroupMovedJobs = false
	for _, id := range t.sortByPriority(t.graph.Ready()) {
		change, ok := t.encodeReadyMove(id)
		if ok && !add(change) {
			return
		}
		t.lastGroupMovedJobs = t.lastGroupMovedJobs || ok
	}
}

// collectCancelledMoves collects the moves of waiting jobs that end because a job that they depend on was
// cancelled.
func (t *dependencyTracker) collectCancelledMoves(add func(commit.Change) bool) {
	for id := range t.graph.Cancelled() {
		if !t.inShard(id) {
			continue
		}
		if change, ok := t.encodeCancelledMove(id); ok && !add(change) {
			return
		}
	}
}

// readyJob is a ready job with the properties that it is sorted by.
type readyJob struct {
	id        ids.Job
	priority  int
	submitted ids.Timestamp
}

// sortByPriority returns those of the waiting jobs that belong to this shard, sorted by priority, inherited
// priority included, and then by the time of submission.
func (t *dependencyTracker) sortByPriority(jobs iter.Seq[ids.Job]) []ids.Job {
	var ready []readyJob
	for id := range jobs {
		if !t.inShard(id) {
			continue // the leader of the job's shard moves it
		}
		waiting := t.waiting[id].Record
		priority := max(int(waiting.Spec.Priority), t.graph.InheritedUrgency(id).Priority)
		ready = append(ready, readyJob{id, priority, waiting.Submitted})
	}
	slices.SortFunc(ready, func(x, y readyJob) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(x.submitted, y.submitted), cmp.Compare(x.id, y.id))
	})
	sorted := make([]ids.Job, len(ready))
	for i := range ready {
		sorted[i] = ready[i].id
	}
	return sorted
}

// encodeReadyMove returns the change that moves a waiting job to the schedulable ones; ok is false if its
// record does not fit a stored value.
func (t *dependencyTracker) encodeReadyMove(id ids.Job) (change commit.Change, ok bool) {
	waiting := t.waiting[id]
	moved := t.nextRecord(waiting)
	moved.ReadyAt = ids.TimestampOf(time.Now())
	moved.TrimDependencies(valueLimit(t.settings))
	moved.Events = append(slices.Clone(moved.Events), record.Event{At: moved.ReadyAt, Message: "all jobs that it awaited are done"})
	value, ok := moved.Encode(valueLimit(t.settings))
	return t.newMove(record.JobKey(id), waiting, moved, value, ok)
}

// encodeCancelledMove returns the change that ends a waiting job as cancelled; ok is false if its record
// does not fit a stored value.
func (t *dependencyTracker) encodeCancelledMove(id ids.Job) (change commit.Change, ok bool) {
	waiting := t.waiting[id]
	moved := t.nextRecord(waiting)
	moved.MarkCancelledBy(t.graph.CancelledBy(id))
	value, ok := moved.EncodeFinal(valueLimit(t.settings))
	change, ok = t.newMove(record.FinalRecordKey(id), waiting, moved, value, ok)
	change.Terminal = true
	return change, ok
}

// nextRecord returns a copy of a waiting job's record with the generation, writer and version of this
// leader's next write.
func (t *dependencyTracker) nextRecord(waiting *workload.WaitingJob) *record.Record {
	next := *waiting.Record
	next.Generation, next.Writer, next.Seq = t.cluster.FencingToken(), t.writer, waiting.Record.Seq+1
	return &next
}

// newMove returns the change that moves a waiting job's record to another key; ok is false if the record
// does not fit a stored value.
func (t *dependencyTracker) newMove(key string, waiting *workload.WaitingJob, moved *record.Record, value []byte, fits bool) (change commit.Change, ok bool) {
	if !fits {
		if !waiting.Oversize {
			slog.Error("waiting job's record too large to store; the job is not moved", "job", waiting.ID())
		}
		waiting.Oversize = true
		return commit.Change{}, false
	}
	from := record.WaitKey(waiting.ID())
	return commit.Change{Waiting: waiting, MovedRecord: moved, Size: len(value) + changeBytes,
		Conditions: []state.Condition{{Key: from, Revision: waiting.Revision}, {Key: key}},
		Ops:        []state.Op{{Remove: from}, {Put: key, Value: value}}}, true
}

// recordMove records that a waiting job's move is stored.
func (t *dependencyTracker) recordMove(change commit.Change, revision ids.Revision, now time.Time) {
	id := change.Waiting.ID()
	t.removeIfWaiting(change.Waiting)
	if change.Terminal {
		t.recordOutcome(id, record.Cancelled)
		return
	}
	if t.jobs.Get(id) == nil {
		t.cluster.AddJob(change.MovedRecord, revision, now)
		t.cluster.RequestPlan()
	}
}

// removeIfWaiting removes a waiting job, unless it was removed or replaced before.
func (t *dependencyTracker) removeIfWaiting(waiting *workload.WaitingJob) {
	if t.waiting[waiting.ID()] == waiting {
		t.removeWaitingJob(waiting)
	}
}

// moveNotFound implements State.MoveNotFound.
func (t *dependencyTracker) moveNotFound(waiting *workload.WaitingJob) {
	t.removeIfWaiting(waiting)
	t.scheduleLookup(waiting.ID(), time.Now())
}
