package owner

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/internal/estimator"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// BenchmarkHandle measures one sub-request to a warm server without I/O.
func BenchmarkHandle(b *testing.B) {
	h := newHarness(&instantBackend{}, nil)
	h.SetTable(table(configurator.ZoneIn, netip.AddrPort{}, configurator.ColdStart{Concurrency: 2}))
	h.Adopt("a1", &broker.ServerState{}, true)
	h.Wait()
	sub := request("a1", 1, 5)
	b.ReportAllocs()
	for b.Loop() {
		if got := h.Handle(b.Context(), sub); got.Outcome != broker.OutcomeAnswered {
			b.Fatalf("got %v %q", got.Outcome, got.Reason)
		}
	}
}

// BenchmarkSlopeSubmit measures sub-requests that arrive together, as from a peer link, without I/O.
func BenchmarkSlopeSubmit(b *testing.B) {
	for _, size := range []int{1, 4, 16, 64, 256} {
		b.Run(fmt.Sprintf("requests=%d", size), func(b *testing.B) {
			h := newHarness(&instantBackend{}, nil)
			h.SetTable(table(configurator.ZoneIn, netip.AddrPort{}, configurator.ColdStart{Concurrency: 2}))
			names := []broker.ServerName{"a1", "a2", "a3", "a4"}
			for _, name := range names {
				h.Adopt(name, &broker.ServerState{}, true)
			}
			h.Wait()
			var answered sync.WaitGroup
			reply := func(broker.SubAnswer) { answered.Done() }
			used := estimator.ProcessorTime()
			b.ReportAllocs()
			for b.Loop() {
				answered.Add(size)
				for i := range size {
					sub := request(names[i%len(names)], 1, 5)
					sub.Attempt = uint32(i)
					h.Submit(sub, reply)
				}
				answered.Wait()
			}
			b.ReportMetric(float64(estimator.ProcessorTime()-used)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkSlopeTick measures one Tick over all owned servers, which runs every 20 ms.
func BenchmarkSlopeTick(b *testing.B) {
	for _, servers := range []int{4, 28, 120, 480} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			config := &configurator.Config{Zones: []configurator.Zone{{Name: "z1", State: configurator.ZoneIn}}}
			h := newHarness(&instantBackend{}, nil)
			for i := range servers {
				config.Servers = append(config.Servers, configurator.Server{Name: fmt.Sprint(i), Zone: "z1", Slots: 2})
			}
			h.SetTable(indexer.New(1, config))
			for i := range servers {
				h.Adopt(broker.ServerName(fmt.Sprint(i)), &broker.ServerState{Phase: broker.PhaseWarm}, true)
			}
			h.Wait()
			for _, s := range h.serverSet.Load().servers {
				s.nextPoll = time.Now().Add(time.Hour) // no status probes: the dispatcher's benchmarks measure them
			}
			b.ReportAllocs()
			for b.Loop() {
				h.Tick()
			}
		})
	}
}
