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

// Store is what an Exchange needs of the state service.
type Store interface {
	Commit(ctx context.Context, t state.Txn, u state.Urgency) (ids.Epoch, error)
	Get(ctx context.Context, key string, u state.Urgency) (state.Entry, bool, error)
}

// Changes of the state service that one leader's transfers and asks may make in a second,
// and at once. What waits for them is served by rank.
const (
	changesPerSecond = 2
	changesAtOnce    = 6
)

// Exchange sends a Book's transfers and asks to the state service.
type Exchange struct {
	Book  *Book
	Store Store
	// Lock guards the book.
	Lock sync.Locker
	// Fence is the condition that holds while this leader leads its shard.
	Fence func() state.Condition

	tokens *rate.Limiter
}

// NewExchange makes the exchange of one term.
func NewExchange(book *Book, store Store, lock sync.Locker, fence func() state.Condition) *Exchange {
	return &Exchange{Book: book, Store: store, Lock: lock, Fence: fence, tokens: rate.NewLimiter(changesPerSecond, changesAtOnce)}
}

// Run exchanges until the context ends.
func (x *Exchange) Run(ctx context.Context, pause time.Duration) {
	for ctx.Err() == nil {
		x.Step(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// Step sends what is to be sent now.
func (x *Exchange) Step(ctx context.Context) {
	x.Lock.Lock()
	transfers := x.Book.Transfers()
	x.Lock.Unlock()
	for _, transfer := range transfers {
		if !x.tokens.Allow() {
			x.Lock.Lock()
			x.Book.postpone(transfer)
			x.Lock.Unlock()
			continue
		}
		x.send(ctx, transfer)
	}
	x.sendAsks(ctx)
}

// send commits one transfer. One without an answer, or that conflicts, is settled by what is
// stored: the news may be long in coming.
func (x *Exchange) send(ctx context.Context, transfer *Transfer) {
	txn, err := transfer.Txn(x.Fence())
	if err != nil {
		slog.Error("transfer not encoded", "team", transfer.Team, "err", err)
		return
	}
	at, err := x.Store.Commit(ctx, txn, state.Normal)
	x.Lock.Lock()
	x.Book.Settle(transfer, at, err)
	x.Lock.Unlock()
	slog.Debug("allowance", "team", transfer.Team, "what", transfer.What, "err", err)
	if err == nil {
		return
	}
	entry, found, err := x.Store.Get(ctx, LedgerKey(transfer.Team), state.Normal)
	if err != nil || !found {
		return
	}
	x.Lock.Lock()
	x.Book.Learn(state.Change{Put: entry.Key, Value: entry.Value, Revision: entry.Revision})
	x.Lock.Unlock()
}

// sendAsks stores what this shard asks for, if that has changed enough. Asks carry no right
// to anything, so an answer that is lost does no harm.
func (x *Exchange) sendAsks(ctx context.Context) {
	x.Lock.Lock()
	asks, changed := x.Book.OwnAsks()
	shard := x.Book.shard
	x.Lock.Unlock()
	if !changed || !x.tokens.Allow() {
		return
	}
	raw, err := json.Marshal(asks)
	if err != nil {
		return
	}
	key := AsksKey(shard)
	at, err := x.Store.Commit(ctx, state.Txn{When: []state.Condition{x.Fence()}, Then: []state.Op{{Put: key, Value: raw}}}, state.Normal)
	if err != nil {
		return
	}
	x.Lock.Lock()
	x.Book.Learn(state.Change{Put: key, Value: raw, Revision: ids.Revision(at)})
	x.Lock.Unlock()
}
