package server

import (
	"hash/maphash"
	"sync"

	"github.com/yuccarock/yuccarock/internal/broker"
)

const pendingStripes = 64

// event is what a session in progress waits for: an answer, or the loss of a link.
type event struct {
	answer *broker.SubAnswer
	down   broker.NodeID
}

// inbox is the queue of events of one session.
type inbox chan event

// deliver never blocks the caller, which reads a peer link; a full inbox counts as a lost answer.
func (i inbox) deliver(e event) bool {
	select {
	case i <- e:
		return true
	default:
		return false
	}
}

type stripe struct {
	mu      sync.Mutex
	inboxes map[string]inbox
}

// pending finds the sessions in progress by the request ID of their sub-requests.
type pending struct {
	seed    maphash.Seed
	stripes [pendingStripes]stripe
}

func newPending() *pending {
	p := &pending{seed: maphash.MakeSeed()}
	for i := range p.stripes {
		p.stripes[i].inboxes = make(map[string]inbox)
	}
	return p
}

func (p *pending) stripe(requestID string) *stripe {
	return &p.stripes[maphash.String(p.seed, requestID)%pendingStripes]
}

func (p *pending) add(requestID string, box inbox) {
	s := p.stripe(requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inboxes[requestID] = box
}

func (p *pending) remove(requestID string) {
	s := p.stripe(requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inboxes, requestID)
}

// deliver returns whether a session took the answer.
func (p *pending) deliver(answer *broker.SubAnswer) bool {
	s := p.stripe(answer.RequestID)
	s.mu.Lock()
	box, ok := s.inboxes[answer.RequestID]
	s.mu.Unlock()
	return ok && box.deliver(event{answer: answer})
}

// linkDown tells every session that the link to node is down.
func (p *pending) linkDown(node broker.NodeID) {
	for i := range p.stripes {
		s := &p.stripes[i]
		s.mu.Lock()
		for _, box := range s.inboxes {
			box.deliver(event{down: node})
		}
		s.mu.Unlock()
	}
}
