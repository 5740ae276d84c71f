package storer

import (
	"sync"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// bucket limits the rate of calls.
type bucket struct {
	clock broker.Clock
	rate  float64 // tokens per second
	burst float64

	mu     sync.Mutex
	tokens float64
	filled time.Time
}

func newBucket(clock broker.Clock, rate float64, burst int) *bucket {
	return &bucket{clock: clock, rate: rate, burst: float64(burst), tokens: float64(burst), filled: clock.Now()}
}

// reserve takes one token and returns after which delay it may be used, or false where that exceeds limit.
func (b *bucket) reserve(limit time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.tokens = min(b.burst, b.tokens+now.Sub(b.filled).Seconds()*b.rate)
	b.filled = now
	delay := time.Duration(max(0, 1-b.tokens) / b.rate * float64(time.Second))
	if delay > limit {
		return 0, false
	}
	b.tokens--
	return delay, true
}
