package election

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// machineOwnership tells which shard each machine belongs to: the one whose stored hire names it.
// A machine that no hire names belongs to the first shard, but only once a reading of the
// store that began after the machine was first seen shows no hire without an answer: its own
// was stored before it was sent.
type machineOwnership struct {
	readAt func() time.Time // of when the copy of the hires is

	mu         sync.Mutex
	hires      map[string]storedHire
	machines   map[ids.Machine]ids.Shard
	unanswered int // hires without an answer
	unclaimed  map[ids.Machine]time.Time
	adopted    map[ids.Machine]bool
}

// storedHire is a hire as it is stored; without hosts it is not answered yet.
type storedHire struct {
	shard ids.Shard
	Hosts []ids.Machine `json:"hosts"`
}

func newMachineOwnership(readAt func() time.Time) *machineOwnership {
	return &machineOwnership{readAt: readAt, hires: map[string]storedHire{}, machines: map[ids.Machine]ids.Shard{},
		unclaimed: map[ids.Machine]time.Time{}, adopted: map[ids.Machine]bool{}}
}

// hireShard is the shard whose hire is stored at a key.
func hireShard(key string) (ids.Shard, bool) {
	rest, found := strings.CutPrefix(key, record.PoolPrefix+"~")
	if !found {
		return 0, false
	}
	number, rest, _ := strings.Cut(rest, "/")
	var shard ids.Shard
	if json.Unmarshal([]byte(number), &shard) != nil || !strings.HasPrefix(rest, "hire/") {
		return 0, false
	}
	return shard, true
}

// handleChange takes in news of a key of the pool.
func (o *machineOwnership) handleChange(change state.Change) {
	shard, isHire := hireShard(change.Key())
	if !isHire {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if old, known := o.hires[change.Key()]; known {
		delete(o.hires, change.Key())
		if old.Hosts == nil {
			o.unanswered--
		}
		for _, machine := range old.Hosts {
			delete(o.machines, machine)
		}
	}
	if change.Put == "" {
		return
	}
	hire := storedHire{shard: shard}
	if json.Unmarshal(change.Value, &hire) != nil {
		hire.Hosts = nil // not to be read: what it rented is not known
	}
	o.hires[change.Key()] = hire
	if hire.Hosts == nil {
		o.unanswered++
	}
	for _, machine := range hire.Hosts {
		o.machines[machine] = shard
	}
}

// shardOf is the shard that a machine belongs to, if that is known already.
func (o *machineOwnership) shardOf(machine ids.Machine) (shard ids.Shard, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if shard, known = o.machines[machine]; known {
		delete(o.unclaimed, machine)
		return shard, true
	}
	if o.adopted[machine] {
		return 0, true
	}
	if _, seen := o.unclaimed[machine]; !seen {
		o.unclaimed[machine] = time.Now()
	}
	return 0, false
}

// settleEvery spaces the readings for the sake of machines that no hire names.
const unclaimedCheckInterval = 500 * time.Millisecond

// resolveUnclaimed finds out, while there are machines that no hire names, whether they are the first
// shard's.
func (o *machineOwnership) resolveUnclaimed(ctx context.Context, hires *state.WatchCache) {
	for ctx.Err() == nil {
		wait.For(ctx, unclaimedCheckInterval)
		o.mu.Lock()
		any := len(o.unclaimed) > 0
		o.mu.Unlock()
		if any && hires.Sync(ctx) == nil {
			o.adoptUnclaimed()
		}
	}
}

// adoptUnclaimed gives the first shard the machines that surely nobody hired.
func (o *machineOwnership) adoptUnclaimed() {
	read := o.readAt()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unanswered > 0 {
		return
	}
	for machine, seen := range o.unclaimed {
		if seen.Before(read) {
			delete(o.unclaimed, machine)
			o.adopted[machine] = true
		}
	}
}
