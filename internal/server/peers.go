package server

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/quarantiner"
	"github.com/yuccarock/yuccarock/internal/broker/transport/linker"
	"github.com/yuccarock/yuccarock/internal/tracer"
	"github.com/yuccarock/yuccarock/internal/waiter"
)

const (
	// reopenInterval is the delay between attempts to open the peer address again under a new incarnation.
	reopenInterval = 50 * time.Millisecond
	// finishTime is how long requests in progress may take before a new incarnation closes the links that their answers
	// come over.
	finishTime = time.Second
)

// trialCheck is the pause before a sub-request whose fingerprint is on trial is looked at again.
const trialCheck = 20 * time.Millisecond

var errNoLinker = errors.New("the peer address is being opened again")

// peerSwitch holds the linker of the present incarnation; a new incarnation needs a new one, because peers must
// see every message of the old one end before the new one speaks.
type peerSwitch struct {
	credentials linker.Credentials
	handler     broker.PeerHandler
	set         *metrics.Set
	logger      *slog.Logger
	packets     func(*net.UDPConn) net.PacketConn

	current atomic.Pointer[linker.Linker]
	self    atomic.Pointer[broker.Member]

	turn    sync.Mutex // held by the incarnation that closes the links of the one before
	mu      sync.Mutex
	closed  bool
	members []broker.Member
}

func newPeerSwitch(
	credentials linker.Credentials, handler broker.PeerHandler, set *metrics.Set, logger *slog.Logger,
	packets func(*net.UDPConn) net.PacketConn,
) *peerSwitch {
	return &peerSwitch{credentials: credentials, handler: handler, set: set, logger: logger, packets: packets}
}

func (p *peerSwitch) member() broker.Member { return *p.self.Load() }

// open listens on the peer address of self; a port of zero is replaced by the one taken.
func (p *peerSwitch) open(self broker.Member) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errNoLinker
	}
	next := linker.New(self, p.credentials, p.handler, Clock{}, p.set, p.logger, linker.Options{WrapSocket: p.packets})
	if err := next.Listen(self.Peer); err != nil {
		_ = next.Close(context.Background())
		return err
	}
	self.Peer = next.Address()
	if held := p.self.Load(); held == nil || held.ID == self.ID {
		p.self.Store(&self)
	}
	next.SetPeers(p.members)
	p.current.Store(next)
	return nil
}

// replace closes the linker and opens one for self, and calls opened; messages fail with no link in between.
func (p *peerSwitch) replace(self broker.Member, opened func()) {
	p.self.Store(&self)
	go func() {
		p.turn.Lock()
		defer p.turn.Unlock()
		if previous := p.current.Swap(nil); previous != nil {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = previous.Close(ctx)
			cancel()
		}
		for p.member().ID == self.ID {
			err := p.open(self)
			if errors.Is(err, errNoLinker) {
				return
			}
			if err == nil {
				opened()
				return
			}
			p.logger.Warn("could not open the peer address again", "error", err)
			waiter.Wait(context.Background(), reopenInterval)
		}
	}()
}

func (p *peerSwitch) setPeers(members []broker.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = members
	if current := p.current.Load(); current != nil {
		current.SetPeers(members)
	}
}

func (p *peerSwitch) close(ctx context.Context) {
	p.mu.Lock()
	p.closed = true
	current := p.current.Swap(nil)
	p.mu.Unlock()
	if current != nil {
		_ = current.Close(ctx)
	}
}

// Send passes a message to the linker of the present incarnation.
func (p *peerSwitch) Send(to broker.NodeID, message broker.Message) error {
	current := p.current.Load()
	if current == nil {
		return errNoLinker
	}
	return current.Send(to, message)
}

// liveness knows which nodes have a link and which of them are leaving.
type liveness struct {
	mu      sync.RWMutex
	linked  map[broker.NodeID]bool
	leaving map[broker.NodeID]bool
}

func newLiveness() *liveness {
	return &liveness{linked: make(map[broker.NodeID]bool), leaving: make(map[broker.NodeID]bool)}
}

func (l *liveness) usable(id broker.NodeID) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.linked[id] && !l.leaving[id]
}

func (l *liveness) nodes() []broker.NodeID {
	l.mu.RLock()
	defer l.mu.RUnlock()
	ids := make([]broker.NodeID, 0, len(l.linked))
	for id := range l.linked {
		ids = append(ids, id)
	}
	return ids
}

func (l *liveness) setLinked(id broker.NodeID, linked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if linked {
		l.linked[id] = true
		return
	}
	delete(l.linked, id)
	delete(l.leaving, id)
}

