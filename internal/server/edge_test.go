package server_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/transport/linker"
	"github.com/yuccarock/yuccarock/internal/server"
	"github.com/yuccarock/yuccarock/internal/standin/certifier"
	"github.com/yuccarock/yuccarock/internal/standin/testbed"
	"github.com/yuccarock/yuccarock/internal/tracer"
	"github.com/yuccarock/yuccarock/pkg/caller"
)

// post sends a query body to an entry and returns the HTTP status and the kind of the typed error, if any.
func (f *fixture) post(entry netip.AddrPort, header, value string, body []byte) (status int, kind string) {
	f.Helper()
	ctx, cancel := context.WithTimeout(f.Context(), waitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.String()+"/v1/query",
		bytes.NewReader(body))
	if err != nil {
		f.Fatal(err)
	}
	request.Header.Set(header, value)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.Errorf("no HTTP response: %v", err)
		return 0, ""
	}
	defer response.Body.Close()
	var answer struct {
		Error struct {
			Kind string `json:"kind"`
		} `json:"error"`
	}
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return response.StatusCode, answer.Error.Kind
}

// TestTraces guards against hops without a span, spans with the wrong parent, and requests to backend servers without a
// trace parent.
func TestTraces(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	f := startFixture(t, func(s *testbed.Settings) {
		s.Tracer = func(node string) *tracer.Tracer {
			provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans),
				sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.NeverSample())))
			return tracer.NewFromProvider(provider, provider.Shutdown)
		}
	})
	f.waitUntilClaimable()
	if got := len(spans.GetSpans()); got != 0 {
		t.Errorf("spans of unsampled queries: got %d, want 0", got)
	}
	const traceID, parentID = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
	body, _ := json.Marshal(testbed.Search(1))
	for _, entry := range f.Entries() {
		if status, _ := f.post(entry, "Traceparent", "00-"+traceID+"-"+parentID+"-01", body); status != http.StatusOK {
			t.Fatalf("got status %d, want 200", status)
		}
	}
	shards := f.Settings.SearchShards
	f.waitFor(waitTimeout, "a span of each dispatch", func() bool {
		return countSpans(spans, "owner.dispatch") >= 3*shards
	})
	// With hedges there are more dispatches, and a span is exported when it ends, after its request has arrived.
	f.waitFor(waitTimeout, "the span of the last request at each server", func() bool {
		ended := make(map[string]bool)
		for _, span := range spans.GetSpans() {
			ended[span.SpanContext.SpanID().String()] = true
		}
		for _, backend := range f.Backends {
			if parts := strings.Split(backend.Record().LastTraceParent, "-"); len(parts) == 4 && !ended[parts[2]] {
				return false
			}
		}
		return true
	})
	ids := make(map[string]tracetest.SpanStub)
	for _, span := range spans.GetSpans() {
		ids[span.SpanContext.SpanID().String()] = span
	}
	parents := map[string]string{"entry.subRequest": "entry.query", "owner.dispatch": "entry.subRequest"}
	for _, span := range ids {
		parent := span.Parent.SpanID().String()
		switch {
		case span.SpanContext.TraceID().String() != traceID:
			t.Errorf("%s: got trace %s, want %s", span.Name, span.SpanContext.TraceID(), traceID)
		case span.Name == "entry.query" && parent != parentID:
			t.Errorf("%s: got parent %s, want the caller's span", span.Name, parent)
		case span.Name != "entry.query" && ids[parent].Name != parents[span.Name]:
			t.Errorf("%s: got parent %q, want %q", span.Name, ids[parent].Name, parents[span.Name])
		}
	}
	if got := countSpans(spans, "entry.query"); got != 3 {
		t.Errorf("entry spans: got %d, want 3", got)
	}
	withParent := 0
	for name, backend := range f.Backends {
		parts := strings.Split(backend.Record().LastTraceParent, "-")
		if len(parts) != 4 {
			continue
		}
		withParent++
		span := ids[parts[2]]
		if span.Name != "owner.dispatch" || attributeOf(span, "server") != string(name) {
			t.Errorf("%s: got parent %q of server %q, want the dispatch span of this server", name, span.Name,
				attributeOf(span, "server"))
		}
	}
	if withParent < shards {
		t.Errorf("servers that received a trace parent: got %d, want at least %d", withParent, shards)
	}
}

func countSpans(spans *tracetest.InMemoryExporter, name string) (count int) {
	for _, span := range spans.GetSpans() {
		if span.Name == name && span.SpanKind == trace.SpanKindInternal {
			count++
		}
	}
	return count
}

func attributeOf(span tracetest.SpanStub, key attribute.Key) string {
	for _, a := range span.Attributes {
		if a.Key == key {
			return a.Value.AsString()
		}
	}
	return ""
}

// linkCounter is a peer handler that counts links.
type linkCounter struct{ links atomic.Int64 }

func (c *linkCounter) HandleMessage(broker.NodeID, broker.Message) {}
func (c *linkCounter) LinkUp(broker.NodeID)                        { c.links.Add(1) }
func (c *linkCounter) LinkDown(broker.NodeID)                      {}

