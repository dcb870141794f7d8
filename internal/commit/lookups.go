package commit

import (
	"context"
	"log/slog"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/state"
	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// Final records are kept for ever, so what it costs to look some up must depend on how many are wanted
// and not on how many there are.
const (
	// LookupInterval spaces the passes that look up how jobs ended.
	LookupInterval = 200 * time.Millisecond
	// pagedLookupThreshold is from how many on pages of final records are tried: after a takeover with
	// thousands that wait.
	pagedLookupThreshold = 40
	// LookupPageSize is how many final records a page holds.
	LookupPageSize = 500
	// lookupPagesPerPass is how many pages one pass reads at most.
	lookupPagesPerPass = 5
	// minLookupsPerPage is how many wanted records a page must cover to be worth reading.
	minLookupsPerPage = 8
	// LookupReadsPerPass is how many records one pass reads one by one at most.
	LookupReadsPerPass = 20
)

// Lookups is what the cluster state wants to know of ended jobs. It locks itself.
type Lookups interface {
	// DueLookups lists, in the order of their keys, the ended jobs to look up now.
	DueLookups(now time.Time) []ids.Job
	// RetryLookup postpones the lookup of a job that could not be read.
	RetryLookup(id ids.Job, now time.Time)
	// LookupFound records how a job ended.
	LookupFound(id ids.Job, status record.Status)
	// LookupMissed records that a job has no final record; readLive reports that it may be live after
	// all, by a write of this leader's without an answer.
	LookupMissed(id ids.Job, now time.Time) (readLive bool)
	// LiveRecordFound records a live record.
	LiveRecordFound(stored *record.Record, revision ids.Revision, now time.Time)
}

// finalRecordReader looks up the final records of jobs that others depend on.
type finalRecordReader struct {
	cluster Lookups
	store   *state.Client
}

// run looks up until the context ends.
func (r *finalRecordReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.lookUp(ctx)
		wait.For(ctx, LookupInterval)
	}
}

// lookUp is one pass: pages while they cover enough of what is wanted, then records one by one. What it does
// not get to is left to the next pass.
func (r *finalRecordReader) lookUp(ctx context.Context) {
	now := time.Now()
	wanted := r.cluster.DueLookups(now)
	for page := 0; len(wanted) >= pagedLookupThreshold; page++ {
		if page == lookupPagesPerPass {
			return
		}
		covered, ok := r.lookUpPage(ctx, wanted, now)
		if !ok {
			break
		}
		wanted = wanted[covered:]
		if covered < minLookupsPerPage {
			break
		}
	}
	for _, id := range wanted[:min(len(wanted), LookupReadsPerPass)] {
		entry, found, err := r.store.Get(ctx, record.EndKey(id), state.Normal)
		if err != nil {
			r.cluster.RetryLookup(id, now) // the others must not wait for one that can't be read
			return
		}
		r.applyLookup(ctx, id, entry, found, now)
	}
}

// lookUpPage reads the page of final records that begins at the first wanted one, and returns how many of
// the wanted lie within it.
func (r *finalRecordReader) lookUpPage(ctx context.Context, wanted []ids.Job, now time.Time) (covered int, ok bool) {
	entries, more, _, err := r.store.List(ctx, record.EndPrefix, justBefore(record.EndKey(wanted[0])), LookupPageSize, state.Normal)
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
		r.applyLookup(ctx, id, entry, found, now)
		covered++
	}
	return covered, true
}

// justBefore returns a key that comes before another, and after every other job's key that does: they end in
// digits.
func justBefore(key string) string {
	last := len(key) - 1
	return key[:last] + string(key[last]-1) + "~"
}

// applyLookup records what was found of a job that ended.
func (r *finalRecordReader) applyLookup(ctx context.Context, id ids.Job, entry state.Entry, found bool, now time.Time) {
	if !found {
		if r.cluster.LookupMissed(id, now) {
			r.findLive(ctx, id, now)
		}
		return
	}
	stored, err := record.Decode(entry.Value)
	if err != nil || !stored.Status.IsTerminal() {
		slog.Error("unreadable record", "key", entry.Key, "err", err)
		r.cluster.RetryLookup(id, now)
		return
	}
	r.cluster.LookupFound(id, stored.Status)
}

// findLive finds a live record that this leader wrote but does not know of.
func (r *finalRecordReader) findLive(ctx context.Context, id ids.Job, now time.Time) {
	entry, found, err := r.store.Get(ctx, record.JobKey(id), state.Normal)
	if err != nil || !found {
		return
	}
	if stored, err := record.Decode(entry.Value); err == nil {
		r.cluster.LiveRecordFound(stored, entry.Revision, now)
	}
}
