package election

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// A process may stand still for seconds or minutes, its clocks running on, and then
// go on as if nothing had happened. Whatever a leader knew, another may own the pool
// by then. Leases and holds are judged by the clock, but between a look at the clock
// and the act there is always time to stand still; and what others sent meanwhile
// waits to be answered. So a standstill is noticed as such, and before the leader
// answers a beat or sends a command again, a renewal sent after it has to succeed.

const (
	pauseCheckInterval = 100 * time.Millisecond
	pauseThreshold     = 1500 * time.Millisecond // without a tick: a hold may have run out, and no loaded processor delays one so long
)

// pauseDetector notices that this process stood still.
type pauseDetector struct {
	mu        sync.Mutex
	lastTick  time.Time // the last one
	resumedAt time.Time // when the last standstill was over
	// OnWake is told how long it took.
	onResume func(time.Duration)
}

// run ticks until the context ends.
func (s *pauseDetector) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.lastPauseEnd(time.Now(), true)
		wait.For(ctx, pauseCheckInterval)
	}
}

// lastPauseEnd is when the last standstill was over; zero if there was none. Whoever asks
// first after one notices it: he may run before the next tick.
func (s *pauseDetector) lastPauseEnd(now time.Time, tick bool) time.Time {
	s.mu.Lock()
	gap := time.Duration(0)
	if !s.lastTick.IsZero() && now.Sub(s.lastTick) > pauseThreshold {
		gap = now.Sub(s.lastTick)
		s.resumedAt, s.lastTick = now, now
	}
	if tick {
		s.lastTick = now
	}
	woke, told := s.resumedAt, s.onResume
	s.mu.Unlock()
	if gap > 0 {
		slog.Warn("this process stood still", "for", gap.Round(time.Millisecond))
		if told != nil {
			told(gap)
		}
	}
	return woke
}

// renewedSincePause tells whether the leader has renewed its hold since this process last stood
// still.
func (e *Elector) renewedSincePause(term *Term) bool {
	woke := e.pauses.lastPauseEnd(time.Now(), false)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term == term && (woke.IsZero() || term.renewedAt.After(woke))
}

// processResumed begins to judge the machines anew: what looks silent was perhaps only not
// listened to.
func (e *Elector) processResumed(time.Duration) {
	if cluster := e.Cluster(); cluster != nil {
		cluster.ResetLiveness(time.Now())
	}
}
