package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/config"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// LeaderNotifier passes the write of a job's record on to the leader.
type LeaderNotifier interface {
	// The channel closes once it knows, or can't be told.
	NotifyLeader(id ids.Job, stamp ids.Revision, rec *record.Record, raw json.RawMessage) <-chan struct{}
}

// errNotNow means that the request can't be decided or stored now.
var errNotNow = errors.New("try again later")

// errNever means that the job can never run.
type errNever struct{ why string }

func (e errNever) Error() string { return e.why }

// JobService serves the users. It writes and reads the records itself, whichever
// node owns the pool.
type JobService struct {
	Set            *config.Settings
	State          *state.Client
	Jobs           *state.Mirror // the live records
	LeaderNotifier LeaderNotifier
	Writer         string
	// Types is the cloud's offer; empty while it is not known.
	Types func() []placement.Type

	limitsFell atomic.Bool // the state service has refused a value that it took before

	mu   sync.Mutex
	over map[ids.Job]*answer // final answers never change, so they may be kept
	q    []ids.Job
}

func (d *JobService) remember(r *record.Record) {
	a := tell(r)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.over == nil {
		d.over = map[ids.Job]*answer{}
	}
	if d.over[a.UID] != nil {
		return
	}
	d.over[a.UID] = &a
	d.q = append(d.q, a.UID)
	if len(d.q) > keepAnswers {
		delete(d.over, d.q[0])
		d.q = d.q[1:]
	}
}

func (d *JobService) remembered(id ids.Job) (answer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.over[id]; a != nil {
		return *a, true
	}
	return answer{}, false
}

// read fetches a job's record as it was after the request began; nil when there
// was none. Live records are read from the node's copy, brought up to date once
// for all requests that wait; only those that are not among them cost a call
// each. A job that ends in between has its final record before its live one is
// gone, so looking for the live one first misses nothing.
func (d *JobService) read(ctx context.Context, id ids.Job, u state.Urgency) (*record.Record, state.Entry, error) {
	if d.State.Unavailable() {
		return nil, state.Entry{}, fmt.Errorf("%w: the state service does not answer", errNotNow)
	}
	if err := d.Jobs.Sync(ctx); err != nil {
		return nil, state.Entry{}, fmt.Errorf("%w: %v", errNotNow, err)
	}
	r, e, err := d.lookIn(ctx, id, u)
	if r != nil && e.Key == record.WaitKey(id) {
		by, err := d.cancelledBy(ctx, r, u)
		if err != nil {
			return nil, e, err
		}
		if by != "" {
			r.EndedBy(by)
		}
	}
	if r != nil && r.Status.Over() {
		d.remember(r)
	}
	return r, e, err
}

// lookIn reads a record from the copy, which is as new as the caller needs it, or
// the final one from the store; nil when there is none.
func (d *JobService) lookIn(ctx context.Context, id ids.Job, u state.Urgency) (*record.Record, state.Entry, error) {
	r, e, err := d.live(id)
	if err != nil || r != nil {
		return r, e, err
	}
	e, found, err := d.State.Get(ctx, record.EndKey(id), u)
	if err != nil {
		return nil, e, fmt.Errorf("%w: %v", errNotNow, err)
	}
	if !found {
		return nil, e, nil
	}
	if r, err = record.Decode(e.Value); err != nil {
		return nil, e, unreadable(e, err)
	}
	return r, e, nil
}

// live reads the record of an unfinished job from this node's copy, however old; nil if
// there is none. A cancellation stored apart from the record is applied to it.
func (d *JobService) live(id ids.Job) (*record.Record, state.Entry, error) {
	entries, ready := d.Jobs.Several(record.JobKey(id), record.WaitKey(id), record.CancelKey(id))
	if !ready {
		return nil, state.Entry{}, errNotNow
	}
	stored, waiting, cancellation := entries[0], entries[1], entries[2]
	switch {
	case stored.Key != "":
		r, err := record.Decode(stored.Value)
		if err != nil {
			return nil, stored, unreadable(stored, err)
		}
		if cancellation.Key != "" {
			c, err := record.DecodeCancellation(cancellation.Value)
			if err != nil {
				return nil, stored, unreadable(cancellation, err)
			}
			c.ApplyTo(r)
		}
		return r, stored, nil
	case waiting.Key != "":
		r, err := record.DecodeWaiting(waiting.Value)
		if err != nil {
			return nil, waiting, unreadable(waiting, err)
		}
		return r, waiting, nil
	}
	return nil, state.Entry{}, nil
}

// unreadable logs a value that can't be read; what it says can't be told now.
func unreadable(e state.Entry, err error) error {
	slog.Error("unreadable record", "key", e.Key, "err", err)
	return errNotNow
}

