package election

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pebbletrail/pebbletrail/internal/wait"
)

// A process may be paused for seconds or minutes while its clocks keep running, and then continue without
// noticing. Another controller may lead the shard by then. The expiry of workers' and leaders' leases is
// decided by the clock, but the process can be paused between reading the clock and acting on it, and
// requests that arrived during the pause still wait to be answered. Pauses are therefore detected
// explicitly: after a pause, a renewal that was sent after it must succeed before the leader answers a
// heartbeat or sends a command (docs/design.md, "The pool's claim").

const (
	pauseCheckInterval = 100 * time.Millisecond
	// pauseThreshold is the time without a tick that counts as a pause. A lease may expire within that time,
	// whereas a loaded processor alone does not delay a tick that long.
	pauseThreshold = 1500 * time.Millisecond
)

// pauseDetector detects pauses of this process.
type pauseDetector struct {
	// onResume is called once after each pause, without mu held, by the call that detects the pause.
	onResume func()

	// mu guards the fields below. No other lock is acquired and no callback runs while it is held.
	mu        sync.Mutex
	lastTick  time.Time // zero before the first tick
	resumedAt time.Time // end of the last pause; zero if there was none
}

func newPauseDetector(onResume func()) *pauseDetector {
	return &pauseDetector{onResume: onResume}
}

// run calls tick periodically until the context ends.
func (d *pauseDetector) run(ctx context.Context) {
	for ctx.Err() == nil {
		d.tick(time.Now())
		wait.For(ctx, pauseCheckInterval)
	}
}

// tick records that this process is running.
func (d *pauseDetector) tick(now time.Time) { d.check(now, true) }

// lastResumedAt returns the end of the last pause; zero if there was none. It also checks for a pause itself,
// since it may be called after a pause and before the next tick.
func (d *pauseDetector) lastResumedAt(now time.Time) time.Time { return d.check(now, false) }

// check detects a pause that has just ended, and returns the end of the last pause.
func (d *pauseDetector) check(now time.Time, tick bool) time.Time {
	paused, resumedAt := d.update(now, tick)
	if paused > 0 {
		slog.Warn("process paused", "duration", paused.Round(time.Millisecond))
		d.onResume()
	}
	return resumedAt
}

// update returns the duration of the pause that has just ended, zero if there was none, and the end of the
// last pause.
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
