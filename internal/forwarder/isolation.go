package forwarder

import (
	"sync"
	"time"
)

const (
	// minFailedScatters is how many scatters in a row below their minimum coverage show that servers are unreachable.
	minFailedScatters = 3
	// trialInterval is the pause between requests that an isolated host accepts to find out whether it is still isolated.
	trialInterval = 500 * time.Millisecond
)

// isolation detects that this host is cut off from the store, from most other hosts and from the servers, so that
// callers are better served elsewhere. None of the three alone is proof: the store can be down for all, other hosts can
// be lost together, and servers can fail.
type isolation struct {
	mu             sync.Mutex
	failedScatters int // in a row
	lastTrialAt    time.Time
}

// recordScatter records whether a scatter reached its minimum coverage.
func (i *isolation) recordScatter(enough bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if enough {
		i.failedScatters = 0
		return
	}
	i.failedScatters++
}

// serversUnreachable reports whether the last scatters all failed.
func (i *isolation) serversUnreachable() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.failedScatters >= minFailedScatters
}

// allowTrial reports whether an isolated host may accept a request now.
func (i *isolation) allowTrial(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if now.Sub(i.lastTrialAt) < trialInterval {
		return false
	}
	i.lastTrialAt = now
	return true
}

// isolated reports whether this host is cut off from the store, most other hosts and the servers.
func (f *Forwarder) isolated() bool {
	if !f.isolation.serversUnreachable() || !f.gate.Unavailable() {
		return false
	}
	answering, probed := f.prober.Answering()
	return probed >= 2 && 2*answering < probed
}
