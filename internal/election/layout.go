package election

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// layoutKey says into how many shards the store is laid out; there is none with one.
const layoutKey = record.PoolPrefix + "shards"

// layoutLeader stands as the leader of the pool as a whole where there are several shards. Versions
// that know one shard take the pool for led by another controller and never lead it.
const layoutLeader ids.Node = "~shards"

const (
	layoutRetryDelay        = 200 * time.Millisecond
	layoutCachePollInterval = 100 * time.Millisecond
)

// Why a store can't be used with the shards of the settings.
var (
	// ErrLayoutMismatch tells that the store is laid out for another number of shards.
	ErrLayoutMismatch = errors.New("the store is laid out for another number of shards")
	// ErrJobsStored tells that the number of shards can't change while jobs are stored.
	ErrJobsStored = errors.New("the number of shards can't change while the store has jobs or a leader")
)

// isRefusal tells whether an error says that the store can't be used, whenever it is tried again.
func isRefusal(err error) bool {
	return errors.Is(err, ErrLayoutMismatch) || errors.Is(err, ErrJobsStored) || errors.Is(err, quota.ErrBadLedger)
}

// layoutRecord is the value of layoutKey.
type layoutRecord struct {
	Shards int `json:"shards"`
}

// storeLayout checks for how many shards the store is laid out, and lays it out.
type storeLayout struct {
	store  *state.Client
	cache  *state.WatchCache // of the pool's keys
	shards int               // of the settings
}

// ensure makes sure that the store is laid out for this many shards before any is led, and tries
// again while the state service can't tell. It returns why the store can't be used (isRefusal), or
// the context's error.
func (l *storeLayout) ensure(ctx context.Context) error {
	for ctx.Err() == nil {
		err := l.tryOnce(ctx)
		if err == nil || isRefusal(err) {
			return err
		}
		wait.For(ctx, layoutRetryDelay)
	}
	return ctx.Err()
}

// tryOnce checks the layout, or lays the store out if it has neither a layout nor jobs or a leader.
func (l *storeLayout) tryOnce(ctx context.Context) error {
	// Read before the layout: once that is there, jobs and leaders are as they should be.
	used, err := l.inUse(ctx)
	if err != nil {
		return err
	}
	entry, found, err := l.store.Get(ctx, layoutKey, state.Urgent)
	switch {
	case err != nil:
		return fmt.Errorf("read layout: %w", err)
	case found:
		return errors.Join(l.check(entry.Value), l.checkLedgers(ctx))
	case used:
		// The machines of the pool as one shard would be nobody's.
		return ErrJobsStored
	}
	return l.create(ctx)
}

// inUse tells whether the store has jobs, or a leader of the pool as one shard.
func (l *storeLayout) inUse(ctx context.Context) (bool, error) {
	jobs, _, _, err := l.store.List(ctx, record.JobPrefix, "", 1, state.Urgent)
	if err != nil {
		return false, fmt.Errorf("list jobs: %w", err)
	}
	_, led, err := l.store.Get(ctx, singleShardKeys().Leader(), state.Urgent)
	if err != nil {
		return false, fmt.Errorf("read leader: %w", err)
	}
	return len(jobs) > 0 || led, nil
}

// singleShardKeys are the keys of the pool as one shard.
func singleShardKeys() record.ShardKeys { return record.KeysOf(0, 1) }

// create lays the store out, unless it has a layout or a leader meanwhile. Whatever its result was,
// the next try reads what is stored.
func (l *storeLayout) create(ctx context.Context) error {
	layout, err := json.Marshal(layoutRecord{Shards: l.shards})
	if err != nil {
		return fmt.Errorf("encode layout: %w", err)
	}
	leader, err := json.Marshal(leaderRecord{Node: layoutLeader, Writer: string(layoutLeader)})
	if err != nil {
		return fmt.Errorf("encode leader of the layout: %w", err)
	}
	leaderKey := singleShardKeys().Leader()
	_, err = l.store.Commit(ctx, state.Txn{
		Conditions: []state.Condition{{Key: layoutKey}, {Key: leaderKey}},
		Ops:        []state.Op{{Put: layoutKey, Value: layout}, {Put: leaderKey, Value: leader}},
	}, state.Urgent)
	if err != nil {
		return fmt.Errorf("commit layout: %w", err)
	}
	return nil
}

// checkLedgers refuses to begin with ledgers that can't be used. One that breaks later only stops
// its team.
func (l *storeLayout) checkLedgers(ctx context.Context) error {
	entries, _, err := l.store.ListAll(ctx, quota.Prefix, state.Urgent)
	if err != nil {
		return fmt.Errorf("read allowances: %w", err)
	}
	return quota.CheckStored(entries, l.shards)
}

// check tells whether a stored layout is that of the settings.
func (l *storeLayout) check(value json.RawMessage) error {
	var stored layoutRecord
	if err := json.Unmarshal(value, &stored); err != nil {
		return fmt.Errorf("%w: %v", ErrLayoutMismatch, err)
	}
	if stored.Shards != l.shards {
		return fmt.Errorf("%w: %d, not %d", ErrLayoutMismatch, stored.Shards, l.shards)
	}
	return nil
}

// findInCache waits for this node's copy of the pool's keys, which costs no call, and checks the
// layout if there is one. Without one it is one shard, and nobody lays the store out anew while it
// has a leader.
func (l *storeLayout) findInCache(ctx context.Context) (found bool, err error) {
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
