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
	store     *state.Client
	cache     *state.WatchCache // of the records of unfinished jobs
	endedJobs *summaryCache
}

// recordEntry is a job's record with the store entry from which it was decoded. record is nil if the store
// has none for the job.
type recordEntry struct {
	record *record.Record
	entry  state.Entry
}

func (e recordEntry) exists() bool { return e.record != nil }

// isBlocked reports whether the job waits for its dependencies.
func (e recordEntry) isBlocked() bool {
	return e.exists() && e.entry.Key == record.WaitKey(e.record.Spec.ID)
}

// currentRecord returns a job's record as it was at some moment after the call began. It reads records of
// unfinished jobs from the watch cache, which is synchronized once for all waiting requests; only records
// that are not in the cache require a call each. The final record of an ending job is written no later
// than its live record is removed, so reading the live record first cannot miss the job.
func (r *recordReader) currentRecord(ctx context.Context, id ids.Job, priority state.Priority) (recordEntry, error) {
	if r.store.Unavailable() {
		return recordEntry{}, errStoreUnavailable
	}
	if err := r.cache.Sync(ctx); err != nil {
		return recordEntry{}, wrapUnavailable(err)
	}
	storedRecord, err := r.storedRecord(ctx, id, priority)
	if err != nil {
		return recordEntry{}, err
	}
	if storedRecord.isBlocked() {
		cancelledJob, err := newDependencyReader(r, priority).findCancelledDependency(ctx, storedRecord.record)
		if err != nil {
			return recordEntry{}, err
		}
		if cancelledJob != "" {
			storedRecord.record.MarkCancelledBy(cancelledJob)
		}
	}
	if storedRecord.exists() && storedRecord.record.Status.IsTerminal() {
		r.endedJobs.add(storedRecord.record)
	}
	return storedRecord, nil
}

// storedRecord returns a job's live record from the watch cache, which must be as recent as the caller
// requires, or else its final record from the store.
func (r *recordReader) storedRecord(ctx context.Context, id ids.Job, priority state.Priority) (recordEntry, error) {
	liveRecord, err := r.liveRecord(id)
	if err != nil || liveRecord.exists() {
		return liveRecord, err
	}
	entry, found, err := r.store.Get(ctx, record.FinalRecordKey(id), priority)
	if err != nil {
		return recordEntry{}, wrapUnavailable(err)
	}
	if !found {
		return recordEntry{}, nil
	}
	rec, err := record.Decode(entry.Value)
	if err != nil {
		return recordEntry{}, logUndecodable(entry, err)
	}
	return recordEntry{rec, entry}, nil
}

// liveRecord returns the record of an unfinished job from the watch cache, regardless of the age of the
// cache. It applies a cancellation that is stored at a separate key.
func (r *recordReader) liveRecord(id ids.Job) (recordEntry, error) {
	entries, ready := r.cache.GetMany(record.JobKey(id), record.WaitKey(id), record.CancelKey(id))
	if !ready {
		return recordEntry{}, errUnavailable
	}
	unblockedEntry, blockedEntry, cancellationEntry := entries[0], entries[1], entries[2]
	switch {
	case unblockedEntry.Key != "":
		return decodeUnblocked(unblockedEntry, cancellationEntry)
	case blockedEntry.Key != "":
		rec, err := record.DecodeWaiting(blockedEntry.Value)
		if err != nil {
			return recordEntry{}, logUndecodable(blockedEntry, err)
		}
		return recordEntry{rec, blockedEntry}, nil
	default:
		return recordEntry{}, nil
	}
}

// decodeUnblocked decodes the record of a job without unfinished dependencies, and applies the separately
// stored cancellation if there is one.
func decodeUnblocked(entry, cancellationEntry state.Entry) (recordEntry, error) {
	rec, err := record.Decode(entry.Value)
	if err != nil {
		return recordEntry{}, logUndecodable(entry, err)
	}
	if cancellationEntry.Key != "" {
		cancellation, err := record.DecodeCancellation(cancellationEntry.Value)
		if err != nil {
			return recordEntry{}, logUndecodable(cancellationEntry, err)
		}
		cancellation.ApplyTo(rec)
	}
	return recordEntry{rec, entry}, nil
}

// lastKnownRecord returns the record of an unfinished job from the watch cache, regardless of the age of the
// cache. It returns nil if the cache contains no record that can be decoded.
func (r *recordReader) lastKnownRecord(id ids.Job) *record.Record {
	stored, err := r.liveRecord(id)
	if err != nil {
		return nil
	}
	return stored.record
}

// isBlocked reports whether a job waits for its dependencies according to the watch cache.
func (r *recordReader) isBlocked(id ids.Job) bool {
	entry, found, _ := r.cache.GetFirst(record.JobKey(id), record.WaitKey(id))
	return found && entry.Key == record.WaitKey(id)
}

// logUndecodable logs the decoding error of a store entry and returns errUnavailable: the cause goes only
// to the log.
func logUndecodable(entry state.Entry, err error) error {
	slog.Error("cannot decode a stored record", "key", entry.Key, "err", err)
	return errUnavailable
}
