package encoder

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

const benchID = "0197b8b4-5cf3-7c1e-9c53-2f0f3e5a7d11"

func benchmark(b *testing.B, m broker.Message, size int) {
	var encoded bytes.Buffer
	var batch Batch
	run := func(name string, step func()) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				step()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size), "ns/message")
			b.ReportMetric(float64(batch.Len())/float64(size), "B/message")
		})
	}
	run("encode", func() {
		batch.Reset()
		for range size {
			encoded.Reset()
			AppendMessage(&encoded, &m)
			batch.Add(encoded.Bytes())
		}
	})
	source := bytes.NewReader(nil)
	reader := NewReader(source)
	run("decode", func() {
		source.Reset(batch.Bytes())
		for frame, err := reader.Next(); err == nil; frame, err = reader.Next() {
			Decode(frame, func(Kind, int, broker.Message) {})
		}
	})
}

func BenchmarkSubRequest(b *testing.B) {
	for _, size := range []int{1, 4, 16, 64, 256} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) {
			benchmark(b, broker.Message{SubRequest: &broker.SubRequest{
				RequestID: benchID, Service: "quotation-search", Shard: "q-017", Server: "q-017-b", Attempt: 1,
				Snapshot: 4711, Partitioning: 3, Kind: "quotation", Idempotent: true, Priority: 5,
				Remaining: 180 * time.Millisecond, Fingerprint: 0x9e3779b97f4a7c15, Limit: 10, Body: make([]byte, 44),
				TraceParent: "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", Revision: 812,
			}}, size)
		})
	}
}

func BenchmarkSubAnswer(b *testing.B) {
	hit := broker.Hit{ID: "doc-0048000", Score: 0.87431, Shard: "q-017", Fields: make([]byte, 51)}
	for _, hits := range []int{0, 3, 10} {
		b.Run(fmt.Sprintf("hits=%d", hits), func(b *testing.B) {
			benchmark(b, broker.Message{SubAnswer: &broker.SubAnswer{
				RequestID: benchID, Shard: "q-017", Server: "q-017-b", Attempt: 1, Snapshot: 4711, Partitioning: 3,
				Outcome: broker.OutcomeAnswered, Hits: slices.Repeat([]broker.Hit{hit}, hits),
				Queued: 2, Latency: 4 * time.Millisecond,
			}}, 16)
		})
	}
}
