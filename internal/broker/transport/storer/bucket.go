package storer

import (
	"sync"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// tokenBucket is a token-bucket rate limiter for calls.
type tokenBucket struct {
	clock broker.Clock
	rate  float64 // tokens per second
	burst float64 // maximum number of tokens

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

func newTokenBucket(clock broker.Clock, rate float64, burst int) *tokenBucket {
	return &tokenBucket{clock: clock, rate: rate, burst: float64(burst), tokens: float64(burst), refilledAt: clock.Now()}
}

// reserve takes one token and returns the delay until it may be used. It takes none and returns false if the delay
// would exceed maxDelay.
func (b *tokenBucket) reserve(maxDelay time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.tokens = min(b.burst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate)
	b.refilledAt = now
	delay := time.Duration(max(0, 1-b.tokens) / b.rate * float64(time.Second))
	if delay > maxDelay {
		return 0, false
	}
	b.tokens--
	return delay, true
}
