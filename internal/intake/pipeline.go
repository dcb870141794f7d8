package intake

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

var (
	errTooLarge   = errNever{"its description is too large to store"}
	errManyAwaits = errNever{"it awaits more jobs than can be stored with its description"}
)

// await decides where the record of a job that awaits others goes. What it awaits
// was read after the request began. It may be cancelled from the start; and if all it
// awaits is done, it awaits nothing any more, since that never changes.
func (d *JobService) await(ctx context.Context, rec *record.Record) (key string, raw json.RawMessage, err error) {
	open, by, err := d.unfinished(ctx, rec.Spec.Awaits)
	if err != nil {
		return "", nil, err
	}
	id, limit := rec.Spec.ID, int(d.Set.Params.State.ValueKB*1024)
	ok := false
	switch {
	case by != "":
		rec.EndedBy(by)
		key = record.EndKey(id)
		raw, ok = rec.Encode(limit)
	case len(open) > 0:
		key = record.WaitKey(id)
		raw, ok = encodeWaiting(rec, open, limit)
		if !ok {
			return "", nil, errManyAwaits
		}
	default:
		rec.Ready = ids.WallOf(time.Now())
		key = record.JobKey(id)
		raw, ok = rec.Encode(int(float64(limit) * record.DescribedShare))
	}
	if !ok {
		return "", nil, errTooLarge
	}
	return key, raw, nil
}

// encodeWaiting writes the record of a job that waits. Of what it awaits, the jobs that
// are done already may be left out if the record does not fit with them.
func encodeWaiting(rec *record.Record, open []ids.Job, limit int) (json.RawMessage, bool) {
	if raw, ok := rec.EncodeWaiting(limit); ok {
		return raw, true
	}
	rec.Spec.Awaits = open
	return rec.EncodeWaiting(limit)
}

// unfinished finds, among the jobs that a submission names, those that are not done, and
// a cancelled one that ends the new job from the start, if there is any. All of them
// must have been accepted, and none be a service.
func (d *JobService) unfinished(ctx context.Context, needs []ids.Job) (open []ids.Job, by ids.Job, err error) {
	s := d.newSurvey(state.Spare)
	if err := s.prefetch(ctx, needs); err != nil {
		return nil, "", err
	}
	for _, need := range needs {
		at, err := s.look(ctx, need)
		switch {
		case err != nil:
			return nil, "", err
		case !at.accepted:
			return nil, "", errNever{"awaits " + string(need) + ", which was never accepted"}
		case at.told.service:
			return nil, "", errNever{"awaits " + string(need) + ", a service: it is never done"}
		case at.cause != "" && by == "":
			by = at.cause
		case at.told.Status != "done":
			open = append(open, need)
		}
	}
	return open, by, nil
}

// cancelledBy is the cancelled job that ends one that waits; none if it still waits.
func (d *JobService) cancelledBy(ctx context.Context, r *record.Record, u state.Urgency) (ids.Job, error) {
	return d.newSurvey(u).causeOf(ctx, r)
}

// waits tells whether a job still waits for others, as this node knows.
func (d *JobService) waits(id ids.Job) bool {
	e, found, _ := d.Jobs.First(record.JobKey(id), record.WaitKey(id))
	return found && e.Key == record.WaitKey(id)
}
