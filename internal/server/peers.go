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
	// reopenInterval is the delay between attempts to reopen the peer address for a new incarnation.
	reopenInterval = 50 * time.Millisecond
	// finishTimeout limits the wait for requests in progress before a new incarnation closes the links.
	finishTimeout = time.Second
	// relinkTimeout limits the wait of a new incarnation for its links. A node that has not linked by then is excluded.
	relinkTimeout = 2 * time.Second
)

// trialCheckInterval is the delay before checking again a sub-request whose fingerprint is on trial.
const trialCheckInterval = 20 * time.Millisecond

var errNoLinker = errors.New("the peer address is being reopened")

// peerTransport sends messages through the linker of the current incarnation. Each incarnation has its own linker,
// because peers must have received the last message of the previous incarnation before the first of the next.
type peerTransport struct {
	credentials linker.Credentials
	handler     broker.PeerHandler
	metricSet   *metrics.Set
	logger      *slog.Logger
	wrapConn    func(*net.UDPConn) net.PacketConn

	current atomic.Pointer[linker.Linker]
	self    atomic.Pointer[broker.Member]

	replaceMu sync.Mutex // serializes replacements of the linker
	mu        sync.Mutex
	closed    bool
	members   []broker.Member
}

func newPeerTransport(
	credentials linker.Credentials, handler broker.PeerHandler, set *metrics.Set, logger *slog.Logger,
	packets func(*net.UDPConn) net.PacketConn,
) *peerTransport {
	return &peerTransport{credentials: credentials, handler: handler, metricSet: set, logger: logger, wrapConn: packets}
}

func (p *peerTransport) member() broker.Member { return *p.self.Load() }

// open listens on the peer address of self; port 0 is replaced by the one that the system assigns.
func (p *peerTransport) open(self broker.Member) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errNoLinker
	}
	next := linker.New(self, p.credentials, p.handler, Clock{}, p.metricSet, p.logger, linker.Options{WrapSocket: p.wrapConn})
	if err := next.Listen(self.Peer); err != nil {
		_ = next.Close(context.Background())
		return err
	}
	self.Peer = next.Address()
	if existing := p.self.Load(); existing == nil || existing.ID == self.ID {
		p.self.Store(&self)
	}
	next.SetPeers(p.members)
	p.current.Store(next)
	return nil
}

// replace closes the linker, opens one for self in the background and then calls onOpen; Send fails in between.
func (p *peerTransport) replace(self broker.Member, onOpen func()) {
	p.self.Store(&self)
	go func() {
		p.replaceMu.Lock()
		defer p.replaceMu.Unlock()
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
				onOpen()
				return
			}
			p.logger.Warn("could not reopen the peer address", "error", err)
			waiter.Wait(context.Background(), reopenInterval)
		}
	}()
}

func (p *peerTransport) setPeers(members []broker.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = members
	if current := p.current.Load(); current != nil {
		current.SetPeers(members)
	}
}

func (p *peerTransport) close(ctx context.Context) {
	p.mu.Lock()
	p.closed = true
	current := p.current.Swap(nil)
	p.mu.Unlock()
	if current != nil {
		_ = current.Close(ctx)
	}
}

// Send passes a message to the linker of the current incarnation.
func (p *peerTransport) Send(to broker.NodeID, message broker.Message) error {
	current := p.current.Load()
	if current == nil {
		return errNoLinker
	}
	return current.Send(to, message)
}

// liveness tracks which nodes have a link and which of them are leaving.
type liveness struct {
	mu      sync.RWMutex
	linked  map[broker.NodeID]bool
	leaving map[broker.NodeID]bool
	relink  atomic.Pointer[relink] // nil unless links of a new incarnation are to come up
}

