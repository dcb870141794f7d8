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

// typesRetryInterval is the pause between requests for the machine types until the cloud answers.
const typesRetryInterval = time.Second

// machineTypes holds the machine types that the cloud offers. Every node needs them to validate
// submissions. The leader stores them in the state service, so that they are known while the cloud is
// down.
type machineTypes struct {
	cloud  *fleet.Cloud
	shards *election.Shards
	// mu guards the fields below. No function is called under it.
	mu    sync.Mutex
	types []placement.InstanceType
	// stored is the list that was last stored, as returned by formatWithoutPrices.
	stored string
}

// latest returns the newest list that this node received from the cloud, or the stored list if it received
// none.
func (m *machineTypes) latest() []placement.InstanceType {
	m.mu.Lock()
	types := m.types
	m.mu.Unlock()
	if len(types) > 0 {
		return types
	}
	return m.shards.MachineTypes()
}

// run requests the types from the cloud until they are known or the context is done.
func (m *machineTypes) run(ctx context.Context) {
	for ctx.Err() == nil && len(m.latest()) == 0 {
		if types, err := m.cloud.Types(ctx); err == nil && len(types) > 0 {
			m.mu.Lock()
			m.types = types
			m.mu.Unlock()
			return
		}
		time.Sleep(typesRetryInterval)
	}
}

// store writes the list to the state service if anything but prices differs from the list last stored.
// After a failed write, the next list is written even if it has not changed.
func (m *machineTypes) store(ctx context.Context, store fleet.Store, types []placement.InstanceType) {
	unpriced := formatWithoutPrices(types)
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

// formatWithoutPrices returns a text form of the list without prices, for comparison. Prices change all
// the time and do not justify a write.
func formatWithoutPrices(types []placement.InstanceType) string {
	var text strings.Builder
	for i := range types {
		machineType := types[i]
		machineType.Price, machineType.SpotPrice = 0, 0
		fmt.Fprint(&text, machineType)
	}
	return text.String()
}
