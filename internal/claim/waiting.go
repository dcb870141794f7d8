package claim

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

// WaitKey is the key of a job that waits for others.
func WaitKey(j ids.Job) string { return WaitPrefix + string(j) }

// keyKind is what is kept at a key below JobPrefix.
type keyKind int

const (
	liveRecord keyKind = iota
	waitingRecord
	storedCancellation
)

// keyed tells which job a key below JobPrefix belongs to, and what is kept there.
func keyed(key string) (ids.Job, keyKind) {
	if id, ok := strings.CutPrefix(key, WaitPrefix); ok {
		return ids.Job(id), waitingRecord
	}
	if id, ok := strings.CutPrefix(key, CancelPrefix); ok {
		return ids.Job(id), storedCancellation
	}
	return ids.Job(strings.TrimPrefix(key, JobPrefix)), liveRecord
}

// EncodeWaiting writes the record of a job that waits.
func (r *Record) EncodeWaiting(limit int) (json.RawMessage, bool) {
	raw, ok := r.Encode(limit - 2)
	if !ok {
		return nil, false
	}
	return append(append(json.RawMessage{'['}, raw...), ']'), true
}

// DecodeWaiting reads what EncodeWaiting wrote.
func DecodeWaiting(raw json.RawMessage) (*Record, error) {
	var list []*Record
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, err
	}
	if len(list) != 1 || list[0] == nil {
		return nil, fmt.Errorf("not the record of a job that waits: %.80q", raw)
	}
	return list[0], nil
}

// EndedBy words the record of a job that waits as cancelled because one that it needs
// is. That is so by definition, whoever reads the records, from when that one is.
func (r *Record) EndedBy(by ids.Job) {
	r.Status = Cancelled
	r.Trail = append(r.Trail, Event{ids.WallOf(time.Now()), cancelledText(by)})
}

// since is from when on a job's waiting counts: its submission, or the moment when
// the last job that it awaited was done.
func (r *Record) since() ids.Wall { return max(r.Submitted, r.Ready) }

// awaited is how long a job waited for others, which takes from the time that its
// deadline leaves.
func (r *Record) awaited() time.Duration { return r.since().Time().Sub(r.Submitted.Time()) }