// relink is the wait of a new incarnation for as many links as the previous one had.
type relink struct {
	links int
	until time.Time
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

// awaitLinks starts the wait of a new incarnation. If one is in progress, its number of links stays the least.
func (l *liveness) awaitLinks(until time.Time) {
	l.mu.RLock()
	links := len(l.linked)
	l.mu.RUnlock()
	if unfinished := l.relink.Load(); unfinished != nil {
		links = max(links, unfinished.links)
	}
	l.relink.Store(&relink{links: links, until: until})
}

// relinking returns whether links of a new incarnation are still to come up.
func (l *liveness) relinking(now time.Time) bool {
	awaited := l.relink.Load()
	if awaited == nil {
		return false
	}
	if now.After(awaited.until) {
		l.relink.CompareAndSwap(awaited, nil)
		return false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.linked) < awaited.links
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
	unchanged := l.leaving[id] == leaving
	l.mu.RUnlock()
	if unchanged {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving[id] = leaving
}

// Send sends a message to another node.
func (s *Server) Send(to broker.NodeID, message broker.Message) error {
	return s.peers.Send(to, message)
}

// HandleMessage handles a message from another node.
func (s *Server) HandleMessage(from broker.NodeID, message broker.Message) {
	switch {
	case message.SubAnswer != nil:
		if message.SubAnswer.Reason == broker.ReasonNotOwner {
			s.tracker.NotOwner(message.SubAnswer.Server, from)
		}
		if !s.sessions.deliver(message.SubAnswer) {
			s.counters.lateAnswers.Inc()
		}
	case message.SubRequest != nil:
		s.peerRequests.Add(1)
		s.submit(*message.SubRequest, func(answer broker.SubAnswer) {
			defer s.peerRequests.Add(-1)
			// If the answer is lost, the entry waits until its deadline at most.
			_ = s.Send(from, broker.Message{SubAnswer: &answer})
		})
	case message.Cancel != nil:
		s.owner.Cancel(message.Cancel.RequestID, message.Cancel.Shard, message.Cancel.Attempt)
	case message.ServerState != nil:
		s.announcements.record(message.ServerState.Server)
		s.tracker.Apply(*message.ServerState)
	case message.Forward != nil:
		s.peerRequests.Add(1)
		go func() {
			defer s.peerRequests.Add(-1)
			s.handleForward(from, message.Forward)
		}()
	case message.ForwardAnswer != nil:
		s.forwards.deliver(from, message.ForwardAnswer)
	case message.CrashReport != nil:
		s.quarantine.Report(*message.CrashReport, time.Now())
	case message.Quarantine != nil:
		s.quarantine.Merge(*message.Quarantine, time.Now())
	default:
		s.updateLeaving(from, &message)
		s.joiner.HandleMessage(from, message)
	}
}

func (s *Server) updateLeaving(from broker.NodeID, message *broker.Message) {
	switch {
	case message.Heartbeat != nil:
		s.liveness.setLeaving(from, message.Heartbeat.Leaving)
	case message.HeartbeatReply != nil:
		s.liveness.setLeaving(from, message.HeartbeatReply.Leaving)
	}
}

// submit passes a sub-request to the owner of this node. It delays a sub-request whose fingerprint is on trial: trials
// are short, and the report that clears a request can arrive after the sub-requests that the entry sends because of it.
func (s *Server) submit(sub broker.SubRequest, onAnswer func(broker.SubAnswer)) {
	onTrial := s.quarantine.State(sub.Fingerprint, time.Now()) == quarantiner.OnTrial
	if !onTrial || sub.Remaining < 2*trialCheckInterval {
		s.dispatch(sub, onAnswer)
		return
	}
	time.AfterFunc(trialCheckInterval, func() {
		sub.Remaining -= trialCheckInterval
		s.submit(sub, onAnswer)
	})
}

// dispatch passes a sub-request to the owner, within a span if it is traced.
func (s *Server) dispatch(sub broker.SubRequest, onAnswer func(broker.SubAnswer)) {
	reply := func(answer broker.SubAnswer) {
		if answer.Outcome == broker.OutcomeNotRun {
			s.counters.countRefusal(answer.Reason)
		}
		onAnswer(answer)
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

// FinishWork refuses new queries until the next incarnation has opened its linker. It returns whether all requests in
// progress, for callers and for other nodes, are finished or finishTimeout has passed.
func (s *Server) FinishWork(now time.Time) bool {
	since := s.rejoiningSince.Load()
	if since == nil {
		since = &now
		s.rejoiningSince.Store(since)
	}
	return now.Sub(*since) >= finishTimeout || s.drainer.Active() == 0 && s.peerRequests.Load() == 0
}

// LinkUp sends a newly linked node the quarantine list and the states of owned servers, which it may have missed.
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

// LinkDown ends everything that waits for an answer from a node.
func (s *Server) LinkDown(node broker.NodeID) {
	s.liveness.setLinked(node, false)
	s.tracker.OwnerDown(node)
	s.sessions.linkDown(node)
	s.forwards.linkDown(node)
	s.joiner.LinkDown(node)
}

func (s *Server) broadcast(message broker.Message) {
	for _, node := range s.liveness.nodes() {
		_ = s.Send(node, message) // a lost state is sent again after announceInterval and on a new link
	}
}
