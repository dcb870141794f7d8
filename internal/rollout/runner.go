package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Fleet is what the leader's cluster does for rollouts.
type Fleet interface {
	// DrainView looks at the fleet as it is now.
	DrainView() View
	// CarryOut replaces the orders that are carried out. It is called again and again, and at
	// once after a takeover.
	CarryOut(orders *Orders)
}

// Store writes what the leader decides, under the condition that it still leads.
type Store interface {
	// ApplyIf carries all changes out or none. A *state.Conflict tells which conditions failed.
	ApplyIf(ctx context.Context, when []state.Condition, ops []state.Op) error
}

// Limits are those of the state service.
type Limits struct {
	ValueBytes int // of a value
	TxnOps     int // changes of a transaction
}

// reservedOps are the changes of a transaction that are no parts: the record and the index.
const reservedOps = 2

// mostParts is how many parts one transaction rewrites.
func (l Limits) mostParts() int { return max(1, l.TxnOps-reservedOps) }

// Runner carries the stored rollouts on during one term of the leader. Nothing it does rests on
// its memory: a successor goes on from the same records.
type Runner struct {
	Copy   *state.Mirror // of the keys below Prefix
	Store  Store
	Fleet  Fleet
	Writer string
	Limits Limits

	told map[Name]string // what was last logged of each
}

// runEvery spaces the looks at the rollouts.
const runEvery = 250 * time.Millisecond

// Run carries on until the context ends.
func (r *Runner) Run(ctx context.Context) {
	stale := true // what an earlier leader wrote last may not be in the copy yet
	for ctx.Err() == nil {
		if stale && r.Copy.Sync(ctx) == nil {
			stale = false
		}
		if !stale {
			stale = r.step(ctx, time.Now())
		}
		if stale {
			continue // the next read is spaced by the copy
		}
		select {
		case <-ctx.Done():
		case <-time.After(runEvery):
		}
	}
}

// step looks once at all rollouts. It tells whether it wrote anything, so that the copy has to
// be read before the next look.
func (r *Runner) step(ctx context.Context, now time.Time) (wrote bool) {
	entries, _ := r.Copy.All()
	book := readBook(entries)
	orders := NewOrders()
	runs := book.underWay()
	if len(runs) > 0 {
		view := r.Fleet.DrainView()
		roomWanted := false
		for _, run := range runs {
			wroteOne := r.stepOne(ctx, run, book, view, now, roomWanted)
			wrote = wrote || wroteOne
			roomWanted = roomWanted || waitsForRoom(run.record, view)
			orders.add(run.record, now)
		}
	}
	for name, why := range book.aside {
		r.tell(name, "set aside: "+why)
	}
	r.Fleet.CarryOut(orders)
	if !wrote && len(book.orphans) > 0 {
		return r.clearOrphans(ctx, book.orphans)
	}
	return wrote
}

// waitsForRoom tells whether a rollout has machines to empty whose tasks find no room.
func waitsForRoom(record *Record, view View) bool {
	if record.State != Running {
		return false
	}
	for name := range record.in(Draining).All() {
		if view.Machine(name).NoRoom {
			return true
		}
	}
	return false
}

// stepOne carries one rollout on; run becomes what is surely stored of it.
func (r *Runner) stepOne(ctx context.Context, run *stored, book *book, view View, now time.Time, yield bool) (wrote bool) {
	change, err := Advance(run.record, run.left, view, now, r.Limits.mostParts(), yield)
	if err != nil {
		slog.Error("rollout can't go on", "rollout", run.record.Spec.Name, "err", err)
		return false
	}
	if change == nil {
		return false
	}
	txn, err := r.transaction(run, change, book)
	if err != nil {
		slog.Error("rollout can't be stored", "rollout", run.record.Spec.Name, "err", err)
		return false
	}
	if err := r.Store.ApplyIf(ctx, txn.When, txn.Then); err != nil {
		// Whether it was carried out, the next read tells; the same condition keeps a late
		// copy of it and whatever is written next from both taking effect.
		slog.Debug("rollout not stored", "rollout", run.record.Spec.Name, "err", err)
		return !errors.Is(err, state.ErrRefused)
	}
	run.record = change.Record
	for part, set := range change.Left {
		run.left[part] = set
	}
	r.tell(run.record.Spec.Name, run.record.Summary())
	return true
}

// transaction is how a change is stored.
func (r *Runner) transaction(run *stored, change *Change, book *book) (state.Txn, error) {
	record, name := change.Record, change.Record.Spec.Name
	record.Writer, record.Seq = r.Writer, record.Seq+1
	txn := state.Txn{When: []state.Condition{{Key: runKey(name), Revision: run.revision}}}
	if err := putValue(&txn, runKey(name), record, r.Limits); err != nil {
		return txn, err
	}
	if record.State.Over() {
		txn.When = append(txn.When, state.Condition{Key: indexKey, Revision: book.indexRev})
		return txn, putValue(&txn, indexKey, book.index.without(name), r.Limits)
	}
	for part, set := range change.Left {
		txn.When = append(txn.When, state.Condition{Key: leftKey(name, part), Revision: run.leftRevs[part]})
		if err := putValue(&txn, leftKey(name, part), set, r.Limits); err != nil {
			return txn, err
		}
	}
	return txn, nil
}

// errTooLarge tells that something does not fit into a value of the state service.
var errTooLarge = errors.New("too large for a value of the state service")

// putValue adds a change that puts a value.
func putValue(txn *state.Txn, key string, value any, limits Limits) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if len(raw) > limits.ValueBytes {
		return fmt.Errorf("%w: %d bytes at %s, of at most %d", errTooLarge, len(raw), key, limits.ValueBytes)
	}
	txn.Then = append(txn.Then, state.Op{Put: key, Value: raw})
	return nil
}

// clearOrphans removes parts of rollouts that have ended.
func (r *Runner) clearOrphans(ctx context.Context, orphans []state.Entry) (wrote bool) {
	var txn state.Txn
	for _, e := range orphans[:min(len(orphans), r.Limits.mostParts())] {
		txn.When = append(txn.When, state.Condition{Key: e.Key, Revision: e.Revision})
		txn.Then = append(txn.Then, state.Op{Remove: e.Key})
	}
	err := r.Store.ApplyIf(ctx, txn.When, txn.Then)
	return err == nil || !errors.Is(err, state.ErrRefused)
}

// tell logs what a rollout came to, once.
func (r *Runner) tell(name Name, what string) {
	if r.told == nil {
		r.told = map[Name]string{}
	}
	if r.told[name] != what {
		r.told[name] = what
		slog.Info("rollout", "name", name, "state", what)
	}
}

// Summary is where a rollout stands, in a line.
func (r *Record) Summary() string {
	text := fmt.Sprintf("%s, %d of %d machines through", r.State, r.Done, r.Total)
	if r.Wave != nil {
		text += fmt.Sprintf(", wave %d", r.Wave.Number)
		for _, s := range waveStates {
			if n := r.Wave.count(s); n > 0 {
				text += fmt.Sprintf(", %d %s", n, s)
			}
		}
	}
	if r.Why != "" {
		text += ": " + r.Why
	}
	return text
}

// newID makes an id for a rollout that no other has.
func newID(started ids.Wall, random uint32) string {
	return fmt.Sprintf("%x-%x", int64(started), random)
}
