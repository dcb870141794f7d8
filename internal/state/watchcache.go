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

// WatchCache keeps a copy of the keys below a prefix, a little behind the store.
//
// Run follows the store's changes. Sync brings the copy up to date on demand, by a goroutine of its
// own that ends when nobody waits for it any more; it uses the context of Run.
type WatchCache struct {
	client *Client
	prefix string
	// watchInterval spaces the watches, so that a busy prefix does not eat the budget.
	watchInterval time.Duration

	// notifyMu has onChange called in the order in which the changes were applied; it guards
	// onChange too. It is taken before mu, never under it, and held while onChange runs, which
	// may read the copy.
	notifyMu sync.Mutex
	onChange func(Change)

	// mu guards all that follows. Nothing is called or waited for under it.
	mu           sync.Mutex
	entries      map[string]Entry
	epoch        ids.StoreRevision // up to which all changes are applied
	lastRevision ids.Revision      // of the newest change known
	ready        bool              // entries were listed, and changes can be followed from epoch on
	sync         syncState
}

// NewWatchCache makes an empty cache of the keys below a prefix; watchInterval spaces its watches.
func NewWatchCache(client *Client, prefix string, watchInterval time.Duration) *WatchCache {
	return &WatchCache{
		client:        client,
		prefix:        prefix,
		watchInterval: watchInterval,
		entries:       map[string]Entry{},
		sync:          syncState{ctx: context.Background()},
	}
}

// OnChange has listener called with each change from now on, in order. It may read the cache,
// but must not wait for it to be brought up to date.
func (m *WatchCache) OnChange(listener func(Change)) {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.onChange = listener
}

// Entries lists the copy in the order of keys, and the epoch that it is of.
func (m *WatchCache) Entries() ([]Entry, ids.StoreRevision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	byKey := func(x, y Entry) int { return cmp.Compare(x.Key, y.Key) }
	entries := slices.AppendSeq(make([]Entry, 0, len(m.entries)), maps.Values(m.entries))
	slices.SortFunc(entries, byKey)
	return entries, m.epoch
}

// Get reads the copy; ready is false until the first listing is in.
func (m *WatchCache) Get(key string) (entry Entry, found, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, found = m.entries[key]
	return entry, found, m.ready
}

// GetMany reads several keys, all at one moment; the entry of a key that does not exist has no key.
func (m *WatchCache) GetMany(keys ...string) (entries []Entry, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries = make([]Entry, len(keys))
	for i, key := range keys {
		entries[i] = m.entries[key]
	}
	return entries, m.ready
}

// GetFirst reads the first of several keys that exists, all at one moment: a value may move from one
// to another in between.
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
	// watchTimeout is how long the store waits for a change before it answers that there is none.
	watchTimeout = 10 * time.Second
	// watchRetryDelay spaces attempts after an error.
	watchRetryDelay = 300 * time.Millisecond
)

// Run keeps the copy until the context ends.
func (m *WatchCache) Run(ctx context.Context) {
	m.setSyncContext(ctx)
	for ctx.Err() == nil {
		if !m.isReady() {
			if err := m.relist(ctx); err != nil {
				slog.Debug("watch cache not listed", "prefix", m.prefix, "err", err)
				sleep(ctx, watchRetryDelay)
				continue
			}
		}
		m.watchOnce(ctx)
	}
}

// watchOnce waits for changes and applies them, and sleeps until the next watch is due.
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
	// An answer without changes says nothing: a watch that waits out an outage, or this node's
	// being refused, may end well with an epoch whose changes it never showed. To take that for
	// read would lose them for good.
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

// invalidate has the copy listed anew; it may be read meanwhile.
func (m *WatchCache) invalidate() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ready = false
}

// newestEpoch is the epoch of the last change; 0 if there is none.
func newestEpoch(changes []Change) (newest ids.StoreRevision) {
	for _, change := range changes {
		newest = max(newest, ids.StoreRevision(change.Revision))
	}
	return newest
}

// relist reads all anew and reports what differs from the copy as changes, so that a listener
// misses nothing when the store has compacted its history.
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

// replace makes the copy hold the entries listed at an epoch and returns what differs. It changes
// nothing if the copy is newer.
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

// apply takes in what changed up to an epoch and notifies the listener of what is new.
func (m *WatchCache) apply(epoch ids.StoreRevision, changes []Change) {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.notify(m.merge(epoch, changes))
}

// merge puts changes into the copy and returns those that it did not have yet: answers may overtake
// one another. It reuses the list.
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

// notify tells the listener of changes, in order. The caller holds notifyMu, but not mu.
func (m *WatchCache) notify(changes []Change) {
	if m.onChange == nil {
		return
	}
	for _, change := range changes {
		m.onChange(change)
	}
}

// sleep waits until a time has passed or the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
