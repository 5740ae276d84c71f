package linker

import (
	"fmt"
	"log/slog"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/estimator"
	"github.com/yuccarock/yuccarock/internal/standin/certifier"
)

// packetOverhead is the size of the IPv4 and UDP headers of a packet in bytes.
const packetOverhead = 28

// benchNode is a linker whose handler answers sub-requests and heartbeats and counts answers and links.
type benchNode struct {
	*Linker
	links   atomic.Int32
	answers sync.WaitGroup
}

func (n *benchNode) LinkUp(broker.NodeID)   { n.links.Add(1) }
func (n *benchNode) LinkDown(broker.NodeID) { n.links.Add(-1) }

func (n *benchNode) HandleMessage(from broker.NodeID, m broker.Message) {
	switch {
	case m.SubRequest != nil:
		answer := broker.SubAnswer{RequestID: m.SubRequest.RequestID, Shard: m.SubRequest.Shard,
			Server: m.SubRequest.Server, Attempt: m.SubRequest.Attempt, Outcome: broker.OutcomeAnswered}
		for i := range 3 {
			answer.Hits = append(answer.Hits, broker.Hit{ID: "doc-0048001", Score: 1 / float64(i+3), Shard: "q-017",
				Fields: []byte(`{"title":"Bevel gear pair m2.5 z17/34","year":2024}`)})
		}
		_ = n.Send(from, broker.Message{SubAnswer: &answer})
	case m.SubAnswer != nil:
		n.answers.Done()
	case m.Heartbeat != nil:
		_ = n.Send(from, broker.Message{HeartbeatReply: &broker.HeartbeatReply{
			Sequence: m.Heartbeat.Sequence, Generation: m.Heartbeat.Generation, Revision: 812, Granted: true,
		}})
	}
}

// newBenchCell returns count nodes with links to each other.
func newBenchCell(b *testing.B, authority *certifier.Authority, count int) []*benchNode {
	nodes := make([]*benchNode, count)
	members := make([]broker.Member, count)
	for i := range nodes {
		n := &benchNode{}
		id := broker.NodeID(fmt.Sprintf("n%03d/1", i))
		keys := NewMemoryCredentials(newIdentity(b, authority, fmt.Sprintf("n%03d", i)))
		n.Linker = New(broker.Member{ID: id}, keys, n, wallClock{}, metrics.NewSet(),
			slog.New(slog.DiscardHandler), Options{})
		if err := n.Listen(loopback); err != nil {
			b.Fatal(err)
		}
		nodes[i], members[i] = n, broker.Member{ID: id, Peer: n.Address()}
	}
	for i, n := range nodes {
		n.SetPeers(append(append([]broker.Member(nil), members[:i]...), members[i+1:]...))
	}
	linked := func() bool {
		for _, n := range nodes {
			if int(n.links.Load()) != count-1 {
				return false
			}
		}
		return true
	}
	for limit := time.Now().Add(waitTimeout); !linked(); <-time.After(time.Millisecond) {
		if time.Now().After(limit) {
			b.Fatal("the nodes are not all linked with each other")
		}
	}
	return nodes
}

func closeCell(b *testing.B, nodes []*benchNode) {
	var stopping sync.WaitGroup
	for _, n := range nodes {
		stopping.Go(func() { n.Close(b.Context()) })
	}
	stopping.Wait()
}

// wireBytes returns the number of bytes that all nodes have sent, including IP and UDP headers.
func wireBytes(nodes []*benchNode) (total uint64) {
	for _, n := range nodes {
		for _, lk := range *n.Linker.links.Load() {
			stats := lk.conn.ConnectionStats()
			total += stats.BytesSent + packetOverhead*stats.PacketsSent
		}
	}
	return total
}

// BenchmarkSlopeExchange measures batches of concurrent sub-requests and their answers over one peer link; the
// processor time includes both ends.
func BenchmarkSlopeExchange(b *testing.B) {
	authority := newAuthority(b, "authority")
	for _, size := range []int{1, 4, 16, 64, 256} {
		b.Run(fmt.Sprintf("requests=%d", size), func(b *testing.B) {
			nodes := newBenchCell(b, authority, 2)
			defer closeCell(b, nodes)
			request := subRequest("0197b8b4-5cf3-7c1e-9c53-2f0f3e5a7d11", 1, 150)
			cpuBefore := estimator.ProcessorTime()
			bytesBefore := wireBytes(nodes)
			for b.Loop() {
				nodes[0].answers.Add(size)
				for range size {
					if err := nodes[0].Send("n001/1", request); err != nil {
						b.Fatal(err)
					}
				}
				nodes[0].answers.Wait()
			}
			b.ReportMetric(float64(estimator.ProcessorTime()-cpuBefore)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(wireBytes(nodes)-bytesBefore)/float64(b.N), "wire-B/op")
		})
	}
}

// measurePeriod is how long one iteration sends heartbeats or idles: eight heartbeats or six keep-alives.
const measurePeriod = 2 * time.Second

// sendHeartbeats sends heartbeats between all nodes at the interval for measurePeriod; if interval is zero, it only
// waits.
func sendHeartbeats(nodes []*benchNode, interval time.Duration) {
	if interval == 0 {
		<-time.After(measurePeriod)
		return
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for sequence := range uint64(measurePeriod / interval) {
		<-ticker.C
		for _, from := range nodes {
			for to := range *from.Linker.links.Load() {
				_ = from.Send(to, broker.Message{Heartbeat: &broker.Heartbeat{
					Sequence: sequence + 1000, Generation: 4711, Revision: 812,
				}})
			}
		}
	}
}

func measureCell(b *testing.B, authority *certifier.Authority, members int, interval time.Duration) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	nodes := newBenchCell(b, authority, members)
	defer closeCell(b, nodes)
	for range 2 {
		sendHeartbeats(nodes, 0) // lets path MTU discovery finish, which sends a few full-size packets after the handshake
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	cpuBefore, bytesBefore := estimator.ProcessorTime(), wireBytes(nodes)
	for b.Loop() {
		sendHeartbeats(nodes, interval)
	}
	seconds := measurePeriod.Seconds() * float64(b.N) * float64(members)
	b.ReportMetric(float64(estimator.ProcessorTime()-cpuBefore)/seconds/1000, "cpu-µs/s/node")
	b.ReportMetric(float64(wireBytes(nodes)-bytesBefore)/seconds, "wire-B/s/node")
	memory := after.HeapAlloc + after.StackInuse - before.HeapAlloc - before.StackInuse
	b.ReportMetric(float64(memory)/float64(members), "memory-B/node")
}

// BenchmarkSlopeCell measures the peer links of a cell on real sockets: idle, with keep-alive packets only, and with a
// heartbeat from each member to each other member every 250 ms. A node has members - 1 links.
func BenchmarkSlopeCell(b *testing.B) {
	authority := newAuthority(b, "authority")
	for _, members := range []int{3, 5, 7, 9, 20, 50} {
		b.Run(fmt.Sprintf("idle/members=%d", members), func(b *testing.B) {
			measureCell(b, authority, members, 0)
		})
		b.Run(fmt.Sprintf("beating/members=%d", members), func(b *testing.B) {
			measureCell(b, authority, members, 250*time.Millisecond)
		})
	}
}
