package dispatcher

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// closePoint is the point of the exchange at which the fake server closes the connection.
type closePoint int32

const (
	closeNever        closePoint = iota
	closeAfterAccept             // before reading anything
	closeAfterHeaders            // the body is not read
	closeAfterBody               // the request ran, no answer
	closeInHeader                // the request ran, part of the answer's header is sent
	closeInAnswer                // the request ran, part of the answer's body is sent
	closeWhenIdle                // the request ran and was answered, then the connection is closed
)

// fakeServer is a backend server on a raw TCP listener; it counts executions and open connections.
type fakeServer struct {
	listener   net.Listener
	closeAt    atomic.Int32
	executions atomic.Int32
	closed     chan struct{} // receives one value per closed connection
	blocking   atomic.Bool   // requests send to blocked, then wait for release before the answer
	blocked    chan struct{}
	release    chan struct{}

	mu            sync.Mutex
	open, maxOpen int
}

func newFakeServer(t testing.TB) *fakeServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{listener: listener, closed: make(chan struct{}, 1024),
		blocked: make(chan struct{}), release: make(chan struct{})}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			s.countOpen(1)
			go s.serve(socket)
		}
	}()
	return s
}

func (s *fakeServer) countOpen(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += change
	s.maxOpen = max(s.maxOpen, s.open)
}

func (s *fakeServer) serve(socket net.Conn) {
	defer func() {
		s.countOpen(-1)
		_ = socket.Close()
		s.closed <- struct{}{}
	}()
	reader := bufio.NewReader(socket)
	for closePoint(s.closeAt.Load()) != closeAfterAccept {
		request, err := http.ReadRequest(reader)
		if err != nil || closePoint(s.closeAt.Load()) == closeAfterHeaders {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		var search SearchRequest
		_ = json.Unmarshal(body, &search)
		s.executions.Add(1)
		if s.blocking.Load() {
			s.blocked <- struct{}{}
			<-s.release
		}
		answer, _ := json.Marshal(SearchAnswer{RequestID: search.RequestID, Shard: search.Shard,
			Snapshot: search.Snapshot, Partitioning: search.Partitioning, Attempt: search.Attempt, BootID: "b1"})
		header := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(answer))
		switch closePoint(s.closeAt.Load()) {
		case closeAfterBody:
			return
		case closeInHeader:
			_, _ = io.WriteString(socket, header[:12])
			return
		case closeInAnswer:
			_, _ = io.WriteString(socket, header+string(answer[:10]))
			return
		}
		_, _ = io.WriteString(socket, header+string(answer))
		if closePoint(s.closeAt.Load()) == closeWhenIdle {
			return
		}
	}
}

func newDispatcher(address net.Addr, connections int) *Dispatcher {
	d := New(DefaultOptions(), metrics.NewSet())
	d.SetTable(indexer.New(1, &configurator.Config{Servers: []configurator.Server{{
		Name: "a1", Address: netip.MustParseAddrPort(address.String()), Slots: 2, Connections: connections,
	}}}))
	return d
}

// keepIdle allows one idle connection, without opening it immediately as Retain does.
func (d *Dispatcher) keepIdle() {
	p := d.pool("a1")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.minIdle = 1
}

var sub = broker.SubRequest{RequestID: "r1", Shard: "s1", Server: "a1", Attempt: 1, Snapshot: 7, Partitioning: 1,
	Kind: "search", Body: []byte(`{"words":"tipped tyres"}`)}

