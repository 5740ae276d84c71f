package tracker

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// benchTable returns a table with two servers per shard and the shards distributed evenly over services.
func benchTable(revision broker.Revision, servers, services int) *indexer.Table {
	config := &configurator.Config{Zones: []configurator.Zone{{Name: "z", State: configurator.ZoneIn}}}
	for i := range services {
		name := fmt.Sprint("service", i)
		config.Services = append(config.Services, configurator.Service{Name: name, Routing: configurator.RoutingScatter})
		config.RequestKinds = append(config.RequestKinds, configurator.RequestKind{
			Name: name, Service: name, Idempotent: true, HedgeQuantile: 0.95,
		})
	}
	for i := range servers / 2 {
		shard := configurator.Shard{Name: fmt.Sprint("s", i)}
		for _, replica := range []string{"a", "b"} {
			shard.Servers = append(shard.Servers, shard.Name+replica)
			config.Servers = append(config.Servers, configurator.Server{Name: shard.Name + replica, Zone: "z"})
		}
		service := &config.Services[i%services]
		service.Shards = append(service.Shards, shard)
	}
	return indexer.New(revision, config)
}

// fill announces every server and records enough latencies for quantile estimates.
func fill(t *Tracker) {
	for i := range t.View().Table.Config.Servers {
		name := broker.ServerName(t.View().Table.Config.Servers[i].Name)
		t.Apply(broker.ServerState{Server: name, Phase: broker.PhaseWarm, Owner: "n/1", Sequence: 1,
			Snapshots: []broker.Snapshot{5, 4}, BootID: string(name) + "/1"})
	}
	for _, service := range t.View().services {
		for i := range service.Tracked {
			for sample := range 2 * minSamples {
				service.Tracked[i].Latency.Record(time.Unix(0, 0), time.Duration(sample)*time.Millisecond)
			}
		}
	}
}

func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func benchmarkAdopt(b *testing.B, servers, services int) {
	before := heap()
	t := New()
	t.Adopt(benchTable(1, servers, services))
	fill(t)
	held := heap() - before
	next := benchTable(2, servers, services)
	for b.Loop() {
		t.Adopt(next)
	}
	b.ReportMetric(held, "heap-B")
	runtime.KeepAlive(t)
}

// BenchmarkSlopeAdopt measures the adoption of a table, and the heap of the table and its live records.
func BenchmarkSlopeAdopt(b *testing.B) {
	for _, servers := range []int{60, 240, 960, 2800} {
		b.Run(fmt.Sprintf("services4/servers=%d", servers), func(b *testing.B) { benchmarkAdopt(b, servers, 4) })
	}
	for _, services := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("servers960/services=%d", services), func(b *testing.B) { benchmarkAdopt(b, 960, services) })
	}
}

// BenchmarkSlopeLatency measures the recording of one shard's latency.
func BenchmarkSlopeLatency(b *testing.B) {
	for _, quantiles := range []int{1, 2, 3, 4} {
		b.Run(fmt.Sprintf("quantiles=%d", quantiles), func(b *testing.B) {
			l := newLatency([]float64{0.95, 0.9, 0.99, 0.5}[:quantiles])
			now := time.Unix(0, 0)
			for b.Loop() {
				now = now.Add(time.Millisecond)
				l.Record(now, 5*time.Millisecond)
			}
		})
	}
}
