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

// cut is the point of the exchange at which the stand-in closes the connection.
type cut int32

const (
	cutNever        cut = iota
	cutAfterAccept      // before reading anything
	cutAfterHeaders     // the body is not read
	cutAfterBody        // the request ran, no answer
	cutInHeader         // the request ran, part of the answer's header is sent
	cutInAnswer         // the request ran, part of the answer's body is sent
	cutWhenIdle         // the request ran and was answered, then the connection is closed
)

// standIn is a backend server at the level of bytes; it counts executions and open connections.
type standIn struct {
	listener   net.Listener
	cut        atomic.Int32
	executions atomic.Int32
	closed     chan struct{} // receives once for each closed connection
	holding    atomic.Bool   // answers send to held and wait for release
	held       chan struct{}
	release    chan struct{}

	mu         sync.Mutex
	open, most int
}

func newStandIn(t testing.TB) *standIn {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{listener: listener, closed: make(chan struct{}, 1024),
		held: make(chan struct{}), release: make(chan struct{})}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			s.count(1)
			go s.serve(socket)
		}
	}()
	return s
}

func (s *standIn) count(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += change
	s.most = max(s.most, s.open)
}

func (s *standIn) serve(socket net.Conn) {
	defer func() {
		s.count(-1)
		_ = socket.Close()
		s.closed <- struct{}{}
	}()
	reader := bufio.NewReader(socket)
	for cut(s.cut.Load()) != cutAfterAccept {
		request, err := http.ReadRequest(reader)
		if err != nil || cut(s.cut.Load()) == cutAfterHeaders {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		var search SearchRequest
		_ = json.Unmarshal(body, &search)
		s.executions.Add(1)
		if s.holding.Load() {
			s.held <- struct{}{}
			<-s.release
		}
		answer, _ := json.Marshal(SearchAnswer{RequestID: search.RequestID, Shard: search.Shard,
			Snapshot: search.Snapshot, Partitioning: search.Partitioning, Attempt: search.Attempt, BootID: "b1"})
		header := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(answer))
		switch cut(s.cut.Load()) {
		case cutAfterBody:
			return
		case cutInHeader:
			_, _ = io.WriteString(socket, header[:12])
			return
		case cutInAnswer:
			_, _ = io.WriteString(socket, header+string(answer[:10]))
			return
		}
		_, _ = io.WriteString(socket, header+string(answer))
		if cut(s.cut.Load()) == cutWhenIdle {
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

// keep lets connections become idle without opening any ahead at once.
func (d *Dispatcher) keep() {
	p := d.pool("a1")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready = 1
}

var sub = broker.SubRequest{RequestID: "r1", Shard: "s1", Server: "a1", Attempt: 1, Snapshot: 7, Partitioning: 1,
	Kind: "search", Body: []byte(`{"words":"tipped tyres"}`)}

// TestAtMostOnce guards against notRun for a request that ran and against a second execution, by cutting the
// connection at each point of the exchange, on new and on reused connections.
func TestAtMostOnce(t *testing.T) {
	tests := []struct {
		name    string
		cut     cut
		reused  bool
		want    broker.Outcome
		reason  broker.Reason
		execute int32 // executions of the request itself
	}{
		{"whole", cutNever, false, broker.OutcomeAnswered, "", 1},
		{"whole, reused", cutNever, true, broker.OutcomeAnswered, "", 1},
		{"after accept", cutAfterAccept, false, broker.OutcomeUnknown, broker.ReasonCrashed, 0},
		{"after headers", cutAfterHeaders, false, broker.OutcomeUnknown, broker.ReasonCrashed, 0},
		{"after headers, reused", cutAfterHeaders, true, broker.OutcomeUnknown, broker.ReasonCrashed, 0},
		{"after body", cutAfterBody, false, broker.OutcomeUnknown, broker.ReasonCrashed, 1},
		{"after body, reused", cutAfterBody, true, broker.OutcomeUnknown, broker.ReasonCrashed, 1},
		{"in header", cutInHeader, false, broker.OutcomeUnknown, broker.ReasonCrashed, 1},
		{"in answer", cutInAnswer, false, broker.OutcomeUnknown, broker.ReasonCrashed, 1},
		{"in answer, reused", cutInAnswer, true, broker.OutcomeUnknown, broker.ReasonCrashed, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStandIn(t)
			d := newDispatcher(s.listener.Addr(), 2)
			d.keep()
			if tt.reused {
				d.Send(t.Context(), broker.BackendRequest{Sub: sub})
				s.executions.Store(0)
			}
			s.cut.Store(int32(tt.cut))
			got := d.Send(t.Context(), broker.BackendRequest{Sub: sub})
			if got.Answer.Outcome != tt.want || got.Answer.Reason != tt.reason || got.Reused != tt.reused {
				t.Errorf("got %v %q reused %v, want %v %q", got.Answer.Outcome, got.Answer.Reason, got.Reused,
					tt.want, tt.reason)
			}
			if got := s.executions.Load(); got != tt.execute {
				t.Errorf("executions: got %d, want %d", got, tt.execute)
			}
		})
	}
}

// TestNotRun guards against outcomeUnknown, or a request sent all the same, where nothing can have left this host.
func TestNotRun(t *testing.T) {
	s := newStandIn(t)
	d := newDispatcher(s.listener.Addr(), 1)
	withheld := d.Send(t.Context(), broker.BackendRequest{Sub: sub, Permit: func() bool { return false }})
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	cancelled := d.Send(ended, broker.BackendRequest{Sub: sub})

	d.keep()
	s.cut.Store(int32(cutWhenIdle))
	d.Send(t.Context(), broker.BackendRequest{Sub: sub})
	for range 2 { // the withheld connection and the one closed while idle
		<-s.closed
	}
	s.cut.Store(int32(cutNever))
	s.executions.Store(0)
	replaced := d.Send(t.Context(), broker.BackendRequest{Sub: sub})
	executions := s.executions.Load()

	s.holding.Store(true)
	answered := make(chan struct{})
	go func() {
		d.Send(t.Context(), broker.BackendRequest{Sub: sub})
		close(answered)
	}()
	<-s.held
	short, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	full := d.Send(short, broker.BackendRequest{Sub: sub})
	close(s.release)
	<-answered
	_ = s.listener.Close()
	down := d.Send(t.Context(), broker.BackendRequest{Sub: sub, Fresh: true})
	_, err := d.Status(t.Context(), "a1", netip.AddrPort{})

	tests := []struct {
		name   string
		got    broker.BackendResult
		want   broker.Outcome
		reason broker.Reason
	}{
		{"withheld by the lease", withheld, broker.OutcomeNotRun, broker.ReasonLeaseLapsed},
		{"cancelled before", cancelled, broker.OutcomeNotRun, broker.ReasonCancelled},
		{"idle connection closed by the server", replaced, broker.OutcomeAnswered, ""},
		{"all connections in use", full, broker.OutcomeNotRun, broker.ReasonConnectionLimit},
		{"refused connection", down, broker.OutcomeNotRun, broker.ReasonUnreachable},
	}
	for _, tt := range tests {
		if tt.got.Answer.Outcome != tt.want || tt.got.Answer.Reason != tt.reason {
			t.Errorf("%s: got %v %q, want %v %q", tt.name, tt.got.Answer.Outcome, tt.got.Answer.Reason, tt.want, tt.reason)
		}
	}
	if executions != 1 {
		t.Errorf("executions after the withheld and cancelled requests: got %d, want 1", executions)
	}
	if err == nil || kindOf(err) != KindUnreachable {
		t.Errorf("status of a dead server: got %v, want kind %s", err, KindUnreachable)
	}
}

// TestInterpret guards against notRun for answers that do not state it, and against a foreign answer being merged.
func TestInterpret(t *testing.T) {
	whole := `"requestId":"r1","shard":"s1","snapshot":7,"partitioning":1,`
	tests := []struct {
		status int
		body   string
		want   broker.Outcome
		reason broker.Reason
	}{
		{200, `{` + whole + `"attempt":1,"hits":[]}`, broker.OutcomeAnswered, ""},
		{200, `{` + whole + `"attempt":2,"hits":[]}`, broker.OutcomeUnknown, broker.ReasonMismatch},
		{200, `{` + whole + `"attempt":1,"hits":[`, broker.OutcomeUnknown, broker.ReasonBackendError},
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

// TestConnectionCap guards against more connections than the cap while requests are cancelled, ask for new
// connections, and race with connections opened ahead and with changes of the cap.
func TestConnectionCap(t *testing.T) {
	const limit = 4
	s := newStandIn(t)
	d := newDispatcher(s.listener.Addr(), limit)
	d.Retain("a1", limit)
	var work sync.WaitGroup
	for worker := range 16 {
		work.Go(func() {
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
	work.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.most > limit || s.most < 2 {
		t.Errorf("most connections at once: got %d, want 2 to %d", s.most, limit)
	}
	if got := s.executions.Load(); got < 400 {
		t.Errorf("executions: got %d, want at least 400", got)
	}
}

// TestCancelHoldsSlot guards against a cancelled request that counts as ended while the server still runs it, so that the
// owner gives its slot to another: the stand-ins saw three requests at once at a server with two slots.
func TestCancelHoldsSlot(t *testing.T) {
	server := newStandIn(t)
	server.holding.Store(true)
	d := newDispatcher(server.listener.Addr(), 4)
	ctx, cancel := context.WithCancel(t.Context())
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		d.Send(ctx, broker.BackendRequest{Sub: broker.SubRequest{RequestID: "r", Server: "a1"}})
	}()
	<-server.held
	cancelled := time.Now()
	cancel()
	select {
	case <-returned:
		if got, want := time.Since(cancelled), closeLinger; got < want {
			t.Errorf("Send returned while the server ran the request: got after %v, want the close or %v", got, want)
		}
	case <-time.After(closeLinger / 5):
	}
	close(server.release)
	<-returned
}

// BenchmarkSend measures one request over loopback on a reused connection.
func BenchmarkSend(b *testing.B) {
	s := newStandIn(b)
	d := newDispatcher(s.listener.Addr(), 8)
	d.Retain("a1", 4)
	b.ReportAllocs()
	for b.Loop() {
		if got := d.Send(b.Context(), broker.BackendRequest{Sub: sub}); got.Answer.Outcome != broker.OutcomeAnswered {
			b.Fatalf("got %v %q", got.Answer.Outcome, got.Answer.Reason)
		}
	}
}
