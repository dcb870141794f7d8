package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/fleet"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// machineTypes are the machine types on offer, which every node needs to judge
// submissions; the owner stores them for times when the cloud is down.
type machineTypes struct {
	cloud  *fleet.Cloud
	shards *election.Shards
	mu     sync.Mutex
	types  []placement.Type
	kept   string // what was last stored, without prices
}

// known is the newest list this node has, or else the stored one.
func (m *machineTypes) known() []placement.Type {
	m.mu.Lock()
	ts := m.types
	m.mu.Unlock()
	if len(ts) > 0 {
		return ts
	}
	return m.shards.Types()
}

// run asks the cloud until types are known.
func (m *machineTypes) run(ctx context.Context) {
	for ctx.Err() == nil && len(m.known()) == 0 {
		if ts, err := m.cloud.Types(ctx); err == nil && len(ts) > 0 {
			m.mu.Lock()
			m.types = ts
			m.mu.Unlock()
			return
		}
		time.Sleep(time.Second)
	}
}

// store keeps the list in the state service if more than prices changed.
func (m *machineTypes) store(ctx context.Context, s fleet.Store, ts []placement.Type) {
	m.mu.Lock()
	m.types = ts
	// Prices move all the time and are not worth a write.
	key := ""
	for i := range ts {
		t := ts[i]
		t.Price, t.SpotPrice = 0, 0
		key += fmt.Sprint(t)
	}
	same := key == m.kept
	m.mu.Unlock()
	if same {
		return
	}
	raw, err := json.Marshal(ts)
	if err != nil {
		return
	}
	if s.Apply(ctx, []state.Op{{Put: record.TypesKey, Value: raw}}) == nil {
		m.mu.Lock()
		m.kept = key
		m.mu.Unlock()
	}
}
