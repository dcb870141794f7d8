package record

import (
	"encoding/json"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Decode decodes the record of a job without unfinished dependencies, or of a job that has ended.
func Decode(raw json.RawMessage) (*Record, error) {
	r := &Record{}
	return r, exactjson.Unmarshal(raw, r)
}

// Encode encodes the record of a job without unfinished dependencies in at most limit bytes. If it does
// not fit, Encode removes data from the record itself: first the names of the dependencies, which are no
// longer needed, then the oldest events. It returns false if the rest does not fit either.
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

// MinSize returns the size in bytes of the smallest encoding of the record: the one from which Encode has
// removed everything that it may remove.
func (r *Record) MinSize() (int, error) {
	smallest := *r
	smallest.Spec.DependsOn, smallest.Events = nil, nil
	raw, err := json.Marshal(&smallest)
	return len(raw), err
}

// EncodeFinal encodes the record of a job that has ended in at most limit bytes, without changing the
// record itself. If the record does not fit, EncodeFinal omits older events first, then the names of
// dependencies and the indexes of the done tasks, of which only the number is still needed. The last
// event, which states how the job ended, is omitted last.
func (r *Record) EncodeFinal(limit int) (json.RawMessage, bool) {
	final := *r
	final.Evictions = nil // not needed, since no task will run again
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
