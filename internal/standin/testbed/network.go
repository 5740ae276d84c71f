package testbed

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

var errCut = errors.New("the node is cut off")

// Network carries what one daemon sends and receives and can lose it.
type Network struct {
	dialer net.Dialer

	mu    sync.Mutex
	cut   bool
	conns map[*conn]struct{}
	lost  map[netip.AddrPort]bool // peers whose packets are dropped in both directions
}

func newNetwork() *Network {
	return &Network{conns: make(map[*conn]struct{}), lost: make(map[netip.AddrPort]bool)}
}

// Cut closes all connections, drops all packets and lets nothing through any more.
func (n *Network) Cut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = true
	for c := range n.conns {
		_ = c.TCPConn.Close()
	}
}

// SilenceCallers makes every open connection of a caller silent for good; new connections work.
func (n *Network) SilenceCallers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.accepted {
			c.silent.Store(true)
		}
	}
}

// Lose drops all packets from and to a peer until it is restored.
func (n *Network) Lose(peer netip.AddrPort, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost[peer] = lost
}

func (n *Network) loses(peer net.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	address, ok := peer.(*net.UDPAddr)
	return n.cut || ok && n.lost[address.AddrPort()]
}

func (n *Network) dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := n.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return n.keep(raw, false)
}

// keep registers a connection, or closes it where the node is cut off.
func (n *Network) keep(raw net.Conn, accepted bool) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut {
		_ = raw.Close()
		return nil, errCut
	}
	c := &conn{TCPConn: raw.(*net.TCPConn), network: n, accepted: accepted}
	n.conns[c] = struct{}{}
	return c, nil
}

// conn can be silent: it loses what arrives and what is sent.
type conn struct {
	*net.TCPConn
	network  *Network
	accepted bool
	silent   atomic.Bool
}

// Read drops everything that arrives on a silent connection until the other side closes it.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write pretends to write to a silent connection.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.TCPConn.Close()
}

func (n *Network) listener(raw net.Listener) net.Listener {
	return &listener{Listener: raw, network: n}
}

type listener struct {
	net.Listener
	network *Network
}

// Accept returns the next connection of a caller.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, err := l.network.keep(raw, true); err == nil {
			return c, nil
		}
	}
}

func (n *Network) packets(raw *net.UDPConn) net.PacketConn {
	return &packetConn{PacketConn: raw, raw: raw, network: n}
}

// packetConn drops packets; it hides the batch calls of the socket, which would go around it.
type packetConn struct {
	net.PacketConn
	raw     *net.UDPConn
	network *Network
}

// ReadFrom returns the next packet that is not lost.
func (p *packetConn) ReadFrom(data []byte) (int, net.Addr, error) {
	for {
		n, from, err := p.PacketConn.ReadFrom(data)
		if err != nil || !p.network.loses(from) {
			return n, from, err
		}
	}
}

// WriteTo sends a packet or loses it.
func (p *packetConn) WriteTo(data []byte, to net.Addr) (int, error) {
	if p.network.loses(to) {
		return len(data), nil
	}
	return p.PacketConn.WriteTo(data, to)
}

// SetReadBuffer sets the size of the socket's receive buffer in bytes.
func (p *packetConn) SetReadBuffer(size int) error { return p.raw.SetReadBuffer(size) }

// SetWriteBuffer sets the size of the socket's send buffer in bytes.
func (p *packetConn) SetWriteBuffer(size int) error { return p.raw.SetWriteBuffer(size) }
