package server_test

import (
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/standin/testbed"
	"github.com/yuccarock/yuccarock/pkg/caller"
)

// TestPlannedStops guards against a planned stop that cuts off or fails queries, runs a report twice, forgets that
// servers are warm, or strands callers that know the first addresses only.
func TestPlannedStops(t *testing.T) {
	b := start(t, nil)
	for _, zone := range b.Settings.Zones {
		if _, err := b.StartNode(t.Context(), zone+"2", zone); err != nil {
			t.Fatal(err)
		}
	}
	b.claimable()
	stop := b.load(4)
	for _, zone := range b.Settings.Zones {
		old := b.Node(zone + "1")
		servers := b.owned(old.Server.ID())
		b.within(patience, "its servers warm", func() bool { return b.phases(servers)[broker.PhaseWarm] == len(servers) })
		old.Stop()
		if err := old.Wait(); err != nil {
			t.Errorf("planned stop of %s: got %v, want none cut off", old.Name, err)
		}
		if got := b.phases(servers); got[broker.PhaseWarm] != len(servers) {
			t.Errorf("servers handed over by %s: got phases %v, want %d warm", old.Name, got, len(servers))
		}
	}
	b.serve(20)
	b.wantAnswers(stop(), refusedReport)
	if err := b.CheckLimits(); err != nil {
		t.Error(err)
	}
}

// TestPlannedStopWithManyClaims guards against claims that are lost in a handover because they are many: reports would
// be refused as outcomeUnknown although nothing failed.
func TestPlannedStopWithManyClaims(t *testing.T) {
	b := start(t, nil)
	b.claimable()
	for number := range uint64(60) {
		query := testbed.Report(number)
		query.Limit = 100 // some 10 KB of hits in each claim
		r := testbed.Result{Query: query}
		if r.Answer, r.Err = b.caller.Query(t.Context(), query); !answered(&r) {
			t.Fatal(describe(&r))
		}
	}
	stop := b.load(2)
	b.serve(20)
	for _, n := range b.Nodes()[:2] {
		n.Stop()
		if err := n.Wait(); err != nil {
			t.Error(err)
		}
	}
	b.wantAnswers(stop(), refusedReport)
}

// TestKilledDaemon guards against a daemon's death that loses queries of others, leaves its servers without an owner,
// exceeds their limits while owners overlap, or runs a report twice.
func TestKilledDaemon(t *testing.T) {
	b := start(t, func(s *testbed.Settings) { s.StartCold, s.ColdSuccesses = true, 3 })
	b.claimable()
	stop := b.load(4)
	b.serve(100)
	victim := b.Node("a1")
	servers := b.owned(victim.Server.ID())
	if len(servers) == 0 {
		t.Fatal("the victim owns no server")
	}
	victim.Kill()
	killed := time.Now()
	// The servers are cold again while nobody owns them; what their last owner announced of them is wrong.
	for _, name := range servers {
		if err := b.Backends[name].Restart(); err != nil {
			t.Fatal(err)
		}
	}
	b.takenOver(servers)
	b.serve(100)
	b.wantAnswers(stop(), func(r *testbed.Result) bool {
		// The deadline of a search, 500 ms, ends before the silent link is found, which takes 1 s; hedges to the other
		// replicas are limited to 5%.
		beforeFound := r.Start.Before(killed.Add(1500*time.Millisecond)) && r.Start.Add(r.Elapsed).After(killed)
		return unsettledReport(r) || beforeFound && r.Answer.Status == caller.StatusInsufficientCoverage
	})
	if err := b.CheckLimits(); err != nil {
		t.Error(err)
	}
	if got := b.Crashes(); got != 0 {
		t.Errorf("servers crashed by too much work: got %d, want 0", got)
	}
}

// unsettledReport tolerates a report that was refused, or whose claim point or owner died, so that it may have run.
func unsettledReport(r *testbed.Result) bool {
	return r.Query.Kind == testbed.IntakeKind && (notRun(r) || r.Answer.Status == caller.StatusOutcomeUnknown ||
		kindOf(r.Err) == caller.KindOutcomeUnknown)
}
