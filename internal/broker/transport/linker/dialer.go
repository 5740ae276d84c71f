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

// startDialer is called with Linker.mu held.
func (l *Linker) startDialer(d *dialer) {
	ctx, cancel := context.WithCancel(l.ctx)
	d.cancel = cancel
	l.tasks.Go(func() { l.keep(ctx, d.member) })
}

// keep dials a member whenever no link to it is up.
func (l *Linker) keep(ctx context.Context, member broker.Member) {
	p := l.acquire(member.ID)
	defer l.releasePeer(p)
	policy := l.options.backoff()
	patience := time.Duration(0)
	if l.self.ID > member.ID {
		patience = l.options.FallbackDelay
	}
	var lastFailure ErrorKind
	for delay := patience; waiter.Wait(ctx, delay); {
		if k := l.linkTo(member.ID); k != nil {
			select {
			case <-k.down:
			case <-ctx.Done():
				return
			}
			if l.clock.Now().Sub(k.opened) >= l.options.MaxBackoff {
				policy.Reset()
			}
			delay = policy.NextBackOff() + patience
			continue
		}
		err := l.dial(ctx, p, member)
		delay = policy.NextBackOff()
		kind := ErrorKind("")
		if err != nil {
			kind = kindOf(err)
			if ctx.Err() == nil && kind != KindDuplicate {
				l.meter.failures[outgoing].Inc()
			}
		}
		if kind != "" && kind != lastFailure && ctx.Err() == nil {
			l.logger.Warn("could not dial a peer", "peer", member.ID, "address", member.Peer, "error", err)
		}
		lastFailure = kind
	}
}

// AnyIncarnation returns the ID under which SetPeers takes a node whose present incarnation is not known.
func AnyIncarnation(name string) broker.NodeID { return broker.NodeID(name + "/") }

// accepts returns whether a link that was dialed to one ID may be used for the node that answered.
func accepts(dialed, answered broker.NodeID) bool {
	return dialed == answered || dialed == AnyIncarnation(nodeName(answered))
}

// linkTo returns the link to a node, or nil.
func (l *Linker) linkTo(id broker.NodeID) *link {
	links := *l.links.Load()
	if k := links[id]; k != nil {
		return k
	}
	for other, k := range links {
		if accepts(id, other) {
			return k
		}
	}
	return nil
}

// dial makes a connection, proves the own name first and takes the link into use once the peer has proved its.
func (l *Linker) dial(ctx context.Context, p *peer, member broker.Member) error {
	const op = "dial a peer"
	tlsConfig, err := dialerTLS(l.credentials, nodeName(member.ID))
	if err != nil {
		return err
	}
	conn, err := l.transport.Dial(ctx, net.UDPAddrFromAddrPort(member.Peer), tlsConfig, l.options.quic())
	if err != nil {
		return wrap(op, kindOf(err), err)
	}
	k := newLink(l, l.acquire(p.id), conn, true)
	out, err := k.openControl()
	if err != nil {
		return l.refuse(k, wrap(op, KindUnreachable, err))
	}
	hello, in, err := l.readHello(ctx, conn)
	if err != nil {
		return l.refuse(k, err)
	}
	if !accepts(member.ID, hello.Node) {
		return l.refuse(k, failure(op, KindWrongNode, "the peer is node "+string(hello.Node)))
	}
	if hello.Node != member.ID {
		l.releasePeer(k.peer)
		k.peer = l.acquire(hello.Node)
	}
	if err := l.raise(k); err != nil {
		return l.refuse(k, err)
	}
	k.serve(out, in)
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
				l.meter.failures[incoming].Inc()
			}
		})
	}
}

// accept takes a link into use whose dialer says a name that its certificate proves. Nothing is sent before.
func (l *Linker) accept(conn *quic.Conn) error {
	const op = "accept a peer"
	hello, in, err := l.readHello(l.ctx, conn)
	if err != nil {
		_ = conn.CloseWithError(codeRefused, "no hello")
		return err
	}
	certificate := conn.ConnectionState().TLS.PeerCertificates[0]
	if hello.Node == l.self.ID || !names(certificate, nodeName(hello.Node)) {
		_ = conn.CloseWithError(codeRefused, "the certificate does not name the node")
		return failure(op, KindWrongNode, "the certificate does not name node "+string(hello.Node))
	}
	k := newLink(l, l.acquire(hello.Node), conn, false)
	if err := l.raise(k); err != nil {
		return l.refuse(k, err)
	}
	out, err := k.openControl()
	if err != nil {
		k.close(codeProtocol, "could not open a stream")
		l.lower(k, err)
		return wrap(op, KindUnreachable, err)
	}
	k.serve(out, in)
	return nil
}

// refuse closes the connection of a link that was not taken into use and returns why.
func (l *Linker) refuse(k *link, err error) error {
	code := codeRefused
	if kindOf(err) == KindDuplicate {
		code = codeDuplicate
	}
	k.close(code, string(kindOf(err)))
	l.releasePeer(k.peer)
	return err
}

// readHello reads the beginning of the peer's control stream, the first stream that the peer opens.
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
	reader := bufio.NewReaderSize(stream, readBuffer)
	if id, err := reader.ReadByte(); err != nil || laneID(id) != laneControl {
		return encoder.Hello{}, nil, failure(op, KindWrongNode, "the first stream is not the control stream")
	}
	hello, err := encoder.ReadHello(reader)
	if err != nil {
		return encoder.Hello{}, nil, wrap(op, KindWrongNode, err)
	}
	return hello, reader, nil
}
