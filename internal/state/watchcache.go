package state

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// WatchCache is a copy of the keys below a prefix that lags slightly behind the store.
//
// Run keeps the copy up to date by watches. Sync brings it up to date on demand: a goroutine of its own,
// which uses the context of Run, reads the changes and ends when no caller waits.
type WatchCache struct {
	client *Client
	prefix string
	// watchInterval is the pause between watches, so that a prefix with many changes does not use
	// up the budget.
	watchInterval time.Duration

	// notifyMu guards onChange and ensures that it is called in the order in which the changes
	// were applied. It is locked before mu, never while mu is held, and stays locked while
	// onChange runs, which may read the copy.
	notifyMu sync.Mutex
	onChange func(Change)

	// mu guards the fields below. Code that holds it neither calls the store or a listener nor
	// blocks.
	mu            sync.Mutex
	entries       map[string]Entry
	storeRevision ids.StoreRevision // store revision up to which all changes are applied
	lastRevision  ids.Revision      // revision of the newest known change
	ready         bool              // whether entries were listed and can be updated by a watch from storeRevision
	sync          syncState
}

// NewWatchCache returns an empty cache of the keys below a prefix; watchInterval is the pause between its
// watches.
func NewWatchCache(client *Client, prefix string, watchInterval time.Duration) *WatchCache {
	return &WatchCache{
		client:        client,
		prefix:        prefix,
		watchInterval: watchInterval,
		entries:       map[string]Entry{},
		sync:          syncState{ctx: context.Background()},
	}
}

// OnChange sets the function that is called with each change from now on, in order. The listener may read
// the cache but must not call Sync.
func (w *WatchCache) OnChange(listener func(Change)) {
	w.notifyMu.Lock()
	defer w.notifyMu.Unlock()
	w.onChange = listener
}

// Entries returns all entries of the copy, sorted by key, and the store revision of the copy.
func (w *WatchCache) Entries() ([]Entry, ids.StoreRevision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return sortedByKey(w.entries), w.storeRevision
}

// Get reads a key from the copy; ready is false before the first listing.
func (w *WatchCache) Get(key string) (entry Entry, found, ready bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry, found = w.entries[key]
	return entry, found, w.ready
}

// GetMany reads several keys from the same version of the copy. The entry of a key that does not exist has
// an empty Key.
func (w *WatchCache) GetMany(keys ...string) (entries []Entry, ready bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	entries = make([]Entry, len(keys))
	for i, key := range keys {
		entries[i] = w.entries[key]
	}
	return entries, w.ready
}

// GetFirst reads the first of several keys that exists. All are looked up in the same version of the copy,
// because a value may move from one key to another.
func (w *WatchCache) GetFirst(keys ...string) (entry Entry, found, ready bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, key := range keys {
		if entry, found = w.entries[key]; found {
			break
		}
	}
	return entry, found, w.ready
}

const (
	// watchTimeout is how long the store waits for a change before it returns an empty response.
	watchTimeout = 10 * time.Second
	// watchRetryDelay is the delay before a retry after an error.
	watchRetryDelay = 300 * time.Millisecond
)

// Run keeps the copy up to date until the context ends.
func (w *WatchCache) Run(ctx context.Context) {
	w.setSyncContext(ctx)
	for ctx.Err() == nil {
		if !w.isReady() {
			if err := w.relist(ctx); err != nil {
				slog.Debug("watch cache cannot list its keys; retrying", "prefix", w.prefix, "err", err)
				sleep(ctx, watchRetryDelay)
				continue
			}
		}
		w.watchOnce(ctx)
	}
}

// watchOnce waits for changes, applies them and sleeps until the next watch is due.
func (w *WatchCache) watchOnce(ctx context.Context) {
	_, changes, err := w.client.watchChanges(ctx, w.prefix, w.currentRevision(), watchTimeout, Normal)
	switch {
	case errors.Is(err, errCompacted):
		w.invalidate()
		return
	case err != nil:
		sleep(ctx, watchRetryDelay)
		return
	}
	// A response without changes must not advance the copy: a watch that spans an outage of the
	// store, or a time in which the store rejects this node, may succeed with a store revision
	// whose changes it did not return. Advancing to that revision would lose these changes.
	if storeRevision := newestRevision(changes); storeRevision > 0 {
		w.apply(storeRevision, changes)
	}
	sleep(ctx, w.watchInterval)
}

func (w *WatchCache) currentRevision() ids.StoreRevision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeRevision
}

func (w *WatchCache) isReady() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ready
}

// invalidate requests a new listing; the copy may still be read until then.
func (w *WatchCache) invalidate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ready = false
}

// relist lists all keys and notifies the listener of the differences from the copy, so that it misses no
// change when the store has compacted its history.
func (w *WatchCache) relist(ctx context.Context) error {
	entries, storeRevision, err := w.client.ListAll(ctx, w.prefix, Normal)
	if err != nil {
		return err
	}
	w.notifyMu.Lock()
	defer w.notifyMu.Unlock()
	w.notify(w.replace(entries, storeRevision))
	return nil
}

// replace replaces the copy by the entries listed at a store revision and returns the differences as
// changes. It does nothing if the copy is newer.
func (w *WatchCache) replace(entries []Entry, storeRevision ids.StoreRevision) (changes []Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if storeRevision < w.storeRevision {
		return nil
	}
	listed := make(map[string]Entry, len(entries))
	w.lastRevision = newestEntry(entries)
	for _, entry := range entries {
		listed[entry.Key] = entry
		if w.entries[entry.Key].Revision != entry.Revision {
			changes = append(changes, Change{Put: entry.Key, Value: entry.Value, Revision: entry.Revision})
		}
	}
	for key := range w.entries {
		if _, exists := listed[key]; !exists {
			changes = append(changes, Change{Remove: key, Revision: ids.Revision(storeRevision)})
		}
	}
	w.entries, w.storeRevision, w.ready = listed, storeRevision, true
	return changes
}

// apply applies the changes up to a store revision and notifies the listener of those that are new.
func (w *WatchCache) apply(storeRevision ids.StoreRevision, changes []Change) {
	w.notifyMu.Lock()
	defer w.notifyMu.Unlock()
	w.notify(w.merge(storeRevision, changes))
}

// merge applies changes to the copy and returns those that the copy did not have yet, because responses
// may arrive out of order. The result reuses the memory of changes.
func (w *WatchCache) merge(storeRevision ids.StoreRevision, changes []Change) (applied []Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	applied = applyChanges(w.entries, w.storeRevision, changes)
	w.lastRevision = max(w.lastRevision, ids.Revision(newestRevision(applied)))
	w.storeRevision = max(w.storeRevision, storeRevision)
	return applied
}

// notify calls the listener with each change, in order. The caller holds notifyMu, but not mu.
func (w *WatchCache) notify(changes []Change) {
	if w.onChange == nil {
		return
	}
	for _, change := range changes {
		w.onChange(change)
	}
}

// sleep waits until the duration has passed or the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