func (l *liveness) setLeaving(id broker.NodeID, leaving bool) {
	l.mu.RLock()
	same := l.leaving[id] == leaving
	l.mu.RUnlock()
	if same {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving[id] = leaving
}

// Send passes a message to another node.
func (s *Server) Send(to broker.NodeID, message broker.Message) error {
	return s.peers.Send(to, message)
}

// HandleMessage takes one message of another node.
func (s *Server) HandleMessage(from broker.NodeID, message broker.Message) {
	switch {
	case message.SubAnswer != nil:
		if message.SubAnswer.Reason == broker.ReasonNotOwner {
			s.tracker.NotOwner(message.SubAnswer.Server, from)
		}
		if !s.pending.deliver(message.SubAnswer) {
			s.meters.lateAnswers.Inc()
		}
	case message.SubRequest != nil:
		s.peerWork.Add(1)
		s.submit(*message.SubRequest, func(answer broker.SubAnswer) {
			defer s.peerWork.Add(-1)
			// The entry's deadline bounds the wait for an answer that is lost.
			_ = s.Send(from, broker.Message{SubAnswer: &answer})
		})
	case message.Cancel != nil:
		s.owner.Cancel(message.Cancel.RequestID, message.Cancel.Shard, message.Cancel.Attempt)
	case message.ServerState != nil:
		s.announced.record(message.ServerState.Server)
		s.tracker.Apply(*message.ServerState)
	case message.Forward != nil:
		s.peerWork.Add(1)
		go func() {
			defer s.peerWork.Add(-1)
			s.handleForward(from, message.Forward)
		}()
	case message.ForwardAnswer != nil:
		s.forwards.deliver(from, message.ForwardAnswer)
	case message.CrashReport != nil:
		s.quarantine.Report(*message.CrashReport, time.Now())
	case message.Quarantine != nil:
		s.quarantine.Merge(*message.Quarantine, time.Now())
	default:
		s.noteLeaving(from, &message)
		s.joiner.HandleMessage(from, message)
	}
}

func (s *Server) noteLeaving(from broker.NodeID, message *broker.Message) {
	switch {
	case message.Heartbeat != nil:
		s.liveness.setLeaving(from, message.Heartbeat.Leaving)
	case message.HeartbeatReply != nil:
		s.liveness.setLeaving(from, message.HeartbeatReply.Leaving)
	}
}

// submit gives a sub-request to the owner role of this node. While its fingerprint is on trial it waits: a trial ends
// soon, and the report that clears a request can arrive after the sub-requests which the entry sends on its strength.
func (s *Server) submit(sub broker.SubRequest, answered func(broker.SubAnswer)) {
	waiting := s.quarantine.State(sub.Fingerprint, time.Now()) == quarantiner.OnTrial
	if !waiting || sub.Remaining < 2*trialCheck {
		s.dispatch(sub, answered)
		return
	}
	time.AfterFunc(trialCheck, func() {
		sub.Remaining -= trialCheck
		s.submit(sub, answered)
	})
}

// dispatch gives a sub-request to the owner role, below a span where it is traced.
func (s *Server) dispatch(sub broker.SubRequest, answered func(broker.SubAnswer)) {
	reply := func(answer broker.SubAnswer) {
		if answer.Outcome == broker.OutcomeNotRun {
			s.meters.refusal(answer.Reason)
		}
		answered(answer)
	}
	if sub.TraceParent == "" {
		s.owner.Submit(sub, reply)
		return
	}
	ctx, span := s.tracer.Start(tracer.WithTraceParent(context.Background(), sub.TraceParent), "owner.dispatch",
		attribute.String("server", string(sub.Server)), attribute.String("shard", string(sub.Shard)))
	if parent := tracer.TraceParent(ctx); parent != "" {
		sub.TraceParent = parent
	}
	s.owner.Submit(sub, func(answer broker.SubAnswer) {
		span.SetAttributes(attribute.String("outcome", answer.Outcome.String()))
		span.End()
		reply(answer)
	})
}

// FinishWork refuses new requests until the next incarnation has its links, and returns whether those in progress, for
// callers and for other nodes, are done or have had finishTime.
func (s *Server) FinishWork(now time.Time) bool {
	since := s.rejoining.Load()
	if since == nil {
		since = &now
		s.rejoining.Store(since)
	}
	return now.Sub(*since) >= finishTime || s.drainer.Active() == 0 && s.peerWork.Load() == 0
}

// LinkUp tells a node what this node knows that it cannot learn otherwise.
func (s *Server) LinkUp(node broker.NodeID) {
	s.liveness.setLinked(node, true)
	list := s.quarantine.List(time.Now())
	if len(list.Suspects)+len(list.Quarantined) > 0 {
		_ = s.Send(node, broker.Message{Quarantine: &list})
	}
	for _, state := range s.ownedStates() {
		_ = s.Send(node, broker.Message{ServerState: &state})
	}
	s.joiner.LinkUp(node)
}

// LinkDown ends what waits for a node.
func (s *Server) LinkDown(node broker.NodeID) {
	s.liveness.setLinked(node, false)
	s.tracker.OwnerDown(node)
	s.pending.linkDown(node)
	s.forwards.linkDown(node)
	s.joiner.LinkDown(node)
}

func (s *Server) broadcast(message broker.Message) {
	for _, node := range s.liveness.nodes() {
		_ = s.Send(node, message) // repeated every announceInterval and on every new link
	}
}
