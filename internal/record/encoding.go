package record

import (
	"encoding/json"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Decode reads the record of a job that has no unfinished dependencies, or of one that ended.
func Decode(raw json.RawMessage) (*Record, error) {
	r := &Record{}
	return r, json.Unmarshal(raw, r)
}

// Encode writes the record of a job without unfinished dependencies into at most limit bytes.
// What does not fit is dropped from the record itself: first the names of its dependencies,
// which no longer matter, then the oldest events. It returns false if even that does not fit.
func (r *Record) Encode(limit int) (json.RawMessage, bool) {
	for {
		raw, err := json.Marshal(r)
		switch {
		case err != nil:
			return nil, false
		case len(raw) <= limit:
			return raw, true
		case len(r.Spec.DependsOn) > 0:
			r.Spec.DependsOn = nil
		case len(r.Events) > 0:
			r.Events = r.Events[1:]
		default:
			return nil, false
		}
	}
}

// EncodeFinal writes the record of a job that ended into at most limit bytes and leaves the
// record itself as it is. The last event, which tells how the job ended, stays as long as
// anything else can be dropped: older events first, then the names of its dependencies and which
// of its tasks were done, of which only the number is still of use.
func (r *Record) EncodeFinal(limit int) (json.RawMessage, bool) {
	final := *r
	final.Evictions = nil // no task is to run again
	for {
		raw, err := json.Marshal(&final)
		if err != nil {
			return nil, false
		}
		if len(raw) <= limit {
			return raw, true
		}
		if len(final.Events) < 2 {
			break
		}
		final.Events = final.Events[1:]
	}
	final.Spec.DependsOn = nil
	final.Finished = ids.FirstIndexes(final.Finished.Len())
	return final.Encode(limit)
}
