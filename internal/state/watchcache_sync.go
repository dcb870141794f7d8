package state

import (
	"context"
	"errors"
	"time"
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
func (w *WatchCache) Sync(ctx context.Context) error {
	round := w.joinRound()
	select {
	case <-round.done:
		return round.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// joinRound returns the next round to start. It starts the goroutine that runs the rounds if there is none.
func (w *WatchCache) joinRound() *syncRound {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sync.next == nil {
		w.sync.next = &syncRound{done: make(chan struct{})}
	}
	if !w.sync.running {
		w.sync.running = true
		go w.runRounds()
	}
	return w.sync.next
}

// runRounds runs rounds while callers wait for one. It uses the context of the cache, because a round
// serves many callers and must not be cancelled with the first of them.
func (w *WatchCache) runRounds() {
	for {
		ctx, delay, wanted := w.nextRound()
		if !wanted {
			return
		}
		sleep(ctx, delay)
		w.runRound(ctx)
	}
}

// nextRound reports whether a caller waits for a round, with the round's context and the delay before its
// start. If no caller waits, the next call of joinRound starts the goroutine again.
func (w *WatchCache) nextRound() (ctx context.Context, delay time.Duration, wanted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sync.next == nil {
		w.sync.running = false
		return nil, 0, false
	}
	return w.sync.ctx, syncInterval - time.Since(w.sync.startedAt), true
}

func (w *WatchCache) runRound(ctx context.Context) {
	round := w.beginRound()
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	began := time.Now()
	round.err = w.catchUp(ctx)
	cancel()
	if round.err == nil {
		w.setAsOf(began)
	}
	close(round.done)
}

// beginRound returns the round that callers wait for. Callers that arrive from now on wait for another one.
func (w *WatchCache) beginRound() *syncRound {
	w.mu.Lock()
	defer w.mu.Unlock()
	round := w.sync.next
	w.sync.next, w.sync.startedAt = nil, time.Now()
	return round
}

func (w *WatchCache) setAsOf(began time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sync.asOf = began
}

func (w *WatchCache) setSyncContext(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sync.ctx = ctx
}

// LastSyncedAt returns the latest time up to which the copy certainly has all changes: the start of the last
// successful round. A watch does not advance it, since a watch may succeed while the store serves no
// node, or all nodes except this one.
func (w *WatchCache) LastSyncedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sync.asOf
}

// catchUp reads and applies all changes up to now. It lists all keys if the changes are not available.
func (w *WatchCache) catchUp(ctx context.Context) error {
	w.mu.Lock()
	cachedRevision, lastRevision, ready := w.storeRevision, w.lastRevision, w.ready
	w.mu.Unlock()
	if !ready {
		return w.relist(ctx)
	}
	// A watch may succeed during an outage, or while the store rejects only this node. Only a
	// plain read reliably returns the store's revision.
	latestRevision, err := w.client.currentRevision(ctx)
	if err != nil || latestRevision <= cachedRevision {
		return err
	}
	changes, storeRevision, err := w.client.changesSince(ctx, w.prefix, cachedRevision, latestRevision, lastRevision, Normal)
	switch {
	case errors.Is(err, errCompacted):
		return w.relist(ctx)
	case err != nil:
		return err
	}
	w.apply(storeRevision, changes)
	return nil
}
