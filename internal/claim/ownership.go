package claim

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// ownership tells which shard each machine belongs to: the one whose stored hire names it.
// A machine that no hire names belongs to the first shard, but only once a reading of the
// store that began after the machine was first seen shows no hire without an answer: its own
// was stored before it was sent.
type ownership struct {
	readAt func() time.Time // of when the copy of the hires is

	mu        sync.Mutex
	hires     map[string]storedHire
	machines  map[ids.Machine]ids.Shard
	open      int // hires without an answer
	strangers map[ids.Machine]time.Time
	adopted   map[ids.Machine]bool
}

// storedHire is a hire as it is stored; without hosts it is not answered yet.
type storedHire struct {
	shard ids.Shard
	Hosts []ids.Machine `json:"hosts"`
}

func newOwnership(readAt func() time.Time) *ownership {
	return &ownership{readAt: readAt, hires: map[string]storedHire{}, machines: map[ids.Machine]ids.Shard{},
		strangers: map[ids.Machine]time.Time{}, adopted: map[ids.Machine]bool{}}
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

// learn takes in news of a key of the pool.
func (o *ownership) learn(ch state.Change) {
	shard, isHire := hireShard(ch.Key())
	if !isHire {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if old, known := o.hires[ch.Key()]; known {
		delete(o.hires, ch.Key())
		if old.Hosts == nil {
			o.open--
		}
		for _, machine := range old.Hosts {
			delete(o.machines, machine)
		}
	}
	if ch.Put == "" {
		return
	}
	hire := storedHire{shard: shard}
	if json.Unmarshal(ch.Value, &hire) != nil {
		hire.Hosts = nil // not to be read: what it rented is not known
	}
	o.hires[ch.Key()] = hire
	if hire.Hosts == nil {
		o.open++
	}
	for _, machine := range hire.Hosts {
		o.machines[machine] = shard
	}
}

// of is the shard that a machine belongs to, if that is known already.
func (o *ownership) of(machine ids.Machine) (shard ids.Shard, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if shard, known = o.machines[machine]; known {
		delete(o.strangers, machine)
		return shard, true
	}
	if o.adopted[machine] {
		return 0, true
	}
	if _, seen := o.strangers[machine]; !seen {
		o.strangers[machine] = time.Now()
	}
	return 0, false
}

// settleEvery spaces the readings for the sake of machines that no hire names.
const settleStrangersEvery = 500 * time.Millisecond

// settle finds out, while there are machines that no hire names, whether they are the first
// shard's.
func (o *ownership) settle(ctx context.Context, hires *state.Mirror) {
	for ctx.Err() == nil {
		wait(ctx, settleStrangersEvery)
		o.mu.Lock()
		any := len(o.strangers) > 0
		o.mu.Unlock()
		if any && hires.Sync(ctx) == nil {
			o.adopt()
		}
	}
}

// adopt gives the first shard the machines that surely nobody hired.
func (o *ownership) adopt() {
	read := o.readAt()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open > 0 {
		return
	}
	for machine, seen := range o.strangers {
		if seen.Before(read) {
			delete(o.strangers, machine)
			o.adopted[machine] = true
		}
	}
}
