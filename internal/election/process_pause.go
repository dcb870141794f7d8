package election

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// A process may be paused for seconds or minutes, its clocks running on, and then go on as if
// nothing had happened. Whatever a leader knew, another may lead the shard by then. Workers' and
// leaders' leases are judged by the clock, but between a look at the clock and the act there is
// always time for a pause; and what others sent meanwhile waits to be answered. So a pause is
// detected as such, and before the leader answers a heartbeat or sends a command again, a renewal
// sent after it has to succeed (docs/design.md, "The pool's claim").

const (
	pauseCheckInterval = 100 * time.Millisecond
	// pauseThreshold is the time without a tick that counts as a pause: a lease may have expired, and
	// no loaded processor delays a tick so long.
	pauseThreshold = 1500 * time.Millisecond
)

// pauseDetector notices that this process was paused.
type pauseDetector struct {
	// onResume is called after each pause, outside the lock, by whoever notices it first.
	onResume func()

	// mu guards what follows; nothing is called under it.
	mu        sync.Mutex
	lastTick  time.Time // zero before the first
	resumedAt time.Time // when the last pause was over; zero if there was none
}

func newPauseDetector(onResume func()) *pauseDetector {
	return &pauseDetector{onResume: onResume}
}

// run ticks until the context ends.
func (d *pauseDetector) run(ctx context.Context) {
	for ctx.Err() == nil {
		d.tick(time.Now())
		wait.For(ctx, pauseCheckInterval)
	}
}

// tick notes that this process is running.
func (d *pauseDetector) tick(now time.Time) { d.check(now, true) }

// lastResumedAt is when the last pause was over; zero if there was none. Whoever asks first after
// one detects it, since that may be before the next tick.
func (d *pauseDetector) lastResumedAt(now time.Time) time.Time { return d.check(now, false) }

// check detects a pause that is just over, and returns when the last one was.
func (d *pauseDetector) check(now time.Time, tick bool) time.Time {
	paused, resumedAt := d.update(now, tick)
	if paused > 0 {
		slog.Warn("process paused", "duration", paused.Round(time.Millisecond))
		d.onResume()
	}
	return resumedAt
}

// update returns how long the pause lasted that is over just now, zero if there was none, and when
// the last pause was over.
func (d *pauseDetector) update(now time.Time, tick bool) (paused time.Duration, resumedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lastTick.IsZero() && now.Sub(d.lastTick) > pauseThreshold {
		paused = now.Sub(d.lastTick)
		d.resumedAt, d.lastTick = now, now
	}
	if tick {
		d.lastTick = now
	}
	return paused, d.resumedAt
}
