package intake

import (
	"sync"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// endedCapacity is how many ended jobs a controller remembers: users ask on for a while after a
// job's end.
const endedCapacity = 20000

// summaryCache keeps the summaries of jobs that ended lately. They never change, so an answer from
// the cache is never out of date. The zero value is an empty cache.
type summaryCache struct {
	// mu guards the fields below. It is a leaf lock: nothing else is locked or called under it.
	mu    sync.Mutex
	byJob map[ids.Job]jobSummary
	order []ids.Job // oldest first
}

// add remembers an ended job and evicts the oldest one above the capacity.
func (c *summaryCache) add(ended *record.Record) {
	summary := summarize(ended)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byJob == nil {
		c.byJob = map[ids.Job]jobSummary{}
	}
	if _, known := c.byJob[summary.id]; known {
		return
	}
	c.byJob[summary.id] = summary
	c.order = append(c.order, summary.id)
	if len(c.order) > endedCapacity {
		delete(c.byJob, c.order[0])
		c.order = c.order[1:]
	}
}

// get returns an ended job's summary if it is remembered.
func (c *summaryCache) get(id ids.Job) (summary jobSummary, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	summary, known = c.byJob[id]
	return summary, known
}