// TestForeignPeer guards against accepting a peer whose certificate is from another authority, and against queries that
// fail because it tries.
func TestForeignPeer(t *testing.T) {
	f := startFixture(t, nil)
	stop := f.startLoad(0)
	authority, err := certifier.New("other")
	if err != nil {
		t.Fatal(err)
	}
	keys, err := authority.Issue("a1")
	if err != nil {
		t.Fatal(err)
	}
	identity, err := linker.ParseIdentity(keys.CertificatePEM, keys.KeyPEM, f.Authority.PEM())
	if err != nil {
		t.Fatal(err)
	}
	handler := &linkCounter{}
	foreign := linker.New(broker.Member{ID: "a1/foreign", Zone: "a"}, linker.NewMemoryCredentials(identity), handler,
		server.Clock{}, metrics.NewSet(), slog.New(slog.DiscardHandler), linker.Options{})
	if err := foreign.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	defer foreign.Close(t.Context())
	foreign.SetPeers(f.Node("b1").Server.Status().Members)
	for _, n := range f.Nodes() {
		f.waitFor(waitTimeout, "handshake refused", func() bool {
			return n.Counter(`yuccarock_peer_handshake_failures_total{direction="in"}`) > 0
		})
	}
	f.waitForQueries(20)
	if got := handler.links.Load(); got != 0 {
		t.Errorf("links of the foreign peer: got %d, want 0", got)
	}
	f.wantAnswers(stop(), tolerateNone)
}

// TestMalformedInput guards against malformed requests that are accepted, hang the connection or are refused without a
// machine-readable reason.
func TestMalformedInput(t *testing.T) {
	f := startFixture(t, nil)
	entry := f.Entries()[0]
	query := func(change func(*caller.Query)) string {
		q := testbed.Report(1)
		change(&q)
		body, _ := json.Marshal(q)
		return string(body)
	}
	good := query(func(*caller.Query) {})
	tests := []struct {
		name, header, value, body string
		status                    int
		kind                      string
	}{
		{"not JSON", "X", "", "tyres", http.StatusBadRequest, "invalid"},
		{"truncated", "X", "", good[:len(good)-9], http.StatusBadRequest, "invalid"},
		{"second value", "X", "", good + "{}", http.StatusBadRequest, "invalid"},
		{"unknown field", "X", "", strings.Replace(good, "{", `{"shard":"1",`, 1), http.StatusBadRequest, "invalid"},
		{"huge body", "X", "", good[:len(good)-1] + `,"key":"` + strings.Repeat("x", 2<<20) + `"}`,
			http.StatusRequestEntityTooLarge, "invalid"},
		// net/http answers this request itself, without a typed body.
		{"huge header", "X", strings.Repeat("x", 64<<10), good, http.StatusRequestHeaderFieldsTooLarge, ""},
		{"no request ID", "X", "", query(func(q *caller.Query) { q.RequestID = "" }), http.StatusBadRequest, "invalid"},
		{"long request ID", "X", "", query(func(q *caller.Query) { q.RequestID = strings.Repeat("x", 200) }),
			http.StatusBadRequest, "invalid"},
		{"ID that is not a UUID", "X", "", query(func(q *caller.Query) { q.RequestID = "7" }), http.StatusBadRequest,
			"invalid"},
		{"ID without a time", "X", "", query(func(q *caller.Query) { q.RequestID = uuid.NewString() }),
			http.StatusBadRequest, "invalid"},
		{"unknown kind", "X", "", query(func(q *caller.Query) { q.Kind = "no" }), http.StatusBadRequest, "invalid"},
		{"negative limit", "X", "", query(func(q *caller.Query) { q.Limit = -1 }), http.StatusBadRequest, "invalid"},
		{"timeout", "Yuccarock-Timeout", "soon", good, http.StatusBadRequest, "invalid"},
	}
	for _, test := range tests {
		if status, kind := f.post(entry, test.header, test.value, []byte(test.body)); status != test.status ||
			kind != test.kind {
			t.Errorf("%s: got %d %q, want %d %q", test.name, status, kind, test.status, test.kind)
		}
	}
}

// TestSlowCaller guards against callers that keep a connection open without completing a request.
func TestSlowCaller(t *testing.T) {
	f := startFixture(t, nil)
	for _, text := range []string{"POST /v1/query HTTP/1.1\r\nHost: x\r\n", "POST /v1/query HTTP/1.1\r\nHost: x\r\n" +
		"Content-Length: 100\r\n\r\n{", ""} {
		t.Run(fmt.Sprint(len(text)), func(t *testing.T) {
			t.Parallel()
			socket, err := net.Dial("tcp", f.Entries()[0].String())
			if err != nil {
				t.Fatal(err)
			}
			defer socket.Close()
			if _, err := io.WriteString(socket, text); err != nil {
				t.Fatal(err)
			}
			_ = socket.SetReadDeadline(time.Now().Add(waitTimeout))
			answer, err := io.ReadAll(socket)
			if err != nil {
				t.Errorf("the connection is still open after %s: %v", waitTimeout, err)
			}
			if len(answer) > 0 && !strings.HasPrefix(string(answer), "HTTP/1.1 4") {
				t.Errorf("got %q, want a 4xx or none", answer)
			}
		})
	}
}
