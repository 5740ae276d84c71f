package owner

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/quarantiner"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/internal/broker/transport/dispatcher"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

type realClock struct{}

func (realClock) Now() time.Time { return time.Now() }

// crashingRequest is the fingerprint of a request that crashes every process that runs it.
const crashingRequest broker.Fingerprint = 666

// fakeServer is one process of a backend server.
type fakeServer struct {
	boot       int
	running    int
	maxRunning int
	crashed    chan struct{} // closed when the process crashes
}

// fakeBackend answers in memory; its servers crash when they run crashingRequest, and restart at once.
type fakeBackend struct {
	mu                  sync.Mutex
	servers             map[broker.ServerName]*fakeServer
	latency             time.Duration
	crashes             int
	sent                int
	draining            atomic.Bool
	losesConnections    bool  // loses connections instead of crashing
	statusErrAfterCrash error // statusErr after a crash or a lost connection
	statusErr           error
}

func (b *fakeBackend) server(name broker.ServerName) *fakeServer {
	if b.servers == nil {
		b.servers = make(map[broker.ServerName]*fakeServer)
	}
	if b.servers[name] == nil {
		b.servers[name] = &fakeServer{boot: 1, crashed: make(chan struct{})}
	}
	return b.servers[name]
}

func (b *fakeBackend) maxRunning(name broker.ServerName) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.server(name).maxRunning
}

func (b *fakeBackend) begin(name broker.ServerName) (s *fakeServer, boot int, crashed chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s = b.server(name)
	s.running++
	s.maxRunning = max(s.maxRunning, s.running)
	return s, s.boot, s.crashed
}

// latencyOf halves the latency of crashingRequest, so that the server crashes while other requests still run.
func (b *fakeBackend) latencyOf(fingerprint broker.Fingerprint) time.Duration {
	if fingerprint == crashingRequest {
		return b.latency / 2
	}
	return b.latency
}

func (b *fakeBackend) Send(ctx context.Context, req broker.BackendRequest) broker.BackendResult {
	result := broker.BackendResult{Answer: refuse(&req.Sub, broker.ReasonCancelled, 0)}
	if !req.Permit() {
		result.Answer.Reason = broker.ReasonLeaseLapsed
		return result
	}
	s, boot, crashed := b.begin(req.Sub.Server)
	result.BytesSent, result.Answer.Outcome = true, broker.OutcomeUnknown
	select {
	case <-crashed:
		result.Answer.Reason = broker.ReasonCrashed
	case <-ctx.Done():
		if ctx.Err() == context.DeadlineExceeded {
			result.Answer.Reason = broker.ReasonDeadline
		}
		if req.Sub.Fingerprint == crashingRequest {
			time.AfterFunc(b.latency/2, func() { b.crash(s) }) // the server doesn't stop the request in time
		}
	case <-time.After(b.latencyOf(req.Sub.Fingerprint)):
		result.Answer.Outcome, result.Answer.Reason = broker.OutcomeAnswered, broker.ReasonNone
		result.BootID = fmt.Sprintf("%s/%d", req.Sub.Server, boot)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
	s.running--
	if req.Sub.Fingerprint == crashingRequest && result.Answer.Outcome == broker.OutcomeAnswered {
		b.crashLocked(s)
		result.Answer.Outcome, result.Answer.Reason, result.BootID = broker.OutcomeUnknown, broker.ReasonCrashed, ""
	}
	return result
}

// crashLocked replaces the process; b.mu must be held.
func (b *fakeBackend) crashLocked(s *fakeServer) {
	close(s.crashed)
	s.crashed = make(chan struct{})
	b.crashes++
	b.statusErr = b.statusErrAfterCrash
	if !b.losesConnections {
		s.boot++
	}
}

func (b *fakeBackend) crash(s *fakeServer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashLocked(s)
}

func (b *fakeBackend) Status(
	_ context.Context, name broker.ServerName, _ netip.AddrPort,
) (broker.BackendStatus, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return broker.BackendStatus{
		BootID: fmt.Sprintf("%s/%d", name, b.server(name).boot), Draining: b.draining.Load(), Partitioning: 1,
		Shards: map[broker.ShardName][]broker.Snapshot{"s1": {6, 7}, "s2": {7}},
	}, b.statusErr
}

// table returns a configuration of servers a1 to a4 in zone z1.
func table(zone configurator.ZoneState, address netip.AddrPort, cold configurator.ColdStart) *indexer.Table {
	config := &configurator.Config{
		Zones:        []configurator.Zone{{Name: "z1", State: zone}},
		RequestKinds: []configurator.RequestKind{{Name: "search", Deadline: configurator.Duration(200 * time.Millisecond)}},
	}
	for _, name := range []string{"a1", "a2", "a3", "a4"} {
		config.Servers = append(config.Servers, configurator.Server{
			Name: name, Address: address, Zone: "z1", Slots: 2, Connections: 25, Cold: cold,
		})
	}
	return indexer.New(1, config)
}

type harness struct {
	*Owner
	leased     atomic.Bool
	quarantine *quarantiner.Quarantiner
	mu         sync.Mutex
	states     []broker.ServerState
	peer       *harness // receives the crash reports
}

func newHarness(backend broker.Backend, connections Connections) *harness {
	h := &harness{quarantine: quarantiner.New(quarantiner.DefaultOptions())}
	h.leased.Store(true)
	events := Events{
		StateChanged: func(state broker.ServerState) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.states = append(h.states, state)
		},
		CrashReported: func(report broker.CrashReport) {
			if h.peer != nil {
				h.peer.quarantine.Report(report, time.Now())
			}
		},
	}
	h.Owner = New(DefaultOptions("n1/1"), backend, connections, func(broker.ServerName) bool { return h.leased.Load() },
		h.quarantine, realClock{}, events, metrics.NewSet())
	return h
}

