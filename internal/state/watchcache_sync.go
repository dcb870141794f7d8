package state

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// syncInterval is the shortest time between the starts of two rounds, so that hundreds of polls per
// second cost a few calls.
const syncInterval = 250 * time.Millisecond

// syncTimeout is the timeout of a round.
const syncTimeout = 2 * CallTimeout

// syncState is the state of the rounds by which Sync brings the copy up to date. It is guarded by
// WatchCache.mu.
type syncState struct {
	ctx       context.Context // context of the rounds, the same as that of WatchCache.Run
	next      *syncRound      // the round that new callers wait for; nil if there are none
	running   bool            // whether the goroutine that runs the rounds exists
	startedAt time.Time       // start of the last round
	asOf      time.Time       // start of the last successful round
}

// syncRound is one update of the copy for all callers that wait for it.
type syncRound struct {
	done chan struct{} // closed at the end of the round
	err  error         // valid after done is closed
}

// Sync returns when the copy contains all changes that the store had when Sync was called, so that the
// caller may read the copy instead of the store. One round, started after all waiting callers arrived,
// serves all of them.
func (m *WatchCache) Sync(ctx context.Context) error {
	round := m.joinRound()
	select {
	case <-round.done:
		return round.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// joinRound returns the next round to start. It starts the goroutine that runs the rounds if there is none.
func (m *WatchCache) joinRound() *syncRound {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sync.next == nil {
		m.sync.next = &syncRound{done: make(chan struct{})}
	}
	if !m.sync.running {
		m.sync.running = true
		go m.runRounds()
	}
	return m.sync.next
}

// runRounds runs rounds while callers wait for one. It uses the context of the cache, because a round
// serves many callers and must not be cancelled with the first of them.
func (m *WatchCache) runRounds() {
	for {
		ctx, delay, wanted := m.nextRound()
		if !wanted {
			return
		}
		sleep(ctx, delay)
		m.runRound(ctx)
	}
}

// nextRound reports whether a caller waits for a round, with the round's context and the delay before its
// start. If no caller waits, the next call of joinRound starts the goroutine again.
func (m *WatchCache) nextRound() (ctx context.Context, delay time.Duration, wanted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sync.next == nil {
		m.sync.running = false
		return nil, 0, false
	}
	return m.sync.ctx, syncInterval - time.Since(m.sync.startedAt), true
}

func (m *WatchCache) runRound(ctx context.Context) {
	round := m.beginRound()
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	began := time.Now()
	round.err = m.catchUp(ctx)
	cancel()
	if round.err == nil {
		m.setAsOf(began)
	}
	close(round.done)
}

// beginRound returns the round that callers wait for. Callers that arrive from now on wait for another one.
func (m *WatchCache) beginRound() *syncRound {
	m.mu.Lock()
	defer m.mu.Unlock()
	round := m.sync.next
	m.sync.next, m.sync.startedAt = nil, time.Now()
	return round
}

func (m *WatchCache) setAsOf(began time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sync.asOf = began
}

func (m *WatchCache) setSyncContext(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sync.ctx = ctx
}

// AsOf returns the latest time up to which the copy certainly has all changes: the start of the last
// successful round. A watch does not advance it, since a watch may succeed while the store serves no
// node, or all nodes except this one.
func (m *WatchCache) AsOf() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sync.asOf
}

// catchUp reads and applies all changes up to now. It lists all keys if the changes are not available.
func (m *WatchCache) catchUp(ctx context.Context) error {
	m.mu.Lock()
	copied, lastRevision, ready := m.epoch, m.lastRevision, m.ready
	m.mu.Unlock()
	if !ready {
		return m.relist(ctx)
	}
	// A watch may succeed during an outage, or while the store rejects only this node. Only a
	// plain read reliably returns the store's revision.
	stored, err := m.client.currentEpoch(ctx)
	if err != nil || stored <= copied {
		return err
	}
	after := copied
	if lastRevision > 0 {
		// A response without changes may also mean that the store did not read them, because an
		// outage has begun meanwhile or the store rejects this node. So the watch also requests
		// the newest change already known: a response without it is not valid.
		after = min(after, ids.StoreRevision(lastRevision)-1)
	}
	epoch, changes, err := m.client.watchChanges(ctx, m.prefix, after, 0)
	switch {
	case errors.Is(err, errCompacted):
		return m.relist(ctx)
	case err != nil:
		return err
	case epoch < stored:
		return fmt.Errorf("%w: watch returned changes up to store revision %d only, want %d", ErrRefused, epoch, stored)
	case lastRevision > 0 && !hasRevision(changes, lastRevision):
		return fmt.Errorf("%w: watch response lacks the newest change already in the cache", ErrRefused)
	}
	// The watch was made after the plain read, so its response includes all changes up to stored.
	// Beyond that, only the returned changes prove how far it reaches.
	m.apply(max(stored, newestEpoch(changes)), changes)
	return nil
}

func hasRevision(changes []Change, revision ids.Revision) bool {
	return slices.ContainsFunc(changes, func(change Change) bool { return change.Revision == revision })
}
