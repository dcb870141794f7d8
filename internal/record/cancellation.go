package record

import (
	"encoding/json"
	"fmt"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// A cancellation is usually stored in the job's own record. A record that was written while the store
// accepted larger values may no longer fit into a value, and becomes smaller only as its tasks end. The
// cancellation of such a job is stored at a key of its own, with a value small enough for any limit. The
// record with its assignments stays unchanged until the leader replaces both by the final record, in one
// transaction.
//
// Versions of this program that do not know the key treat its value as an unreadable record and skip it,
// since it is a JSON list and not an object. They would continue the job. So the key is written only after
// the store has rejected a value because of its size, which happens only when every process runs the
// newer version.

// CancelPrefix is the prefix of the keys of cancellations that are stored apart from the job's record.
const CancelPrefix = JobPrefix + "cancel/"

// CancelKey returns the key of a job's cancellation that is stored apart from its record.
func CancelKey(job ids.Job) string { return CancelPrefix + string(job) }

// CancelledByUser is the message of the event that records a user's cancellation in a job's event history.
const CancelledByUser = "cancelled by its user"

// Cancellation is a user's cancellation of a job, stored apart from the job's record.
type Cancellation struct {
	At     ids.Timestamp `json:"at"`
	Writer string        `json:"writer"`
}

// Encode encodes a cancellation as a JSON list of one element.
func (c Cancellation) Encode() json.RawMessage {
	raw, err := json.Marshal([]Cancellation{c})
	if err != nil {
		panic(err) // impossible: a number and a string can always be encoded
	}
	return raw
}

// DecodeCancellation decodes the encoding of Cancellation.Encode.
func DecodeCancellation(raw json.RawMessage) (Cancellation, error) {
	var list []Cancellation
	if err := exactjson.Unmarshal(raw, &list); err != nil {
		return Cancellation{}, err
	}
	if len(list) != 1 {
		return Cancellation{}, fmt.Errorf("malformed cancellation, want a JSON list of one element: %.80q", raw)
	}
	return list[0], nil
}

// ApplyTo sets the status of a record to Cancelling and adds the event of the cancellation. It does not
// change a record whose status does not allow the transition.
func (c Cancellation) ApplyTo(r *Record) {
	if !r.Status.CanBecome(Cancelling) {
		return
	}
	r.Status = Cancelling
	r.Events = append(r.Events, Event{c.At, CancelledByUser})
}
