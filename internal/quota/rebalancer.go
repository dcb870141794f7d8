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

// Store is what a Rebalancer needs of the state service.
type Store interface {
	Commit(ctx context.Context, txn state.Txn, urgency state.Priority) (ids.StoreRevision, error)
	Get(ctx context.Context, key string, urgency state.Priority) (state.Entry, bool, error)
}

// The write budget of one leader's transfers and requests: writes in a second, and at once.
// What waits for it is served by rank.
const (
	writesPerSecond = 2
	writeBurst      = 6
)

// Rebalancer moves allowances between shards: it commits the transfers that one leader's
// tracker decides on, and stores its requests.
type Rebalancer struct {
	// lock guards the tracker. It is the granting leader's own lock, so it is never held
	// during a call of the state service or of fence, which may wait for other locks.
	lock    sync.Locker
	tracker *Tracker
	store   Store
	// fence is the condition that is met while this leader leads its shard.
	fence   func() state.Condition
	limiter *rate.Limiter
}

// NewRebalancer makes the rebalancer of one term. The lock is the one that guards the tracker.
func NewRebalancer(tracker *Tracker, store Store, lock sync.Locker, fence func() state.Condition) *Rebalancer {
	return &Rebalancer{
		lock:    lock,
		tracker: tracker,
		store:   store,
		fence:   fence,
		limiter: rate.NewLimiter(writesPerSecond, writeBurst),
	}
}

// Run rebalances until the context ends. It starts no goroutines.
func (r *Rebalancer) Run(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		r.sync(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// sync sends what is due now.
func (r *Rebalancer) sync(ctx context.Context) {
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

// commit sends one transfer. One without an answer, or that conflicts, is settled by what is
// stored: the change may be long in coming.
func (r *Rebalancer) commit(ctx context.Context, transfer *Transfer) {
	txn, err := transfer.Txn(r.fence())
	if err != nil {
		slog.Error("allowance transfer not encoded", "team", transfer.Team, "err", err)
		return
	}
	at, err := r.store.Commit(ctx, txn, state.Normal)
	r.lock.Lock()
	r.tracker.recordOutcome(transfer, at, err)
	r.lock.Unlock()
	slog.Debug("allowance transfer", "team", transfer.Team, "transition", transfer.Reason, "err", err)
	if err != nil {
		r.refresh(ctx, transfer.Team)
	}
}

// refresh reads a team's ledger. If that fails, a change of it has to be waited for.
func (r *Rebalancer) refresh(ctx context.Context, team string) {
	entry, found, err := r.store.Get(ctx, LedgerKey(team), state.Normal)
	if err == nil && found {
		r.learn(state.Change{Put: entry.Key, Value: entry.Value, Revision: entry.Revision})
	}
}

func (r *Rebalancer) learn(change state.Change) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.tracker.Apply(change)
}

// storeRequests stores what this shard requests, if that has changed enough. Requests grant
// nothing, so a write that fails, or whose answer is lost, does no harm.
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
		r.learn(state.Change{Put: key, Value: encoded, Revision: ids.Revision(at)})
	}
}
