package intake

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// resolveDependencies encodes the record of a new job with dependencies and returns it with the key at which
// to store it. The states of the dependencies are read after the request began. If a dependency is
// cancelled, the job is stored as cancelled. If all are done, which is final, the job is stored as
// schedulable.
func (s *JobService) resolveDependencies(ctx context.Context, rec *record.Record) (key string, value json.RawMessage, err error) {
	unfinished, cancelledJob, err := s.unfinishedDependencies(ctx, rec.Spec.DependsOn)
	if err != nil {
		return "", nil, err
	}
	id, limit := rec.Spec.ID, s.valueLimit()
	fits := false
	switch {
	case cancelledJob != "":
		rec.MarkCancelledBy(cancelledJob)
		key = record.FinalRecordKey(id)
		value, fits = rec.Encode(limit)
	case len(unfinished) > 0:
		key = record.WaitKey(id)
		value, fits = encodeBlocked(rec, unfinished, limit)
		if !fits {
			return "", nil, errTooManyDependencies
		}
	default:
		rec.ReadyAt = ids.TimestampOf(time.Now())
		key = record.JobKey(id)
		value, fits = rec.Encode(int(float64(limit) * record.MaxSpecShare))
	}
	if !fits {
		return "", nil, errDescriptionTooLarge
	}
	return key, value, nil
}

// encodeBlocked encodes the record of a job that waits for its dependencies. If the record does not fit with
// all of its dependencies, only the unfinished ones are kept.
func encodeBlocked(rec *record.Record, unfinished []ids.Job, limit int) (value json.RawMessage, fits bool) {
	if value, fits := rec.EncodeWaiting(limit); fits {
		return value, true
	}
	rec.Spec.DependsOn = unfinished
	return rec.EncodeWaiting(limit)
}

// unfinishedDependencies returns the dependencies of a submitted job that are not done. If a direct or
// indirect dependency is cancelled, cancelledJob is that job. Every dependency must have been accepted,
// and none may be a service, because services never finish; otherwise the error is a rejectedError.
func (s *JobService) unfinishedDependencies(ctx context.Context, dependencies []ids.Job) (unfinished []ids.Job, cancelledJob ids.Job, err error) {
	reader := newDependencyReader(s.records(), state.Sheddable)
	if err := reader.prefetch(ctx, dependencies); err != nil {
		return nil, "", err
	}
	for _, id := range dependencies {
		dependency, err := reader.read(ctx, id)
		switch {
		case err != nil:
			return nil, "", err
		case !dependency.accepted:
			return nil, "", rejectedError{"awaits " + string(id) + ", which was never accepted"}
		case dependency.summary.service:
			return nil, "", rejectedError{"awaits " + string(id) + ", a service: it is never done"}
		case dependency.cancelledJob != "" && cancelledJob == "":
			cancelledJob = dependency.cancelledJob
		case dependency.summary.status != statusDone:
			unfinished = append(unfinished, id)
		}
	}
	return unfinished, cancelledJob, nil
}
