package record

import (
	"encoding/json"
	"fmt"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// A cancellation is usually stored in the job's own record. A record written while the
// key-value store accepted larger values may not fit any more, and becomes smaller only as its
// tasks end. The cancellation of such a job is stored at a key of its own, which any limit has
// room for; the record with its assignments stays as it is until the leader replaces both by the
// final record, in one transaction.
//
// Versions of this program that do not know the key take its value for an unreadable record and
// skip it, since it is a JSON list and not an object. They would go on with the job, so the key
// is written only after the store has refused a value for its size: it does that only once every
// process has the newer version.

// CancelPrefix is the prefix of cancellations that are stored apart from the job's record.
const CancelPrefix = JobPrefix + "cancel/"

// CancelKey is the key of a job's cancellation, if it is stored apart from its record.
func CancelKey(job ids.Job) string { return CancelPrefix + string(job) }

// CancelledByUser is the event of a cancellation in a job's event history.
const CancelledByUser = "cancelled by its user"

// Cancellation is a user's cancellation of a job, stored apart from the job's record.
type Cancellation struct {
	At     ids.Timestamp `json:"at"`
	Writer string        `json:"writer"`
}

// Encode writes a cancellation as a JSON list of one.
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

// ApplyTo turns the record of an unfinished job into that of one being cancelled. A record whose
// status does not allow that stays as it is.
func (c Cancellation) ApplyTo(r *Record) {
	if !r.Status.CanBecome(Cancelling) {
		return
	}
	r.Status = Cancelling
	r.Events = append(r.Events, Event{c.At, CancelledByUser})
}
