package state

import (
	"context"
	"time"
)

const (
	// unavailableAfter is the time without a successful call after which users are told at once
	// to retry, instead of each finding out by a call that hangs. The health probe calls the
	// store more often than that, so that this ends as soon as it answers.
	unavailableAfter = 2500 * time.Millisecond
	// probeAfter is the time without a successful call after which the health probe makes one.
	probeAfter = 700 * time.Millisecond
	// probeCheckInterval spaces the looks whether a call is due.
	probeCheckInterval = 500 * time.Millisecond
)

func (c *Client) noteSuccess() { c.lastSuccess.Store(int64(time.Since(c.start))) }

// SinceSuccess is the time since the store last served this node; ok is false if it never has.
func (c *Client) SinceSuccess() (age time.Duration, ok bool) {
	last := c.lastSuccess.Load()
	if last == neverSucceeded {
		return 0, false
	}
	return time.Since(c.start) - time.Duration(last), true
}

// Unavailable tells that the store served this node before, but not lately.
func (c *Client) Unavailable() bool {
	age, ok := c.SinceSuccess()
	return ok && age > unavailableAfter
}

// ProbeHealth probes the store by reading a key when nothing else calls it, so that the client
// knows whether it is available. It returns when the context ends.
func (c *Client) ProbeHealth(ctx context.Context, key string) {
	for ctx.Err() == nil {
		if age, ok := c.SinceSuccess(); !ok || age > probeAfter {
			// Only the time of the last success matters here, which Get notes.
			_, _, _ = c.Get(ctx, key, Urgent)
		}
		sleep(ctx, probeCheckInterval)
	}
}
