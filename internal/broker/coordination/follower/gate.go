package follower

import (
	"context"
	"sync"
	"time"
)

// Gate limits the calls of several followers to a store that does not answer: one follower probes the store, and the
// others wait until it answers. This keeps the number of calls low, because the store counts refused calls too.
type Gate struct {
	mu          sync.Mutex
	unavailable bool
	probing     bool          // a follower is probing the store
	available   chan struct{} // closed when the store answers again
	failedAt    time.Time     // of the last failed call
}

// NewGate returns an open gate.
func NewGate() *Gate { return &Gate{available: make(chan struct{})} }

// enter waits until the store may be called and reports whether the caller probes it.
func (g *Gate) enter(ctx context.Context) (probing bool) {
	for {
		g.mu.Lock()
		if !g.unavailable {
			g.mu.Unlock()
			return false
		}
		if !g.probing {
			g.probing = true
			g.mu.Unlock()
			return true
		}
		available := g.available
		g.mu.Unlock()
		select {
		case <-available:
		case <-ctx.Done():
			return false
		}
	}
}

// Await waits until the store is available or ctx is done.
func (g *Gate) Await(ctx context.Context) {
	for {
		g.mu.Lock()
		unavailable, available := g.unavailable, g.available
		g.mu.Unlock()
		if !unavailable {
			return
		}
		select {
		case <-available:
		case <-ctx.Done():
			return
		}
	}
}

// Unavailable reports whether the last call to the store failed.
func (g *Gate) Unavailable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unavailable
}

// failed records a failed call; the follower that probes the store continues to do so.
func (g *Gate) failed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unavailable, g.failedAt = true, time.Now()
}

// failedSince reports whether a call has failed after a time.
func (g *Gate) failedSince(at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failedAt.After(at)
}

// answered records an answered call.
func (g *Gate) answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.unavailable {
		return
	}
	g.unavailable, g.probing = false, false
	close(g.available)
	g.available = make(chan struct{})
}
