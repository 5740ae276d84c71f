package limiter

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker/state/accountant"
)

// Listen listens on an address for connections with a small receive buffer, because bytes that were received and not read
// count as memory of the process.
func Listen(address netip.AddrPort) (*net.TCPListener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Accepted connections inherit it. Without it, only more bytes can be received and not read.
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, accountant.ReceiveBuffer)
		})
	}}
	// A connection over several paths has the buffers of each of them.
	config.SetMultipathTCP(false)
	socket, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, &Error{Op: "listen on " + address.String(), Kind: KindListen, Err: err}
	}
	listener := socket.(*net.TCPListener)
	if raw, err := listener.SyscallConn(); err == nil {
		// Without it, more connections wait to be accepted, each with what it has received.
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), accountant.AcceptQueue) })
	}
	return listener, nil
}

// Listener accepts the connections that the account has room for.
type Listener struct {
	net.Listener

	account *accountant.Account
	callers bool
	refused *metrics.Counter
}

// NewListener returns a listener for callers or for other clients over another one; refused counts the connections that there was
// no room for.
func NewListener(inner net.Listener, account *accountant.Account, callers bool, refused *metrics.Counter) *Listener {
	return &Listener{Listener: inner, account: account, callers: callers, refused: refused}
}

// Accept returns the next connection that there is room for and closes the others.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted}
		if c.entry, err = l.account.Open(l.callers, c); err == nil {
			return c, nil
		}
		l.refused.Inc()
		_ = accepted.Close()
	}
}
