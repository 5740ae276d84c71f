package tracker

import (
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// receivedNotice is the notice in the last answer of a server.
type receivedNotice struct {
	broker.ServerNotice
	sentAt time.Time // when the request of the answer was sent
}

// leavingGrace is how long after a server first stated that it is leaving it may get requests that no other server takes.
const leavingGrace = 2 * time.Second

// NoticeCounts are the numbers of servers by what they state about themselves.
type NoticeCounts struct {
	Limited int // state a limit
	Paused  int // want no requests of this host now
	Leaving int // have stated that they are leaving
}

// CountNotices counts the servers by what they state at a time.
func (t *Tracker) CountNotices(now time.Time) NoticeCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	var counts NoticeCounts
	for _, server := range t.servers {
		if server.Limited() {
			counts.Limited++
		}
		if server.Paused(now) {
			counts.Paused++
		}
		if server.Leaving() {
			counts.Leaving++
		}
	}
	return counts
}

// Leaving reports whether the server has stated that it is leaving. That holds until another process has its name,
// whatever it states later.
func (s *Server) Leaving() bool { return s.leftAt.Load() != nil }

// HasLeft reports whether the server has stated that it is leaving, and gets no more requests.
func (s *Server) HasLeft(now time.Time) bool {
	leftAt := s.leftAt.Load()
	return leftAt != nil && now.Sub(*leftAt) >= leavingGrace
}

// Refusal returns why no request may be sent to the server, by what it stated to this host, with a notice that tells
// another host, or ReasonNone if one may.
func (s *Server) Refusal(now time.Time) (broker.Reason, broker.ServerNotice) {
	notice := s.Notice()
	notice.Leaving, notice.RetryAfter = s.Leaving(), s.pacer.pauseLeft(now)
	switch {
	case s.HasLeft(now):
		return broker.ReasonDraining, notice
	case notice.RetryAfter > 0:
		return broker.ReasonLimited, notice
	default:
		return broker.ReasonNone, broker.ServerNotice{}
	}
}

// Notice returns what the server stated last about itself.
func (s *Server) Notice() broker.ServerNotice {
	if received := s.notice.Load(); received != nil {
		return received.ServerNotice
	}
	return broker.ServerNotice{}
}

// ReportNotice records what the server states in the answer, received at now, to a request that was sent at sentAt, and
// returns the notice that it replaces. If that is of a request that was sent later, it stays and recorded is false.
func (s *Server) ReportNotice(
	notice broker.ServerNotice, sentAt, now time.Time,
) (previous broker.ServerNotice, recorded bool) {
	if notice.Leaving {
		s.leftAt.CompareAndSwap(nil, &now)
	}
	if notice.RetryAfter > 0 {
		s.pacer.pause(now.Add(notice.RetryAfter))
	}
	for {
		current := s.notice.Load()
		if current == nil && notice == (broker.ServerNotice{}) {
			return previous, true
		}
		if current != nil {
			previous = current.ServerNotice
			if sentAt.Before(current.sentAt) {
				return previous, false
			}
		}
		if s.notice.CompareAndSwap(current, &receivedNotice{notice, sentAt}) {
			return previous, true
		}
	}
}
