package follower

import (
	"context"
	"sync"
)

// Gate lets one of several followers of a store try it while it is away, and the others once it answers: each call
// counts, also one that is refused.
type Gate struct {
	mu    sync.Mutex
	away  bool
	tried bool          // a follower tries the store
	back  chan struct{} // closed when the store answers
}

// NewGate returns an open gate.
func NewGate() *Gate { return &Gate{back: make(chan struct{})} }

// enter waits until the store may be called and returns whether the caller is the one that tries it.
func (g *Gate) enter(ctx context.Context) (trying bool) {
	for {
		g.mu.Lock()
		if !g.away {
			g.mu.Unlock()
			return false
		}
		if !g.tried {
			g.tried = true
			g.mu.Unlock()
			return true
		}
		back := g.back
		g.mu.Unlock()
		select {
		case <-back:
		case <-ctx.Done():
			return false
		}
	}
}

// Await waits until the store is not known to be away.
func (g *Gate) Await(ctx context.Context) {
	for {
		g.mu.Lock()
		away, back := g.away, g.back
		g.mu.Unlock()
		if !away {
			return
		}
		select {
		case <-back:
		case <-ctx.Done():
			return
		}
	}
}

// Away returns whether the store did not answer last.
func (g *Gate) Away() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.away
}

// failed records that a call failed; the follower that tries the store goes on doing so.
func (g *Gate) failed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.away = true
}

// answered records that a call was answered.
func (g *Gate) answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.away {
		return
	}
	g.away, g.tried = false, false
	close(g.back)
	g.back = make(chan struct{})
}
