package election

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// How the watches are spaced.
const (
	poolWatchInterval = 100 * time.Millisecond
	jobWatchInterval  = 400 * time.Millisecond
)

// watchCaches are this node's copies of what is stored, which all its shards share.
type watchCaches struct {
	pool *state.WatchCache // leaders, generations, provisioning requests and the layout
	jobs *state.WatchCache // the live records
}

func newWatchCaches(store *state.Client) watchCaches {
	return watchCaches{
		pool: state.NewWatchCache(store, record.PoolPrefix, poolWatchInterval),
		jobs: state.NewWatchCache(store, record.JobPrefix, jobWatchInterval),
	}
}

// run follows the store until the context ends.
func (c watchCaches) run(ctx context.Context) {
	go c.pool.Run(ctx)
	go c.jobs.Run(ctx)
}

// machineTypes reads the machine types that a leader has stored.
func (c watchCaches) machineTypes() []placement.InstanceType {
	entry, found, _ := c.pool.Get(record.TypesKey)
	if !found {
		return nil
	}
	var types []placement.InstanceType
	if json.Unmarshal(entry.Value, &types) != nil {
		return nil
	}
	return types
}