var coldStart = configurator.ColdStart{Concurrency: 1, Successes: 2, Step: 1}

func request(server broker.ServerName, id int, fingerprint broker.Fingerprint) broker.SubRequest {
	return broker.SubRequest{
		RequestID: fmt.Sprint("r", id), Shard: "s1", Server: server, Attempt: 1, Idempotent: true, Kind: "search",
		Remaining: 200 * time.Millisecond, Fingerprint: fingerprint,
	}
}

// adoptAll makes the harness own the servers, with no requests left from a previous owner.
func (h *harness) adoptAll(cold configurator.ColdStart, names ...broker.ServerName) {
	h.SetTable(table(configurator.ZoneIn, netip.AddrPort{}, cold))
	for _, name := range names {
		h.Adopt(name, &broker.ServerState{Server: name}, true)
	}
	h.Tick()
	synctest.Wait()
}

// TestCrashingRequest guards against a request that crashes one server after the other, and against quarantining a
// request that only ran at the same server. Two owners have two servers each; many callers send both requests to all.
func TestCrashingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{latency: 10 * time.Millisecond}
		first, second := newHarness(backend, nil), newHarness(backend, nil)
		first.peer, second.peer = second, first
		warm := configurator.ColdStart{Concurrency: 2, Successes: 1, Step: 2}
		first.adoptAll(warm, "a1", "a2")
		second.adoptAll(warm, "a3", "a4")

		const harmless broker.Fingerprint = 7
		shared := make(chan broker.SubAnswer, 1)
		go func() { shared <- first.Handle(t.Context(), request("a1", 1, harmless)) }()
		synctest.Wait()
		for _, got := range []broker.SubAnswer{first.Handle(t.Context(), request("a1", 2, crashingRequest)), <-shared} {
			if got.Outcome != broker.OutcomeUnknown || got.Reason != broker.ReasonCrashed {
				t.Errorf("%s at the crash: got %v %q, want outcomeUnknown crashed", got.RequestID, got.Outcome, got.Reason)
			}
		}
		if got := second.quarantine.State(harmless, time.Now()); got != quarantiner.Suspect {
			t.Errorf("state after the crash: got %v, want suspect", got)
		}
		var work sync.WaitGroup
		for id := range 40 {
			at, name := first, []broker.ServerName{"a1", "a2", "a3", "a4"}[id%4]
			if id%4 > 1 {
				at = second
			}
			work.Go(func() { at.Handle(t.Context(), request(name, 100+id, crashingRequest)) })
			work.Go(func() { at.Handle(t.Context(), request(name, 200+id, harmless)) })
		}
		work.Wait()
		if backend.crashes != 2 {
			t.Errorf("server crashes: got %d, want 2", backend.crashes)
		}
		for _, h := range []*harness{first, second} {
			if got := h.quarantine.State(crashingRequest, time.Now()); got != quarantiner.Quarantined {
				t.Errorf("state of the crashing request: got %v, want quarantined", got)
			}
			if got := h.quarantine.State(harmless, time.Now()); got != quarantiner.Clear {
				t.Errorf("state of the harmless request: got %v, want clear", got)
			}
			h.Wait()
		}
	})
}

