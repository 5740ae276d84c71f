package forwarder

import (
	"sync/atomic"
	"time"
)

// lastCallReserve is the time before the end of a planned stop at which requests in progress get their final answer.
const lastCallReserve = 250 * time.Millisecond

// lastCall ends the requests that are still in progress shortly before the end of a planned stop, so that their callers
// get an answer.
type lastCall struct {
	due chan struct{} // closed when they end
	at  atomic.Pointer[time.Time]
}

func newLastCall() *lastCall { return &lastCall{due: make(chan struct{})} }

// schedule sets the end of the planned stop. The returned function releases the timer.
func (l *lastCall) schedule(end time.Time) func() bool {
	at := end.Add(-lastCallReserve)
	l.at.Store(&at)
	return time.AfterFunc(time.Until(at), func() { close(l.due) }).Stop
}

// before reports whether requests in progress are ended before the given time.
func (l *lastCall) before(deadline time.Time) bool {
	at := l.at.Load()
	return at != nil && at.Before(deadline)
}
