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

// BenchmarkSubRequest measures one sub-request on the entry's path: choice, send, answer and merge of 10 hits.
func BenchmarkSubRequest(b *testing.B) {
	const hits = 10
	for _, shards := range []int{1, 50, 1200} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			f := newFixture(shards, 2, benchmarkKind, configurator.RoutingScatter)
			request := Request{
				Query:    broker.Query{RequestID: "r1", Limit: hits},
				Deadline: epoch.Add(200 * time.Millisecond),
			}
			answers := make([]broker.SubAnswer, shards)
			page := make([]broker.Hit, hits)
			for i := range page {
				page[i] = broker.Hit{ID: fmt.Sprint(i), Score: float64(hits - i)}
			}
			b.ReportAllocs()
			for n := 0; n < b.N; n += shards {
				s := f.session(uint64(n), request, epoch)
				actions := s.Start(epoch)
				for i, send := range actions.Sends {
					answers[i] = reply(send.Sub, page...)
				}
				for i := range answers {
					actions = s.Answer(epoch.Add(time.Millisecond), &answers[i])
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
				for j := range 10 {
					score := float64((i*7919 + j*104729) % 1000003)
					pages[i] = append(pages[i], broker.Hit{ID: fmt.Sprint(i, j), Score: score})
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				m := merger{limit: 10}
				for i := range pages {
					m.add("s", pages[i])
				}
				if got := len(m.result()); got != 10 {
					b.Fatalf("got %d hits, want 10", got)
				}
			}
		})
	}
}
