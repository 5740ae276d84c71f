package scatterer

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

var benchKind = configurator.RequestKind{
	Idempotent: true, Deadline: configurator.Duration(200 * time.Millisecond),
	HedgeQuantile: 0.95, HedgeBudget: 0.05, RetryBudget: 0.1,
}

func benchRequest(now time.Time) Request {
	return Request{Seen: true, Deadline: now.Add(200 * time.Millisecond), Query: broker.Query{RequestID: "r", Limit: 10}}
}

func benchHits(shard int) []broker.Hit {
	hits := make([]broker.Hit, 3)
	for i := range hits {
		hits[i] = broker.Hit{ID: fmt.Sprintf("doc-%d-%d", shard, i), Score: float64((shard*7919 + i*104729) % 10007)}
	}
	return hits
}

// BenchmarkSlopeSession measures one query with three hits from each shard, without messaging.
func BenchmarkSlopeSession(b *testing.B) {
	for _, shards := range []int{50, 150, 400, 800, 1200} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			f := newFixture(shards, 2, benchKind, configurator.RoutingScatter)
			answers := make([]broker.SubAnswer, shards)
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				s := f.session(1, benchRequest(now), now)
				for i, send := range s.Start(now).Sends {
					answers[i] = NotSent(send.Sub)
					answers[i].Outcome, answers[i].Reason = broker.OutcomeAnswered, broker.ReasonNone
				}
				for i := range answers {
					s.Answer(now.Add(time.Duration(i)*time.Microsecond), &answers[i])
				}
				if !s.finished || s.answered != shards {
					b.Fatalf("got %d answers of %d", s.answered, shards)
				}
			}
		})
	}
}

// BenchmarkSlopePlan measures only planning and the first attempts, with two servers per shard.
func BenchmarkSlopePlan(b *testing.B) {
	for _, servers := range []int{60, 240, 960, 2800} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			f := newFixture(servers/2, 2, benchKind, configurator.RoutingScatter)
			for b.Loop() {
				f.session(1, benchRequest(epoch), epoch).Start(epoch)
			}
		})
	}
}

// BenchmarkSlopeMerge measures merging three hits from each shard into the best ten.
func BenchmarkSlopeMerge(b *testing.B) {
	for _, shards := range []int{50, 150, 400, 800, 1200} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			hits := make([][]broker.Hit, shards)
			for i := range hits {
				hits[i] = benchHits(i)
			}
			for b.Loop() {
				m := merger{limit: 10}
				for i := range hits {
					m.add("s", hits[i])
				}
				m.result()
			}
		})
	}
}
