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

// Linker keeps links to peers; it implements broker.Peers.
type Linker struct {
	self        broker.Member
	credentials Credentials
	handler     broker.PeerHandler
	clock       broker.Clock
	logger      *slog.Logger
	options     Options
	meter       *meter
	scratch     sync.Pool // of *bytes.Buffer
	links       *holder.Holder[map[broker.NodeID]*link]

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu        sync.Mutex
	closed    bool
	members   map[broker.NodeID]*dialer
	peers     map[broker.NodeID]*peer
	transport *quic.Transport
	listener  *quic.Listener
}

// peer orders the callbacks for one node, over all its links.
type peer struct {
	id      broker.NodeID
	users   int // guarded by Linker.mu
	deliver sync.Mutex
	current *link // the link announced to the handler; guarded by deliver
}

// dialer keeps the link to one member.
type dialer struct {
	member broker.Member
	cancel context.CancelFunc
}

// New returns a linker of the node self that does nothing before Listen. Counters are added to set.
func New(
	self broker.Member, credentials Credentials, handler broker.PeerHandler, clock broker.Clock,
	set *metrics.Set, logger *slog.Logger, options Options,
) *Linker {
	ctx, cancel := context.WithCancel(context.Background())
	return &Linker{
		self: self, credentials: credentials, handler: handler, clock: clock, logger: logger,
		options: options.withDefaults(),
		meter:   newMeter(set),
		scratch: sync.Pool{New: func() any { return &bytes.Buffer{} }},
		links:   holder.New(&map[broker.NodeID]*link{}),
		ctx:     ctx,
		cancel:  cancel,
		members: map[broker.NodeID]*dialer{},
		peers:   map[broker.NodeID]*peer{},
	}
}

// Listen opens the UDP socket, accepts links on it and begins to dial peers; port 0 takes any free port.
func (l *Linker) Listen(address netip.AddrPort) error {
	const op = "listen"
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.listener != nil {
		return failure(op, KindClosed, "the linker is closed or listens already")
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return wrap(op, KindListen, err)
	}
	transport := &quic.Transport{Conn: socket}
	if l.options.Packets != nil {
		transport.Conn = l.options.Packets(socket)
	}
	tlsConfig := acceptorTLS(l.credentials, l.meter.failures[incoming].Inc)
	listener, err := transport.Listen(tlsConfig, l.options.quic())
	if err != nil {
		_ = socket.Close()
		return wrap(op, KindListen, err)
	}
	l.transport, l.listener = transport, listener
	l.tasks.Go(func() { l.acceptLinks(listener) })
	for _, d := range l.members {
		l.startDialer(d)
	}
	return nil
}

// Address returns the address of the socket, or the zero value before Listen.
func (l *Linker) Address() netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return netip.AddrPort{}
	}
	return l.listener.Addr().(*net.UDPAddr).AddrPort()
}

// SetPeers sets the nodes that this node keeps links to. Links to other nodes stay up as long as the peer
// keeps them, since a node that left the member list can still be an entry.
func (l *Linker) SetPeers(members []broker.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	wanted := make(map[broker.NodeID]*dialer, len(members))
	for _, member := range members {
		if member.ID == l.self.ID {
			continue
		}
		if d := l.members[member.ID]; d != nil && d.member.Peer == member.Peer {
			wanted[member.ID] = d
			continue
		}
		wanted[member.ID] = &dialer{member: member}
	}
	for id, d := range l.members {
		if wanted[id] != d && d.cancel != nil {
			d.cancel()
		}
	}
	for id, d := range wanted {
		if l.members[id] != d && l.listener != nil {
			l.startDialer(d)
		}
	}
	l.members = wanted
}

