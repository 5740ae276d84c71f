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

// Notice returns what the server stated last about itself.
func (s *Server) Notice() broker.ServerNotice {
	if received := s.notice.Load(); received != nil {
		return received.ServerNotice
	}
	return broker.ServerNotice{}
}

// ReportNotice records what the server states in the answer to a request, and returns the notice that it replaces. The
// answer to a request that was sent earlier than that of the last notice is out of date, and recorded is false.
func (s *Server) ReportNotice(notice broker.ServerNotice, sentAt time.Time) (previous broker.ServerNotice, recorded bool) {
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
