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

// waitTimeout bounds the duration of a failing test; no result depends on it.
const waitTimeout = 20 * time.Second

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// testNode is a linker whose handler records link events and messages.
type testNode struct {
	*Linker
	keys *MemoryCredentials
	set  *metrics.Set
	// onMessage is called for each message, before it is recorded.
	onMessage atomic.Pointer[func(from broker.NodeID, m broker.Message)]
	// reply, if set, is sent in answer to each message except a heartbeat reply; replied, if set, receives an element
	// for each other message. Such messages are not recorded.
	reply   *broker.Message
	replied chan struct{}
	inCall  sync.Map // senders whose message is being handled

	mu       sync.Mutex
	changed  chan struct{}
	events   []string // "up <node>" and "down <node>"
	messages []broker.Message
}

func (n *testNode) record(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *testNode) LinkUp(id broker.NodeID) {
	n.record(func() { n.events = append(n.events, "up "+string(id)) })
}

func (n *testNode) LinkDown(id broker.NodeID) {
	n.record(func() { n.events = append(n.events, "down "+string(id)) })
}

func (n *testNode) HandleMessage(from broker.NodeID, m broker.Message) {
	if n.reply != nil && m.HeartbeatReply == nil {
		n.mustSend(from, *n.reply)
		return
	}
	if n.replied != nil {
		n.replied <- struct{}{}
		return
	}
	if _, overlap := n.inCall.LoadOrStore(from, true); overlap {
		panic("handler calls for one node overlap")
	}
	if onMessage := n.onMessage.Load(); onMessage != nil {
		(*onMessage)(from, m)
	}
	n.inCall.Delete(from)
	n.record(func() { n.messages = append(n.messages, m) })
}

// mustSend retries while the queue is full and ignores other errors, such as a link that is down.
func (n *testNode) mustSend(to broker.NodeID, m broker.Message) {
	for kindOf(n.Send(to, m)) == KindQueueFull {
		runtime.Gosched()
	}
}

// await waits until ready returns true; ready is called with n.mu held after each change.
func (n *testNode) await(t testing.TB, what string, ready func() bool) {
	t.Helper()
	limit := time.After(waitTimeout)
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
			t.Fatalf("timed out waiting for %s; got events %v, %d messages", what, n.events, len(n.messages))
		}
	}
}

func (n *testNode) awaitEvents(t testing.TB, want ...string) {
	t.Helper()
	n.await(t, fmt.Sprint(want), func() bool { return len(n.events) >= len(want) })
	n.mu.Lock()
	defer n.mu.Unlock()
	if !slices.Equal(n.events, want) {
		t.Fatalf("got events %v, want %v", n.events, want)
	}
}

func (n *testNode) awaitMessages(t testing.TB, count int) {
	t.Helper()
	n.await(t, fmt.Sprint(count, " messages"), func() bool { return len(n.messages) >= count })
}

func (n *testNode) member() broker.Member { return broker.Member{ID: n.self.ID, Peer: n.Address()} }

func newIdentity(t testing.TB, authority *certifier.Authority, name string) *Identity {
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

// newNode returns a listening node with a certificate for name.
func newNode(
	t testing.TB, id broker.NodeID, authority *certifier.Authority, name string, options Options,
) *testNode {
	t.Helper()
	n := &testNode{
		keys: NewMemoryCredentials(newIdentity(t, authority, name)),
		set:  metrics.NewSet(), changed: make(chan struct{}),
	}
	n.Linker = New(broker.Member{ID: id}, n.keys, n, wallClock{}, n.set, slog.New(slog.DiscardHandler), options)
	if err := n.Listen(loopback); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Close(t.Context()) })
	return n
}

// newPair returns the nodes a/1 and b/1 with a link between them.
func newPair(t testing.TB, options Options) (a, b *testNode) {
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

// udpProxy relays UDP packets between one client and a target, or drops them while dropping is set.
type udpProxy struct {
	front, back *net.UDPConn
	client      atomic.Pointer[netip.AddrPort]
	dropping    atomic.Bool
}

func newUDPProxy(t testing.TB, target netip.AddrPort) *udpProxy {
	t.Helper()
	p := &udpProxy{}
	p.front, _ = net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	p.back, _ = net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	t.Cleanup(func() { p.front.Close(); p.back.Close() })
	go p.relay(p.front, func(data []byte, from netip.AddrPort) {
		p.client.Store(&from)
		p.back.WriteToUDPAddrPort(data, target)
	})
	go p.relay(p.back, func(data []byte, _ netip.AddrPort) {
		p.front.WriteToUDPAddrPort(data, *p.client.Load())
	})
	return p
}

func (p *udpProxy) relay(source *net.UDPConn, forward func([]byte, netip.AddrPort)) {
	buffer := make([]byte, 64<<10)
	for {
		size, from, err := source.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if !p.dropping.Load() {
			forward(buffer[:size], from)
		}
	}
}

func (p *udpProxy) address() netip.AddrPort { return p.front.LocalAddr().(*net.UDPAddr).AddrPort() }
