package state

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// syncInterval spaces the rounds: hundreds of polls a second cost a few calls.
const syncInterval = 250 * time.Millisecond

// syncTimeout bounds a round.
const syncTimeout = 2 * CallTimeout

// syncState is how callers wait for the copy to be brought up to date. It is guarded by the mu of
// its cache.
type syncState struct {
	ctx       context.Context // of the rounds: the one that the cache runs by
	next      *syncRound      // the round that whoever asks now has to wait for; nil if nobody did
	running   bool            // the goroutine that does the rounds exists
	startedAt time.Time       // when the last round began
	asOf      time.Time       // when the last round that succeeded began
}

// syncRound is one call that brings the copy up to date for all who waited.
type syncRound struct {
	done chan struct{} // closed at the end of the round
	err  error         // to be read after done is closed
}

// Sync returns once the copy is no older than the store was when Sync was called. One call to the
// store, begun after all of them, serves everybody who waits; the copy may be read as if from the
// store then.
func (m *WatchCache) Sync(ctx context.Context) error {
	round := m.joinRound()
	select {
	case <-round.done:
		return round.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// joinRound is the next round to begin. It starts the goroutine that does the rounds if there is
// none.
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

// runRounds does rounds while anybody waits. Its context is the cache's own: a round serves many,
// and must not end with the one who asked first.
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

// nextRound tells whether anybody waits for a round, its context and how long to wait before it. If
// nobody does, whoever asks next starts the rounds again.
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

// beginRound takes the round that callers wait for: whoever asks from now on waits for another one.
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

// AsOf is the latest time of which the copy surely has everything: when the last round that
// succeeded began. A watch does not move it, since one may end well while the store serves nobody,
// or everybody but this node.
func (m *WatchCache) AsOf() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sync.asOf
}

// catchUp reads what changed up to now, or all anew if it must.
func (m *WatchCache) catchUp(ctx context.Context) error {
	m.mu.Lock()
	copied, lastRevision, ready := m.epoch, m.lastRevision, m.ready
	m.mu.Unlock()
	if !ready {
		return m.relist(ctx)
	}
	// A watch may end well in the middle of an outage, or while this node alone is refused: how
	// far the store is, only a plain read tells.
	stored, err := m.client.currentEpoch(ctx)
	if err != nil || stored <= copied {
		return err
	}
	after := copied
	if lastRevision > 0 {
		// That there are no changes may mean that nobody looked: an outage may have begun since,
		// or this node be refused. So the newest change known is asked for once more: an answer
		// that lacks it is blind.
		after = min(after, ids.StoreRevision(lastRevision)-1)
	}
	epoch, changes, err := m.client.watchChanges(ctx, m.prefix, after, 0)
	switch {
	case errors.Is(err, errCompacted):
		return m.relist(ctx)
	case err != nil:
		return err
	case epoch < stored:
		return fmt.Errorf("%w: changes only up to %d of %d", ErrRefused, epoch, stored)
	case lastRevision > 0 && !hasRevision(changes, lastRevision):
		return fmt.Errorf("%w: changes without what is known already", ErrRefused)
	}
	// The answer is of after the plain read, so it reaches that far at least; how far beyond,
	// only the changes themselves show.
	m.apply(max(stored, newestEpoch(changes)), changes)
	return nil
}

func hasRevision(changes []Change, revision ids.Revision) bool {
	return slices.ContainsFunc(changes, func(change Change) bool { return change.Revision == revision })
}
