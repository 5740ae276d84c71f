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

// poison is the fingerprint that kills each process which runs it.
const poison broker.Fingerprint = 666

// fakeServer is one process of a backend server.
type fakeServer struct {
	boot    int
	running int
	most    int
	died    chan struct{} // closed when the process dies
}

// fakeBackend answers in memory; its servers die of poison and restart at once.
type fakeBackend struct {
	mu        sync.Mutex
	servers   map[broker.ServerName]*fakeServer
	latency   time.Duration
	deaths    int
	sent      int
	leaving   atomic.Bool
	lives     bool  // loses connections instead of dying
	afterLoss error // of Status after a death
	statusErr error
}

func (b *fakeBackend) server(name broker.ServerName) *fakeServer {
	if b.servers == nil {
		b.servers = make(map[broker.ServerName]*fakeServer)
	}
	if b.servers[name] == nil {
		b.servers[name] = &fakeServer{boot: 1, died: make(chan struct{})}
	}
	return b.servers[name]
}

func (b *fakeBackend) most(name broker.ServerName) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.server(name).most
}

func (b *fakeBackend) enter(name broker.ServerName) (s *fakeServer, boot int, died chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s = b.server(name)
	s.running++
	s.most = max(s.most, s.running)
	return s, s.boot, s.died
}

