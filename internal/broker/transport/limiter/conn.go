package limiter

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker/state/accountant"
)

// pastDeadline is a deadline in the past, with which every read fails at once.
var pastDeadline = time.Unix(1, 0)

// conn is one inbound connection.
type conn struct {
	net.Conn

	entry *accountant.Connection

	mu          sync.Mutex
	interrupted bool
	closeOnce   sync.Once
	closeErr    error
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// ConnContext adds the connection to the context of its requests; it is meant for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request, or nil if it has no account.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
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

// interrupt makes all reads fail.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// closeNow closes the socket at once; its owner closes the connection once it notices.
func (c *conn) closeNow() { _ = c.Conn.Close() }

// Close closes the connection.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.closeErr = c.Conn.Close()
		c.entry.Close()
	})
	return c.closeErr
}

// CloseWrite ends the sending side.
func (c *conn) CloseWrite() error {
	if socket, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return socket.CloseWrite()
	}
	return net.ErrClosed
}
