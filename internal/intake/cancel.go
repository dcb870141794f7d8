package intake

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// cancelAttempts bounds how often a cancellation is tried anew because the record
// changed meanwhile, or because it has to be stored in another form.
const cancelAttempts = 6

// leaderTold bounds how long a confirmed cancellation of claimed work waits until the
// leader knows of it. The leader finds out by itself soon after; but whoever is told that
// a job is cancelled should not see a task of it start.
const leaderTold = 200 * time.Millisecond

// Cancel ends a job without tasks on machines at once; of any other it stores the wish,
// which the leader carries out. Either is committed before it is told.
func (d *JobService) Cancel(ctx context.Context, id ids.Job) (answer, bool, error) {
	if a, ok := d.remembered(id); ok {
		return a, true, nil
	}
	for range cancelAttempts {
		r, entry, err := d.read(ctx, id, state.Spare)
		if err != nil || r == nil {
			return answer{}, false, err
		}
		if r.Status.Over() || r.Status == record.Cancelling {
			return tell(r), true, nil
		}
		write, err := d.cancellation(r, entry)
		if err != nil {
			return answer{}, false, err
		}
		epoch, err := d.State.Commit(ctx, write.txn, state.Spare)
		var conflict *state.Conflict
		switch {
		case err == nil:
			d.cancelled(ctx, r, write, ids.Revision(epoch))
			return tell(r), true, nil
		case errors.As(err, &conflict):
			continue // it was written meanwhile: look again
		case write.overNext && errors.Is(err, state.ErrMalformed):
			slog.Info("the state service has its lower limits now")
			d.limitsFell.Store(true)
			continue
		default:
			return answer{}, false, fmt.Errorf("%w: %v", errNotNow, err)
		}
	}
	return answer{}, false, errNotNow
}

// cancelWrite is a cancellation about to be stored.
type cancelWrite struct {
	txn      state.Txn
	tell     bool // the leader knows the job and should hear of it
	overNext bool // it fits the present limit of values, not the one to come
}

// cancellation words a job's record as cancelled and the transaction that stores that.
func (d *JobService) cancellation(r *record.Record, entry state.Entry) (cancelWrite, error) {
	id, now := r.Spec.ID, ids.WallOf(time.Now())
	write := cancelWrite{txn: state.Txn{When: []state.Condition{
		{Key: entry.Key, Revision: entry.Revision},
		{Key: record.CancelKey(id)},
	}}}
	r.Writer, r.Seq = d.Writer, r.Seq+1
	limit := int(d.Set.Params.State.ValueKB * 1024)
	if len(r.Places) == 0 {
		r.Status = record.Cancelled
		r.Trail = append(r.Trail, record.Event{At: now, What: record.CancelledByUser})
		raw, fits := r.EncodeFinal(limit)
		if !fits {
			return write, errNotNow
		}
		write.tell = entry.Key != record.WaitKey(id) // the leader follows those that wait
		write.txn.When = append(write.txn.When, state.Condition{Key: record.EndKey(id)})
		write.txn.Then = []state.Op{{Remove: entry.Key}, {Put: record.EndKey(id), Value: raw}}
		return write, nil
	}
	mark := record.Cancellation{At: now, Writer: d.Writer}
	mark.ApplyTo(r)
	raw, fits := r.Encode(limit)
	if !fits && !d.limitsFell.Load() {
		// The record was written when values might be larger. As long as they may, it is
		// stored where versions from before the lower limits look for it too.
		raw, fits = r.Encode(int(d.Set.Params.State.NowKB * 1024))
		write.overNext = fits
	}
	if fits {
		write.tell = true
		write.txn.Then = []state.Op{{Put: entry.Key, Value: raw}}
		return write, nil
	}
	write.txn.Then = []state.Op{{Put: record.CancelKey(id), Value: mark.Encode()}}
	return write, nil
}

// cancelled takes in that a cancellation is stored, and has the leader told of it.
func (d *JobService) cancelled(ctx context.Context, r *record.Record, write cancelWrite, stamp ids.Revision) {
	if r.Status.Over() {
		d.remember(r)
		if write.tell {
			d.LeaderNotifier.NotifyLeader(r.Spec.ID, stamp, nil, nil)
		}
		return
	}
	if !write.tell {
		return // the leader follows what is stored apart from records
	}
	// It may be about to start some of the tasks.
	told := d.LeaderNotifier.NotifyLeader(r.Spec.ID, stamp, r, write.txn.Then[0].Value)
	select {
	case <-told:
	case <-time.After(leaderTold):
	case <-ctx.Done():
	}
}
