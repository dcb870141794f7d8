package intake

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// maxCancelAttempts limits the attempts to store a cancellation. An attempt is repeated if the record has
// changed in the meantime, or if the cancellation has to be stored in another form.
const maxCancelAttempts = 6

// leaderNotifyTimeout limits how long the response to a committed cancellation is delayed until the leader
// has been notified, if the job has assigned tasks. The leader also reads the change from the store soon
// after, but no task should start after the job was reported to its user as cancelled.
const leaderNotifyTimeout = 200 * time.Millisecond

// cancel cancels a job. It stores the final record of a job without assigned tasks. For any other job it
// stores a cancellation request, which the leader carries out. It returns after the transaction has been
// committed. found is false for a job that was never accepted.
func (s *JobService) cancel(ctx context.Context, id ids.Job) (summary jobSummary, found bool, err error) {
	if summary, known := s.endedJobs.get(id); known {
		return summary, true, nil
	}
	for range maxCancelAttempts {
		stored, err := s.records().currentRecord(ctx, id, state.Sheddable)
		if err != nil || !stored.exists() {
			return jobSummary{}, false, err
		}
		rec := stored.record
		if rec.Status.IsTerminal() || rec.Status == record.Cancelling {
			return summarize(rec), true, nil
		}
		write, err := s.planCancellation(stored)
		if err != nil {
			return jobSummary{}, false, err
		}
		storeRevision, err := s.Store.Commit(ctx, write.txn, state.Sheddable)
		var conflict *state.ConflictError
		switch {
		case err == nil:
			s.notifyCancellation(ctx, rec, write, ids.Revision(storeRevision))
			return summarize(rec), true, nil
		case errors.As(err, &conflict):
			continue
		case write.exceedsNextLimit && errors.Is(err, state.ErrMalformed):
			slog.Info("state service rejected a value that exceeds the announced lower size limit; writing smaller values from now on")
			s.valueLimitLowered.Store(true)
			continue
		default:
			return jobSummary{}, false, wrapUnavailable(err)
		}
	}
	return jobSummary{}, false, errUnavailable
}

// cancelWrite is the planned transaction that stores a cancellation.
type cancelWrite struct {
	txn state.Txn
	// notifyLeader is set if the leader knows the job and must be notified of the write.
	notifyLeader bool
	// exceedsNextLimit is set if the value fits the store's current size limit but exceeds the lower limit
	// that has been announced.
	exceedsNextLimit bool
}

// planCancellation changes the status of a job's record to cancelled or cancelling. The transaction that it
// returns stores the change on the condition that the stored record is unchanged.
func (s *JobService) planCancellation(stored recordEntry) (cancelWrite, error) {
	rec, entry := stored.record, stored.entry
	rec.Writer, rec.Seq = s.Writer, rec.Seq+1
	unchanged := []state.Condition{
		{Key: entry.Key, Revision: entry.Revision},
		{Key: record.CancelKey(rec.Spec.ID)},
	}
	if len(rec.Assignments) == 0 {
		return s.planFinalRecord(stored, unchanged)
	}
	return s.planCancellationRequest(stored, unchanged), nil
}

// planFinalRecord plans to replace the live record of a job without assigned tasks by its final record.
func (s *JobService) planFinalRecord(stored recordEntry, unchanged []state.Condition) (cancelWrite, error) {
	rec, entry := stored.record, stored.entry
	rec.Status = record.Cancelled
	rec.Events = append(rec.Events, record.Event{At: ids.TimestampOf(time.Now()), Message: record.CancelledByUser})
	value, fits := rec.EncodeFinal(s.valueLimit())
	if !fits {
		return cancelWrite{}, errUnavailable
	}
	finalKey := record.FinalRecordKey(rec.Spec.ID)
	return cancelWrite{
		txn: state.Txn{
			Conditions: append(unchanged, state.Condition{Key: finalKey}),
			Ops:        []state.Op{{Remove: entry.Key}, {Put: finalKey, Value: value}},
		},
		notifyLeader: !stored.isBlocked(), // the leader watches the records of blocked jobs
	}, nil
}

// planCancellationRequest plans to change the status of a job with assigned tasks to cancelling. If the
// record exceeds the size limit of the store, the cancellation is stored at a separate key.
func (s *JobService) planCancellationRequest(stored recordEntry, unchanged []state.Condition) cancelWrite {
	rec, entry := stored.record, stored.entry
	write := cancelWrite{txn: state.Txn{Conditions: unchanged}}
	cancellation := record.Cancellation{At: ids.TimestampOf(time.Now()), Writer: s.Writer}
	cancellation.ApplyTo(rec)
	value, fits := rec.Encode(s.valueLimit())
	if !fits && !s.valueLimitLowered.Load() {
		// The record was encoded under the current, higher size limit. While the store still applies that
		// limit, the cancellation is stored in the record, where program versions that do not know the
		// separate key find it too.
		value, fits = rec.Encode(int(s.Settings.Params.State.CurrentValueBytes()))
		write.exceedsNextLimit = fits
	}
	if fits {
		write.notifyLeader = true
		write.txn.Ops = []state.Op{{Put: entry.Key, Value: value}}
		return write
	}
	write.txn.Ops = []state.Op{{Put: record.CancelKey(rec.Spec.ID), Value: cancellation.Encode()}}
	return write
}

// notifyCancellation notifies the leader of a stored cancellation, and caches the summary of the job if it
// has ended. If the job has assigned tasks, it waits for the notification, because the leader may be about
// to start some of them.
func (s *JobService) notifyCancellation(ctx context.Context, rec *record.Record, write cancelWrite, revision ids.Revision) {
	if rec.Status.IsTerminal() {
		s.endedJobs.add(rec)
		if write.notifyLeader {
			s.LeaderNotifier.NotifyLeader(rec.Spec.ID, revision, nil, nil)
		}
		return
	}
	if !write.notifyLeader {
		return // the leader watches the keys of separately stored cancellations
	}
	notified := s.LeaderNotifier.NotifyLeader(rec.Spec.ID, revision, rec, write.txn.Ops[0].Value)
	select {
	case <-notified:
	case <-time.After(leaderNotifyTimeout):
	case <-ctx.Done():
	}
}
