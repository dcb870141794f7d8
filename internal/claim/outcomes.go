package claim

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
)

// Final records are kept for ever, so what it costs to look some up must depend on
// how many are wanted and not on how many there are.
const (
	// lookUpEvery spaces the passes that look up how jobs ended.
	lookUpEvery = 200 * time.Millisecond
	// lookUpAgain is when one that was not found is looked up again.
	lookUpAgain = time.Second
	// manyLookUps is from how many on pages of final records are tried: after a
	// takeover with thousands that wait.
	manyLookUps = 40
	// lookUpPage is how many final records a page holds, and pagesPerPass how many
	// pages one pass reads at most.
	lookUpPage, pagesPerPass = 500, 5
	// pageWorth is how many wanted records a page must cover to be worth reading.
	pageWorth = 8
	// readsPerPass is how many records one pass reads one by one at most.
	readsPerPass = 20
)

// lookUps finds out how jobs ended that others await.
func (c *Committer) lookUps(ctx context.Context) {
	for ctx.Err() == nil {
		c.lookUpOnce(ctx)
		wait(ctx, lookUpEvery)
	}
}

// lookUpOnce is one pass: pages while they cover enough of what is wanted, then
// records one by one. What it does not get to is left to the next pass.
func (c *Committer) lookUpOnce(ctx context.Context) {
	now := time.Now()
	wanted := c.Cluster.dueLookUps(now)
	for page := 0; len(wanted) >= manyLookUps; page++ {
		if page == pagesPerPass {
			return
		}
		covered, ok := c.lookUpPage(ctx, wanted, now)
		if !ok {
			break
		}
		wanted = wanted[covered:]
		if covered < pageWorth {
			break
		}
	}
	for _, id := range wanted[:min(len(wanted), readsPerPass)] {
		e, found, err := c.State.Get(ctx, record.EndKey(id), state.Normal)
		if err != nil {
			c.Cluster.askAgain(id, now) // the others must not wait for one that can't be read
			return
		}
		c.lookedUp(ctx, id, e, found, now)
	}
}

// dueLookUps lists, in the order of their keys, the ended jobs to look up now.
func (b *ClusterState) dueLookUps(now time.Time) []ids.Job {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []ids.Job
	for id, at := range b.pipes.lookUp {
		if j := b.jobs[id]; b.pipes.waits[id] != nil || j != nil && !j.ended {
			delete(b.pipes.lookUp, id) // here after all: it was learned of later
		} else if !at.After(now) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

// askAgain puts off looking a job up that was not found.
func (b *ClusterState) askAgain(id ids.Job, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pipes.lookUp[id] = now.Add(lookUpAgain)
}

// lookUpPage reads the page of final records that begins at the first wanted one, and
// tells how many of the wanted lie within it.
func (c *Committer) lookUpPage(ctx context.Context, wanted []ids.Job, now time.Time) (covered int, ok bool) {
	entries, more, _, err := c.State.List(ctx, record.EndPrefix, justBefore(record.EndKey(wanted[0])), lookUpPage, state.Normal)
	if err != nil {
		return 0, false
	}
	byKey := make(map[string]state.Entry, len(entries))
	for _, e := range entries {
		byKey[e.Key] = e
	}
	for _, id := range wanted {
		key := record.EndKey(id)
		if more && (len(entries) == 0 || key > entries[len(entries)-1].Key) {
			break
		}
		e, found := byKey[key]
		c.lookedUp(ctx, id, e, found, now)
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

// lookedUp takes in what was found of a job that ended.
func (c *Committer) lookedUp(ctx context.Context, id ids.Job, e state.Entry, found bool, now time.Time) {
	b := c.Cluster
	if !found {
		if _, live := b.elsewhere(id); live {
			b.stopAsking(id)
			return
		}
		b.askAgain(id, now)
		if !b.mine(id) {
			return
		}
		// It may be live after all, by a write of this leader's without an answer.
		c.findLive(ctx, id, now)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	rec, err := record.Decode(e.Value)
	if err != nil || !rec.Status.Over() {
		slog.Error("unreadable record", "key", e.Key, "err", err)
		b.pipes.lookUp[id] = now.Add(lookUpAgain)
		return
	}
	b.finally(id, rec.Status)
}

// findLive takes in a live record that this leader wrote but does not know of.
func (c *Committer) findLive(ctx context.Context, id ids.Job, now time.Time) {
	e, found, err := c.State.Get(ctx, record.JobKey(id), state.Normal)
	if err != nil || !found {
		return
	}
	rec, err := record.Decode(e.Value)
	if err != nil {
		return
	}
	b := c.Cluster
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.jobs[id] == nil && !b.gone[id] && !rec.Status.Over() {
		b.addJob(rec, e.Revision, now)
		poke(b.wakePlan)
	}
}
