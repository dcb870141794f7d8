package state

import (
	"context"
	"time"
)

const (
	// unavailableAfter is the time without a successful call after which requests of users
	// are rejected at once with a request to retry, instead of waiting for a call that hangs. The health probe
	// calls the store more often, so that users are served again as soon as the store responds.
	unavailableAfter = 2500 * time.Millisecond
	// probeAfter is the time without a successful call after which the health probe makes one.
	probeAfter = 700 * time.Millisecond
	// probeCheckInterval is the interval between checks whether a probe is due.
	probeCheckInterval = 500 * time.Millisecond
)

func (c *Client) recordSuccess() { c.lastSuccess.Store(int64(time.Since(c.start))) }

// SinceSuccess returns the time since the last successful call; ok is false if there was none.
func (c *Client) SinceSuccess() (age time.Duration, ok bool) {
	last := c.lastSuccess.Load()
	if last == neverSucceeded {
		return 0, false
	}
	return time.Since(c.start) - time.Duration(last), true
}

// Unavailable reports whether calls succeeded before, but none within unavailableAfter.
func (c *Client) Unavailable() bool {
	age, ok := c.SinceSuccess()
	return ok && age > unavailableAfter
}

// ProbeHealth reads a key whenever no other call succeeded lately, so that the client knows whether the
// store is available. It returns when the context ends.
func (c *Client) ProbeHealth(ctx context.Context, key string) {
	for ctx.Err() == nil {
		if age, ok := c.SinceSuccess(); !ok || age > probeAfter {
			// Get records the time of its success; its results are not needed.
			_, _, _ = c.Get(ctx, key, Urgent)
		}
		sleep(ctx, probeCheckInterval)
	}
}
