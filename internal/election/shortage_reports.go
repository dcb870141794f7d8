package election

import (
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/provisioning"
)

// shortageMaxAge is how long a report of another shard's shortage counts.
const shortageMaxAge = 3 * time.Second

// reportedShortage is a shortage and when it was reported.
type reportedShortage struct {
	provisioning.Shortage
	at time.Time
}

// shortageReports is what the leaders of other shards reported of their shortages.
type shortageReports struct {
	// mu guards what follows; nothing is called under it.
	mu      sync.Mutex
	byShard map[ids.Shard]reportedShortage
}

func newShortageReports() *shortageReports {
	return &shortageReports{byShard: map[ids.Shard]reportedShortage{}}
}

func (r *shortageReports) report(shard ids.Shard, shortage provisioning.Shortage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byShard[shard] = reportedShortage{shortage, time.Now()}
}

// latest is the last report of a shard, unless it is too old.
func (r *shortageReports) latest(shard ids.Shard) (shortage provisioning.Shortage, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reported, known := r.byShard[shard]
	return reported.Shortage, known && time.Since(reported.at) < shortageMaxAge
}
