package joiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// counts returns the number of all calls to the store, and of the write attempts among them.
func (s *fakeStore) counts() (calls, puts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.puts
}

// reportCalls reports the time since begin, and the calls and writes beyond the given counts.
func (s *fakeStore) reportCalls(b *testing.B, name string, calls, puts int, begin time.Time) {
	b.ReportMetric(time.Since(begin).Seconds(), name+"-s")
	allCalls, allPuts := s.counts()
	b.ReportMetric(float64(allCalls-calls), name+"-calls")
	b.ReportMetric(float64(allPuts-puts), name+"-writes")
}

// awaitCell waits until all nodes are in one member list and exactly one of them may dispatch to each server.
func awaitCell(b *testing.B, nodes []*node) {
	ready := func() bool {
		for _, n := range nodes {
			if len(n.joiner.Members()) != len(nodes) || n.joiner.Generation() != nodes[0].joiner.Generation() {
				return false
			}
		}
		_, one, _ := countOwners(nodes)
		return one == serverCount
	}
	for limit := time.Now().Add(time.Minute); !ready(); <-time.After(10 * time.Millisecond) {
		if time.Now().After(limit) {
			b.Fatal("got no complete cell within 1 min")
		}
	}
}

// BenchmarkSlopeStart measures the store calls until all servers have an owner: for a cell whose members all start at
// once, and for the planned restart of one member.
func BenchmarkSlopeStart(b *testing.B) {
	for _, members := range []int{3, 5, 7, 9, 20} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for b.Loop() {
				store := newFakeStore()
				store.objects[ConfigKey] = broker.Object{Key: ConfigKey, Version: 1, Value: []byte("first")}
				w := newNetwork()
				nodes := make([]*node, members)
				begin := time.Now()
				for i := range nodes {
					nodes[i] = w.start(b, store, fmt.Sprintf("n%d", i), 1, i)
				}
				awaitCell(b, nodes)
				store.reportCalls(b, "start", 0, 0, begin)
				calls, puts := store.counts()
				begin = time.Now()
				if err := nodes[0].joiner.Leave(b.Context()); err != nil {
					b.Fatal(err)
				}
				nodes[0].stop()
				nodes[0] = w.start(b, store, "n0", 2, 0)
				awaitCell(b, nodes)
				store.reportCalls(b, "restart", calls, puts, begin)
				for _, n := range nodes {
					n.stop()
				}
			}
		})
	}
}
