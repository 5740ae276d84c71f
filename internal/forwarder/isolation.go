package forwarder

import (
	"sync"
	"time"
)

const (
	// failedScatters in a row below their least coverage show that this host does not reach the servers.
	failedScatters = 3
	// trialInterval is the pause between requests that an isolated host takes to find out whether it still is.
	trialInterval = 500 * time.Millisecond
)

// isolation tells whether callers are better served elsewhere, because this host is cut off from the store, from most
// other hosts and from the servers. None of the three alone shows that: the store can be down for all, other hosts can be
// lost together, and servers can fail.
type isolation struct {
	mu      sync.Mutex
	failed  int // scatters in a row
	triedAt time.Time
}

// scattered takes whether a scatter reached its least coverage.
func (i *isolation) scattered(enough bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if enough {
		i.failed = 0
		return
	}
	i.failed++
}

// cutOff returns whether servers are not reached.
func (i *isolation) cutOff() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.failed >= failedScatters
}

// trial returns whether a request may be tried although the host is isolated.
func (i *isolation) trial(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if now.Sub(i.triedAt) < trialInterval {
		return false
	}
	i.triedAt = now
	return true
}

// isolated returns whether this host is cut off.
func (f *Forwarder) isolated() bool {
	if !f.isolation.cutOff() || !f.gate.Unavailable() {
		return false
	}
	answering, asked := f.prober.Answering()
	return asked >= 2 && 2*answering < asked
}
