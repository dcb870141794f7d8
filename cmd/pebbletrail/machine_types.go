package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/election"
	"github.com/pebbletrail/pebbletrail/internal/fleet"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// typesRetryInterval spaces the calls for the machine types until the cloud has answered.
const typesRetryInterval = time.Second

// machineTypes are the machine types on offer, which every node needs to judge
// submissions; the leader stores them for times when the cloud is down.
type machineTypes struct {
	cloud  *fleet.Cloud
	shards *election.Shards
	// mu guards the fields below. Nothing is called under it.
	mu    sync.Mutex
	types []placement.InstanceType
	// stored is the list that was last stored, without prices.
	stored string
}

// known is the newest list this node has, or else the stored one.
func (m *machineTypes) known() []placement.InstanceType {
	m.mu.Lock()
	types := m.types
	m.mu.Unlock()
	if len(types) > 0 {
		return types
	}
	return m.shards.MachineTypes()
}

// run asks the cloud until types are known.
func (m *machineTypes) run(ctx context.Context) {
	for ctx.Err() == nil && len(m.known()) == 0 {
		if types, err := m.cloud.Types(ctx); err == nil && len(types) > 0 {
			m.mu.Lock()
			m.types = types
			m.mu.Unlock()
			return
		}
		time.Sleep(typesRetryInterval)
	}
}

// store keeps the list in the state service if more than prices changed. If that fails, the next
// list is stored whether it changed or not.
func (m *machineTypes) store(ctx context.Context, store fleet.Store, types []placement.InstanceType) {
	unpriced := withoutPrices(types)
	m.mu.Lock()
	m.types = types
	same := unpriced == m.stored
	m.mu.Unlock()
	if same {
		return
	}
	raw, err := json.Marshal(types)
	if err != nil {
		return
	}
	if store.Apply(ctx, []state.Op{{Put: record.TypesKey, Value: raw}}) == nil {
		m.mu.Lock()
		m.stored = unpriced
		m.mu.Unlock()
	}
}

// withoutPrices is a text that differs between two lists if more than prices differs: prices move
// all the time and are not worth a write.
func withoutPrices(types []placement.InstanceType) string {
	var text strings.Builder
	for i := range types {
		machineType := types[i]
		machineType.Price, machineType.SpotPrice = 0, 0
		fmt.Fprint(&text, machineType)
	}
	return text.String()
}
