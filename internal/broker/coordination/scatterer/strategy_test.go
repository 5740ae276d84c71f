package scatterer

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/budgeter"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// startDirect starts a session of a host that sends to backend servers itself.
func startDirect(f *fixture, strategy Strategy) (*Session, Actions) {
	strategy.Direct = true
	if strategy.Budgets == nil {
		strategy.Budgets = budgeter.NewShards(0.2, budgeter.Allotment{Burst: 10, Start: 5, Window: time.Second})
		strategy.Budgets.Serve(epoch.Add(-time.Second))
		strategy.Budgets.Serve(epoch)
	}
	s, err := New(Dependencies{
		View: f.tracker.View(), Random: rand.New(rand.NewPCG(1, 0)), Strategy: strategy,
	}, Request{Query: broker.Query{RequestID: "r1", Kind: "search"}, Seen: true, Deadline: epoch.Add(time.Second)}, epoch)
	if err != nil {
		panic(err)
	}
	return s, s.Start(epoch)
}

func directFixture(shards int) *fixture {
	kind := configurator.RequestKind{
		Idempotent: true, MinCoverage: 0.5, HedgeQuantile: 0.9, Canary: configurator.CanaryNever,
	}
	f := newFixture(shards, 2, kind, configurator.RoutingScatter)
	for name := range f.states {
		f.announce(name, func(state *broker.ServerState) { state.Snapshots, state.Owner = nil, "" })
	}
	return f
}

// TestTarget checks when a partial answer is returned: at the latency target if the minimum coverage is reached by
// then, otherwise as soon as it is.
func TestTarget(t *testing.T) {
	tests := []struct {
		name   string
		early  int // answers before the target, of four shards
		late   int // answers after it
		wantAt time.Duration
	}{
		{name: "all before the target", early: 4, wantAt: 10 * time.Millisecond},
		{name: "enough before the target", early: 3, wantAt: 70 * time.Millisecond},
		{name: "just enough before the target", early: 2, wantAt: 70 * time.Millisecond},
		{name: "enough after the target", early: 1, late: 2, wantAt: 90 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := directFixture(4)
			s, actions := startDirect(f, Strategy{Target: 70 * time.Millisecond, MaxAttempts: 1})
			sends := actions.Sends
			var got time.Duration
			recordFinish := func(at time.Duration, next Actions) {
				if next.Finish != nil && got == 0 {
					got = at
				}
			}
			for i := range tt.early {
				answer := reply(sends[i].Sub)
				recordFinish(10*time.Millisecond, s.AnswerOpaque(epoch.Add(10*time.Millisecond), &answer, &broker.OpaqueAnswer{}))
			}
			recordFinish(70*time.Millisecond, s.Wake(epoch.Add(70*time.Millisecond)))
			for i := range tt.late {
				answer := reply(sends[tt.early+i].Sub)
				recordFinish(90*time.Millisecond, s.AnswerOpaque(epoch.Add(90*time.Millisecond), &answer, &broker.OpaqueAnswer{}))
			}
			if got != tt.wantAt {
				t.Errorf("answered after %v, want %v", got, tt.wantAt)
			}
		})
	}
}

// TestAttempts checks the limit on servers that one request may run on; attempts refused without running do not count.
func TestAttempts(t *testing.T) {
	tests := []struct {
		name    string
		outcome broker.Outcome
		limit   int
		want    int // total attempts
	}{
		{name: "refused", outcome: broker.OutcomeNotRun, limit: 1, want: 2},
		{name: "failed with one attempt allowed", outcome: broker.OutcomeFailed, limit: 1, want: 1},
		{name: "failed with two attempts allowed", outcome: broker.OutcomeFailed, limit: 2, want: 2},
		{name: "unknown with two attempts allowed", outcome: broker.OutcomeUnknown, limit: 2, want: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := directFixture(1)
			s, actions := startDirect(f, Strategy{MaxAttempts: tt.limit})
			answer := NotSent(actions.Sends[0].Sub)
			answer.Outcome, answer.Reason = tt.outcome, broker.ReasonBackendError
			s.Answer(epoch.Add(time.Millisecond), &answer)
			if got := s.Stats().Sent; got != tt.want {
				t.Errorf("attempts: got %d, want %d", got, tt.want)
			}
		})
	}
}

// TestShardBudget checks that a shard with an empty budget gets neither hedges nor retries.
func TestShardBudget(t *testing.T) {
	budgets := budgeter.NewShards(0, budgeter.Allotment{})
	f := directFixture(1)
	s, actions := startDirect(f, Strategy{MaxAttempts: 2, Target: 100 * time.Millisecond, Budgets: budgets})
	s.Wake(epoch.Add(60 * time.Millisecond))
	answer := NotSent(actions.Sends[0].Sub)
	answer.Outcome, answer.Reason = broker.OutcomeNotRun, broker.ReasonShed
	s.Answer(epoch.Add(70*time.Millisecond), &answer)
	if got := s.Stats().Sent; got != 1 {
		t.Errorf("attempts: got %d, want 1", got)
	}
	if stats := s.Stats(); stats.HedgesDenied == 0 || stats.RetriesDenied == 0 {
		t.Errorf("denied: got %d hedges and %d retries, want some of each", stats.HedgesDenied, stats.RetriesDenied)
	}
}

