package server

import (
	"hash/maphash"
	"sync"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// pendingStripes is the number of separately locked parts of pendingSessions.
const pendingStripes = 64

// sessionEvent is an answer or the loss of a link.
type sessionEvent struct {
	answer   *broker.SubAnswer
	linkDown broker.NodeID
}

// inbox is the event queue of one session.
type inbox chan sessionEvent

// deliver returns whether the event was queued. It never blocks, because the reader of a peer link calls it; if the
// inbox is full, the event is lost, like an answer that does not arrive.
func (i inbox) deliver(event sessionEvent) bool {
	select {
	case i <- event:
		return true
	default:
		return false
	}
}

type stripe struct {
	mu      sync.Mutex
	inboxes map[string]inbox
}

// pendingSessions contains the inboxes of the sessions in progress by the request ID of their sub-requests.
type pendingSessions struct {
	seed    maphash.Seed
	stripes [pendingStripes]stripe
}

func newPendingSessions() *pendingSessions {
	p := &pendingSessions{seed: maphash.MakeSeed()}
	for i := range p.stripes {
		p.stripes[i].inboxes = make(map[string]inbox)
	}
	return p
}

func (p *pendingSessions) stripe(requestID string) *stripe {
	return &p.stripes[maphash.String(p.seed, requestID)%pendingStripes]
}

func (p *pendingSessions) add(requestID string, events inbox) {
	s := p.stripe(requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inboxes[requestID] = events
}

func (p *pendingSessions) remove(requestID string) {
	s := p.stripe(requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inboxes, requestID)
}

// deliver returns whether a session has received the answer.
func (p *pendingSessions) deliver(answer *broker.SubAnswer) bool {
	s := p.stripe(answer.RequestID)
	s.mu.Lock()
	events, ok := s.inboxes[answer.RequestID]
	s.mu.Unlock()
	return ok && events.deliver(sessionEvent{answer: answer})
}

// linkDown notifies every session that the link to node is down.
func (p *pendingSessions) linkDown(node broker.NodeID) {
	for i := range p.stripes {
		s := &p.stripes[i]
		s.mu.Lock()
		for _, events := range s.inboxes {
			events.deliver(sessionEvent{linkDown: node})
		}
		s.mu.Unlock()
	}
}
