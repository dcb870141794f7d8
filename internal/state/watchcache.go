package state

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
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
	mu           sync.Mutex
	entries      map[string]Entry
	epoch        ids.StoreRevision // store revision up to which all changes are applied
	lastRevision ids.Revision      // revision of the newest known change
	ready        bool              // whether entries were listed and can be updated by a watch from epoch
	sync         syncState
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
func (m *WatchCache) OnChange(listener func(Change)) {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.onChange = listener
}

// Entries returns all entries of the copy, sorted by key, and the store revision of the copy.
func (m *WatchCache) Entries() ([]Entry, ids.StoreRevision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	byKey := func(x, y Entry) int { return cmp.Compare(x.Key, y.Key) }
	entries := slices.AppendSeq(make([]Entry, 0, len(m.entries)), maps.Values(m.entries))
	slices.SortFunc(entries, byKey)
	return entries, m.epoch
}

// Get reads a key from the copy; ready is false before the first listing.
func (m *WatchCache) Get(key string) (entry Entry, found, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, found = m.entries[key]
	return entry, found, m.ready
}

// GetMany reads several keys from the same version of the copy. The entry of a key that does not exist has
// an empty Key.
func (m *WatchCache) GetMany(keys ...string) (entries []Entry, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries = make([]Entry, len(keys))
	for i, key := range keys {
		entries[i] = m.entries[key]
	}
	return entries, m.ready
}

// GetFirst reads the first of several keys that exists. All are looked up in the same version of the copy,
// because a value may move from one key to another.
func (m *WatchCache) GetFirst(keys ...string) (entry Entry, found, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, key := range keys {
		if entry, found = m.entries[key]; found {
			break
		}
	}
	return entry, found, m.ready
}

const (
	// watchTimeout is how long the store waits for a change before it returns an empty response.
	watchTimeout = 10 * time.Second
	// watchRetryDelay is the delay before a retry after an error.
	watchRetryDelay = 300 * time.Millisecond
)

// Run keeps the copy up to date until the context ends.
func (m *WatchCache) Run(ctx context.Context) {
	m.setSyncContext(ctx)
	for ctx.Err() == nil {
		if !m.isReady() {
			if err := m.relist(ctx); err != nil {
				slog.Debug("watch cache cannot list its keys; retrying", "prefix", m.prefix, "err", err)
				sleep(ctx, watchRetryDelay)
				continue
			}
		}
		m.watchOnce(ctx)
	}
}

// watchOnce waits for changes, applies them and sleeps until the next watch is due.
func (m *WatchCache) watchOnce(ctx context.Context) {
	_, changes, err := m.client.watchChanges(ctx, m.prefix, m.currentEpoch(), watchTimeout)
	switch {
	case errors.Is(err, errCompacted):
		m.invalidate()
		return
	case err != nil:
		sleep(ctx, watchRetryDelay)
		return
	}
	// A response without changes must not advance the copy: a watch that spans an outage of the
	// store, or a time in which the store rejects this node, may succeed with a store revision
	// whose changes it did not return. Advancing to that revision would lose these changes.
	if epoch := newestEpoch(changes); epoch > 0 {
		m.apply(epoch, changes)
	}
	sleep(ctx, m.watchInterval)
}

func (m *WatchCache) currentEpoch() ids.StoreRevision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch
}

func (m *WatchCache) isReady() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ready
}

// invalidate requests a new listing; the copy may still be read until then.
func (m *WatchCache) invalidate() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ready = false
}

// newestEpoch returns the store revision of the newest change; 0 if there is none.
func newestEpoch(changes []Change) (newest ids.StoreRevision) {
	for _, change := range changes {
		newest = max(newest, ids.StoreRevision(change.Revision))
	}
	return newest
}

// relist lists all keys and notifies the listener of the differences from the copy, so that it misses no
// change when the store has compacted its history.
func (m *WatchCache) relist(ctx context.Context) error {
	entries, epoch, err := m.client.ListAll(ctx, m.prefix, Normal)
	if err != nil {
		return err
	}
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.notify(m.replace(entries, epoch))
	return nil
}

// replace replaces the copy by the entries listed at a store revision and returns the differences as
// changes. It does nothing if the copy is newer.
func (m *WatchCache) replace(entries []Entry, epoch ids.StoreRevision) (changes []Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ready && epoch < m.epoch {
		return nil
	}
	listed := make(map[string]Entry, len(entries))
	m.lastRevision = 0
	for _, entry := range entries {
		listed[entry.Key] = entry
		m.lastRevision = max(m.lastRevision, entry.Revision)
		if m.entries[entry.Key].Revision != entry.Revision {
			changes = append(changes, Change{Put: entry.Key, Value: entry.Value, Revision: entry.Revision})
		}
	}
	for key := range m.entries {
		if _, still := listed[key]; !still {
			changes = append(changes, Change{Remove: key, Revision: ids.Revision(epoch)})
		}
	}
	m.entries, m.epoch, m.ready = listed, epoch, true
	return changes
}

// apply applies the changes up to a store revision and notifies the listener of those that are new.
func (m *WatchCache) apply(epoch ids.StoreRevision, changes []Change) {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.notify(m.merge(epoch, changes))
}

// merge applies changes to the copy and returns those that the copy did not have yet, because responses
// may arrive out of order. The result reuses the memory of changes.
func (m *WatchCache) merge(epoch ids.StoreRevision, changes []Change) (applied []Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	applied = changes[:0]
	for _, change := range changes {
		if ids.StoreRevision(change.Revision) <= m.epoch || change.Revision <= m.entries[change.Key()].Revision {
			continue
		}
		applied = append(applied, change)
		m.lastRevision = max(m.lastRevision, change.Revision)
		if change.Put != "" {
			m.entries[change.Put] = Entry{Key: change.Put, Value: change.Value, Revision: change.Revision}
		} else {
			delete(m.entries, change.Remove)
		}
	}
	m.epoch = max(m.epoch, epoch)
	return applied
}

// notify calls the listener with each change, in order. The caller holds notifyMu, but not mu.
func (m *WatchCache) notify(changes []Change) {
	if m.onChange == nil {
		return
	}
	for _, change := range changes {
		m.onChange(change)
	}
}

// sleep waits until the duration has passed or the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
