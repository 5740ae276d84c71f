package linker

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/protocol/encoder"
	"github.com/yuccarock/yuccarock/internal/waiter"
)

// startDialer starts the goroutine that maintains the link to one member; the caller must hold Linker.mu.
func (l *Linker) startDialer(d *dialer) {
	ctx, cancel := context.WithCancel(l.ctx)
	d.cancel = cancel
	l.tasks.Go(func() { l.maintainLink(ctx, d.member) })
}

// maintainLink dials a member whenever no link to it is up, until ctx ends.
func (l *Linker) maintainLink(ctx context.Context, member broker.Member) {
	p := l.acquirePeer(member.ID)
	defer l.releasePeer(p)
	policy := l.options.newBackoff()
	fallbackDelay := time.Duration(0)
	if l.self.ID > member.ID {
		fallbackDelay = l.options.FallbackDelay
	}
	var lastFailure ErrorKind
	for delay := fallbackDelay; waiter.Wait(ctx, delay); {
		if lk := l.linkTo(member.ID); lk != nil {
			select {
			case <-lk.down:
			case <-ctx.Done():
				return
			}
			if l.clock.Now().Sub(lk.openedAt) >= l.options.MaxBackoff {
				policy.Reset()
			}
			delay = policy.NextBackOff() + fallbackDelay
			continue
		}
		err := l.dial(ctx, p, member)
		delay = policy.NextBackOff()
		kind := ErrorKind("")
		if err != nil {
			kind = kindOf(err)
			if ctx.Err() == nil && kind != KindDuplicate {
				l.meter.handshakeFailures[outgoing].Inc()
			}
		}
		if kind != "" && kind != lastFailure && ctx.Err() == nil {
			l.logger.Warn("could not dial a peer", "peer", member.ID, "address", member.Peer, "error", err)
		}
		lastFailure = kind
	}
}

// AnyIncarnation returns a node ID for SetPeers that matches any incarnation of the named node, for use while its
// current incarnation is not known.
func AnyIncarnation(name string) broker.NodeID { return broker.NodeID(name + "/") }

// matchesNode reports whether a link that was dialed to one ID may be used for the node that answered.
func matchesNode(dialed, answered broker.NodeID) bool {
	return dialed == answered || dialed == AnyIncarnation(nodeName(answered))
}

// linkTo returns the link to a node, or nil if none is up.
func (l *Linker) linkTo(id broker.NodeID) *link {
	links := *l.links.Load()
	if lk := links[id]; lk != nil {
		return lk
	}
	for linked, lk := range links {
		if matchesNode(id, linked) {
			return lk
		}
	}
	return nil
}

// dial connects to a member and sends the hello of this node; it activates the link once the certificate and the
// hello of the peer name that member.
func (l *Linker) dial(ctx context.Context, p *peer, member broker.Member) error {
	const op = "dial a peer"
	tlsConfig, err := dialerTLS(l.credentials, nodeName(member.ID))
	if err != nil {
		return err
	}
	conn, err := l.transport.Dial(ctx, net.UDPAddrFromAddrPort(member.Peer), tlsConfig, l.options.quicConfig())
	if err != nil {
		return wrap(op, kindOf(err), err)
	}
	lk := newLink(l, l.acquirePeer(p.id), conn, true)
	out, err := lk.openControl()
	if err != nil {
		return l.reject(lk, wrap(op, KindUnreachable, err))
	}
	hello, in, err := l.readHello(ctx, conn)
	if err != nil {
		return l.reject(lk, err)
	}
	if !matchesNode(member.ID, hello.Node) {
		return l.reject(lk, failure(op, KindWrongNode, "the peer is node "+string(hello.Node)))
	}
	if hello.Node != member.ID {
		l.releasePeer(lk.peer)
		lk.peer = l.acquirePeer(hello.Node)
	}
	if err := l.activate(lk); err != nil {
		return l.reject(lk, err)
	}
	lk.start(out, in)
	return nil
}

func (l *Linker) acceptLinks(listener *quic.Listener) {
	for {
		conn, err := listener.Accept(context.Background())
		if err != nil {
			return
		}
		l.tasks.Go(func() {
			if err := l.accept(conn); err != nil && kindOf(err) != KindDuplicate {
				l.meter.handshakeFailures[incoming].Inc()
			}
		})
	}
}

// accept activates a link if the certificate of the dialing peer names the node in its hello. It opens no stream
// before that.
func (l *Linker) accept(conn *quic.Conn) error {
	const op = "accept a peer"
	hello, in, err := l.readHello(l.ctx, conn)
	if err != nil {
		_ = conn.CloseWithError(codeRefused, "no hello")
		return err
	}
	certificate := conn.ConnectionState().TLS.PeerCertificates[0]
	if hello.Node == l.self.ID || !certificateNames(certificate, nodeName(hello.Node)) {
		_ = conn.CloseWithError(codeRefused, "the certificate does not name the node")
		return failure(op, KindWrongNode, "the certificate does not name node "+string(hello.Node))
	}
	lk := newLink(l, l.acquirePeer(hello.Node), conn, false)
	if err := l.activate(lk); err != nil {
		return l.reject(lk, err)
	}
	out, err := lk.openControl()
	if err != nil {
		lk.close(codeProtocol, "could not open a stream")
		l.deactivate(lk, err)
		return wrap(op, KindUnreachable, err)
	}
	lk.start(out, in)
	return nil
}

// reject closes the connection of a link that was not activated and returns err.
func (l *Linker) reject(lk *link, err error) error {
	code := codeRefused
	if kindOf(err) == KindDuplicate {
		code = codeDuplicate
	}
	lk.close(code, string(kindOf(err)))
	l.releasePeer(lk.peer)
	return err
}

// readHello reads the hello from the peer's control stream, which must be the first stream that the peer opens.
func (l *Linker) readHello(ctx context.Context, conn *quic.Conn) (encoder.Hello, *bufio.Reader, error) {
	const op = "read the hello of a peer"
	ctx, cancel := context.WithTimeout(ctx, l.options.IdleTimeout)
	defer cancel()
	stream, err := conn.AcceptUniStream(ctx)
	if err != nil {
		return encoder.Hello{}, nil, wrap(op, kindOf(err), err)
	}
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(0) })
	defer stop()
	reader := bufio.NewReaderSize(stream, readBufferSize)
	if typ, err := reader.ReadByte(); err != nil || streamType(typ) != streamControl {
		return encoder.Hello{}, nil, failure(op, KindWrongNode, "the first stream is not the control stream")
	}
	hello, err := encoder.ReadHello(reader)
	if err != nil {
		return encoder.Hello{}, nil, wrap(op, KindWrongNode, err)
	}
	return hello, reader, nil
}
