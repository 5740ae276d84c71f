package waiter

import (
	"context"
	"time"
)

// Wait waits for delay or until ctx ends, and reports whether ctx is still active. It returns at once if delay is zero
// or negative.
func Wait(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
