package backendserver

import (
	"net"
	"sync"
	"sync/atomic"
)

// countingListener counts open connections at accept and closes those above the limit.
type countingListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection within the limit.
func (l *countingListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &trackedConn{Conn: raw, server: l.server}
		if l.server.addConn(conn) {
			return conn, nil
		}
		_ = raw.Close()
	}
}

// trackedConn is a connection that the server counts until it is closed, and that can drop all traffic.
type trackedConn struct {
	net.Conn
	server *Server
	silent atomic.Bool
	once   sync.Once
}

// Read drops everything that arrives on a silent connection until the other side closes it.
func (c *trackedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write reports success on a silent connection without sending anything.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from the server's open connections.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.server.removeConn(c) })
	return err
}

func (s *Server) addConn(conn *trackedConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := len(s.conns) + 1
	s.record.MaxConnections = max(s.record.MaxConnections, open)
	if limit := s.settings.Connections; limit > 0 && open > limit {
		s.record.Refused["connectionLimit"]++
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) removeConn(conn *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Silence drops all further traffic on the open connections; new connections work.
func (s *Server) Silence() { s.silenceExcept(nil) }

func (s *Server) silenceExcept(except *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		if conn != except {
			conn.silent.Store(true)
		}
	}
}
