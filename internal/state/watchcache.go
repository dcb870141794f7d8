package state

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Mirror keeps a copy of the keys below a prefix, a little behind the store.
type Mirror struct {
	c      *Client
	prefix string
	pause  time.Duration
	// order has onChange called in the order in which the changes were applied; it guards
	// onChange too.
	order    sync.Mutex
	onChange func(Change)

	mu      sync.Mutex
	entries map[string]Entry
	epoch   ids.Epoch
	last    ids.Revision // of the newest change known
	ready   bool
	next    *round // the round that whoever asks now has to wait for
	turning bool
	turned  time.Time // when the last round began
	asOf    time.Time // when the last round that succeeded began
	life    context.Context
}

// round is one call that brings the copy up to date for all who waited.
type round struct {
	done chan struct{}
	err  error
}

// NewMirror makes a mirror; pause spaces its calls, so that a busy prefix does
// not eat the budget.
func NewMirror(c *Client, prefix string, pause time.Duration) *Mirror {
	return &Mirror{c: c, prefix: prefix, pause: pause, entries: map[string]Entry{}, life: context.Background()}
}

// NotifyChanges has f called with each change from now on, in order and outside the mirror's
// lock.
func (m *Mirror) NotifyChanges(f func(Change)) {
	m.order.Lock()
	defer m.order.Unlock()
	m.onChange = f
}

// syncEvery spaces the rounds: hundreds of polls a second cost a few calls.
const syncEvery = 250 * time.Millisecond

// Sync returns once the copy is no older than the store was when Sync was
// called. One call to the store, begun after all of them, serves everybody who
// waits; the copy may be read as if from the store then.
func (m *Mirror) Sync(ctx context.Context) error {
	m.mu.Lock()
	r := m.next
	if r == nil {
		r = &round{done: make(chan struct{})}
		m.next = r
	}
	if !m.turning {
		m.turning = true
		go m.turn()
	}
	m.mu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// turn does rounds while anybody waits. Its context is the copy's own: a round
// serves many, and must not end with the one who asked first.
func (m *Mirror) turn() {
	for {
		m.mu.Lock()
		if m.next == nil {
			m.turning = false
			m.mu.Unlock()
			return
		}
		pace, life := syncEvery-time.Since(m.turned), m.life
		m.mu.Unlock()
		sleep(life, pace)
		m.mu.Lock()
		r := m.next
		m.next, m.turned = nil, time.Now()
		m.mu.Unlock()
		ctx, cancel := context.WithTimeout(life, 2*CallTimeout)
		began := time.Now()
		r.err = m.catchUp(ctx)
		cancel()
		if r.err == nil {
			m.mu.Lock()
			m.asOf = began
			m.mu.Unlock()
		}
		close(r.done)
	}
}

// catchUp reads what changed up to now, or all anew if it must.
func (m *Mirror) catchUp(ctx context.Context) error {
	m.mu.Lock()
	after, last, ready := m.epoch, m.last, m.ready
	m.mu.Unlock()
	if !ready {
		return m.list(ctx)
	}
	// A watch may end well in the middle of an outage, or while this node alone
	// is refused: how far the store is, only a plain read tells.
	now, err := m.c.Epoch(ctx)
	if err != nil || now <= after {
		return err
	}
	// That there are no changes may mean that nobody looked: an outage may have begun
	// since, or this node be refused. So the newest change known is asked for once
	// more: an answer that lacks it is blind.
	if last > 0 {
		after = min(after, ids.Epoch(last)-1)
	}
	epoch, changes, err := m.c.Follow(ctx, m.prefix, after, 0)
	switch {
	case errors.Is(err, ErrTooOld):
		return m.list(ctx)
	case err != nil:
		return err
	case epoch < now:
		return fmt.Errorf("%w: changes only up to %d of %d", ErrRefused, epoch, now)
	case last > 0 && !slices.ContainsFunc(changes, func(n Change) bool { return n.Revision == last }):
		return fmt.Errorf("%w: changes without what is known already", ErrRefused)
	}
	// The answer is of after the plain read, so it reaches that far at least; how
	// far beyond, only the changes themselves show.
	m.apply(max(now, newest(changes)), changes)
	return nil
}

// AsOf is the latest time of which the copy surely has everything: when the last
// round that succeeded began. A watch does not move it, since one may end well
// while the store serves nobody, or everybody but this node.
func (m *Mirror) AsOf() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.asOf
}

