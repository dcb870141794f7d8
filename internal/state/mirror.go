package state

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/ids"
)

// Mirror keeps a copy of the keys below a prefix, a little behind the store.
type Mirror struct {
	c      *Client
	prefix string
	pause  time.Duration
	// OnChange is told each change in order, outside the mirror's lock.
	OnChange func(Change)

	mu      sync.Mutex
	entries map[string]Entry
	epoch   ids.Epoch
	ready   bool
}

// NewMirror makes a mirror; pause spaces its calls, so that a busy prefix does
// not eat the budget.
func NewMirror(c *Client, prefix string, pause time.Duration) *Mirror {
	return &Mirror{c: c, prefix: prefix, pause: pause, entries: map[string]Entry{}}
}

// Get reads the copy; ready is false until the first listing is in.
func (m *Mirror) Get(key string) (e Entry, found, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, found = m.entries[key]
	return e, found, m.ready
}

// Run keeps the copy until the context ends.
func (m *Mirror) Run(ctx context.Context) {
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
		epoch, news, err := m.c.Follow(ctx, m.prefix, after, 10*time.Second)
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
		m.apply(epoch, news)
		sleep(ctx, m.pause)
	}
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
	var news []Change
	m.mu.Lock()
	for _, e := range es {
		fresh[e.Key] = e
		if m.entries[e.Key].Stamp != e.Stamp {
			news = append(news, Change{Put: e.Key, Value: e.Value, Stamp: e.Stamp})
		}
	}
	for k := range m.entries {
		if _, still := fresh[k]; !still {
			news = append(news, Change{Remove: k, Stamp: ids.Stamp(epoch)})
		}
	}
	m.entries, m.epoch, m.ready = fresh, epoch, true
	m.mu.Unlock()
	m.tell(news)
	return nil
}

func (m *Mirror) apply(epoch ids.Epoch, news []Change) {
	m.mu.Lock()
	for _, n := range news {
		if n.Put != "" {
			m.entries[n.Put] = Entry{Key: n.Put, Value: n.Value, Stamp: n.Stamp}
		} else {
			delete(m.entries, n.Remove)
		}
	}
	if epoch > m.epoch {
		m.epoch = epoch
	}
	m.mu.Unlock()
	m.tell(news)
}

func (m *Mirror) tell(news []Change) {
	if m.OnChange == nil {
		return
	}
	for _, n := range news {
		m.OnChange(n)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