// TestAtMostOnce guards against the outcome notRun for a request that ran, and against a second execution. It closes
// the connection at each point of the exchange, on new and on reused connections.
func TestAtMostOnce(t *testing.T) {
	tests := []struct {
		name       string
		closeAt    closePoint
		reused     bool
		want       broker.Outcome
		reason     broker.Reason
		executions int32 // expected executions, without that of the first request on a reused connection
	}{
		{"whole", closeNever, false, broker.OutcomeAnswered, "", 1},
		{"whole, reused", closeNever, true, broker.OutcomeAnswered, "", 1},
		{"after accept", closeAfterAccept, false, broker.OutcomeUnknown, broker.ReasonCrashed, 0},
		{"after headers", closeAfterHeaders, false, broker.OutcomeUnknown, broker.ReasonCrashed, 0},
		{"after headers, reused", closeAfterHeaders, true, broker.OutcomeUnknown, broker.ReasonCrashed, 0},
		{"after body", closeAfterBody, false, broker.OutcomeUnknown, broker.ReasonCrashed, 1},
		{"after body, reused", closeAfterBody, true, broker.OutcomeUnknown, broker.ReasonCrashed, 1},
		{"in header", closeInHeader, false, broker.OutcomeUnknown, broker.ReasonCrashed, 1},
		{"in answer", closeInAnswer, false, broker.OutcomeUnknown, broker.ReasonCrashed, 1},
		{"in answer, reused", closeInAnswer, true, broker.OutcomeUnknown, broker.ReasonCrashed, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFakeServer(t)
			d := newDispatcher(s.listener.Addr(), 2)
			d.keepIdle()
			if tt.reused {
				d.Send(t.Context(), broker.BackendRequest{Sub: sub})
				s.executions.Store(0)
			}
			s.closeAt.Store(int32(tt.closeAt))
			got := d.Send(t.Context(), broker.BackendRequest{Sub: sub})
			if got.Answer.Outcome != tt.want || got.Answer.Reason != tt.reason || got.Reused != tt.reused {
				t.Errorf("got %v %q reused %v, want %v %q", got.Answer.Outcome, got.Answer.Reason, got.Reused,
					tt.want, tt.reason)
			}
			if got := s.executions.Load(); got != tt.executions {
				t.Errorf("executions: got %d, want %d", got, tt.executions)
			}
		})
	}
}

// TestNotRun guards against an outcome other than notRun, above all outcomeUnknown, and against a request that is sent,
// where no byte can have left this host.
func TestNotRun(t *testing.T) {
	s := newFakeServer(t)
	d := newDispatcher(s.listener.Addr(), 1)
	notPermitted := d.Send(t.Context(), broker.BackendRequest{Sub: sub, Permit: func() bool { return false }})
	cancelledCtx, cancel := context.WithCancel(t.Context())
	cancel()
	cancelled := d.Send(cancelledCtx, broker.BackendRequest{Sub: sub})

	d.keepIdle()
	s.closeAt.Store(int32(closeWhenIdle))
	d.Send(t.Context(), broker.BackendRequest{Sub: sub})
	for range 2 { // the connection of the request that was not permitted, and the one closed while idle
		<-s.closed
	}
	s.closeAt.Store(int32(closeNever))
	s.executions.Store(0)
	replaced := d.Send(t.Context(), broker.BackendRequest{Sub: sub})
	executions := s.executions.Load()

	s.blocking.Store(true)
	answered := make(chan struct{})
	go func() {
		d.Send(t.Context(), broker.BackendRequest{Sub: sub})
		close(answered)
	}()
	<-s.blocked
	shortCtx, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	limited := d.Send(shortCtx, broker.BackendRequest{Sub: sub})
	close(s.release)
	<-answered
	_ = s.listener.Close()
	refused := d.Send(t.Context(), broker.BackendRequest{Sub: sub, Fresh: true})
	_, err := d.Status(t.Context(), "a1", netip.AddrPort{})

	tests := []struct {
		name   string
		got    broker.BackendResult
		want   broker.Outcome
		reason broker.Reason
	}{
		{"not permitted by the lease", notPermitted, broker.OutcomeNotRun, broker.ReasonLeaseLapsed},
		{"cancelled before the request", cancelled, broker.OutcomeNotRun, broker.ReasonCancelled},
		{"idle connection closed by the server", replaced, broker.OutcomeAnswered, ""},
		{"all connections in use", limited, broker.OutcomeNotRun, broker.ReasonConnectionLimit},
		{"refused connection", refused, broker.OutcomeNotRun, broker.ReasonUnreachable},
	}
	for _, tt := range tests {
		if tt.got.Answer.Outcome != tt.want || tt.got.Answer.Reason != tt.reason {
			t.Errorf("%s: got %v %q, want %v %q", tt.name, tt.got.Answer.Outcome, tt.got.Answer.Reason, tt.want, tt.reason)
		}
	}
	if executions != 1 {
		t.Errorf("executions after the requests that were not permitted or cancelled: got %d, want 1", executions)
	}
	if err == nil || kindOf(err) != KindUnreachable {
		t.Errorf("status of a stopped server: got %v, want kind %s", err, KindUnreachable)
	}
}

