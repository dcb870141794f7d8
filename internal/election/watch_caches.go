package election

import (
	"context"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
	"github.com/pebbletrail/pebbletrail/internal/placement"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Intervals between watches.
const (
	poolWatchInterval = 100 * time.Millisecond
	jobWatchInterval  = 400 * time.Millisecond
)

// watchCaches holds this node's caches of stored records, which all its electors share.
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

// run starts the watches of the store, which end with the context.
func (c watchCaches) run(ctx context.Context) {
	go c.pool.Run(ctx)
	go c.jobs.Run(ctx)
}

// machineTypes returns the machine types that a leader has stored; nil if there are none.
func (c watchCaches) machineTypes() []placement.InstanceType {
	entry, found, _ := c.pool.Get(record.TypesKey)
	if !found {
		return nil
	}
	var types []placement.InstanceType
	if exactjson.Unmarshal(entry.Value, &types) != nil {
		return nil
	}
	return types
}
