// Package sleep provides a delay that a context can cut short.
package sleep

import (
	"context"
	"time"
)

// For waits for a duration or until ctx ends, and reports whether the full duration has passed.
func For(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
