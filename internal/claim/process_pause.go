package claim

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// A process may stand still for seconds or minutes, its clocks running on, and then
// go on as if nothing had happened. Whatever a leader knew, another may own the pool
// by then. Leases and holds are judged by the clock, but between a look at the clock
// and the act there is always time to stand still; and what others sent meanwhile
// waits to be answered. So a standstill is noticed as such, and before the leader
// answers a beat or sends a command again, a renewal sent after it has to succeed.

const (
	tickEvery  = 100 * time.Millisecond
	stoodStill = 1500 * time.Millisecond // without a tick: a hold may have run out, and no loaded processor delays one so long
)

// processPause notices that this process stood still.
type processPause struct {
	mu   sync.Mutex
	tick time.Time // the last one
	woke time.Time // when the last standstill was over
	// OnWake is told how long it took.
	onWake func(time.Duration)
}

// run ticks until the context ends.
func (s *processPause) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.since(time.Now(), true)
		wait(ctx, tickEvery)
	}
}

// since is when the last standstill was over; zero if there was none. Whoever asks
// first after one notices it: he may run before the next tick.
func (s *processPause) since(now time.Time, tick bool) time.Time {
	s.mu.Lock()
	gap := time.Duration(0)
	if !s.tick.IsZero() && now.Sub(s.tick) > stoodStill {
		gap = now.Sub(s.tick)
		s.woke, s.tick = now, now
	}
	if tick {
		s.tick = now
	}
	woke, told := s.woke, s.onWake
	s.mu.Unlock()
	if gap > 0 {
		slog.Warn("this process stood still", "for", gap.Round(time.Millisecond))
		if told != nil {
			told(gap)
		}
	}
	return woke
}

// proven tells whether the leader has renewed its hold since this process last stood
// still.
func (p *Pool) proven(t *Term) bool {
	woke := p.still.since(time.Now(), false)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.term == t && (woke.IsZero() || t.renewed.After(woke))
}

// woke begins to judge the machines anew: what looks silent was perhaps only not
// listened to.
func (p *Pool) woke(time.Duration) {
	if b := p.Cluster(); b != nil {
		b.listenAnew(time.Now())
	}
}

// listenAnew gives every machine the time to be heard again.
func (b *ClusterState) listenAnew(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.roster.Machines {
		if m.Heard {
			m.Probes, m.Unreached, m.Failures = 0, time.Time{}, 0
			m.Doubted, m.Asked = now, time.Time{}
		}
	}
}
