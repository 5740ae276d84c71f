package scatterer

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

var benchmarkKind = configurator.RequestKind{
	Idempotent: true, MinCoverage: 1, HedgeQuantile: 0.95, HedgeBudget: 0.05, RetryBudget: 0.1,
}

// page returns the hits of one shard.
func page(shard int) []broker.Hit {
	hits := make([]broker.Hit, 10)
	for i := range hits {
		hits[i] = broker.Hit{ID: fmt.Sprint(shard, i), Score: float64((shard*7919 + i*104729) % 1000003)}
	}
	return hits
}

// BenchmarkSubRequest measures one sub-request on the entry's path: choice, send, answer and merge of 10 hits.
func BenchmarkSubRequest(b *testing.B) {
	for _, shards := range []int{1, 50, 1200} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			f := newFixture(shards, 2, benchmarkKind, configurator.RoutingScatter)
			request := Request{Query: broker.Query{Limit: 10}, Deadline: epoch.Add(200 * time.Millisecond)}
			hits := page(0)
			b.ReportAllocs()
			for n := 0; n < b.N; n += shards {
				s := f.session(uint64(n), request, epoch)
				actions := s.Start(epoch)
				for _, send := range actions.Sends {
					answer := reply(send.Sub, hits...)
					actions = s.Answer(epoch.Add(time.Millisecond), &answer)
				}
				if actions.Finish == nil {
					b.Fatal("no answer")
				}
			}
		})
	}
}

// BenchmarkMerge measures the merge of one query's answers of 10 hits each.
func BenchmarkMerge(b *testing.B) {
	for _, shards := range []int{50, 200, 600, 1200} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			pages := make([][]broker.Hit, shards)
			for i := range pages {
				pages[i] = page(i)
			}
			b.ReportAllocs()
			for b.Loop() {
				m := merger{limit: 10}
				for i := range pages {
					m.add("s", pages[i])
				}
				m.result()
			}
		})
	}
}
