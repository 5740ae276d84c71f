package encoder

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

var batchSizes = []int{1, 4, 16, 64, 256}

func sampleRequest() broker.Message {
	return broker.Message{SubRequest: &broker.SubRequest{
		RequestID: "0197b8b4-5cf3-7c1e-9c53-2f0f3e5a7d11", Service: "quotation-search", Shard: "q-017",
		Server: "q-017-b", Attempt: 1, Snapshot: 4711, Partitioning: 3, Kind: "quotation", Idempotent: true,
		Priority: 5, Remaining: 180 * time.Millisecond, Fingerprint: 0x9e3779b97f4a7c15, Limit: 10,
		Body:        []byte(`{"terms":["bevel","gear","m2.5"],"limit":10}`),
		TraceParent: "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", Revision: 812,
	}}
}

func sampleAnswer(hits int) broker.Message {
	answer := &broker.SubAnswer{
		RequestID: "0197b8b4-5cf3-7c1e-9c53-2f0f3e5a7d11", Shard: "q-017", Server: "q-017-b", Attempt: 1,
		Snapshot: 4711, Partitioning: 3, Outcome: broker.OutcomeAnswered, Queued: 2, Latency: 4 * time.Millisecond,
	}
	for i := range hits {
		answer.Hits = append(answer.Hits, broker.Hit{
			ID: fmt.Sprintf("doc-%07d", 48_000+i), Score: 0.87431 - float64(i)/97, Shard: "q-017",
			Fields: []byte(`{"title":"Bevel gear pair m2.5 z17/34","year":2024}`),
		})
	}
	return broker.Message{SubAnswer: answer}
}

func benchmarkEncode(b *testing.B, m broker.Message, size int) {
	var buf bytes.Buffer
	var batch Batch
	b.ReportAllocs()
	for b.Loop() {
		batch.Reset()
		for range size {
			buf.Reset()
			if _, err := AppendMessage(&buf, &m); err != nil {
				b.Fatal(err)
			}
			batch.Add(buf.Bytes())
		}
	}
	reportPerMessage(b, size, batch.Len())
}

func benchmarkDecode(b *testing.B, m broker.Message, size int) {
	messages := make([]broker.Message, size)
	for i := range messages {
		messages[i] = m
	}
	encoded := encodeAll(b, messages...)
	source := bytes.NewReader(encoded)
	reader := NewReader(source)
	b.ReportAllocs()
	for b.Loop() {
		source.Reset(encoded)
		for {
			frame, err := reader.Next()
			if err != nil {
				break
			}
			if err := Decode(frame, func(Kind, int, broker.Message) {}); err != nil {
				b.Fatal(err)
			}
		}
	}
	reportPerMessage(b, size, len(encoded))
}

func reportPerMessage(b *testing.B, size, totalBytes int) {
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(size), "ns/message")
	b.ReportMetric(float64(totalBytes)/float64(size), "B/message")
}

func BenchmarkSlopeSubRequest(b *testing.B) {
	for _, size := range batchSizes {
		b.Run(fmt.Sprintf("encode/batch=%d", size), func(b *testing.B) { benchmarkEncode(b, sampleRequest(), size) })
		b.Run(fmt.Sprintf("decode/batch=%d", size), func(b *testing.B) { benchmarkDecode(b, sampleRequest(), size) })
	}
}

func BenchmarkSlopeSubAnswer(b *testing.B) {
	for _, hits := range []int{0, 1, 3, 10, 30} {
		b.Run(fmt.Sprintf("encode/hits=%d", hits), func(b *testing.B) { benchmarkEncode(b, sampleAnswer(hits), 16) })
		b.Run(fmt.Sprintf("decode/hits=%d", hits), func(b *testing.B) { benchmarkDecode(b, sampleAnswer(hits), 16) })
	}
}