// latencyOf lets poison strike while the requests that came with it still run.
func (b *fakeBackend) latencyOf(fingerprint broker.Fingerprint) time.Duration {
	if fingerprint == poison {
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
	s, boot, died := b.enter(req.Sub.Server)
	result.BytesSent, result.Answer.Outcome = true, broker.OutcomeUnknown
	select {
	case <-died:
		result.Answer.Reason = broker.ReasonCrashed
	case <-ctx.Done():
		if ctx.Err() == context.DeadlineExceeded {
			result.Answer.Reason = broker.ReasonDeadline
		}
		if req.Sub.Fingerprint == poison {
			time.AfterFunc(b.latency/2, func() { b.kill(s) }) // the server does not stop it in time
		}
	case <-time.After(b.latencyOf(req.Sub.Fingerprint)):
		result.Answer.Outcome, result.Answer.Reason = broker.OutcomeAnswered, broker.ReasonNone
		result.BootID = fmt.Sprintf("%s/%d", req.Sub.Server, boot)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
	s.running--
	if req.Sub.Fingerprint == poison && result.Answer.Outcome == broker.OutcomeAnswered {
		b.die(s)
		result.Answer.Outcome, result.Answer.Reason, result.BootID = broker.OutcomeUnknown, broker.ReasonCrashed, ""
	}
	return result
}

// die replaces the process; the lock is held.
func (b *fakeBackend) die(s *fakeServer) {
	close(s.died)
	s.died = make(chan struct{})
	b.deaths++
	b.statusErr = b.afterLoss
	if !b.lives {
		s.boot++
	}
}

func (b *fakeBackend) kill(s *fakeServer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.die(s)
}

func (b *fakeBackend) Status(
	_ context.Context, name broker.ServerName, _ netip.AddrPort,
) (broker.BackendStatus, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return broker.BackendStatus{
		BootID: fmt.Sprintf("%s/%d", name, b.server(name).boot), Draining: b.leaving.Load(), Partitioning: 1,
		Shards: map[broker.ShardName][]broker.Snapshot{"s1": {6, 7}, "s2": {7}},
	}, b.statusErr
}

// table has servers a1 to a4 in zone z1, which is in or out.
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
	other      *harness // gets the crash reports, as over a peer link
}

func newHarness(backend broker.Backend, connections Connections) *harness {
	h := &harness{quarantine: quarantiner.New(quarantiner.DefaultOptions())}
	h.leased.Store(true)
	events := Events{
		Changed: func(state broker.ServerState) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.states = append(h.states, state)
		},
		Crashed: func(report broker.CrashReport) {
			if h.other != nil {
				h.other.quarantine.Report(report, time.Now())
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

// adoptAll gives a harness servers whose takeover is over.
func (h *harness) adoptAll(cold configurator.ColdStart, names ...broker.ServerName) {
	h.SetTable(table(configurator.ZoneIn, netip.AddrPort{}, cold))
	for _, name := range names {
		h.Adopt(name, &broker.ServerState{Server: name}, true)
	}
	h.Tick()
	synctest.Wait()
}

// TestCrashingRequest guards against a request that kills one server after the other, and against convicting a request
// that shared a server with it. Two owners have two servers each; many callers send the poison to all of them.
func TestCrashingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{latency: 10 * time.Millisecond}
		first, second := newHarness(backend, nil), newHarness(backend, nil)
		first.other, second.other = second, first
		warm := configurator.ColdStart{Concurrency: 2, Successes: 1, Step: 2}
		first.adoptAll(warm, "a1", "a2")
		second.adoptAll(warm, "a3", "a4")

		const innocent broker.Fingerprint = 7
		shared := make(chan broker.SubAnswer, 1)
		go func() { shared <- first.Handle(t.Context(), request("a1", 1, innocent)) }()
		synctest.Wait()
		for _, got := range []broker.SubAnswer{first.Handle(t.Context(), request("a1", 2, poison)), <-shared} {
			if got.Outcome != broker.OutcomeUnknown || got.Reason != broker.ReasonCrashed {
				t.Errorf("%s at the crash: got %v %q, want outcomeUnknown crashed", got.RequestID, got.Outcome, got.Reason)
			}
		}
		if got := second.quarantine.Standing(innocent, time.Now()); got != quarantiner.Suspect {
			t.Errorf("standing after the crash: got %v, want suspect", got)
		}
		var work sync.WaitGroup
		for id := range 40 {
			at, name := first, []broker.ServerName{"a1", "a2", "a3", "a4"}[id%4]
			if id%4 > 1 {
				at = second
			}
			work.Go(func() { at.Handle(t.Context(), request(name, 100+id, poison)) })
			work.Go(func() { at.Handle(t.Context(), request(name, 200+id, innocent)) })
		}
		work.Wait()
		if backend.deaths != 2 {
			t.Errorf("deaths: got %d, want 2", backend.deaths)
		}
		for _, h := range []*harness{first, second} {
			if got := h.quarantine.Standing(poison, time.Now()); got != quarantiner.Quarantined {
				t.Errorf("standing of the poison: got %v, want quarantined", got)
			}
			if got := h.quarantine.Standing(innocent, time.Now()); got != quarantiner.Clear {
				t.Errorf("standing of the innocent request: got %v, want clear", got)
			}
			h.Wait()
		}
	})
}

// TestCrashAfterTimeout guards against a request that goes unsuspected because its caller gave up before the server
// died of it, or because the server stays away; and against suspects where only a connection was lost.
func TestCrashAfterTimeout(t *testing.T) {
	both := []broker.Fingerprint{7, poison}
	tests := []struct {
		name   string
		status error // of the server after the loss
		lives  bool
		want   []broker.Fingerprint
		reason broker.Reason
	}{
		{"restarted", nil, false, both, broker.ReasonCrashed},
		{"gone", broker.ErrUnreachable, false, both, broker.ReasonCrashed},
		{"host gone", context.DeadlineExceeded, false, both, broker.ReasonCrashed},
		{"connection lost", nil, true, nil, broker.ReasonUnreachable},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			backend := &fakeBackend{latency: 40 * time.Millisecond, lives: tt.lives, afterLoss: tt.status}
			h := newHarness(backend, nil)
			h.adoptAll(configurator.ColdStart{Concurrency: 2}, "a1")
			answers := make(chan broker.SubAnswer, 1)
			h.Submit(request("a1", 1, 7), func(answer broker.SubAnswer) { answers <- answer })
			early := request("a1", 2, poison)
			early.Remaining = 10 * time.Millisecond
			if got := h.Handle(t.Context(), early); got.Outcome != broker.OutcomeUnknown || got.Reason != broker.ReasonDeadline {
				t.Errorf("%s: poison: got %v %q, want outcomeUnknown deadline", tt.name, got.Outcome, got.Reason)
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

// TestLimits guards against more requests at a server than its slots, or than its cold limit while it is cold.
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
		if got := backend.most("a1"); got != 1 {
			t.Errorf("requests at once while cold: got %d, want 1", got)
		}
		work.Wait()
		if got := backend.most("a1"); got != 2 {
			t.Errorf("requests at once while warm: got %d, want 2", got)
		}
		if got := answered.Load(); got < 300 {
			t.Errorf("answered: got %d, want at least 300 of 320", got)
		}
		if got := h.States()[0]; got.Phase != broker.PhaseWarm || got.BootID != "a1/1" ||
			!slices.Equal(got.Snapshots, []broker.Snapshot{7}) {
			t.Errorf("state: got %+v, want warm, boot a1/1, snapshot 7 of both shards", got)
		}
		backend.leaving.Store(true)
		<-time.After(time.Second)
		h.Tick()
		synctest.Wait()
		if got := h.Handle(t.Context(), request("a1", 1, 0)); got.Reason != broker.ReasonDraining {
			t.Errorf("after the draining signal: got %v %q, want reason draining", got.Outcome, got.Reason)
		}
	})
}

// TestRefusals guards against dispatch without ownership, lease or service, and against cancelled work that runs.
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
		h.Submit(request("a1", 3, 0), reply) // a repeated frame gets no answer of its own
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

// forwarder copies bytes to a server until silence; connections opened later work.
type forwarder struct {
	listener net.Listener
	epoch    atomic.Int32
}

func newForwarder(t *testing.T, target string) *forwarder {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			go f.forward(far, near)
			go f.forward(near, far)
		}
	}()
	return f
}

