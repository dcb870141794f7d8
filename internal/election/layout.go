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

// layout is its value.
type layout struct {
	Shards int `json:"shards"`
}

// layoutLeader stands as the leader of the pool as a whole where there are several shards.
// Versions that know one shard take the pool for led by another controller and never lead it.
const layoutLeader ids.Node = "~shards"

// Why a store can't be used with the shards of the settings.
var (
	// ErrOtherLayout tells that the store is laid out for another number of shards.
	ErrOtherLayout = errors.New("the store is laid out for another number of shards")
	// ErrJobsStored tells that the number of shards can't change while jobs are stored.
	ErrJobsStored = errors.New("the number of shards can't change while the store has jobs or a leader")
)

// ensureLayout makes sure that the store is laid out for this many shards before any is led. It is
// false if the store can't be used, which Refuse is told.
func (s *Shards) ensureLayout(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := s.tryLayout(ctx)
		if err == nil {
			return true
		}
		if errors.Is(err, ErrOtherLayout) || errors.Is(err, ErrJobsStored) || errors.Is(err, quota.ErrBadLedger) {
			s.Refuse(err)
			return false
		}
		wait.For(ctx, 200*time.Millisecond)
	}
	return false
}

func (s *Shards) tryLayout(ctx context.Context) error {
	// Read before the layout: once that is there, jobs and leaders are as they should be.
	jobs, _, _, err := s.state.List(ctx, record.JobPrefix, "", 1, state.Urgent)
	if err != nil {
		return err
	}
	whole := record.KeysOf(0, 1)
	_, led, err := s.state.Get(ctx, whole.Leader(), state.Urgent)
	if err != nil {
		return err
	}
	entry, found, err := s.state.Get(ctx, layoutKey, state.Urgent)
	switch {
	case err != nil:
		return err
	case found:
		return errors.Join(s.sameLayout(entry.Value), s.checkLedgers(ctx))
	case len(jobs) > 0 || led:
		// The machines of the pool as one shard would be nobody's.
		return ErrJobsStored
	}
	value, _ := json.Marshal(layout{Shards: len(s.pools)})
	leader, _ := json.Marshal(leaderRecord{Node: layoutLeader, Writer: string(layoutLeader)})
	_, err = s.state.Commit(ctx, state.Txn{
		Conditions: []state.Condition{{Key: layoutKey}, {Key: whole.Leader()}},
		Ops:        []state.Op{{Put: layoutKey, Value: value}, {Put: whole.Leader(), Value: leader}},
	}, state.Urgent)
	return err // whatever it was, the next try reads what is stored
}

// checkLedgers refuses to begin with ledgers that can't be used. One that breaks later only
// stops its team.
func (s *Shards) checkLedgers(ctx context.Context) error {
	entries, _, err := s.state.ListAll(ctx, quota.Prefix, state.Urgent)
	if err != nil {
		return err
	}
	return quota.CheckStored(entries, len(s.pools))
}

func (s *Shards) sameLayout(raw json.RawMessage) error {
	var stored layout
	if err := json.Unmarshal(raw, &stored); err != nil {
		return fmt.Errorf("%w: %v", ErrOtherLayout, err)
	}
	if stored.Shards != len(s.pools) {
		return fmt.Errorf("%w: %d, not %d", ErrOtherLayout, stored.Shards, len(s.pools))
	}
	return nil
}

// checkSingleLayout refuses a store that is laid out for several shards, by this node's copy of
// the pool's keys, which costs no call.
func (s *Shards) checkSingleLayout(ctx context.Context) {
	for ctx.Err() == nil {
		if entry, found, ready := s.mirrors.pool.Get(layoutKey); found {
			s.Refuse(s.sameLayout(entry.Value))
			return
		} else if ready {
			return // one shard it is; nobody lays the store out anew while it has a leader
		}
		wait.For(ctx, 100*time.Millisecond)
	}
}
