package forwarder

import (
	"sync"
	"time"
)

// probeRounds tells look-ups when the other hosts were last probed; it is safe for concurrent use.
type probeRounds struct {
	mu   sync.Mutex
	last time.Time     // start of the last complete round, or zero
	next chan struct{} // closed at the end of the next round
}

func newProbeRounds() *probeRounds { return &probeRounds{next: make(chan struct{})} }

// completed records the end of a round.
func (r *probeRounds) completed(started time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = started
	close(r.next)
	r.next = make(chan struct{})
}

// state returns the start of the last complete round, and a channel that is closed at the end of the next one.
func (r *probeRounds) state() (last time.Time, next <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last, r.next
}
