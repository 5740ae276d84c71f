package limiter

import (
	"context"

	"github.com/yuccarock/yuccarock/internal/broker/state/accountant"
)

const (
	// requestBytes is the memory of a request in progress without its body and its attempts, and attemptBytes that of an
	// attempt with its goroutine, each with room to spare.
	requestBytes = 32 << 10
	attemptBytes = 16 << 10
)

// Needs returns the memory of a request in progress with a number of attempts at once, besides its body and the heads.
func Needs(attempts int) int64 { return requestBytes + int64(attempts)*attemptBytes }

// Lease reserves the memory for a request that is about to run with a number of attempts at once, which each send its head,
// and with copies of its body. The memory of its head and its body is moved to the lease. Without an account, the lease is nil.
func Lease(ctx context.Context, attempts int, copies int64) (*accountant.Lease, error) {
	c, _ := ctx.Value(connKey{}).(*conn)
	if c == nil {
		return nil, nil
	}
	return c.entry.Lease(Needs(attempts) + int64(attempts)*c.entry.HeadBytes() + copies)
}
