package rollout

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Store writes the leader's decisions on the condition that it still leads.
type Store interface {
	// ApplyIf executes all operations or none. A *state.ConflictError lists the conditions that failed.
	ApplyIf(ctx context.Context, when []state.Condition, ops []state.Op) error
}

// Runner reconciles the stored rollouts with the fleet during one term of the leader. It keeps no state that
// its decisions depend on: a successor continues from the same records.
//
// Only the goroutine that calls Run uses a Runner, so it needs no lock.
type Runner struct {
	Mirror *state.WatchCache // of the keys below Prefix
	Store  Store
	Fleet  Fleet
	Writer string
	Limits Limits

	lastLogged map[Name]string // last logged state of each rollout
}

// reconcileInterval is the delay between two passes over the rollouts.
const reconcileInterval = 250 * time.Millisecond

// Run reconciles the rollouts until the context ends. It starts no goroutines.
func (r *Runner) Run(ctx context.Context) {
	stale := true // the mirror may not yet contain the last writes of an earlier leader
	for ctx.Err() == nil {
		if stale && r.Mirror.Sync(ctx) == nil {
			stale = false
		}
		if !stale {
			stale = r.reconcileAll(ctx, time.Now())
		}
		if stale {
			continue // the mirror limits the rate of its reads
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconcileInterval):
		}
	}
}

// reconcileAll makes one pass over all rollouts. It reports whether it may have written anything, in
// which case the mirror must be synchronized before the next pass.
func (r *Runner) reconcileAll(ctx context.Context, now time.Time) (wrote bool) {
	entries, _ := r.Mirror.Entries()
	snapshot := readSnapshot(entries)
	orders, wrote := r.reconcileActive(ctx, snapshot, now)
	for name, reason := range snapshot.unreadable {
		r.logState(name, unreadableNote(reason))
	}
	r.Fleet.SetOrders(orders)
	if !wrote && len(snapshot.orphanedParts) > 0 {
		return r.removeOrphanedParts(ctx, snapshot.orphanedParts)
	}
	return wrote
}

// reconcileActive reconciles the active rollouts, oldest first, and collects their orders. If a rollout
// waits for capacity, all later ones yield theirs.
func (r *Runner) reconcileActive(ctx context.Context, snapshot *rolloutSnapshot, now time.Time) (orders *Orders, wrote bool) {
	orders = NewOrders()
	rollouts := snapshot.active()
	if len(rollouts) == 0 {
		return orders, false
	}
	view := r.Fleet.RolloutView()
	mustYield := false
	for _, rollout := range rollouts {
		change, err := reconcile(rollout.record, rollout.waiting, view, now, r.Limits.maxParts(), mustYield)
		if err != nil {
			slog.Error("failed to reconcile rollout", "rollout", rollout.record.Spec.Name, "err", err)
		} else if change != nil && r.store(ctx, rollout, change, snapshot) {
			wrote = true
		}
		mustYield = mustYield || waitsForCapacity(rollout.record, view)
		orders.add(rollout.record, now)
	}
	return orders, wrote
}

// waitsForCapacity reports whether a rollout drains a machine whose tasks fit on no other machine.
func waitsForCapacity(record *Record, view FleetView) bool {
	if record.State != Running {
		return false
	}
	for name := range record.machinesIn(Draining).All() {
		if view.Machine(name).Unschedulable {
			return true
		}
	}
	return false
}

// store writes a change, and updates rollout if the write was confirmed. It returns false if the change was
// certainly not written.
func (r *Runner) store(ctx context.Context, rollout *storedRollout, change *recordChange, snapshot *rolloutSnapshot) (wrote bool) {
	change.record.setWriter(r.Writer)
	txn, err := updateTransaction(rollout, change, snapshot, r.Limits)
	if err != nil {
		slog.Error("failed to encode the change of a rollout for the state service", "rollout", rollout.record.Spec.Name, "err", err)
		return false
	}
	if err := r.Store.ApplyIf(ctx, txn.Conditions, txn.Ops); err != nil {
		// The next read shows whether the transaction was executed. If it is executed late, it cannot
		// take effect together with the next write, since both require the same revision of the record.
		slog.Debug("failed to store rollout or to confirm the write", "rollout", rollout.record.Spec.Name, "err", err)
		return !errors.Is(err, state.ErrRefused)
	}
	rollout.record = change.record
	for part, set := range change.waiting {
		rollout.waiting[part] = set
	}
	r.logState(rollout.record.Spec.Name, rollout.record.Summary())
	return true
}

// removeOrphanedParts removes parts of rollouts that have ended or do not exist. It returns false if
// certainly nothing was removed.
func (r *Runner) removeOrphanedParts(ctx context.Context, orphans []state.Entry) (wrote bool) {
	txn := removeTransaction(orphans, r.Limits)
	err := r.Store.ApplyIf(ctx, txn.Conditions, txn.Ops)
	return err == nil || !errors.Is(err, state.ErrRefused)
}

// logState logs the state of a rollout if it differs from the last one logged.
func (r *Runner) logState(name Name, state string) {
	if r.lastLogged == nil {
		r.lastLogged = map[Name]string{}
	}
	if r.lastLogged[name] != state {
		r.lastLogged[name] = state
		slog.Info("rollout state changed", "rollout", name, "state", state)
	}
}
