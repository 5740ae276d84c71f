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

// packetOverhead is the size of the headers of IPv4 and UDP.
const packetOverhead = 28

// benchNode answers sub-requests and heartbeats and counts answers and links.
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

// benchCell returns nodes that are linked with each other.
func benchCell(b *testing.B, authority *certifier.Authority, count int) []*benchNode {
	nodes := make([]*benchNode, count)
	members := make([]broker.Member, count)
	for i := range nodes {
		n := &benchNode{}
		id := broker.NodeID(fmt.Sprintf("n%03d/1", i))
		keys := NewKeyring(identity(b, authority, fmt.Sprintf("n%03d", i)))
		n.Linker = New(broker.Member{ID: id}, keys, n, wallClock{}, metrics.NewSet(), slog.New(slog.DiscardHandler), Options{})
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
	for limit := time.Now().Add(waitLimit); !linked(); <-time.After(time.Millisecond) {
		if time.Now().After(limit) {
			b.Fatal("got too few links")
		}
	}
	return nodes
}

func stopCell(b *testing.B, nodes []*benchNode) {
	var stopping sync.WaitGroup
	for _, n := range nodes {
		stopping.Go(func() { n.Close(b.Context()) })
	}
	stopping.Wait()
}

// wireBytes returns what all nodes have sent, with the headers of IP and UDP.
func wireBytes(nodes []*benchNode) (total uint64) {
	for _, n := range nodes {
		for _, k := range *n.Linker.links.Load() {
			stats := k.conn.ConnectionStats()
			total += stats.BytesSent + packetOverhead*stats.PacketsSent
		}
	}
	return total
}

// BenchmarkSlopeExchange measures sub-requests over one peer link that wait for their answers together; the
// processor time is that of both ends.
func BenchmarkSlopeExchange(b *testing.B) {
	authority := newAuthority(b, "authority")
	for _, size := range []int{1, 4, 16, 64, 256} {
		b.Run(fmt.Sprintf("requests=%d", size), func(b *testing.B) {
			nodes := benchCell(b, authority, 2)
			defer stopCell(b, nodes)
			request := subRequest("0197b8b4-5cf3-7c1e-9c53-2f0f3e5a7d11", 1, 150)
			used := estimator.ProcessorTime()
			sent := wireBytes(nodes)
			for b.Loop() {
				nodes[0].answers.Add(size)
				for range size {
					if err := nodes[0].Send("n001/1", request); err != nil {
						b.Fatal(err)
					}
				}
				nodes[0].answers.Wait()
			}
			b.ReportMetric(float64(estimator.ProcessorTime()-used)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(wireBytes(nodes)-sent)/float64(b.N), "wire-B/op")
		})
	}
}

// benchWindow is how long the traffic of a cell is measured: eight heartbeats or six keep-alives.
const benchWindow = 2 * time.Second

// beat sends the heartbeats of every node for a window, or nothing where it is zero.
func beat(nodes []*benchNode, interval time.Duration) {
	if interval == 0 {
		<-time.After(benchWindow)
		return
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for sequence := range uint64(benchWindow / interval) {
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
	nodes := benchCell(b, authority, members)
	defer stopCell(b, nodes)
	for range 2 {
		beat(nodes, 0) // path MTU discovery follows the handshake and sends a few packets of full size
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used, sent := estimator.ProcessorTime(), wireBytes(nodes)
	for b.Loop() {
		beat(nodes, interval)
	}
	seconds := benchWindow.Seconds() * float64(b.N) * float64(members)
	b.ReportMetric(float64(estimator.ProcessorTime()-used)/seconds/1000, "cpu-µs/s/node")
	b.ReportMetric(float64(wireBytes(nodes)-sent)/seconds, "wire-B/s/node")
	held := after.HeapAlloc + after.StackInuse - before.HeapAlloc - before.StackInuse
	b.ReportMetric(float64(held)/float64(members), "memory-B/node")
}

// BenchmarkSlopeCell measures the peer links of a cell on real sockets: without messages, so that only keep-alives
// pass, and with a heartbeat of each member to each other one every 250 ms. The links of a node are members - 1.
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
