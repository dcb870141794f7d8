package election

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// layoutKey is the key under which the store records its number of shards. It does not exist in a store with
// a single shard.
const layoutKey = record.PoolPrefix + "shards"

// placeholderLeader is stored as the leader of the single-shard pool in a store with several shards. Versions
// of the program that support only one shard conclude that another controller leads the pool, and never lead
// it.
const placeholderLeader ids.Node = "~shards"

const (
	layoutRetryDelay        = 200 * time.Millisecond
	layoutCachePollInterval = 100 * time.Millisecond
)

// Reasons why a store can't be used with the configured number of shards.
var (
	// ErrLayoutMismatch means that the store is laid out for a different number of shards.
	ErrLayoutMismatch = errors.New("the store is laid out for a different number of shards")
	// ErrJobsStored means that the number of shards can't change while jobs or a leader are stored.
	ErrJobsStored = errors.New("the number of shards can't change while the store has jobs or a leader")
)

// isStoreUnusable reports whether an error means that the store can't be used, so that a retry is useless.
func isStoreUnusable(err error) bool {
	return errors.Is(err, ErrLayoutMismatch) || errors.Is(err, ErrJobsStored) || errors.Is(err, quota.ErrBadLedger)
}

// layoutRecord is the value stored under layoutKey.
type layoutRecord struct {
	Shards int `json:"shards"`
}

// storeLayout checks for which number of shards the store is laid out, and initializes the layout.
type storeLayout struct {
	store  *state.Client
	cache  *state.WatchCache // of the pool's keys
	shards int               // configured number of shards
}

// ensure checks or creates the store's layout, and retries while the state service fails. It must succeed
// before this node campaigns for any shard. It returns the reason why the store can't be used
// (isStoreUnusable), or the context's error.
func (l *storeLayout) ensure(ctx context.Context) error {
	for ctx.Err() == nil {
		err := l.checkOrCreate(ctx)
		if err == nil || isStoreUnusable(err) {
			return err
		}
		wait.For(ctx, layoutRetryDelay)
	}
	return ctx.Err()
}

// checkOrCreate checks the layout. If the store has no layout, no jobs and no leader, it creates the layout.
func (l *storeLayout) checkOrCreate(ctx context.Context) error {
	// Whether the store is in use is checked before the layout is read: jobs and leaders that are stored once a
	// layout exists conform to it.
	used, err := l.inUse(ctx)
	if err != nil {
		return err
	}
	entry, found, err := l.store.Get(ctx, layoutKey, state.Urgent)
	switch {
	case err != nil:
		return fmt.Errorf("read shard layout: %w", err)
	case found:
		return errors.Join(l.check(entry.Value), l.checkLedgers(ctx))
	case used:
		// The machines of the single-shard pool would belong to no shard.
		return ErrJobsStored
	}
	return l.create(ctx)
}

// inUse reports whether the store contains jobs, or a leader of the single-shard pool.
func (l *storeLayout) inUse(ctx context.Context) (bool, error) {
	jobs, _, _, err := l.store.List(ctx, record.JobPrefix, "", 1, state.Urgent)
	if err != nil {
		return false, fmt.Errorf("check for stored jobs: %w", err)
	}
	_, led, err := l.store.Get(ctx, singleShardKeys().Leader(), state.Urgent)
	if err != nil {
		return false, fmt.Errorf("read leader key of the single-shard pool: %w", err)
	}
	return len(jobs) > 0 || led, nil
}

// singleShardKeys returns the keys of a pool with a single shard.
func singleShardKeys() record.ShardKeys { return record.KeysOf(0, 1) }

// create stores the layout. It fails if a layout or a leader has been stored since the check. After an error
// with an unknown outcome, the next attempt reads what was stored.
func (l *storeLayout) create(ctx context.Context) error {
	layout, err := json.Marshal(layoutRecord{Shards: l.shards})
	if err != nil {
		return fmt.Errorf("encode shard layout: %w", err)
	}
	leader, err := json.Marshal(leaderRecord{Node: placeholderLeader, Writer: string(placeholderLeader)})
	if err != nil {
		return fmt.Errorf("encode placeholder leader record: %w", err)
	}
	leaderKey := singleShardKeys().Leader()
	_, err = l.store.Commit(ctx, state.Txn{
		Conditions: []state.Condition{{Key: layoutKey}, {Key: leaderKey}},
		Ops:        []state.Op{{Put: layoutKey, Value: layout}, {Put: leaderKey, Value: leader}},
	}, state.Urgent)
	if err != nil {
		return fmt.Errorf("commit shard layout: %w", err)
	}
	return nil
}

// checkLedgers returns an error if a stored allowance ledger can't be used; the controller then does not
// start. A ledger that becomes unusable later stops only its team.
func (l *storeLayout) checkLedgers(ctx context.Context) error {
	entries, _, err := l.store.ListAll(ctx, quota.Prefix, state.Urgent)
	if err != nil {
		return fmt.Errorf("read allowance ledgers: %w", err)
	}
	return quota.CheckStored(entries, l.shards)
}

// check returns ErrLayoutMismatch unless a stored layout has the configured number of shards.
func (l *storeLayout) check(value json.RawMessage) error {
	var stored layoutRecord
	if err := exactjson.Unmarshal(value, &stored); err != nil {
		return fmt.Errorf("%w: decode shard layout: %v", ErrLayoutMismatch, err)
	}
	if stored.Shards != l.shards {
		return fmt.Errorf("%w: %d, not %d as configured", ErrLayoutMismatch, stored.Shards, l.shards)
	}
	return nil
}

// checkCached waits until this node's cache of the pool's keys is filled, which takes no extra call to the
// store, and checks the layout if there is one. A store without a layout has a single shard, and no
// controller creates a layout while the pool has a leader.
func (l *storeLayout) checkCached(ctx context.Context) (found bool, err error) {
	for ctx.Err() == nil {
		entry, found, ready := l.cache.Get(layoutKey)
		if found {
			return true, l.check(entry.Value)
		}
		if ready {
			return false, nil
		}
		wait.For(ctx, layoutCachePollInterval)
	}
	return false, ctx.Err()
}
