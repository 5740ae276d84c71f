package testbed

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

var errDisconnected = errors.New("the node is disconnected")

// Network carries the traffic of one daemon and simulates network faults.
type Network struct {
	dialer net.Dialer

	mu           sync.Mutex
	disconnected bool
	conns        map[*conn]struct{}
	lossyPeers   map[netip.AddrPort]bool // peers whose packets are dropped in both directions
}

func newNetwork() *Network {
	return &Network{conns: make(map[*conn]struct{}), lossyPeers: make(map[netip.AddrPort]bool)}
}

// Disconnect closes all connections and blocks all traffic from then on.
func (n *Network) Disconnect() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected = true
	for c := range n.conns {
		_ = c.TCPConn.Close()
	}
}

// SilenceCallers drops all further traffic on the open connections of callers; new connections work.
func (n *Network) SilenceCallers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.accepted {
			c.silent.Store(true)
		}
	}
}

// SetPacketLoss sets whether all packets from and to a peer are dropped.
func (n *Network) SetPacketLoss(peer netip.AddrPort, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossyPeers[peer] = lost
}

func (n *Network) dropsPackets(peer net.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	address, ok := peer.(*net.UDPAddr)
	return n.disconnected || ok && n.lossyPeers[address.AddrPort()]
}

func (n *Network) dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := n.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return n.track(raw, false)
}

// track registers a connection, or closes it if the node is disconnected.
func (n *Network) track(raw net.Conn, accepted bool) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.disconnected {
		_ = raw.Close()
		return nil, errDisconnected
	}
	c := &conn{TCPConn: raw.(*net.TCPConn), network: n, accepted: accepted}
	n.conns[c] = struct{}{}
	return c, nil
}

// conn is a TCP connection that drops all traffic in both directions while silent.
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

// Write reports success on a silent connection without sending anything.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// Close closes the connection and removes it from the network.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.TCPConn.Close()
}

func (n *Network) wrapListener(raw net.Listener) net.Listener {
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
		if c, err := l.network.track(raw, true); err == nil {
			return c, nil
		}
	}
}

func (n *Network) wrapPacketConn(raw *net.UDPConn) net.PacketConn {
	return &packetConn{PacketConn: raw, raw: raw, network: n}
}

// packetConn drops the packets of lossy peers. It hides the batch calls of the socket, which would bypass the drops.
type packetConn struct {
	net.PacketConn
	raw     *net.UDPConn
	network *Network
}

// ReadFrom returns the next packet that is not dropped.
func (p *packetConn) ReadFrom(data []byte) (int, net.Addr, error) {
	for {
		n, from, err := p.PacketConn.ReadFrom(data)
		if err != nil || !p.network.dropsPackets(from) {
			return n, from, err
		}
	}
}

// WriteTo sends a packet; a dropped packet counts as sent.
func (p *packetConn) WriteTo(data []byte, to net.Addr) (int, error) {
	if p.network.dropsPackets(to) {
		return len(data), nil
	}
	return p.PacketConn.WriteTo(data, to)
}

// SetReadBuffer sets the size of the socket's receive buffer in bytes.
func (p *packetConn) SetReadBuffer(size int) error { return p.raw.SetReadBuffer(size) }

// SetWriteBuffer sets the size of the socket's send buffer in bytes.
func (p *packetConn) SetWriteBuffer(size int) error { return p.raw.SetWriteBuffer(size) }