// TestCrashAfterTimeout guards against missing a suspect because its deadline passed before the server crashed or
// because the server stays unreachable, and against suspects after a mere connection loss.
func TestCrashAfterTimeout(t *testing.T) {
	both := []broker.Fingerprint{7, crashingRequest}
	tests := []struct {
		name             string
		status           error // of status probes after the loss
		losesConnections bool
		want             []broker.Fingerprint
		reason           broker.Reason
	}{
		{"restarted", nil, false, both, broker.ReasonCrashed},
		{"gone", broker.ErrUnreachable, false, both, broker.ReasonCrashed},
		{"host gone", context.DeadlineExceeded, false, both, broker.ReasonCrashed},
		{"connection lost", nil, true, nil, broker.ReasonUnreachable},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			backend := &fakeBackend{latency: 40 * time.Millisecond, losesConnections: tt.losesConnections, statusErrAfterCrash: tt.status}
			h := newHarness(backend, nil)
			h.adoptAll(configurator.ColdStart{Concurrency: 2}, "a1")
			answers := make(chan broker.SubAnswer, 1)
			h.Submit(request("a1", 1, 7), func(answer broker.SubAnswer) { answers <- answer })
			short := request("a1", 2, crashingRequest)
			short.Remaining = 10 * time.Millisecond
			if got := h.Handle(t.Context(), short); got.Outcome != broker.OutcomeUnknown || got.Reason != broker.ReasonDeadline {
				t.Errorf("%s: crashing request: got %v %q, want outcomeUnknown deadline", tt.name, got.Outcome, got.Reason)
			}
			if got := <-answers; got.Outcome != broker.OutcomeUnknown || got.Reason != tt.reason {
				t.Errorf("%s: got %v %q, want outcomeUnknown %q", tt.name, got.Outcome, got.Reason, tt.reason)
			}
			if got := h.quarantine.List(time.Now()).Suspects; !slices.Equal(got, tt.want) {
				t.Errorf("%s: suspects: got %v, want %v", tt.name, got, tt.want)
			}
			h.Wait()
		})
	}
}

// TestLimits guards against more concurrent requests at a server than its slots, or than its cold limit while it is
// cold.
func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{latency: 2 * time.Millisecond}
		h := newHarness(backend, nil)
		h.adoptAll(coldStart, "a1")
		var work sync.WaitGroup
		var answered atomic.Int32
		for worker := range 16 {
			work.Go(func() {
				for i := range 20 {
					if h.Handle(t.Context(), request("a1", worker*100+i, 0)).Outcome == broker.OutcomeAnswered {
						answered.Add(1)
					}
				}
			})
		}
		synctest.Wait()
		if got := backend.maxRunning("a1"); got != 1 {
			t.Errorf("concurrent requests while cold: got %d, want 1", got)
		}
		work.Wait()
		if got := backend.maxRunning("a1"); got != 2 {
			t.Errorf("concurrent requests while warm: got %d, want 2", got)
		}
		if got := answered.Load(); got < 300 {
			t.Errorf("answered: got %d, want at least 300 of 320", got)
		}
		if got := h.States()[0]; got.Phase != broker.PhaseWarm || got.BootID != "a1/1" ||
			!slices.Equal(got.Snapshots, []broker.Snapshot{7}) {
			t.Errorf("state: got %+v, want warm, boot a1/1, only snapshot 7, which both shards have", got)
		}
		backend.draining.Store(true)
		<-time.After(time.Second)
		h.Tick()
		synctest.Wait()
		if got := h.Handle(t.Context(), request("a1", 1, 0)); got.Reason != broker.ReasonDraining {
			t.Errorf("after the draining signal: got %v %q, want reason draining", got.Outcome, got.Reason)
		}
	})
}

// TestRefusals guards against dispatching without ownership, without a lease or into a zone that is out, and against
// running cancelled requests.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{latency: 50 * time.Millisecond}
		h := newHarness(backend, nil)
		h.adoptAll(coldStart, "a1", "a2")
		expect := func(event string, got broker.SubAnswer, outcome broker.Outcome, reason broker.Reason) {
			t.Helper()
			if got.Outcome != outcome || got.Reason != reason {
				t.Errorf("%s: got %v %q, want %v %q", event, got.Outcome, got.Reason, outcome, reason)
			}
		}
		expect("foreign server", h.Handle(t.Context(), request("a3", 1, 0)), broker.OutcomeNotRun, broker.ReasonNotOwner)
		h.leased.Store(false)
		expect("lease", h.Handle(t.Context(), request("a1", 2, 0)), broker.OutcomeNotRun, broker.ReasonLeaseLapsed)
		h.leased.Store(true)
		if backend.sent != 0 {
			t.Errorf("requests sent: got %d, want 0", backend.sent)
		}

		answers := make(chan broker.SubAnswer, 4)
		reply := func(answer broker.SubAnswer) { answers <- answer }
		h.Submit(request("a1", 3, 0), reply)
		h.Submit(request("a1", 3, 0), reply) // a duplicate gets no answer
		h.Submit(request("a1", 4, 0), reply)
		h.Cancel("r4", "s1", 1)
		expect("cancelled while queued", <-answers, broker.OutcomeNotRun, broker.ReasonCancelled)
		h.Cancel("r3", "s1", 1)
		expect("cancelled while running", <-answers, broker.OutcomeUnknown, broker.ReasonCancelled)

		h.Submit(request("a1", 5, 0), reply)
		h.Submit(request("a1", 6, 0), reply)
		synctest.Wait()
		released := h.Release("a1")
		expect("queued at the release", <-answers, broker.OutcomeNotRun, broker.ReasonNotOwner)
		if released.InFlight != 1 || released.Phase != broker.PhaseCold {
			t.Errorf("released state: got %+v, want one request in flight, cold", released)
		}
		expect("in flight at the release", <-answers, broker.OutcomeAnswered, broker.ReasonNone)

		h.Submit(request("a2", 7, 0), reply)
		h.Submit(request("a2", 8, 0), reply)
		synctest.Wait()
		h.SetTable(table(configurator.ZoneOut, netip.AddrPort{}, coldStart))
		expect("queued at zone out", <-answers, broker.OutcomeNotRun, broker.ReasonZoneOut)
		expect("running at zone out", <-answers, broker.OutcomeAnswered, broker.ReasonNone)
		expect("after zone out", h.Handle(t.Context(), request("a2", 9, 0)), broker.OutcomeNotRun, broker.ReasonZoneOut)
		h.Wait()
		if len(answers) != 0 || backend.sent != 3 {
			t.Errorf("got %d answers left and %d requests sent, want 0 and 3", len(answers), backend.sent)
		}
	})
}

