package joiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// counts returns all calls that the store has got, and those of them that tried to write.
func (s *fakeStore) counts() (calls, puts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.puts
}

// report states the calls since calls and puts, and the time since begin.
func (s *fakeStore) report(b *testing.B, name string, calls, puts int, begin time.Time) {
	b.ReportMetric(time.Since(begin).Seconds(), name+"-s")
	allCalls, allPuts := s.counts()
	b.ReportMetric(float64(allCalls-calls), name+"-calls")
	b.ReportMetric(float64(allPuts-puts), name+"-writes")
}

// awaitCell waits until exactly one of nodes may dispatch to each server and all are on one list of them.
func awaitCell(b *testing.B, nodes []*node) {
	ready := func() bool {
		for _, n := range nodes {
			if len(n.joiner.Members()) != len(nodes) || n.joiner.Generation() != nodes[0].joiner.Generation() {
				return false
			}
		}
		_, one, _ := owners(nodes)
		return one == serverCount
	}
	for limit := time.Now().Add(time.Minute); !ready(); <-time.After(10 * time.Millisecond) {
		if time.Now().After(limit) {
			b.Fatal("got no complete cell")
		}
	}
}

// BenchmarkSlopeStart measures the store calls of a cell whose members all start at once, and of one planned restart
// in it, until all servers have an owner.
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
				store.report(b, "start", 0, 0, begin)
				calls, puts := store.counts()
				begin = time.Now()
				if err := nodes[0].joiner.Leave(b.Context()); err != nil {
					b.Fatal(err)
				}
				nodes[0].stop()
				nodes[0] = w.start(b, store, "n0", 2, 0)
				awaitCell(b, nodes)
				store.report(b, "restart", calls, puts, begin)
				for _, n := range nodes {
					n.stop()
				}
			}
		})
	}
}
