package quota

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Store is the part of the state service's client that a Rebalancer uses.
type Store interface {
	Commit(ctx context.Context, txn state.Txn, urgency state.Priority) (ids.StoreRevision, error)
	Get(ctx context.Context, key string, urgency state.Priority) (state.Entry, bool, error)
}

// The write budget of one leader's transfers and requests: the average writes per second, and the
// largest burst. Transfers that exceed the budget wait in rank order.
const (
	writesPerSecond = 2
	writeBurst      = 6
)

// Rebalancer moves allowances between shards: it commits the transfers that one leader's Tracker plans,
// and stores the requests of the leader's shard.
type Rebalancer struct {
	// lock guards the tracker. The leader also holds it while it grants. The Rebalancer therefore
	// does not hold it while calling the state service or fence, which may wait for other locks.
	lock    sync.Locker
	tracker *Tracker
	store   Store
	// fence returns a condition that holds only while this leader leads its shard.
	fence   func() state.Condition
	limiter *rate.Limiter
}

// NewRebalancer returns the Rebalancer of one leader's term. lock is the lock that guards the tracker.
func NewRebalancer(tracker *Tracker, store Store, lock sync.Locker, fence func() state.Condition) *Rebalancer {
	return &Rebalancer{
		lock:    lock,
		tracker: tracker,
		store:   store,
		fence:   fence,
		limiter: rate.NewLimiter(writesPerSecond, writeBurst),
	}
}

// Run rebalances at each interval until the context is done. It starts no goroutines.
func (r *Rebalancer) Run(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		r.rebalance(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// rebalance commits the transfers that are due and stores the shard's requests, within the write budget.
func (r *Rebalancer) rebalance(ctx context.Context) {
	r.lock.Lock()
	transfers := r.tracker.dueTransfers()
	r.lock.Unlock()
	for _, transfer := range transfers {
		if r.limiter.Allow() {
			r.commit(ctx, transfer)
		} else {
			r.postpone(transfer)
		}
	}
	r.storeRequests(ctx)
}

func (r *Rebalancer) postpone(transfer *Transfer) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.tracker.postpone(transfer)
}

// commit commits one transfer. If the commit fails, commit reads the stored ledger to learn the outcome
// at once, because the watched change may arrive much later.
func (r *Rebalancer) commit(ctx context.Context, transfer *Transfer) {
	txn, err := transfer.Txn(r.fence())
	if err != nil {
		slog.Error("allowance transfer not sent: encoding its ledger failed", "team", transfer.Team, "err", err)
		return
	}
	at, err := r.store.Commit(ctx, txn, state.Normal)
	r.lock.Lock()
	r.tracker.recordOutcome(transfer, at, err)
	r.lock.Unlock()
	slog.Debug("allowance transfer sent", "team", transfer.Team, "transition", transfer.Reason, "err", err)
	if err != nil {
		r.reloadLedger(ctx, transfer.Team)
	}
}

// reloadLedger reads a team's ledger and applies it. If the read fails, the tracker learns the ledger from
// its next watched change.
func (r *Rebalancer) reloadLedger(ctx context.Context, team string) {
	entry, found, err := r.store.Get(ctx, LedgerKey(team), state.Normal)
	if err == nil && found {
		r.applyChange(state.Change{Put: entry.Key, Value: entry.Value, Revision: entry.Revision})
	}
}

func (r *Rebalancer) applyChange(change state.Change) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.tracker.Apply(change)
}

// storeRequests stores this shard's requests if they have changed enough. A failed write, or one whose
// response is lost, is harmless, because requests grant nothing.
func (r *Rebalancer) storeRequests(ctx context.Context) {
	r.lock.Lock()
	requests, due := r.tracker.ownRequests()
	shard := r.tracker.shard
	r.lock.Unlock()
	if !due || !r.limiter.Allow() {
		return
	}
	encoded, err := json.Marshal(requests)
	if err != nil {
		return
	}
	key := RequestsKey(shard)
	txn := state.Txn{Conditions: []state.Condition{r.fence()}, Ops: []state.Op{{Put: key, Value: encoded}}}
	if at, err := r.store.Commit(ctx, txn, state.Normal); err == nil {
		r.applyChange(state.Change{Put: key, Value: encoded, Revision: ids.Revision(at)})
	}
}
