package commit

import (
	"context"
	"log/slog"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/workload"
)

// Conflicts provides the operations on the cluster state that record what was found after a failed
// condition. Its methods lock that state.
type Conflicts interface {
	// CancellationFound records the revision of a job's cancellation that is stored separately from its
	// record, or 0 if none is stored.
	CancellationFound(id ids.Job, revision ids.Revision)
	// RecordFound records the stored live record of a job. Either this leader wrote it and the response was
	// lost, or a user wrote it.
	RecordFound(job *workload.Job, stored *record.Record, revision ids.Revision)
	// RecordEnded records that a job's final record is stored.
	RecordEnded(job *workload.Job)
	// MoveFound records the stored live record of a job that has left the waiting state; MoveNotFound
	// records that the waiting job is gone.
	MoveFound(waiting *workload.WaitingJob, stored *record.Record, revision ids.Revision)
	MoveNotFound(waiting *workload.WaitingJob)
}

// conflictResolver reads back the jobs whose conditions failed.
type conflictResolver struct {
	cluster Conflicts
	store   *state.Client
	// stored is called once a job's live record is known.
	stored func()
}

// resolve reads back the changes whose conditions failed. It stops at the first failed read; the other
// changes are read after the next conflict.
func (r *conflictResolver) resolve(ctx context.Context, conflict *state.ConflictError, changes []Change) {
	for _, change := range changes {
		if !r.resolveChange(ctx, conflict, change) {
			return
		}
	}
}

// resolveChange reads back one change. It returns false if a read fails.
func (r *conflictResolver) resolveChange(ctx context.Context, conflict *state.ConflictError, change Change) bool {
	if change.Waiting != nil {
		return !conflict.Has(record.WaitKey(change.Waiting.ID())) || r.readMove(ctx, change)
	}
	id := change.Job.ID()
	if conflict.Has(record.CancelKey(id)) && !r.readCancellation(ctx, id) {
		return false
	}
	if !conflict.Has(record.JobKey(id)) && !conflict.Has(record.FinalRecordKey(id)) {
		return true
	}
	return r.readRecord(ctx, change)
}

// readCancellation reads whether a cancellation is stored separately from the job's record. It returns
// false if the read fails.
func (r *conflictResolver) readCancellation(ctx context.Context, id ids.Job) bool {
	entry, found, err := r.store.Get(ctx, record.CancelKey(id), state.Urgent)
	if err != nil {
		return false
	}
	if !found {
		entry.Revision = 0
	}
	r.cluster.CancellationFound(id, entry.Revision)
	return true
}

// readRecord reads a job's live record or, if there is none, its final record. It returns false if a read
// fails.
func (r *conflictResolver) readRecord(ctx context.Context, change Change) bool {
	id := change.Job.ID()
	stored, revision, ok := r.readLive(ctx, id)
	if !ok {
		return false
	}
	if stored != nil {
		r.cluster.RecordFound(change.Job, stored, revision)
		r.stored()
		return true
	}
	_, found, err := r.store.Get(ctx, record.FinalRecordKey(id), state.Urgent)
	if err != nil {
		return false
	}
	if !found {
		slog.Error("job has neither a live nor a final record, treating it as ended", "job", id)
	}
	r.cluster.RecordEnded(change.Job)
	return true
}

// readMove reads whether a waiting job has left the waiting state after its change met a conflict: either a
// response was lost, or the job's user cancelled it. It returns false if the read fails.
func (r *conflictResolver) readMove(ctx context.Context, change Change) bool {
	stored, revision, ok := r.readLive(ctx, change.Waiting.ID())
	switch {
	case !ok:
		return false
	case stored == nil:
		r.cluster.MoveNotFound(change.Waiting)
	default:
		r.cluster.MoveFound(change.Waiting, stored, revision)
	}
	return true
}

// readLive reads a job's live record, which is nil if there is none. ok is false if the read fails or the
// record is unreadable.
func (r *conflictResolver) readLive(ctx context.Context, id ids.Job) (stored *record.Record, revision ids.Revision, ok bool) {
	entry, found, err := r.store.Get(ctx, record.JobKey(id), state.Urgent)
	if err != nil {
		return nil, 0, false
	}
	if !found {
		return nil, 0, true
	}
	stored, err = record.Decode(entry.Value)
	if err != nil {
		slog.Error("cannot decode the live record of a job", "job", id, "err", err)
		return nil, 0, false
	}
	return stored, entry.Revision, true
}
