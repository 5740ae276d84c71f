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
		if l.server.admit(conn) {
			return conn, nil
		}
		_ = raw.Close()
	}
}

// trackedConn leaves the server's count when it is closed and can be silenced for good.
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

// Write pretends to write to a silent connection.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and takes it out of the count.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.server.release(c) })
	return err
}

func (s *Server) admit(conn *trackedConn) bool {
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

func (s *Server) release(conn *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Silence makes every open connection silent for good; new connections work.
func (s *Server) Silence() { s.silence(nil) }

func (s *Server) silence(keep *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		if conn != keep {
			conn.silent.Store(true)
		}
	}
}
