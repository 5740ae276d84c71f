package dispatcher

import "sync/atomic"

// sockets limits the connections to all servers together. Half of them are divided among the servers, so that none is
// without, and the other half is for those that need more.
type sockets struct {
	limit int // zero means no limit
	own   atomic.Int64
	used  atomic.Int64 // beyond the own connections of each server
}

// divide sets the number of servers.
func (s *sockets) divide(servers int) {
	s.own.Store(int64(max(s.limit/2/max(servers, 1), 1)))
}

// take reports whether a server with a number of connections may have a further one, and whether it is a shared one, which
// has to be returned.
func (s *sockets) take(connections int) (allowed, shared bool) {
	if s == nil || s.limit == 0 || int64(connections) < s.own.Load() {
		return true, false
	}
	for {
		used := s.used.Load()
		if used >= int64(s.limit/2) {
			return false, false
		}
		if s.used.CompareAndSwap(used, used+1) {
			return true, true
		}
	}
}

// giveBack returns a shared connection.
func (s *sockets) giveBack() { s.used.Add(-1) }
