package limiter

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker/state/accountant"
	"github.com/yuccarock/yuccarock/internal/broker/transport/peeker"
)

const (
	// writeTimeout is how long the client may leave an answer unread before its connection is closed. Callers give up earlier.
	writeTimeout = 60 * time.Second
	// lingerTimeout and maxLingerBytes limit how long, and up to how many bytes, the rest of a refused body is read and
	// dropped. Closing a connection with unread bytes would reset it, and the client could not read the answer.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
	lingerReadSize = 2 << 10
)

var (
	// pastDeadline is a deadline in the past, with which every read fails at once.
	pastDeadline = time.Unix(1, 0)
	headEnd      = []byte("\r\n\r\n")
)

// conn is one inbound connection.
type conn struct {
	net.Conn

	entry     *accountant.Connection
	abandoned atomic.Bool // a part of a body is left that must not be read as a request
	handled   atomic.Bool // the handler of the last request has returned
	closing   atomic.Bool

	mu          sync.Mutex
	interrupted bool
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// connContext adds the connection to the context of its requests; it is meant for http.Server.ConnContext.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request, or nil if it has no account.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// Read counts what is received outside of requests in progress.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		if refused := c.entry.Received(headLength(data[:n])); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// headLength returns how many of the bytes belong to a head, if it ends within them; the others are the start of its body.
func headLength(data []byte) int {
	if end := bytes.Index(data, headEnd); end >= 0 {
		return end + len(headEnd)
	}
	return len(data)
}

// Write fails if the client does not read for too long.
func (c *conn) Write(data []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
	return c.entry.Answering(func() (int, error) { return c.Conn.Write(data) })
}

// SetReadDeadline has no effect once the connection has been interrupted.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Interrupt makes all reads fail.
func (c *conn) Interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// CloseNow closes the socket at once; its owner closes the connection once it notices.
func (c *conn) CloseNow() { _ = c.Conn.Close() }

// Unread reports whether bytes have arrived that have not been read.
func (c *conn) Unread() bool { return peeker.Peek(c.Conn) == peeker.Unread }

// Close closes the connection, after the client has had the time to read the answer to an abandoned request. A second Close, of
// a server that is being closed, ends that time.
func (c *conn) Close() error {
	if !c.closing.CompareAndSwap(false, true) {
		return c.Conn.Close()
	}
	if c.abandoned.Load() && c.handled.Load() {
		c.linger()
	}
	err := c.Conn.Close()
	c.entry.Close()
	return err
}

// linger ends the sending side and drops what the client still sends.
func (c *conn) linger() {
	if c.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	var dropped [lingerReadSize]byte
	for total := 0; total < maxLingerBytes; {
		n, err := c.Conn.Read(dropped[:])
		if err != nil {
			return
		}
		total += n
	}
}

// CloseWrite ends the sending side.
func (c *conn) CloseWrite() error {
	if socket, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return socket.CloseWrite()
	}
	return net.ErrClosed
}