// tcpProxy forwards bytes to a server. Incrementing generation makes all open connections go silent without closing
// them; later connections work.
type tcpProxy struct {
	listener   net.Listener
	generation atomic.Int32
}

func newTCPProxy(t *testing.T, target string) *tcpProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			go p.forward(upstream, client)
			go p.forward(client, upstream)
		}
	}()
	return p
}

func (p *tcpProxy) forward(to, from net.Conn) {
	opened := p.generation.Load()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if p.generation.Load() != opened {
			_, _ = io.Copy(io.Discard, from)
		}
		if err != nil {
			_ = to.Close()
			return
		}
		_, _ = to.Write(buffer[:n])
	}
}

// TestSilentServerConnection guards against losing a request to a connection that went silent, and against counting it as a
// fault of the server: a new connection answers the request within 1 s, and the server keeps its phase and limit.
func TestSilentServerConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == dispatcher.PathStatus {
			_, _ = io.WriteString(w, `{"bootId":"b1"}`)
			return
		}
		_, _ = io.WriteString(w, `{"requestId":"r1","shard":"s1","attempt":1,"bootId":"b1"}`)
	}))
	defer server.Close()
	proxy := newTCPProxy(t, server.Listener.Addr().String())
	address := netip.MustParseAddrPort(proxy.listener.Addr().String())
	d := dispatcher.New(dispatcher.DefaultOptions(), metrics.NewSet())
	warm := table(configurator.ZoneIn, address, configurator.ColdStart{Concurrency: 2, Successes: 1, Step: 2})
	d.SetTable(warm)
	h := newHarness(d, d)
	h.SetTable(warm)
	h.Adopt("a1", &broker.ServerState{}, true)
	sub := request("a1", 1, 0)
	sub.Remaining = 1500 * time.Millisecond
	for range 2 {
		if got := h.Handle(t.Context(), sub); got.Outcome != broker.OutcomeAnswered {
			t.Fatalf("before the silence: got %v %q", got.Outcome, got.Reason)
		}
	}
	before := h.States()[0]
	proxy.generation.Add(1)
	started := time.Now()
	got := h.Handle(t.Context(), sub)
	if took := time.Since(started); got.Outcome != broker.OutcomeAnswered || took >= time.Second {
		t.Errorf("got %v %q after %v, want answered within 1s", got.Outcome, got.Reason, took)
	}
	if after := h.States()[0]; after.Phase != before.Phase || after.Limit != before.Limit {
		t.Errorf("state: got %+v, want phase and limit of %+v", after, before)
	}

	sub.Idempotent = false
	proxy.generation.Add(1)
	if got := h.Handle(t.Context(), sub); got.Outcome != broker.OutcomeUnknown || got.Reason != broker.ReasonSilent {
		t.Errorf("non-idempotent: got %v %q, want outcomeUnknown silent", got.Outcome, got.Reason)
	}
	if got := h.Handle(t.Context(), sub); got.Outcome != broker.OutcomeAnswered {
		t.Errorf("after the silence: got %v %q, want answered", got.Outcome, got.Reason)
	}
}

// instantBackend answers every request without delay.
type instantBackend struct{ fakeBackend }

func (*instantBackend) Send(_ context.Context, req broker.BackendRequest) broker.BackendResult {
	req.Permit()
	answer := refuse(&req.Sub, broker.ReasonNone, 0)
	answer.Outcome = broker.OutcomeAnswered
	return broker.BackendResult{Answer: answer, BytesSent: true, BootID: "a1/1"}
}
