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
