package linker

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/standin/certifier"
)

// waitLimit only bounds a test that fails; it decides nothing.
const waitLimit = 20 * time.Second

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// node is a linker with a handler that records what it is told.
type node struct {
	*Linker
	keys *Keyring
	set  *metrics.Set
	// handle is called for each message, before it is recorded.
	handle atomic.Pointer[func(from broker.NodeID, m broker.Message)]
	// answer and done replace recording in benchmarks: a message but a reply is answered, or counted.
	answer *broker.Message
	done   chan struct{}
	busy   sync.Map // by sender, while a call runs

	mu       sync.Mutex
	changed  chan struct{}
	events   []string // "up <node>" and "down <node>"
	messages []broker.Message
}

func (n *node) record(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *node) LinkUp(id broker.NodeID) {
	n.record(func() { n.events = append(n.events, "up "+string(id)) })
}

func (n *node) LinkDown(id broker.NodeID) {
	n.record(func() { n.events = append(n.events, "down "+string(id)) })
}

func (n *node) HandleMessage(from broker.NodeID, m broker.Message) {
	if n.answer != nil && m.HeartbeatReply == nil {
		n.mustSend(from, *n.answer)
		return
	}
	if n.done != nil {
		n.done <- struct{}{}
		return
	}
	if _, overlap := n.busy.LoadOrStore(from, true); overlap {
		panic("calls of the handler for one node overlap")
	}
	if handle := n.handle.Load(); handle != nil {
		(*handle)(from, m)
	}
	n.busy.Delete(from)
	n.record(func() { n.messages = append(n.messages, m) })
}

// mustSend sends a message as soon as the queue has room, unless the link is down.
func (n *node) mustSend(to broker.NodeID, m broker.Message) {
	for kindOf(n.Send(to, m)) == KindQueueFull {
		runtime.Gosched()
	}
}

// await waits until ready returns true, which is called with n.mu held after each change.
func (n *node) await(t testing.TB, what string, ready func() bool) {
	t.Helper()
	limit := time.After(waitLimit)
	for {
		n.mu.Lock()
		done, changed := ready(), n.changed
		n.mu.Unlock()
		if done {
			return
		}
		select {
		case <-changed:
		case <-limit:
			t.Fatalf("no %s; events %v, %d messages", what, n.events, len(n.messages))
		}
	}
}

func (n *node) awaitEvents(t testing.TB, want ...string) {
	t.Helper()
	n.await(t, fmt.Sprint(want), func() bool { return len(n.events) >= len(want) })
	n.mu.Lock()
	defer n.mu.Unlock()
	if !slices.Equal(n.events, want) {
		t.Fatalf("got events %v, want %v", n.events, want)
	}
}

func (n *node) awaitMessages(t testing.TB, count int) {
	t.Helper()
	n.await(t, fmt.Sprint(count, " messages"), func() bool { return len(n.messages) >= count })
}

func (n *node) member() broker.Member { return broker.Member{ID: n.self.ID, Peer: n.Address()} }

func identity(t testing.TB, authority *certifier.Authority, name string) *Identity {
	t.Helper()
	issued, _ := authority.Issue(name)
	parsed, err := ParseIdentity(issued.CertificatePEM, issued.KeyPEM, authority.PEM())
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func newAuthority(t testing.TB, name string) *certifier.Authority {
	t.Helper()
	authority, err := certifier.New(name)
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// newNode returns a node that listens, with a certificate for the name.
func newNode(t testing.TB, id broker.NodeID, authority *certifier.Authority, name string, options Options) *node {
	t.Helper()
	n := &node{keys: NewKeyring(identity(t, authority, name)), set: metrics.NewSet(), changed: make(chan struct{})}
	n.Linker = New(broker.Member{ID: id}, n.keys, n, wallClock{}, n.set, slog.New(slog.DiscardHandler), options)
	if err := n.Listen(loopback); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Close(t.Context()) })
	return n
}

// newPair returns the linked nodes a/1 and b/1.
func newPair(t testing.TB, options Options) (a, b *node) {
	t.Helper()
	authority := newAuthority(t, "authority")
	a = newNode(t, "a/1", authority, "a", options)
	b = newNode(t, "b/1", authority, "b", options)
	a.SetPeers([]broker.Member{b.member()})
	a.awaitEvents(t, "up b/1")
	b.awaitEvents(t, "up a/1")
	return a, b
}

func heartbeat(sequence int) broker.Message {
	return broker.Message{Heartbeat: &broker.Heartbeat{Sequence: uint64(sequence)}}
}

func subRequest(id string, attempt, body int) broker.Message {
	return broker.Message{SubRequest: &broker.SubRequest{
		RequestID: id, Service: "quotation-search", Shard: "q-017", Server: "q-017-b", Attempt: uint32(attempt),
		Snapshot: 4711, Partitioning: 3, Kind: "quotation", Idempotent: true, Priority: 5,
		Remaining: 180 * time.Millisecond, Fingerprint: 0x9e3779b97f4a7c15, Limit: 10, Body: make([]byte, body),
		TraceParent: "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", Revision: 812,
	}}
}

func subAnswer(id string, attempt, hits, fields int) broker.Message {
	answer := &broker.SubAnswer{
		RequestID: id, Shard: "q-017", Server: "q-017-b", Attempt: uint32(attempt), Snapshot: 4711,
		Partitioning: 3, Outcome: broker.OutcomeAnswered, Queued: 2, Latency: 4 * time.Millisecond,
	}
	for i := range hits {
		answer.Hits = append(answer.Hits, broker.Hit{
			ID: "doc-0048000", Score: 0.87431 - float64(i)/97, Shard: "q-017", Fields: make([]byte, fields),
		})
	}
	return broker.Message{SubAnswer: answer}
}

// forwarder relays UDP between one client and a target, unless it is silent.
type forwarder struct {
	front, back *net.UDPConn
	client      atomic.Pointer[netip.AddrPort]
	silent      atomic.Bool
}

func newForwarder(t testing.TB, target netip.AddrPort) *forwarder {
	t.Helper()
	f := &forwarder{}
	f.front, _ = net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	f.back, _ = net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	t.Cleanup(func() { f.front.Close(); f.back.Close() })
	go f.relay(f.front, func(data []byte, from netip.AddrPort) {
		f.client.Store(&from)
		f.back.WriteToUDPAddrPort(data, target)
	})
	go f.relay(f.back, func(data []byte, _ netip.AddrPort) {
		f.front.WriteToUDPAddrPort(data, *f.client.Load())
	})
	return f
}

func (f *forwarder) relay(source *net.UDPConn, pass func([]byte, netip.AddrPort)) {
	buffer := make([]byte, 64<<10)
	for {
		size, from, err := source.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if !f.silent.Load() {
			pass(buffer[:size], from)
		}
	}
}

func (f *forwarder) address() netip.AddrPort { return f.front.LocalAddr().(*net.UDPAddr).AddrPort() }