func (f *forwarder) forward(to, from net.Conn) {
	opened := f.epoch.Load()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if f.epoch.Load() != opened {
			_, _ = io.Copy(io.Discard, from) // silent for good, but open
		}
		if err != nil {
			_ = to.Close()
			return
		}
		_, _ = to.Write(buffer[:n])
	}
}

// TestSilentConnection guards against a request lost to a connection that went silent, and against blaming its server:
// the request is answered over a new connection within 1 s, and phase and limit stay.
func TestSilentConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == dispatcher.PathStatus {
			_, _ = io.WriteString(w, `{"bootId":"b1"}`)
			return
		}
		_, _ = io.WriteString(w, `{"requestId":"r1","shard":"s1","attempt":1,"bootId":"b1"}`)
	}))
	defer server.Close()
	f := newForwarder(t, server.Listener.Addr().String())
	address := netip.MustParseAddrPort(f.listener.Addr().String())
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
	f.epoch.Add(1)
	started := time.Now()
	got := h.Handle(t.Context(), sub)
	if took := time.Since(started); got.Outcome != broker.OutcomeAnswered || took >= time.Second {
		t.Errorf("got %v %q after %v, want answered within 1s", got.Outcome, got.Reason, took)
	}
	if after := h.States()[0]; after.Phase != before.Phase || after.Limit != before.Limit {
		t.Errorf("state: got %+v, want phase and limit of %+v", after, before)
	}

	sub.Idempotent = false
	f.epoch.Add(1)
	if got := h.Handle(t.Context(), sub); got.Outcome != broker.OutcomeUnknown || got.Reason != broker.ReasonSilent {
		t.Errorf("non-idempotent: got %v %q, want outcomeUnknown silent", got.Outcome, got.Reason)
	}
	if got := h.Handle(t.Context(), sub); got.Outcome != broker.OutcomeAnswered {
		t.Errorf("after the silence: got %v %q, want answered", got.Outcome, got.Reason)
	}
}

// instantBackend answers at once.
type instantBackend struct{ fakeBackend }

func (*instantBackend) Send(_ context.Context, req broker.BackendRequest) broker.BackendResult {
	req.Permit()
	answer := refuse(&req.Sub, broker.ReasonNone, 0)
	answer.Outcome = broker.OutcomeAnswered
	return broker.BackendResult{Answer: answer, BytesSent: true, BootID: "a1/1"}
}