// TestInterpret guards against the outcome notRun for answers that do not state it, and against accepting the answer to
// another attempt.
func TestInterpret(t *testing.T) {
	identity := `"requestId":"r1","shard":"s1","snapshot":7,"partitioning":1,`
	tests := []struct {
		status int
		body   string
		want   broker.Outcome
		reason broker.Reason
	}{
		{200, `{` + identity + `"attempt":1,"hits":[]}`, broker.OutcomeAnswered, ""},
		{200, `{` + identity + `"attempt":2,"hits":[]}`, broker.OutcomeUnknown, broker.ReasonMismatch},
		{200, `{` + identity + `"attempt":1,"hits":[`, broker.OutcomeUnknown, broker.ReasonBackendError},
		{503, `{"notStarted":true,"reason":"shed"}`, broker.OutcomeNotRun, broker.ReasonShed},
		{503, `{"notStarted":true,"reason":"draining"}`, broker.OutcomeNotRun, broker.ReasonDraining},
		{503, `{"notStarted":true,"reason":"cold"}`, broker.OutcomeNotRun, broker.ReasonCold},
		{503, `{"notStarted":true,"reason":"quarantined"}`, broker.OutcomeNotRun, broker.ReasonShed},
		{503, `{"reason":"shed"}`, broker.OutcomeFailed, broker.ReasonBackendError},
		{503, `busy`, broker.OutcomeFailed, broker.ReasonBackendError},
		{409, `{"notStarted":true,"reason":"snapshotMissing"}`, broker.OutcomeNotRun, broker.ReasonSnapshotMissing},
		{409, `{"notStarted":true,"reason":"stalePartitioning"}`, broker.OutcomeNotRun, broker.ReasonStalePartition},
		{500, `{"notStarted":true,"reason":"shed"}`, broker.OutcomeFailed, broker.ReasonBackendError},
	}
	for _, tt := range tests {
		got := interpret(&sub, &reply{status: tt.status, body: []byte(tt.body)}).Answer
		if got.Outcome != tt.want || got.Reason != tt.reason {
			t.Errorf("%d %s: got %v %q, want %v %q", tt.status, tt.body, got.Outcome, got.Reason, tt.want, tt.reason)
		}
	}
}

// TestConnectionCap guards against more connections than the limit while requests are cancelled, ask for new
// connections, and run concurrently with the opening and closing of idle connections.
func TestConnectionCap(t *testing.T) {
	const limit = 4
	s := newFakeServer(t)
	d := newDispatcher(s.listener.Addr(), limit)
	d.Retain("a1", limit)
	var workers sync.WaitGroup
	for worker := range 16 {
		workers.Go(func() {
			for i := range 60 {
				ctx, cancel := context.WithCancel(t.Context())
				if (worker+i)%3 == 0 {
					go cancel() // at any point of the exchange
				}
				d.Send(ctx, broker.BackendRequest{Sub: sub, Fresh: (worker+i)%5 == 0})
				cancel()
				if i == 30 && worker == 0 {
					d.Retain("a1", 0)
					d.Retain("a1", 2)
				}
			}
		})
	}
	workers.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.maxOpen > limit || s.maxOpen < 2 {
		t.Errorf("maximum of open connections: got %d, want 2 to %d", s.maxOpen, limit)
	}
	if got := s.executions.Load(); got < 400 {
		t.Errorf("executions: got %d, want at least 400", got)
	}
}

// TestCancelHoldsSlot guards against Send returning for a cancelled request while the server still runs it. The owner
// then gave the slot to another request, and a server with two slots ran three requests at once.
func TestCancelHoldsSlot(t *testing.T) {
	server := newFakeServer(t)
	server.blocking.Store(true)
	d := newDispatcher(server.listener.Addr(), 4)
	ctx, cancel := context.WithCancel(t.Context())
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		d.Send(ctx, broker.BackendRequest{Sub: broker.SubRequest{RequestID: "r", Server: "a1"}})
	}()
	<-server.blocked
	cancelled := time.Now()
	cancel()
	select {
	case <-returned:
		if got, want := time.Since(cancelled), closeTimeout; got < want {
			t.Errorf("Send returned while the server ran the request: got after %v, want after the close or %v", got, want)
		}
	case <-time.After(closeTimeout / 5):
	}
	close(server.release)
	<-returned
}

// BenchmarkSend measures one request on a reused loopback connection.
func BenchmarkSend(b *testing.B) {
	s := newFakeServer(b)
	d := newDispatcher(s.listener.Addr(), 8)
	d.Retain("a1", 4)
	b.ReportAllocs()
	for b.Loop() {
		if got := d.Send(b.Context(), broker.BackendRequest{Sub: sub}); got.Answer.Outcome != broker.OutcomeAnswered {
			b.Fatalf("got %v %q", got.Answer.Outcome, got.Answer.Reason)
		}
	}
}
