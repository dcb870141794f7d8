package claim

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
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

// LearnCancellation takes in that a job's cancellation is stored apart from its record,
// or, with removed, that it is no longer.
func (b *ClusterState) LearnCancellation(id ids.Job, stamp ids.Revision, removed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if stamp <= b.cancellations[id] {
		return
	}
	if removed {
		delete(b.cancellations, id)
		return
	}
	b.learnCancellation(id, stamp)
}

// learnCancellation is LearnCancellation under the lock. A job that is loaded later is
// cancelled then, see addJob.
func (b *ClusterState) learnCancellation(id ids.Job, stamp ids.Revision) {
	b.cancellations[id] = stamp
	if j := b.jobs[id]; j != nil && !j.ended {
		b.cancelTold(j)
		b.touch(j)
	}
}

// cancelTold cancels a job whose user was told so by another controller. A completion
// that only this memory knows came too late: what is told first stands.
func (b *ClusterState) cancelTold(j *Job) {
	if j.cancelled() {
		return
	}
	if j.Rec.Status == Done {
		j.Rec.Status = Claimed
	}
	b.cancel(j)
}

// readCancellation finds out why a write was refused for a cancellation stored apart
// from the job's record; it is false if the state service does not tell.
func (c *Committer) readCancellation(ctx context.Context, id ids.Job) bool {
	entry, found, err := c.State.Get(ctx, CancelKey(id), state.Urgent)
	if err != nil {
		return false
	}
	b := c.Cluster
	b.mu.Lock()
	defer b.mu.Unlock()
	if found {
		b.learnCancellation(id, entry.Revision)
	} else {
		delete(b.cancellations, id)
	}
	return true
}