// TestDirectChoice checks the choice of a server by this host's own observations: the one in the same zone, unless it
// is slow, fails, has a request without an answer, is cold beyond its rate, or its address belongs to another server.
func TestDirectChoice(t *testing.T) {
	now := epoch
	ownAddress := netip.MustParseAddrPort("192.0.2.2:1")
	past := now.Add(-50 * time.Millisecond)
	addExchanges := func(server *tracker.Server, latency time.Duration, failed bool, times int) {
		for i := range times {
			sent := past.Add(time.Duration(i) * time.Microsecond)
			server.ExchangeStarted(sent)
			server.ExchangeEnded(sent, sent.Add(latency), failed)
		}
	}
	tests := []struct {
		name    string
		prepare func(sameZone *tracker.Server)
		want    broker.ServerName
	}{
		{name: "near", prepare: func(*tracker.Server) {}, want: "s0a"},
		{name: "slow", prepare: func(sameZone *tracker.Server) { addExchanges(sameZone, 100*time.Millisecond, false, 30) }, want: "s0b"},
		{name: "one slow answer", prepare: func(sameZone *tracker.Server) {
			addExchanges(sameZone, 10*time.Millisecond, false, 30)
			addExchanges(sameZone, 120*time.Millisecond, false, 1)
		}, want: "s0a"},
		{name: "failing", prepare: func(sameZone *tracker.Server) { addExchanges(sameZone, time.Millisecond, true, 3) }, want: "s0b"},
		{name: "without an answer", prepare: func(sameZone *tracker.Server) { sameZone.ExchangeStarted(past) }, want: "s0b"},
		{name: "cold beyond its rate", prepare: func(sameZone *tracker.Server) { sameZone.SetCold(now.Add(time.Second), 1) }, want: "s0b"},
		{name: "address of another", prepare: func(sameZone *tracker.Server) { sameZone.MarkReassigned(ownAddress) }, want: "s0b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := directFixture(1)
			servers := f.tracker.View().Table.Config.Servers
			servers[0].Address, servers[1].Zone = ownAddress, "z2"
			f.tracker.Server("s0b").MarkReassigned(netip.MustParseAddrPort("192.0.2.1:1")) // an address that s0b does not have
			tt.prepare(f.tracker.Server("s0a"))
			_, actions := startDirect(f, Strategy{Zone: "z"})
			if len(actions.Sends) == 0 {
				t.Fatal("got no attempt, want one")
			}
			if got := actions.Sends[0].Sub.Server; got != tt.want {
				t.Errorf("server: got %s, want %s", got, tt.want)
			}
		})
	}
}

// TestColdRate guards against more requests to a cold server than this host's share of its rate.
func TestColdRate(t *testing.T) {
	f := directFixture(1)
	for _, name := range []broker.ServerName{"s0a", "s0b"} {
		f.tracker.Server(name).SetCold(epoch.Add(time.Minute), 0.5)
	}
	sent := 0
	for range 10 {
		_, actions := startDirect(f, Strategy{Zone: "z"})
		sent += len(actions.Sends)
	}
	if want := 2; sent != want {
		t.Errorf("simultaneous requests to two cold servers: got %d, want %d", sent, want)
	}
}

// TestZoneCost guards against sub-requests to zones without a delegate while another zone has one, and against spreading
// them over several delegates, which takes more bytes.
func TestZoneCost(t *testing.T) {
	s := &Session{strategy: Strategy{Zone: "a", DelegatedZones: []string{"c", "b"}}}
	zones := []string{"a", "c", "b", "d"} // in the wanted order
	for i := range zones[1:] {
		if nearer, farther := s.zoneCost(zones[i]), s.zoneCost(zones[i+1]); nearer >= farther {
			t.Errorf("cost of zone %s: got %s, want less than the %s of zone %s", zones[i], nearer, farther, zones[i+1])
		}
	}
	s.strategy.DelegatedZones = []string{"b", "c", "d", "e", "f"}
	if got, want := s.zoneCost("f"), s.zoneCost("none"); got > want {
		t.Errorf("cost of the last zone with a delegate: got %s, want at most %s", got, want)
	}
}

// TestStatedLatency guards against hedges that are sent late because answers were held back to be merged: the latency
// that a delegate states is recorded in place of the time until its message arrived.
func TestStatedLatency(t *testing.T) {
	f := directFixture(1)
	stated, arrived := 5*time.Millisecond, 50*time.Millisecond
	for range 200 {
		s, actions := startDirect(f, Strategy{MaxAttempts: 1})
		answer := NotSent(actions.Sends[0].Sub)
		answer.Outcome, answer.Latency = broker.OutcomeAnswered, stated
		s.AnswerOpaque(epoch.Add(arrived), &answer, &broker.OpaqueAnswer{})
	}
	_, actions := startDirect(f, Strategy{MaxAttempts: 2, Target: time.Second})
	if got := actions.Sends[0].HedgeAfter; got < stated/2 || got > 2*stated {
		t.Errorf("time until a hedge: got %s, want about %s", got, stated)
	}
}
