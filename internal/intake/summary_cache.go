package intake

import (
	"sync"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
)

// summaryCacheCapacity is the number of ended jobs that a controller caches, because users continue to
// poll a job for some time after its end.
const summaryCacheCapacity = 20000

// summaryCache caches the summaries of recently ended jobs. These summaries never change, so a cached one is
// never stale. The zero value is an empty cache.
type summaryCache struct {
	// mu guards the fields below. It is a leaf lock: no other lock is taken and no other code is
	// called while it is held.
	mu    sync.Mutex
	byJob map[ids.Job]jobSummary
	order []ids.Job // oldest first
}

// add caches the summary of an ended job. Above the capacity it evicts the oldest one.
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
	if len(c.order) > summaryCacheCapacity {
		delete(c.byJob, c.order[0])
		c.order = c.order[1:]
	}
}

// get returns the cached summary of an ended job, and reports whether there is one.
func (c *summaryCache) get(id ids.Job) (summary jobSummary, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	summary, known = c.byJob[id]
	return summary, known
}
