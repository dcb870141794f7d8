package claim

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// Final records are kept for ever, so what it costs to look some up must depend on
// how many are wanted and not on how many there are.
const (
	// lookupInterval spaces the passes that look up how jobs ended.
	lookupInterval = 200 * time.Millisecond
	// lookupRetryDelay is when one that was not found is looked up again.
	lookupRetryDelay = time.Second
	// pagedLookupThreshold is from how many on pages of final records are tried: after a
	// takeover with thousands that wait.
	pagedLookupThreshold = 40
	// lookupPageSize is how many final records a page holds, and pagesPerPass how many
	// pages one pass reads at most.
	lookupPageSize, lookupPagesPerPass = 500, 5
	// minLookupsPerPage is how many wanted records a page must cover to be worth reading.
	minLookupsPerPage = 8
	// lookupReadsPerPass is how many records one pass reads one by one at most.
	lookupReadsPerPass = 20
)

// RunLookups finds out how jobs ended that others await.
func (c *Committer) RunLookups(ctx context.Context) {
	for ctx.Err() == nil {
		c.lookUpOnce(ctx)
		wait.For(ctx, lookupInterval)
	}
}

// lookUpOnce is one pass: pages while they cover enough of what is wanted, then
// records one by one. What it does not get to is left to the next pass.
func (c *Committer) lookUpOnce(ctx context.Context) {
	now := time.Now()
	wanted := c.Cluster.dueLookups(now)
	for page := 0; len(wanted) >= pagedLookupThreshold; page++ {
		if page == lookupPagesPerPass {
			return
		}
		covered, ok := c.lookUpPage(ctx, wanted, now)
		if !ok {
			break
		}
		wanted = wanted[covered:]
		if covered < minLookupsPerPage {
			break
		}
	}
	for _, id := range wanted[:min(len(wanted), lookupReadsPerPass)] {
		entry, found, err := c.State.Get(ctx, record.EndKey(id), state.Normal)
		if err != nil {
			c.Cluster.retryLookup(id, now) // the others must not wait for one that can't be read
			return
		}
		c.applyLookup(ctx, id, entry, found, now)
	}
}

// dueLookups lists, in the order of their keys, the ended jobs to look up now.
func (c *ClusterState) dueLookups(now time.Time) []ids.Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []ids.Job
	for id, at := range c.dependencies.lookups {
		if job := c.jobs.Get(id); c.dependencies.waiting[id] != nil || job != nil && !job.Ended {
			delete(c.dependencies.lookups, id) // here after all: it was learned of later
		} else if !at.After(now) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

// retryLookup puts off looking a job up that was not found.
func (c *ClusterState) retryLookup(id ids.Job, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dependencies.lookups[id] = now.Add(lookupRetryDelay)
}

// lookUpPage reads the page of final records that begins at the first wanted one, and
// tells how many of the wanted lie within it.
func (c *Committer) lookUpPage(ctx context.Context, wanted []ids.Job, now time.Time) (covered int, ok bool) {
	entries, more, _, err := c.State.List(ctx, record.EndPrefix, justBefore(record.EndKey(wanted[0])), lookupPageSize, state.Normal)
	if err != nil {
		return 0, false
	}
	byKey := make(map[string]state.Entry, len(entries))
	for _, entry := range entries {
		byKey[entry.Key] = entry
	}
	for _, id := range wanted {
		key := record.EndKey(id)
		if more && (len(entries) == 0 || key > entries[len(entries)-1].Key) {
			break
		}
		entry, found := byKey[key]
		c.applyLookup(ctx, id, entry, found, now)
		covered++
	}
	return covered, true
}

// justBefore is a key that comes before another, and after every other job's key that
// does: they end in digits.
func justBefore(key string) string {
	last := len(key) - 1
	return key[:last] + string(key[last]-1) + "~"
}

// applyLookup takes in what was found of a job that ended.
func (c *Committer) applyLookup(ctx context.Context, id ids.Job, entry state.Entry, found bool, now time.Time) {
	cluster := c.Cluster
	if !found {
		if _, live := cluster.StatusInOtherShard(id); live {
			cluster.cancelLookup(id)
			return
		}
		cluster.retryLookup(id, now)
		if !cluster.inShard(id) {
			return
		}
		// It may be live after all, by a write of this leader's without an answer.
		c.findLive(ctx, id, now)
		return
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	rec, err := record.Decode(entry.Value)
	if err != nil || !rec.Status.IsTerminal() {
		slog.Error("unreadable record", "key", entry.Key, "err", err)
		cluster.dependencies.lookups[id] = now.Add(lookupRetryDelay)
		return
	}
	cluster.jobEnded(id, rec.Status)
}

// findLive takes in a live record that this leader wrote but does not know of.
func (c *Committer) findLive(ctx context.Context, id ids.Job, now time.Time) {
	entry, found, err := c.State.Get(ctx, record.JobKey(id), state.Normal)
	if err != nil || !found {
		return
	}
	rec, err := record.Decode(entry.Value)
	if err != nil {
		return
	}
	cluster := c.Cluster
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if cluster.jobs.Get(id) == nil && !cluster.jobs.IsRetired(id) && !rec.Status.IsTerminal() {
		cluster.addJob(rec, entry.Revision, now)
		wait.Signal(cluster.planSignal)
	}
}
