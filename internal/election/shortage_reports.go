package election

import (
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/provisioning"
)

// shortageMaxAge is how long a report of another shard's shortage is valid.
const shortageMaxAge = 3 * time.Second

// reportedShortage is a shortage and the time of its report.
type reportedShortage struct {
	provisioning.Shortage
	at time.Time
}

// shortageReports holds the last shortage report of each other shard's leader.
type shortageReports struct {
	// mu guards the field below. No other lock is acquired and no callback runs while it is held.
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

// latest returns the last report of a shard; known is false if there is none or it is too old.
func (r *shortageReports) latest(shard ids.Shard) (shortage provisioning.Shortage, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reported, known := r.byShard[shard]
	return reported.Shortage, known && time.Since(reported.at) < shortageMaxAge
}
