package forwarder

import (
	"context"
	"sync"
	"time"
)

// signal lets tasks wait for something that happens once.
type signal struct {
	once *sync.Once
	sent chan struct{}
}

func newSignal() signal { return signal{once: new(sync.Once), sent: make(chan struct{})} }

// send ends all waits; further calls have no effect.
func (s signal) send() { s.once.Do(func() { close(s.sent) }) }

// await returns once the signal is sent or timeout has passed.
func (s signal) await(timeout time.Duration) { s.wait(context.Background(), timeout) }

// wait returns once the signal is sent, ctx ends or timeout has passed.
func (s signal) wait(ctx context.Context, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s.sent:
	case <-timer.C:
	case <-ctx.Done():
	}
}
