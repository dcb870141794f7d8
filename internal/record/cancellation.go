package record

import (
	"encoding/json"
	"fmt"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// A cancellation is usually stored in the job's own record. A record written while the
// state service took larger values may not fit any more, and becomes smaller only as its
// tasks end. The cancellation of such a job is stored at a key of its own, which any
// limit has room for; the record with its places stays as it is until the leader replaces
// both by the final record, in one transaction.
//
// Versions of this program that do not know the key take its value for an unreadable
// record and pass over it, since it is a list and no object. They would go on with the
// job, so the key is written only after the service has refused a value for its size:
// it does that only once every process has the newer version.

// CancelPrefix is where cancellations are kept whose job's record can't be rewritten.
const CancelPrefix = JobPrefix + "cancel/"

// CancelKey is the key of a job's cancellation, if it is stored apart from its record.
func CancelKey(j ids.Job) string { return CancelPrefix + string(j) }

// Cancellation is what is stored there.
type Cancellation struct {
	At     ids.Wall `json:"at"`
	Writer string   `json:"writer"`
}

// Encode writes a cancellation as a list of one.
func (c Cancellation) Encode() json.RawMessage {
	raw, err := json.Marshal([]Cancellation{c})
	if err != nil {
		panic(err) // a number and a string always encode
	}
	return raw
}

// DecodeCancellation reads what Encode wrote.
func DecodeCancellation(raw json.RawMessage) (Cancellation, error) {
	var list []Cancellation
	if err := json.Unmarshal(raw, &list); err != nil {
		return Cancellation{}, err
	}
	if len(list) != 1 {
		return Cancellation{}, fmt.Errorf("not a cancellation: %.80q", raw)
	}
	return list[0], nil
}

// ApplyTo turns the record of an unfinished job into that of one being cancelled.
func (c Cancellation) ApplyTo(r *Record) {
	if !r.Status.May(Cancelling) {
		return
	}
	r.Status = Cancelling
	r.Trail = append(r.Trail, Event{c.At, CancelledByUser})
}

// CancelledByUser is the event of a cancellation in a job's trail.
const CancelledByUser = "cancelled by its user"
