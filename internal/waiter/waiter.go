package waiter

import (
	"context"
	"time"
)

// Wait returns after delay or at the end of ctx, and whether ctx goes on; a delay of zero or less returns at once.
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