// keepAnswers is how many final answers a node remembers: users ask on for a
// while after a job's end.
const keepAnswers = 20000

// Submit accepts a job or finds it known.
func (d *JobService) Submit(ctx context.Context, spec record.Spec) (a answer, known bool, err error) {
	if a, ok := d.remembered(spec.ID); ok {
		return a, true, nil
	}
	why := d.never(&spec)
	rec := record.New(spec, ids.WallOf(time.Now()), d.Writer)
	raw, ok := d.describe(*rec)
	if why == nil && !ok {
		why = errTooLarge
	}
	if why != nil || len(spec.Awaits) > 0 {
		// What was once accepted is never refused, so look first.
		r, _, rerr := d.read(ctx, spec.ID, state.Spare)
		switch {
		case rerr != nil:
			return a, false, rerr
		case r != nil:
			return tell(r), true, nil
		case why != nil:
			return a, false, why
		}
	}
	key := record.JobKey(spec.ID)
	if len(spec.Awaits) > 0 {
		var err error
		if key, raw, err = d.await(ctx, rec); err != nil {
			return a, false, err
		}
	}
	if d.State.Unavailable() {
		return a, false, fmt.Errorf("%w: the state service does not answer", errNotNow)
	}
	epoch, err := d.State.Commit(ctx, state.Txn{
		When: []state.Condition{{Key: record.JobKey(spec.ID)}, {Key: record.WaitKey(spec.ID)}, {Key: record.EndKey(spec.ID)}},
		Then: []state.Op{{Put: key, Value: raw}},
	}, state.Spare)
	var conflict *state.Conflict
	switch {
	case err == nil:
		if key == record.JobKey(spec.ID) {
			d.LeaderNotifier.NotifyLeader(spec.ID, ids.Revision(epoch), rec, raw)
		}
		if rec.Status.Over() {
			d.remember(rec)
		}
		return tell(rec), false, nil
	case errors.As(err, &conflict):
	case errors.Is(err, state.ErrUnknown):
		// Perhaps stored: only what can be read is told.
	default:
		return a, false, fmt.Errorf("%w: %v", errNotNow, err)
	}
	r, _, err := d.read(ctx, spec.ID, state.Normal)
	switch {
	case err != nil:
		return a, false, err
	case r == nil:
		return a, false, errNotNow
	}
	return tell(r), true, nil
}

// describe writes the record of a job that awaits nothing, or nothing any more. The
// description must leave room for what becomes of the job.
func (d *JobService) describe(rec record.Record) (json.RawMessage, bool) {
	rec.Spec.Awaits = nil
	return rec.Encode(int(d.Set.Params.State.ValueKB * 1024 * record.DescribedShare))
}

// never decides whether a job can never run; an error other than errNever
// means that this can't be told yet.
func (d *JobService) never(s *record.Spec) error {
	t, ok := d.Set.Team(s.Team)
	if !ok {
		return errNever{"unknown team " + s.Team}
	}
	n := 1.0
	if s.Shape != record.Array {
		n = float64(s.Tasks)
	}
	if t.CPUsMax > 0 && n*s.Need.Cores > t.CPUsMax || t.GPUsMax > 0 && n*s.Need.Accels > t.GPUsMax {
		return errNever{"more than the limit of team " + s.Team}
	}
	types := d.Types()
	if len(types) == 0 {
		return errNotNow
	}
	ask := s.Ask()
	var kept []string
	fits := false
	for i := range types {
		t := &types[i]
		zoneOK := s.Zone == ""
		for _, z := range t.Zones {
			zoneOK = zoneOK || z == s.Zone
		}
		if zoneOK && ask.Allows(t.Label, s.Zone, false) {
			kept = append(kept, t.Label)
			fits = fits || t.Room().Holds(s.Need)
		}
	}
	if !fits {
		return errNever{"a task fits no allowed machine type"}
	}
	if s.Types != nil {
		s.Types = kept // names nobody offers need not be kept
	}
	return nil
}

// Look answers a poll; found is false for a job never accepted.
func (d *JobService) Look(ctx context.Context, id ids.Job) (answer, bool, error) {
	if a, ok := d.remembered(id); ok {
		return a, true, nil
	}
	r, _, err := d.read(ctx, id, state.Spare)
	if err != nil || r == nil {
		return answer{}, false, err
	}
	return tell(r), true, nil
}

// Explain is a job's stored trail.
func (d *JobService) Explain(ctx context.Context, id ids.Job) (*record.Record, error) {
	r, _, err := d.read(ctx, id, state.Spare)
	return r, err
}

// lastKnown is an unfinished job's record in this node's copy, however old; nil if there
// is none.
func (d *JobService) lastKnown(id ids.Job) *record.Record {
	r, _, err := d.live(id)
	if err != nil {
		return nil
	}
	return r
}