// All lists the copy in order.
func (m *Mirror) All() ([]Entry, ids.Epoch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	es := make([]Entry, 0, len(m.entries))
	for _, e := range m.entries {
		es = append(es, e)
	}
	sort.Slice(es, func(x, y int) bool { return es[x].Key < es[y].Key })
	return es, m.epoch
}

// Get reads the copy; ready is false until the first listing is in.
func (m *Mirror) Get(key string) (e Entry, found, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, found = m.entries[key]
	return e, found, m.ready
}

// Several reads several keys, all at one moment; an entry of a key that there is not
// has no name.
func (m *Mirror) Several(keys ...string) (entries []Entry, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries = make([]Entry, len(keys))
	for i, key := range keys {
		entries[i] = m.entries[key]
	}
	return entries, m.ready
}

// First reads the first of several keys that there is, all at one moment: a key may
// move from one to another in between.
func (m *Mirror) First(keys ...string) (e Entry, found, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range keys {
		if e, found = m.entries[k]; found {
			break
		}
	}
	return e, found, m.ready
}

// Run keeps the copy until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	m.mu.Lock()
	m.life = ctx
	m.mu.Unlock()
	for ctx.Err() == nil {
		if !m.isReady() {
			if err := m.list(ctx); err != nil {
				slog.Debug("mirror cannot list", "prefix", m.prefix, "err", err)
				sleep(ctx, 300*time.Millisecond)
				continue
			}
		}
		m.mu.Lock()
		after := m.epoch
		m.mu.Unlock()
		_, changes, err := m.c.Follow(ctx, m.prefix, after, 10*time.Second)
		switch {
		case errors.Is(err, ErrTooOld):
			m.mu.Lock()
			m.ready = false
			m.mu.Unlock()
			continue
		case err != nil:
			sleep(ctx, 300*time.Millisecond)
			continue
		}
		// An answer without changes says nothing: a watch that waits out an outage, or this
		// node's being refused, may end well with an epoch whose changes it never
		// showed. To take that for read would lose them for good.
		if epoch := newest(changes); epoch > 0 {
			m.apply(epoch, changes)
		}
		sleep(ctx, m.pause)
	}
}

// newest is the epoch of the last change; 0 if there is none.
func newest(changes []Change) (at ids.Epoch) {
	for _, change := range changes {
		at = max(at, ids.Epoch(change.Revision))
	}
	return at
}

func (m *Mirror) isReady() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ready
}

// list reads all anew and reports what differs from the copy as changes, so
// that a listener misses nothing over a 410.
func (m *Mirror) list(ctx context.Context) error {
	es, epoch, err := m.c.ListAll(ctx, m.prefix, Normal)
	if err != nil {
		return err
	}
	fresh := make(map[string]Entry, len(es))
	var changes []Change
	m.order.Lock()
	defer m.order.Unlock()
	m.mu.Lock()
	if m.ready && epoch < m.epoch {
		m.mu.Unlock()
		return nil // what was followed meanwhile is newer
	}
	for _, e := range es {
		fresh[e.Key] = e
		if m.entries[e.Key].Revision != e.Revision {
			changes = append(changes, Change{Put: e.Key, Value: e.Value, Revision: e.Revision})
		}
	}
	for k := range m.entries {
		if _, still := fresh[k]; !still {
			changes = append(changes, Change{Remove: k, Revision: ids.Revision(epoch)})
		}
	}
	m.entries, m.epoch, m.ready, m.last = fresh, epoch, true, 0
	for _, e := range fresh {
		m.last = max(m.last, e.Revision)
	}
	m.mu.Unlock()
	m.notify(changes)
	return nil
}

// apply takes in what changed up to an epoch. Answers may overtake one another,
// so what the copy has already is passed over.
func (m *Mirror) apply(epoch ids.Epoch, changes []Change) {
	m.order.Lock()
	defer m.order.Unlock()
	fresh := changes[:0]
	m.mu.Lock()
	for _, n := range changes {
		if ids.Epoch(n.Revision) <= m.epoch || n.Revision <= m.entries[n.Key()].Revision {
			continue
		}
		fresh = append(fresh, n)
		m.last = max(m.last, n.Revision)
		if n.Put != "" {
			m.entries[n.Put] = Entry{Key: n.Put, Value: n.Value, Revision: n.Revision}
		} else {
			delete(m.entries, n.Remove)
		}
	}
	if epoch > m.epoch {
		m.epoch = epoch
	}
	m.mu.Unlock()
	m.notify(fresh)
}

// notify passes changes on, in order; whoever calls holds that lock.
func (m *Mirror) notify(changes []Change) {
	if m.onChange == nil {
		return
	}
	for _, change := range changes {
		m.onChange(change)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
