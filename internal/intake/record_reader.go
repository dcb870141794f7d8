package intake

import (
	"context"
	"log/slog"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// recordReader reads job records from the store and from the controller's copy of them.
type recordReader struct {
	store  *state.Client
	mirror *state.WatchCache // of the records of unfinished jobs
	ended  *summaryCache
}

// storedRecord is a job's record and the entry that it was read from. Without a record, the job is
// not stored.
type storedRecord struct {
	record *record.Record
	entry  state.Entry
}

func (s storedRecord) exists() bool { return s.record != nil }

// blocked reports that the job waits for its dependencies.
func (s storedRecord) blocked() bool {
	return s.exists() && s.entry.Key == record.WaitKey(s.record.Spec.ID)
}

// current reads a job's record as it was after the request began. Records of unfinished jobs are
// read from the copy, brought up to date once for all requests that wait; only those that are not
// in it cost a call each. A job that ends in between has its final record before its live one is
// removed, so reading the live one first misses nothing.
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

// stored reads a record from the copy, which must be as recent as the caller needs it, or else the
// final record from the store.
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

// live reads the record of an unfinished job from the copy, however old that is. A cancellation
// stored apart from the record is applied to it.
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

// decodeClaimable reads the record of a job without open dependencies, and applies its cancellation
// if there is one.
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

// lastKnown is the record of an unfinished job in the copy, however old that is; nil if there is
// none that can be read.
func (r *recordReader) lastKnown(id ids.Job) *record.Record {
	stored, err := r.live(id)
	if err != nil {
		return nil
	}
	return stored.record
}

// blocked reports that a job waits for its dependencies, as the copy has it.
func (r *recordReader) blocked(id ids.Job) bool {
	entry, found, _ := r.mirror.GetFirst(record.JobKey(id), record.WaitKey(id))
	return found && entry.Key == record.WaitKey(id)
}

// unreadable logs a value that can't be decoded. Its cause is for the log alone: to the caller the
// job is unavailable.
func unreadable(entry state.Entry, err error) error {
	slog.Error("unreadable record", "key", entry.Key, "err", err)
	return errUnavailable
}
