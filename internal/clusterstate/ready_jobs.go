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
	"github.com/pebbletrail/pebbletrail/internal/wait"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// collectReadyMoves collects the waiting jobs that become schedulable. After a group with such moves urgent
// changes have one to themselves: an end that many depend on must not keep all else waiting.
func (c *State) collectReadyMoves(add func(commit.Change) bool) {
	if c.dependencies.movedLast && c.changes.HasUrgent() {
		c.dependencies.movedLast = false
		return
	}
	c.dependencies.movedLast = false
	for _, id := range c.sortByPriority(c.dependencies.graph.Ready()) {
		change, ok := c.encodeReadyMove(id)
		if ok && !add(change) {
			return
		}
		c.dependencies.movedLast = c.dependencies.movedLast || ok
	}
}

// collectCancelledMoves collects the waiting jobs that end because one that they depend on was cancelled.
func (c *State) collectCancelledMoves(add func(commit.Change) bool) {
	for id := range c.dependencies.graph.Cancelled() {
		if !c.inShard(id) {
			continue
		}
		if change, ok := c.encodeCancelledMove(id); ok && !add(change) {
			return
		}
	}
}

// readyJob is a waiting job with what it is sorted by.
type readyJob struct {
	id        ids.Job
	priority  int
	submitted ids.Timestamp
}

// sortByPriority sorts this shard's waiting jobs, inherited priority included; the first submitted of
// equals go first.
func (c *State) sortByPriority(jobs iter.Seq[ids.Job]) []ids.Job {
	var ready []readyJob
	for id := range jobs {
		if !c.inShard(id) {
			continue // its shard's leader moves it
		}
		waiting := c.dependencies.waiting[id].Record
		priority := max(int(waiting.Spec.Priority), c.dependencies.graph.InheritedUrgency(id).Priority)
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

// encodeReadyMove makes the change that moves a waiting job to the schedulable ones; ok is false when its
// record does not fit a value.
func (c *State) encodeReadyMove(id ids.Job) (change commit.Change, ok bool) {
	waiting := c.dependencies.waiting[id]
	moved := c.nextRecord(waiting)
	moved.ReadyAt = ids.TimestampOf(time.Now())
	moved.TrimDependencies(c.ValueLimit())
	moved.Events = append(slices.Clone(moved.Events), record.Event{At: moved.ReadyAt, Message: "all jobs that it awaited are done"})
	value, ok := moved.Encode(c.ValueLimit())
	return c.moveTo(record.JobKey(id), waiting, moved, value, ok)
}

// encodeCancelledMove makes the change that ends a waiting job; ok is false when its record does not fit a
// value.
func (c *State) encodeCancelledMove(id ids.Job) (change commit.Change, ok bool) {
	waiting := c.dependencies.waiting[id]
	moved := c.nextRecord(waiting)
	moved.MarkCancelledBy(c.dependencies.graph.CancelledBy(id))
	value, ok := moved.EncodeFinal(c.ValueLimit())
	change, ok = c.moveTo(record.EndKey(id), waiting, moved, value, ok)
	change.Terminal = true
	return change, ok
}

// nextRecord is a waiting job's record as this leader writes it next.
func (c *State) nextRecord(waiting *workload.WaitingJob) *record.Record {
	next := *waiting.Record
	next.Generation, next.Writer, next.Seq = c.generation, c.writer, waiting.Record.Seq+1
	return &next
}

// moveTo makes the change that moves a waiting job's record to another key.
func (c *State) moveTo(key string, waiting *workload.WaitingJob, moved *record.Record, value []byte, fits bool) (change commit.Change, ok bool) {
	if !fits {
		slog.Error("waiting job's record does not fit", "job", waiting.ID())
		return commit.Change{}, false
	}
	from := record.WaitKey(waiting.ID())
	return commit.Change{Waiting: waiting, Becomes: moved, Size: len(value) + changeBytes,
		Conditions: []state.Condition{{Key: from, Revision: waiting.Revision}, {Key: key}},
		Ops:        []state.Op{{Remove: from}, {Put: key, Value: value}}}, true
}

// waitingJobMoved takes in that a waiting job's move is stored.
func (c *State) waitingJobMoved(change commit.Change, revision ids.Revision, now time.Time) {
	id := change.Waiting.ID()
	c.removeIfWaiting(change.Waiting)
	if change.Terminal {
		c.jobEnded(id, record.Cancelled)
		return
	}
	if c.jobs.Get(id) == nil {
		c.addJob(change.Becomes, revision, now)
		wait.Signal(c.planSignal)
	}
}

// removeIfWaiting takes a job out of those that wait, if it is still known in this form.
func (c *State) removeIfWaiting(waiting *workload.WaitingJob) {
	if c.dependencies.waiting[waiting.ID()] == waiting {
		c.removeWaitingJob(waiting)
	}
}

// MoveFound takes in that a waiting job's move was stored.
func (c *State) MoveFound(waiting *workload.WaitingJob, stored *record.Record, revision ids.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingJobMoved(commit.Change{Waiting: waiting, Becomes: stored}, revision, time.Now())
}

// MoveNotFound takes in that a waiting job is neither waiting nor schedulable any more.
func (c *State) MoveNotFound(waiting *workload.WaitingJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeIfWaiting(waiting)
	c.scheduleLookup(waiting.ID(), time.Now())
}
