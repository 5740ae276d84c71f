package forwarder

import (
	"fmt"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker/state/accountant"
)

const (
	// Log lines about connections that had to give way are limited to evictionLogRate per second with a burst of
	// evictionLogBurst.
	evictionLogRate  = 1
	evictionLogBurst = 5
)

// evicted records that a connection had to give way to others.
func (f *Forwarder) evicted(e accountant.Eviction) {
	f.set.GetOrCreateCounter(fmt.Sprintf("yuccarock_connections_evicted_total{phase=%q}", e.Phase)).Inc()
	if skipped, ok := f.evictionLimiter.Allow(time.Now()); ok {
		f.logger.Warn("closed a connection to make room", "phase", e.Phase.String(), "ageMs", e.Age.Milliseconds(),
			"bytes", e.Bytes, "requestMemory", f.account.Used(), "skippedLines", skipped)
	}
}
