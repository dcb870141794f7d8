package record

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// A job with unfinished dependencies is stored at a key below WaitPrefix until all of them are done. One
// transaction then moves it to a key of schedulable jobs. So a waiting job counts towards no limit and
// has no position in the queue, without code that excludes it.
//
// Versions of this program without dependencies watch the same prefix. They treat the value as unreadable
// and skip it, since it is a JSON list and not an object. So they neither start such a job too early nor
// write it back without the fields that they don't know.

// EncodeWaiting encodes the record of a job with unfinished dependencies in at most limit bytes, without
// changing the record itself. The record may use the whole value, since no task of the job is assigned
// yet. If it does not fit, the names of the dependencies follow the record as packNames encodes them.
func (r *Record) EncodeWaiting(limit int) (json.RawMessage, bool) {
	if raw, err := json.Marshal([]*Record{r}); err == nil && len(raw) <= limit {
		return raw, true
	}
	names, err := json.Marshal(packNames(r.Spec.DependsOn))
	if err != nil {
		return nil, false
	}
	withoutNames := *r
	withoutNames.Spec.DependsOn = nil
	raw, ok := withoutNames.Encode(limit - len(names) - len("[,]"))
	if !ok {
		return nil, false
	}
	return fmt.Appendf(nil, "[%s,%s]", raw, names), true
}

// DecodeWaiting decodes both encodings of EncodeWaiting.
func DecodeWaiting(raw json.RawMessage) (*Record, error) {
	var parts []json.RawMessage
	if err := exactjson.Unmarshal(raw, &parts); err != nil {
		return nil, err
	}
	var r *Record
	if len(parts) == 0 || len(parts) > 2 || exactjson.Unmarshal(parts[0], &r) != nil || r == nil {
		return nil, fmt.Errorf("malformed record of a job with unfinished dependencies: %.80q", raw)
	}
	if len(parts) == 2 {
		var names string
		if err := exactjson.Unmarshal(parts[1], &names); err != nil {
			return nil, err
		}
		r.Spec.DependsOn = unpackNames(names)
	}
	return r, nil
}

// MaxSpecShare is the largest share of a value for the spec of a schedulable job. The rest is for the
// state that the job accumulates, such as assignments and events.
const MaxSpecShare = 0.6

// TrimDependencies removes the names of dependencies, all of which are done, if the spec would leave too
// little space in a value of limit bytes for the job's assignments.
func (r *Record) TrimDependencies(limit int) {
	raw, err := json.Marshal(&r.Spec)
	if err != nil || len(raw) > int(float64(limit)*MaxSpecShare) {
		r.Spec.DependsOn = nil
	}
}

// MarkCancelledBy marks the record of a job with unfinished dependencies as cancelled because one of
// them, the job by, was cancelled. Readers of the records treat such a job as cancelled from the moment of
// the dependency's cancellation, before this record is stored. The events are copied, since the caller may
// share the slice.
func (r *Record) MarkCancelledBy(by ids.Job) {
	r.Status = Cancelled
	r.CancelledBy = by
	events := append([]Event(nil), r.Events...)
	r.Events = append(events, Event{ids.TimestampOf(time.Now()), dependencyCancelledMessage(by)})
}

// dependencyCancelledMessage returns the event message of a job that was cancelled because one of its
// dependencies was.
func dependencyCancelledMessage(dependency ids.Job) string {
	return "cancelled: it needs " + string(dependency) + ", which was cancelled"
}

// EligibleSince returns the time when the job became eligible for scheduling: its submission, or the time
// when the last of its dependencies was done.
func (r *Record) EligibleSince() ids.Timestamp { return max(r.Submitted, r.ReadyAt) }

// DependencyWait returns how long the job waited for its dependencies. This time counts against its deadline.
func (r *Record) DependencyWait() time.Duration {
	return r.EligibleSince().Time().Sub(r.Submitted.Time())
}
