package record

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// A job with unfinished dependencies is stored at a key of its own until all of them are done,
// and then moves to the keys of schedulable jobs, in one transaction. So it counts towards no
// limit and has no position in the queue without any code having to exclude it.
//
// Versions of this program from before dependencies watch the same prefix. They take the value
// for unreadable and skip it, since it is a JSON list and not an object: so they neither start
// such a job too early nor write it back without the fields that they don't know.

// EncodeWaiting writes the record of a job with unfinished dependencies. It may use the whole
// value, since no task of the job is assigned meanwhile. If the names of the dependencies do not
// fit spelled out, they follow the record in the form of packNames. The record itself stays as it
// is.
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

// DecodeWaiting reads what EncodeWaiting wrote, in either form.
func DecodeWaiting(raw json.RawMessage) (*Record, error) {
	var parts []json.RawMessage
	if err := json.Unmarshal(raw, &parts); err != nil {
		return nil, err
	}
	var r *Record
	if len(parts) == 0 || len(parts) > 2 || json.Unmarshal(parts[0], &r) != nil || r == nil {
		return nil, fmt.Errorf("not the record of a job that waits: %.80q", raw)
	}
	if len(parts) == 2 {
		var names string
		if err := json.Unmarshal(parts[1], &names); err != nil {
			return nil, err
		}
		r.Spec.DependsOn = unpackNames(names)
	}
	return r, nil
}

// MaxSpecShare is the share of a value that the spec of a schedulable job may take: the rest
// is for the state that it accumulates, such as assignments and events.
const MaxSpecShare = 0.6

// TrimDependencies drops the names of dependencies, which are all done, if they would leave too little
// of a value of limit bytes for the job's assignments.
func (r *Record) TrimDependencies(limit int) {
	raw, err := json.Marshal(&r.Spec)
	if err != nil || len(raw) > int(float64(limit)*MaxSpecShare) {
		r.Spec.DependsOn = nil
	}
}

// MarkCancelledBy turns the record of a job with unfinished dependencies into that of a job cancelled
// because the dependency by was cancelled. Such a job counts as cancelled from that moment on for
// everyone who reads the records, before anything is stored. The events of the record are copied,
// since the caller may share them.
func (r *Record) MarkCancelledBy(by ids.Job) {
	r.Status = Cancelled
	r.CancelledBy = by
	events := append([]Event(nil), r.Events...)
	r.Events = append(events, Event{ids.TimestampOf(time.Now()), dependencyCancelledMessage(by)})
}

// dependencyCancelledMessage is the event of a job that was cancelled with one of its
// dependencies.
func dependencyCancelledMessage(dependency ids.Job) string {
	return "cancelled: it needs " + string(dependency) + ", which was cancelled"
}

// EligibleSince is when the job became eligible for scheduling: at its submission, or when the last of
// its dependencies was done.
func (r *Record) EligibleSince() ids.Timestamp { return max(r.Submitted, r.ReadyAt) }

// DependencyWait is how long the job waited for its dependencies, which counts against its deadline.
func (r *Record) DependencyWait() time.Duration {
	return r.EligibleSince().Time().Sub(r.Submitted.Time())
}
