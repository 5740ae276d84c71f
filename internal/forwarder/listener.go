package forwarder

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker/transport/limiter"
)

const (
	// lastAcceptTime is how long a listener that is closed waits for a further connection.
	lastAcceptTime = 5 * time.Millisecond
	// maxCloseTime is the maximum time that the acceptance of pending connections may take.
	maxCloseTime = 250 * time.Millisecond
)

// drainedListener is a TCP listener whose Close first lets the pending connections be accepted. The operating system
// resets those that are still in the queue when the socket is closed, with requests that may have been sent on them.
type drainedListener struct {
	*net.TCPListener

	closing atomic.Bool
	drained signal
}

func listen(address netip.AddrPort) (net.Listener, error) {
	socket, err := limiter.Listen(address)
	if err != nil {
		return nil, &Error{Op: "listen on " + address.String(), Kind: KindListen, Err: err}
	}
	return &drainedListener{TCPListener: socket, drained: newSignal()}, nil
}

// Accept returns the next connection, and net.ErrClosed after Close once none is pending.
func (l *drainedListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if !l.closing.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	// An expired deadline hides pending connections, a later one shows them.
	_ = l.SetDeadline(time.Now().Add(lastAcceptTime))
	if conn, err = l.TCPListener.Accept(); err == nil {
		return conn, nil
	}
	l.drained.send()
	return nil, net.ErrClosed
}

// Close ends the acceptance of connections once none is pending. Without a goroutine that accepts them, it waits for
// maxCloseTime.
func (l *drainedListener) Close() error {
	if l.closing.CompareAndSwap(false, true) {
		_ = l.SetDeadline(time.Now())
	}
	l.drained.await(maxCloseTime)
	return l.TCPListener.Close()
}
