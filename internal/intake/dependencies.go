package intake

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// resolveDependencies decides at which key the record of a new job with dependencies is stored, and
// encodes it. The dependencies were read after the request began. If one of them is cancelled, so
// is the job from the start; if all are done, the job has none any more, since that never changes.
func (s *JobService) resolveDependencies(ctx context.Context, rec *record.Record) (key string, value json.RawMessage, err error) {
	open, cause, err := s.openDependencies(ctx, rec.Spec.DependsOn)
	if err != nil {
		return "", nil, err
	}
	id, limit := rec.Spec.ID, s.valueLimit()
	fits := false
	switch {
	case cause != "":
		rec.MarkCancelledBy(cause)
		key = record.EndKey(id)
		value, fits = rec.Encode(limit)
	case len(open) > 0:
		key = record.WaitKey(id)
		value, fits = encodeBlocked(rec, open, limit)
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

// encodeBlocked writes the record of a job that waits for its dependencies. If it does not fit with
// all of them, those that are done already are left out.
func encodeBlocked(rec *record.Record, open []ids.Job, limit int) (value json.RawMessage, fits bool) {
	if value, fits := rec.EncodeWaiting(limit); fits {
		return value, true
	}
	rec.Spec.DependsOn = open
	return rec.EncodeWaiting(limit)
}

// openDependencies lists the dependencies of a submitted job that are not done, and the cancelled
// job that ends the new one from the start, if there is any. All dependencies must have been
// accepted, and none be a service, which is never done.
func (s *JobService) openDependencies(ctx context.Context, dependencies []ids.Job) (open []ids.Job, cause ids.Job, err error) {
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
		case dependency.cause != "" && cause == "":
			cause = dependency.cause
		case dependency.summary.status != statusDone:
			open = append(open, id)
		}
	}
	return open, cause, nil
}
