package record

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// A job that awaits others is kept at a key of its own until all of them are done,
// and then moves to where the claimable ones are, in one transaction. So it holds no
// part of any limit and no place in the queue without anybody having to see to that.
//
// Versions of this program from before pipelines follow the same prefix. They take
// the value for unreadable and pass over it, since it is a list and no object: so
// they neither start such a job too early nor write it back without what they don't
// know of it.

// EncodeWaiting writes the record of a job that waits. It may take all of a value, since
// nothing of the job is placed meanwhile. If the names of what it awaits do not fit
// spelled out, they follow the record as packed names.
func (r *Record) EncodeWaiting(limit int) (json.RawMessage, bool) {
	if raw, err := json.Marshal([]*Record{r}); err == nil && len(raw) <= limit {
		return raw, true
	}
	names, err := json.Marshal(packNames(r.Spec.Awaits))
	if err != nil {
		return nil, false
	}
	bare := *r
	bare.Spec.Awaits = nil
	raw, ok := bare.Encode(limit - len(names) - len("[,]"))
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
		r.Spec.Awaits = unpackNames(names)
	}
	return r, nil
}

// packNames writes job names as what all of them begin with, a colon, and the rest of
// each.
func packNames(names []ids.Job) string {
	if len(names) == 0 {
		return ":"
	}
	prefix := string(names[0])
	for _, name := range names {
		prefix = alike(prefix, string(name))
	}
	rests := make([]string, len(names))
	for k, name := range names {
		rests[k] = string(name)[len(prefix):]
	}
	return prefix + ":" + strings.Join(rests, " ")
}

// unpackNames reads what packNames wrote.
func unpackNames(text string) (names []ids.Job) {
	prefix, rests, _ := strings.Cut(text, ":")
	if prefix == "" {
		return nil
	}
	for _, rest := range strings.Split(rests, " ") {
		names = append(names, ids.Job(prefix+rest))
	}
	return names
}

// DescribedShare is how much of a value the description of a claimable job may take: the
// rest is for what becomes of it.
const DescribedShare = 0.6

// LeaveRoom forgets what a job awaited, now that it awaits nothing any more, if the
// names would leave too little of a value for its places.
func (r *Record) LeaveRoom(limit int) {
	if raw, err := json.Marshal(&r.Spec); err != nil || len(raw) > int(float64(limit)*DescribedShare) {
		r.Spec.Awaits = nil
	}
}

// EndedBy words the record of a job that waits as cancelled because one that it needs
// is. That is so by definition, whoever reads the records, from when that one is.
func (r *Record) EndedBy(by ids.Job) {
	r.Status, r.CancelledBy = Cancelled, by
	r.Trail = append(append([]Event(nil), r.Trail...), Event{ids.WallOf(time.Now()), cancelledText(by)})
}

// Since is from when on a job's waiting counts: its submission, or the moment when
// the last job that it awaited was done.
func (r *Record) Since() ids.Wall { return max(r.Submitted, r.Ready) }

// Awaited is how long a job waited for others, which takes from the time that its
// deadline leaves.
func (r *Record) Awaited() time.Duration { return r.Since().Time().Sub(r.Submitted.Time()) }

// cancelledText words why a job that waited is cancelled.
func cancelledText(by ids.Job) string {
	return "cancelled: it needs " + string(by) + ", which was cancelled"
}