// Send queues a message to a node without blocking. An error is of type *Error with KindNoLink, KindQueueFull
// or KindInvalid and means that no byte of the message left this process.
func (l *Linker) Send(to broker.NodeID, message broker.Message) error {
	const op = "send a message"
	k := (*l.links.Load())[to]
	if k == nil {
		l.meter.drop(KindNoLink, 1)
		return failure(op, KindNoLink, "no link to node "+string(to)+" is up")
	}
	buf := l.scratch.Get().(*bytes.Buffer)
	kind, err := encoder.AppendMessage(buf, &message)
	if err != nil {
		l.release(buf)
		l.meter.drop(KindInvalid, 1)
		return wrap(op, KindInvalid, err)
	}
	size := buf.Len()
	kept, failed := k.send(kind, buf)
	if !kept {
		l.release(buf)
	}
	if failed != "" {
		l.meter.drop(failed, 1)
		return failure(op, failed, "the link to node "+string(to)+" takes no message")
	}
	l.meter.message(outgoing, kind, size)
	return nil
}

// release returns a buffer to the pool unless it has grown above what most messages need.
func (l *Linker) release(buf *bytes.Buffer) {
	if buf.Cap() > encoder.TargetFrameSize {
		return
	}
	buf.Reset()
	l.scratch.Put(buf)
}

// Close writes what is queued, waits until peers have read it or ctx ends, and closes all links. The handler
// must not call it.
func (l *Linker) Close(ctx context.Context) error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil
	}
	l.closed = true
	for _, d := range l.members {
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
	for _, k := range *l.links.Load() {
		draining.Go(func() { k.drain(ctx) })
	}
	draining.Wait()
	_ = listener.Close()
	_ = transport.Close()
	_ = transport.Conn.Close()
	l.tasks.Wait()
	return nil
}

// runIfOpen starts a goroutine that Close waits for, and returns false where Close has begun. Goroutines that
// Close waits for start others with tasks.Go.
func (l *Linker) runIfOpen(task func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.tasks.Go(task)
	}
	return !l.closed
}

// acquire returns the record of a node, which release gives back.
func (l *Linker) acquire(id broker.NodeID) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[id]
	if p == nil {
		p = &peer{id: id}
		l.peers[id] = p
	}
	p.users++
	return p
}

func (l *Linker) releasePeer(p *peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.users--; p.users == 0 {
		delete(l.peers, p.id)
	}
}

// raise takes a link into use in place of an older one, and tells the handler.
func (l *Linker) raise(k *link) error {
	const op = "take a link into use"
	k.peer.deliver.Lock()
	defer k.peer.deliver.Unlock()
	old := k.peer.current
	if old != nil && old.alive() && old.preferred() && !k.preferred() {
		return failure(op, KindDuplicate, "a link that the other node dialed is up")
	}
	if l.ctx.Err() != nil {
		return failure(op, KindClosed, "the linker is closed")
	}
	if old != nil {
		l.retire(old, codeReplaced, "a newer link is up")
	}
	k.peer.current = k
	l.setLink(k.peer.id, k)
	l.meter.ups.Inc()
	l.meter.links.Inc()
	l.logger.Info("peer link is up", "peer", k.peer.id, "address", k.conn.RemoteAddr().String(),
		"dialed", k.dialed)
	l.handler.LinkUp(k.peer.id)
	return nil
}

// lower takes a link out of use after its connection has ended.
func (l *Linker) lower(k *link, cause error) {
	k.peer.deliver.Lock()
	if k.peer.current == k {
		l.logger.Info("peer link is down", "peer", k.peer.id, "cause", cause)
		l.setLink(k.peer.id, nil)
		l.retire(k, codeClosed, "the link is down")
		k.peer.current = nil
	}
	k.peer.deliver.Unlock()
	close(k.down)
	l.releasePeer(k.peer)
}

// retire ends a link that was in use and tells the handler; peer.deliver is held.
func (l *Linker) retire(k *link, code quic.ApplicationErrorCode, text string) {
	k.close(code, text)
	dropped := 0
	for _, lane := range k.lanes {
		dropped += lane.drop()
	}
	if dropped > 0 {
		l.meter.drop(dropLinkDown, dropped)
	}
	l.meter.downs.Inc()
	l.meter.links.Dec()
	l.handler.LinkDown(k.peer.id)
}

// setLink replaces the link that Send uses for a node; nil removes it.
func (l *Linker) setLink(id broker.NodeID, k *link) {
	l.links.Update(func(current *map[broker.NodeID]*link) *map[broker.NodeID]*link {
		next := maps.Clone(*current)
		if k == nil {
			delete(next, id)
		} else {
			next[id] = k
		}
		return &next
	})
}
