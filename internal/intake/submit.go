package intake

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// submit accepts a job. It is idempotent: for a job that was accepted before, it returns the current
// summary and alreadyAccepted is true, regardless of the contents of the repeated request. The error is a
// rejectedError if the job can never run, otherwise errUnavailable.
func (s *JobService) submit(ctx context.Context, spec record.Spec) (summary jobSummary, alreadyAccepted bool, err error) {
	if summary, alreadyAccepted := s.endedJobs.get(spec.ID); alreadyAccepted {
		return summary, true, nil
	}
	rejection := s.checkFeasibility(&spec)
	rec := record.New(spec, ids.TimestampOf(time.Now()), s.Writer)
	value, fits := s.encodeUnblocked(*rec)
	if rejection == nil && !fits {
		rejection = errDescriptionTooLarge
	}
	if rejection != nil || len(spec.DependsOn) > 0 {
		// A job that was accepted once must never be rejected, so check for an existing record first.
		existing, err := s.records().currentRecord(ctx, spec.ID, state.Sheddable)
		switch {
		case err != nil:
			return jobSummary{}, false, err
		case existing.exists():
			return summarize(existing.record), true, nil
		case rejection != nil:
			return jobSummary{}, false, rejection
		}
	}
	key := record.JobKey(spec.ID)
	if len(spec.DependsOn) > 0 {
		if key, value, err = s.resolveDependencies(ctx, rec); err != nil {
			return jobSummary{}, false, err
		}
	}
	return s.storeSubmission(ctx, rec, key, value)
}

// storeSubmission stores a new job's record unless the store already has a record of the job.
func (s *JobService) storeSubmission(ctx context.Context, rec *record.Record, key string, value json.RawMessage) (summary jobSummary, alreadyAccepted bool, err error) {
	if s.Store.Unavailable() {
		return jobSummary{}, false, errStoreUnavailable
	}
	id := rec.Spec.ID
	storeRevision, err := s.Store.Commit(ctx, state.Txn{
		Conditions: []state.Condition{{Key: record.JobKey(id)}, {Key: record.WaitKey(id)}, {Key: record.FinalRecordKey(id)}},
		Ops:        []state.Op{{Put: key, Value: value}},
	}, state.Sheddable)
	var conflict *state.ConflictError
	switch {
	case err == nil:
		if key == record.JobKey(id) {
			s.LeaderNotifier.NotifyLeader(id, ids.Revision(storeRevision), rec, value)
		}
		if rec.Status.IsTerminal() {
			s.endedJobs.add(rec)
		}
		return summarize(rec), false, nil
	case errors.As(err, &conflict) || errors.Is(err, state.ErrOutcomeUnknown):
		return s.readBack(ctx, id)
	default:
		return jobSummary{}, false, wrapUnavailable(err)
	}
}

// readBack returns the stored summary of a job whose record may have been written by this or an earlier
// request.
func (s *JobService) readBack(ctx context.Context, id ids.Job) (summary jobSummary, alreadyAccepted bool, err error) {
	stored, err := s.records().currentRecord(ctx, id, state.Normal)
	switch {
	case err != nil:
		return jobSummary{}, false, err
	case !stored.exists():
		return jobSummary{}, false, errUnavailable
	}
	return summarize(stored.record), true, nil
}

// encodeUnblocked encodes the record of a job without unfinished dependencies. The spec must leave room
// in the value for the job's assignments.
func (s *JobService) encodeUnblocked(rec record.Record) (value json.RawMessage, fits bool) {
	rec.Spec.DependsOn = nil
	return rec.Encode(int(s.Settings.Params.State.ValueBytes() * record.MaxSpecShare))
}
