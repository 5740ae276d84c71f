package linker

import (
	"bytes"
	"context"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/protocol/encoder"
	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
)

// Linker maintains links to peers; it implements broker.Peers.
type Linker struct {
	self        broker.Member
	credentials Credentials
	handler     broker.PeerHandler
	clock       broker.Clock
	logger      *slog.Logger
	options     Options
	meter       *meter
	buffers     sync.Pool // of *bytes.Buffer
	links       *holder.Holder[map[broker.NodeID]*link]

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu        sync.Mutex
	closed    bool
	dialers   map[broker.NodeID]*dialer
	peers     map[broker.NodeID]*peer
	transport *quic.Transport
	listener  *quic.Listener
}

// peer serializes the handler calls for one node across all links to it.
type peer struct {
	id         broker.NodeID
	references int // guarded by Linker.mu
	deliverMu  sync.Mutex
	current    *link // the link that the handler was told is up; guarded by deliverMu
}

// dialer maintains the link to one member.
type dialer struct {
	member broker.Member
	cancel context.CancelFunc
}

// New returns a linker for the node self, which is inactive until Listen is called. Its metrics are added to set.
func New(
	self broker.Member, credentials Credentials, handler broker.PeerHandler, clock broker.Clock,
	set *metrics.Set, logger *slog.Logger, options Options,
) *Linker {
	ctx, cancel := context.WithCancel(context.Background())
	return &Linker{
		self: self, credentials: credentials, handler: handler, clock: clock, logger: logger,
		options: options.withDefaults(),
		meter:   newMeter(set),
		buffers: sync.Pool{New: func() any { return &bytes.Buffer{} }},
		links:   holder.New(&map[broker.NodeID]*link{}),
		ctx:     ctx,
		cancel:  cancel,
		dialers: map[broker.NodeID]*dialer{},
		peers:   map[broker.NodeID]*peer{},
	}
}

// Listen opens the UDP socket, accepts links on it and starts to dial peers; port 0 selects any free port. An error
// has KindListen or KindClosed.
func (l *Linker) Listen(address netip.AddrPort) error {
	const op = "listen"
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.listener != nil {
		return failure(op, KindClosed, "the linker is closed or already listens")
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return wrap(op, KindListen, err)
	}
	transport := &quic.Transport{Conn: socket}
	if l.options.WrapSocket != nil {
		transport.Conn = l.options.WrapSocket(socket)
	}
	tlsConfig := acceptorTLS(l.credentials, l.meter.handshakeFailures[incoming].Inc)
	listener, err := transport.Listen(tlsConfig, l.options.quicConfig())
	if err != nil {
		_ = socket.Close()
		return wrap(op, KindListen, err)
	}
	l.transport, l.listener = transport, listener
	l.tasks.Go(func() { l.acceptLinks(listener) })
	for _, d := range l.dialers {
		l.startDialer(d)
	}
	return nil
}

// Address returns the address of the UDP socket, or the zero value before Listen.
func (l *Linker) Address() netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return netip.AddrPort{}
	}
	return l.listener.Addr().(*net.UDPAddr).AddrPort()
}

// SetPeers sets the nodes to which this node maintains links. Links to other nodes stay up until the peer closes
// them, since a node that left the member list can still be an entry host.
func (l *Linker) SetPeers(members []broker.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	dialers := make(map[broker.NodeID]*dialer, len(members))
	for _, member := range members {
		if member.ID == l.self.ID {
			continue
		}
		if d := l.dialers[member.ID]; d != nil && d.member.Peer == member.Peer {
			dialers[member.ID] = d
			continue
		}
		dialers[member.ID] = &dialer{member: member}
	}
	for id, d := range l.dialers {
		if dialers[id] != d && d.cancel != nil {
			d.cancel()
		}
	}
	for id, d := range dialers {
		if l.dialers[id] != d && l.listener != nil {
			l.startDialer(d)
		}
	}
	l.dialers = dialers
}

// Send queues a message to a node without blocking. An error is of type *Error with KindNoLink, KindQueueFull or
// KindInvalid, and means that no byte of the message was sent.
func (l *Linker) Send(to broker.NodeID, message broker.Message) error {
	const op = "send a message"
	lk := (*l.links.Load())[to]
	if lk == nil {
		l.meter.countDrops(KindNoLink, 1)
		return failure(op, KindNoLink, "no link to node "+string(to)+" is up")
	}
	buf := l.buffers.Get().(*bytes.Buffer)
	kind, err := encoder.AppendMessage(buf, &message)
	if err != nil {
		l.releaseBuffer(buf)
		l.meter.countDrops(KindInvalid, 1)
		return wrap(op, KindInvalid, err)
	}
	size := buf.Len()
	retained, reason := lk.send(kind, buf)
	if !retained {
		l.releaseBuffer(buf)
	}
	if reason != "" {
		l.meter.countDrops(reason, 1)
		return failure(op, reason, "the link to node "+string(to)+" is down or its queue is full")
	}
	l.meter.countMessage(outgoing, kind, size)
	return nil
}

