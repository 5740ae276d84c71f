package dispatcher

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/estimator"
)

// BenchmarkSlopeSend measures concurrent exchanges, each on its own connection. The processor time includes that of the
// fake server.
func BenchmarkSlopeSend(b *testing.B) {
	for _, size := range []int{1, 4, 8, 16, 32} {
		b.Run(fmt.Sprintf("exchanges=%d", size), func(b *testing.B) {
			server := newFakeServer(b)
			d := newDispatcher(server.listener.Addr(), 2*size)
			d.Retain("a1", size)
			start := estimator.ProcessorTime()
			b.ReportAllocs()
			for b.Loop() {
				var exchanges sync.WaitGroup
				for range size {
					exchanges.Go(func() {
						got := d.Send(b.Context(), broker.BackendRequest{Sub: sub})
						if got.Answer.Outcome != broker.OutcomeAnswered {
							b.Errorf("got %v %q", got.Answer.Outcome, got.Answer.Reason)
						}
					})
				}
				exchanges.Wait()
			}
			b.ReportMetric(float64(estimator.ProcessorTime()-start)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkSlopeInterpret measures the decoding of an answer by its number of hits.
func BenchmarkSlopeInterpret(b *testing.B) {
	for _, count := range []int{0, 3, 10, 30} {
		b.Run(fmt.Sprintf("hits=%d", count), func(b *testing.B) {
			answer := SearchAnswer{RequestID: sub.RequestID, Shard: sub.Shard, Snapshot: sub.Snapshot,
				Partitioning: sub.Partitioning, Attempt: sub.Attempt, BootID: "b1"}
			for i := range count {
				answer.Hits = append(answer.Hits, broker.Hit{ID: fmt.Sprintf("doc-%07d", i), Score: 0.87431,
					Fields: []byte(`{"title":"Bevel gear pair m2.5 z17/34","year":2024}`)})
			}
			body, err := json.Marshal(answer)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				got := interpret(&sub, &reply{status: http.StatusOK, body: body})
				if got.Answer.Outcome != broker.OutcomeAnswered {
					b.Fatalf("got %v %q", got.Answer.Outcome, got.Answer.Reason)
				}
			}
			b.ReportMetric(float64(len(body)), "bytes")
		})
	}
}
