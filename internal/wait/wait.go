// Package wait waits for times that a context may cut short.
package wait

import (
	"context"
	"time"
)

// For waits for a duration, or until the context ends.
func For(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// Signal has whoever waits on a channel of capacity one look again; it never blocks.
func Signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
