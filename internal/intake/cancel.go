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

// cancelAttempts bounds how often a cancellation is retried because the record changed meanwhile,
// or because it has to be stored in another form.
const cancelAttempts = 6

// leaderNoticeTimeout bounds how long the answer to a committed cancellation of assigned tasks
// waits until the leader knows of it. The leader finds out by itself soon after; but whoever is
// told that a job is cancelled should not see a task of it start.
const leaderNoticeTimeout = 200 * time.Millisecond

// cancel ends a job without assigned tasks at once. For any other job it stores the request, which
// the leader carries out. Either is committed before the user is told. found is false for a job
// that was never accepted.
func (s *JobService) cancel(ctx context.Context, id ids.Job) (summary jobSummary, found bool, err error) {
	if summary, known := s.ended.get(id); known {
		return summary, true, nil
	}
	for range cancelAttempts {
		stored, err := s.records().current(ctx, id, state.Sheddable)
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
		epoch, err := s.Store.Commit(ctx, write.txn, state.Sheddable)
		var conflict *state.ConflictError
		switch {
		case err == nil:
			s.announceCancellation(ctx, rec, write, ids.Revision(epoch))
			return summarize(rec), true, nil
		case errors.As(err, &conflict):
			continue
		case write.aboveLowerLimit && errors.Is(err, state.ErrMalformed):
			slog.Info("the state service has its lower limits now")
			s.valueLimitFell.Store(true)
			continue
		default:
			return jobSummary{}, false, unavailable(err)
		}
	}
	return jobSummary{}, false, errUnavailable
}

// cancelWrite is a cancellation about to be stored.
type cancelWrite struct {
	txn state.Txn
	// notifyLeader tells that the leader knows the job and is to hear of the write.
	notifyLeader bool
	// aboveLowerLimit tells that the value fits the store's present limit, not the lower one to
	// come.
	aboveLowerLimit bool
}

// planCancellation changes a job's record to cancelled, or to being cancelled, and returns the
// transaction that stores that if the record has not changed in the store.
func (s *JobService) planCancellation(stored storedRecord) (cancelWrite, error) {
	rec, entry := stored.record, stored.entry
	rec.Writer, rec.Seq = s.Writer, rec.Seq+1
	unchanged := []state.Condition{
		{Key: entry.Key, Revision: entry.Revision},
		{Key: record.CancelKey(rec.Spec.ID)},
	}
	if len(rec.Assignments) == 0 {
		return s.endCancelled(stored, unchanged)
	}
	return s.requestCancellation(stored, unchanged), nil
}

// endCancelled replaces the record of a job without assigned tasks by its final one.
func (s *JobService) endCancelled(stored storedRecord, unchanged []state.Condition) (cancelWrite, error) {
	rec, entry := stored.record, stored.entry
	rec.Status = record.Cancelled
	rec.Events = append(rec.Events, record.Event{At: ids.TimestampOf(time.Now()), Message: record.CancelledByUser})
	value, fits := rec.EncodeFinal(s.valueLimit())
	if !fits {
		return cancelWrite{}, errUnavailable
	}
	finalKey := record.EndKey(rec.Spec.ID)
	return cancelWrite{
		txn: state.Txn{
			Conditions: append(unchanged, state.Condition{Key: finalKey}),
			Ops:        []state.Op{{Remove: entry.Key}, {Put: finalKey, Value: value}},
		},
		notifyLeader: !stored.blocked(), // the leader follows the blocked jobs
	}, nil
}

// requestCancellation marks the record of a job with assigned tasks as being cancelled. If the
// store no longer takes a record of that size, the request is stored at a key of its own.
func (s *JobService) requestCancellation(stored storedRecord, unchanged []state.Condition) cancelWrite {
	rec, entry := stored.record, stored.entry
	write := cancelWrite{txn: state.Txn{Conditions: unchanged}}
	mark := record.Cancellation{At: ids.TimestampOf(time.Now()), Writer: s.Writer}
	mark.ApplyTo(rec)
	value, fits := rec.Encode(s.valueLimit())
	if !fits && !s.valueLimitFell.Load() {
		// The record was written when values might be larger. As long as they may, it is
		// stored where versions from before the lower limits look for it too.
		value, fits = rec.Encode(int(s.Settings.Params.State.CurrentValueBytes()))
		write.aboveLowerLimit = fits
	}
	if fits {
		write.notifyLeader = true
		write.txn.Ops = []state.Op{{Put: entry.Key, Value: value}}
		return write
	}
	write.txn.Ops = []state.Op{{Put: record.CancelKey(rec.Spec.ID), Value: mark.Encode()}}
	return write
}

// announceCancellation remembers a stored cancellation and has the leader notified of it. While
// tasks are assigned it waits for the leader, which may be about to start some of them.
func (s *JobService) announceCancellation(ctx context.Context, rec *record.Record, write cancelWrite, revision ids.Revision) {
	if rec.Status.IsTerminal() {
		s.ended.add(rec)
		if write.notifyLeader {
			s.LeaderNotifier.NotifyLeader(rec.Spec.ID, revision, nil, nil)
		}
		return
	}
	if !write.notifyLeader {
		return // the leader follows what is stored apart from records
	}
	notified := s.LeaderNotifier.NotifyLeader(rec.Spec.ID, revision, rec, write.txn.Ops[0].Value)
	select {
	case <-notified:
	case <-time.After(leaderNoticeTimeout):
	case <-ctx.Done():
	}
}