// releaseBuffer returns a buffer to the pool unless it has grown beyond the size that most messages need.
func (l *Linker) releaseBuffer(buf *bytes.Buffer) {
	if buf.Cap() > encoder.TargetFrameSize {
		return
	}
	buf.Reset()
	l.buffers.Put(buf)
}

// Close sends all queued messages, waits until the peers have read them or ctx ends, and closes all links. The
// handler must not call it.
func (l *Linker) Close(ctx context.Context) error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil
	}
	l.closed = true
	for _, d := range l.dialers {
		if d.cancel != nil {
			d.cancel()
		}
	}
	listener, transport := l.listener, l.transport
	l.mu.Unlock()

	l.cancel()
	if listener == nil {
		return nil
	}
	var draining sync.WaitGroup
	for _, lk := range *l.links.Load() {
		draining.Go(func() { lk.drain(ctx) })
	}
	draining.Wait()
	_ = listener.Close()
	_ = transport.Close()
	_ = transport.Conn.Close()
	l.tasks.Wait()
	return nil
}

// runIfOpen starts a goroutine that Close waits for, or returns false if Close was called. A goroutine that Close
// already waits for starts others with tasks.Go directly.
func (l *Linker) runIfOpen(task func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.tasks.Go(task)
	}
	return !l.closed
}

// acquirePeer returns the peer record of a node and adds a reference, which releasePeer removes.
func (l *Linker) acquirePeer(id broker.NodeID) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[id]
	if p == nil {
		p = &peer{id: id}
		l.peers[id] = p
	}
	p.references++
	return p
}

func (l *Linker) releasePeer(p *peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.references--; p.references == 0 {
		delete(l.peers, p.id)
	}
}

// activate makes a link the current one of its peer in place of an older one, and tells the handler.
func (l *Linker) activate(lk *link) error {
	const op = "activate a link"
	lk.peer.deliverMu.Lock()
	defer lk.peer.deliverMu.Unlock()
	old := lk.peer.current
	if old != nil && old.alive() && old.preferred() && !lk.preferred() {
		return failure(op, KindDuplicate, "a link dialed by the node whose ID sorts first is up")
	}
	if l.ctx.Err() != nil {
		return failure(op, KindClosed, "the linker is closed")
	}
	if old != nil {
		l.retire(old, codeReplaced, "a newer link is up")
	}
	lk.peer.current = lk
	l.setLink(lk.peer.id, lk)
	l.meter.linkUps.Inc()
	l.meter.links.Inc()
	l.logger.Info("peer link is up", "peer", lk.peer.id, "address", lk.conn.RemoteAddr().String(),
		"dialed", lk.dialed)
	l.handler.LinkUp(lk.peer.id)
	return nil
}

// deactivate removes a link after its connection has ended, and tells the handler if it was the current one.
func (l *Linker) deactivate(lk *link, cause error) {
	lk.peer.deliverMu.Lock()
	if lk.peer.current == lk {
		l.logger.Info("peer link is down", "peer", lk.peer.id, "cause", cause)
		l.setLink(lk.peer.id, nil)
		l.retire(lk, codeClosed, "the link is down")
		lk.peer.current = nil
	}
	lk.peer.deliverMu.Unlock()
	close(lk.down)
	l.releasePeer(lk.peer)
}

// retire closes the current link of a peer and tells the handler; the caller must hold peer.deliverMu.
func (l *Linker) retire(lk *link, code quic.ApplicationErrorCode, text string) {
	lk.close(code, text)
	dropped := 0
	for _, queue := range lk.queues {
		dropped += queue.discard()
	}
	if dropped > 0 {
		l.meter.countDrops(dropLinkDown, dropped)
	}
	l.meter.linkDowns.Inc()
	l.meter.links.Dec()
	l.handler.LinkDown(lk.peer.id)
}

// setLink sets the link that Send uses for a node; nil removes it.
func (l *Linker) setLink(id broker.NodeID, lk *link) {
	l.links.Update(func(current *map[broker.NodeID]*link) *map[broker.NodeID]*link {
		next := maps.Clone(*current)
		if lk == nil {
			delete(next, id)
		} else {
			next[id] = lk
		}
		return &next
	})
}
