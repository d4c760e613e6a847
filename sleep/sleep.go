// Package sleep waits without outliving a context.
package sleep

import (
	"context"
	"time"
)

// For waits for a duration or until ctx ends, and tells whether the wait was whole.
func For(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
