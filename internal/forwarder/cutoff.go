package forwarder

import (
	"sync/atomic"
	"time"
)

// cutoffReserve is the time before the end of a planned stop at which requests in progress get their final answer.
const cutoffReserve = 250 * time.Millisecond

// cutoff ends the requests that are still in progress shortly before the end of a planned stop, so that their callers
// get an answer.
type cutoff struct {
	reached chan struct{} // closed when they end
	at      atomic.Pointer[time.Time]
}

func newCutoff() *cutoff { return &cutoff{reached: make(chan struct{})} }

// schedule sets the end of the planned stop. The returned function releases the timer.
func (c *cutoff) schedule(end time.Time) func() bool {
	at := end.Add(-cutoffReserve)
	c.at.Store(&at)
	return time.AfterFunc(time.Until(at), func() { close(c.reached) }).Stop
}

// before reports whether requests in progress are ended before the given time.
func (c *cutoff) before(deadline time.Time) bool {
	at := c.at.Load()
	return at != nil && at.Before(deadline)
}
