// Package wait provides a pause that ends with a context, and a non-blocking wake-up signal.
package wait

import (
	"context"
	"time"
)

// For waits for a duration, or until the context is done.
func For(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// Signal wakes the receiver on a channel of capacity one. It never blocks: if a signal is already
// pending, it does nothing.
func Signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
