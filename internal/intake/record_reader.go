package intake

import (
	"context"
	"log/slog"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// recordReader reads job records from the store and from the controller's watch cache.
type recordReader struct {
	store  *state.Client
	mirror *state.WatchCache // of the records of unfinished jobs
	ended  *summaryCache
}

// storedRecord is a job's record with the store entry from which it was decoded. record is nil if the store
// has none for the job.
type storedRecord struct {
	record *record.Record
	entry  state.Entry
}

func (s storedRecord) exists() bool { return s.record != nil }

// blocked reports whether the job waits for its dependencies.
func (s storedRecord) blocked() bool {
	return s.exists() && s.entry.Key == record.WaitKey(s.record.Spec.ID)
}

// current returns a job's record as it was at some moment after the call began. It reads records of
// unfinished jobs from the watch cache, which is synchronized once for all waiting requests; only records
// that are not in the cache require a call each. The final record of an ending job is written no later
// than its live record is removed, so reading the live record first cannot miss the job.
func (r *recordReader) current(ctx context.Context, id ids.Job, urgency state.Priority) (storedRecord, error) {
	if r.store.Unavailable() {
		return storedRecord{}, errStoreSilent
	}
	if err := r.mirror.Sync(ctx); err != nil {
		return storedRecord{}, unavailable(err)
	}
	stored, err := r.stored(ctx, id, urgency)
	if err != nil {
		return storedRecord{}, err
	}
	if stored.blocked() {
		cause, err := newDependencyReader(r, urgency).cancelledDependency(ctx, stored.record)
		if err != nil {
			return storedRecord{}, err
		}
		if cause != "" {
			stored.record.MarkCancelledBy(cause)
		}
	}
	if stored.exists() && stored.record.Status.IsTerminal() {
		r.ended.add(stored.record)
	}
	return stored, nil
}

// stored returns a job's live record from the watch cache, which must be as recent as the caller
// requires, or else its final record from the store.
func (r *recordReader) stored(ctx context.Context, id ids.Job, urgency state.Priority) (storedRecord, error) {
	live, err := r.live(id)
	if err != nil || live.exists() {
		return live, err
	}
	entry, found, err := r.store.Get(ctx, record.EndKey(id), urgency)
	if err != nil {
		return storedRecord{}, unavailable(err)
	}
	if !found {
		return storedRecord{}, nil
	}
	rec, err := record.Decode(entry.Value)
	if err != nil {
		return storedRecord{}, unreadable(entry, err)
	}
	return storedRecord{rec, entry}, nil
}

// live returns the record of an unfinished job from the watch cache, regardless of the age of the cache. It
// applies a cancellation that is stored at a separate key.
func (r *recordReader) live(id ids.Job) (storedRecord, error) {
	entries, ready := r.mirror.GetMany(record.JobKey(id), record.WaitKey(id), record.CancelKey(id))
	if !ready {
		return storedRecord{}, errUnavailable
	}
	claimable, blocked, cancellation := entries[0], entries[1], entries[2]
	switch {
	case claimable.Key != "":
		return decodeClaimable(claimable, cancellation)
	case blocked.Key != "":
		rec, err := record.DecodeWaiting(blocked.Value)
		if err != nil {
			return storedRecord{}, unreadable(blocked, err)
		}
		return storedRecord{rec, blocked}, nil
	default:
		return storedRecord{}, nil
	}
}

// decodeClaimable decodes the record of a job without unfinished dependencies, and applies the separately
// stored cancellation if there is one.
func decodeClaimable(entry, cancellation state.Entry) (storedRecord, error) {
	rec, err := record.Decode(entry.Value)
	if err != nil {
		return storedRecord{}, unreadable(entry, err)
	}
	if cancellation.Key != "" {
		mark, err := record.DecodeCancellation(cancellation.Value)
		if err != nil {
			return storedRecord{}, unreadable(cancellation, err)
		}
		mark.ApplyTo(rec)
	}
	return storedRecord{rec, entry}, nil
}

// lastKnown returns the record of an unfinished job from the watch cache, regardless of the age of the
// cache. It returns nil if the cache contains no record that can be decoded.
func (r *recordReader) lastKnown(id ids.Job) *record.Record {
	stored, err := r.live(id)
	if err != nil {
		return nil
	}
	return stored.record
}

// blocked reports whether a job waits for its dependencies according to the watch cache.
func (r *recordReader) blocked(id ids.Job) bool {
	entry, found, _ := r.mirror.GetFirst(record.JobKey(id), record.WaitKey(id))
	return found && entry.Key == record.WaitKey(id)
}

// unreadable logs the decoding error of a store entry and returns errUnavailable: the cause goes only to the
// log.
func unreadable(entry state.Entry, err error) error {
	slog.Error("cannot decode a stored record", "key", entry.Key, "err", err)
	return errUnavailable
}
