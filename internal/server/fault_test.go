package server_test

import (
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/server"
	"github.com/yuccarock/yuccarock/internal/standin/testbed"
	"github.com/yuccarock/yuccarock/pkg/caller"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// TestCrashingRequest guards against a request that crashes more than two servers when it is sent repeatedly through
// all daemons at once, and against quarantining requests that ran concurrently on the crashed servers.
func TestCrashingRequest(t *testing.T) {
	f := startFixture(t, func(s *testbed.Settings) { s.Canary = configurator.CanaryUnseen })
	f.warmUp()
	stop := f.startLoad(0)
	f.waitForQueries(20)
	begin := time.Now()
	if _, err := f.caller.Query(t.Context(), crashingSearch()); err != nil {
		t.Fatal(err)
	}
	f.sendCrashing(5)
	end := time.Now()
	f.waitForQueries(50)
	if got := f.Crashes(); got < 1 || got > 2 {
		t.Errorf("servers crashed by the request: got %d, want 1 or 2", got)
	}
	concurrent := func(r *testbed.Result) bool { return r.Start.Add(r.Elapsed).After(begin) && r.Start.Before(end) }
	results := stop()
	f.wantAnswers(results, concurrent)
	resent := 0
	for _, r := range results {
		if !concurrent(&r) {
			continue
		}
		resent++
		r.Query.RequestID = ""
		// A request that was running on a crashed server is run alone once before it is cleared.
		f.waitFor(2*time.Second, "an answer to a concurrent request", func() bool {
			answer, err := f.caller.Query(t.Context(), r.Query)
			return err == nil && answer.Status == caller.StatusComplete
		})
	}
	if resent == 0 {
		t.Error("no request ran concurrently with the crashing one")
	}
}

// TestCrashingFirstSends guards against a request that crashes more than two servers because several nodes get it for the
// first time at the same moment, when none of them can know of the others' canaries.
func TestCrashingFirstSends(t *testing.T) {
	f := startFixture(t, func(s *testbed.Settings) { s.Canary = configurator.CanaryUnseen })
	f.warmUp()
	f.sendCrashing(1)
	if got := f.Crashes(); got < 1 || got > 2 {
		t.Errorf("servers crashed by the request: got %d, want 1 or 2", got)
	}
}

func crashingSearch() caller.Query {
	query := testbed.Search(0)
	query.RequestID = ""
	query.Body = json.RawMessage(`{"text":"` + testbed.CrashMarker + `"}`)
	return query
}

// sendCrashing sends a crashing request through every node, by two callers at the same time and some times in a row, and
// waits for the answers; none may be complete.
func (f *fixture) sendCrashing(times int) {
	f.Helper()
	var senders sync.WaitGroup
	for _, entry := range f.Entries() {
		client, err := caller.New([]netip.AddrPort{entry}, caller.Options{Attempts: 1})
		if err != nil {
			f.Fatal(err)
		}
		for range 2 {
			senders.Go(func() {
				for range times {
					if answer, err := client.Query(f.Context(), crashingSearch()); err == nil && answer.Status == caller.StatusComplete {
						f.Errorf("crashing request: got %s, want it not to complete", answer.Status)
					}
				}
			})
		}
	}
	senders.Wait()
}

// wantWarm fails the test unless all servers are warm with unchanged owner and boot ID according to every daemon.
func (f *fixture) wantWarm(before map[broker.ServerName]broker.ServerState) {
	f.Helper()
	for _, n := range f.Nodes() {
		for _, state := range n.Server.Status().Servers {
			previous := before[state.Server]
			if state.Phase != broker.PhaseWarm || state.Owner != previous.Owner || state.BootID != previous.BootID {
				f.Errorf("%s at %s: got %s with owner %s, want warm with owner %s and the same boot ID", state.Server, n.Name,
					state.Phase, state.Owner, previous.Owner)
			}
		}
	}
}

// serverStates returns the server states according to the first daemon.
func (f *fixture) serverStates() map[broker.ServerName]broker.ServerState {
	states := make(map[broker.ServerName]broker.ServerState)
	for _, state := range f.Nodes()[0].Server.Status().Servers {
		states[state.Server] = state
	}
	return states
}

// TestTrialElsewhere guards against refusing the sub-requests of a request that is cleared by a trial on another
// server, because the clearing report can arrive after them. A query in flight at a crashed server was once answered
// with 2 of 20 shards.
func TestTrialElsewhere(t *testing.T) {
	f := startFixture(t, nil)
	f.warmUp()
	query := testbed.Search(1 << 40)
	fingerprint := server.FingerprintOf(&broker.Query{Kind: query.Kind, Key: query.Key, Body: query.Body})
	sendReport := func(report broker.CrashReport) {
		report.Fingerprint, report.Server, report.BootID = fingerprint, "elsewhere", "boot"
		for _, n := range f.Nodes() {
			n.Server.HandleMessage("elsewhere/1", broker.Message{CrashReport: &report})
		}
	}
	sendReport(broker.CrashReport{})
	sendReport(broker.CrashReport{Trial: true})
	time.AfterFunc(100*time.Millisecond, func() { sendReport(broker.CrashReport{Cleared: true}) })
	client, err := caller.New(f.Entries(), caller.Options{Attempts: 1})
	if err != nil {
		t.Fatal(err)
	}
	answer, err := client.Query(t.Context(), query)
	if got, want := answer.Status, caller.StatusComplete; err != nil || got != want {
		t.Errorf("request cleared while its sub-requests wait: got %s, %+v, error %v, want %s",
			got, answer.Coverage, err, want)
	}
}

// TestSilentConnections guards against queries that fail because connections to servers or callers have become
// permanently silent, and against treating the servers on such connections as failed.
func TestSilentConnections(t *testing.T) {
	f := startFixture(t, nil)
	f.warmUp()
	before := f.serverStates()
	stop := f.startLoad(0)
	f.waitForQueries(20)
	for _, spec := range f.Specs {
		f.Backends[spec.Name].Silence()
	}
	f.waitForQueriesAfter(time.Now())
	for _, n := range f.Nodes() {
		n.Network.SilenceCallers()
	}
	silenced := time.Now()
	f.waitForQueriesAfter(silenced)
	results := stop()
	f.wantAnswers(results, tolerateNone)
	for i := range results {
		// The caller's client resends a query after 1 s, and the deadline of a search is 500 ms.
		if r := &results[i]; r.Elapsed > 1500*time.Millisecond {
			t.Errorf("answered too late: %s", describe(r))
		}
	}
	if f.Counter("yuccarock_owner_silent_attempts_repeated_total") == 0 {
		t.Error("no attempt on a silent connection was repeated on a new connection")
	}
	f.wantWarm(before)
}

// TestSilentPeerLink guards against a silent link between two daemons that is not replaced, and against replacing an
// owner that is reachable through a new link.
func TestSilentPeerLink(t *testing.T) {
	f := startFixture(t, nil)
	f.warmUp()
	before := f.serverStates()
	stop := f.startLoad(0)
	f.waitForQueries(20)
	a, c := f.Node("a1"), f.Node("c1")
	linkDowns, linkUps := a.Counter("yuccarock_peer_link_downs_total"), a.Counter("yuccarock_peer_link_ups_total")
	address := f.peerAddress(c)
	a.Network.SetPacketLoss(address, true)
	silenced := time.Now()
	f.waitFor(2*time.Second, "silent link closed", func() bool {
		return a.Counter("yuccarock_peer_link_downs_total") > linkDowns
	})
	t.Logf("silent link closed after %s", time.Since(silenced))
	a.Network.SetPacketLoss(address, false)
	f.waitFor(waitTimeout, "a new link", func() bool { return a.Counter("yuccarock_peer_link_ups_total") > linkUps })
	linked := time.Now()
	f.waitForQueriesAfter(linked)
	for _, r := range stop() {
		if !answered(&r) && (r.Start.After(linked) || r.Err != nil) {
			t.Errorf("not answered: %s", describe(&r))
		}
	}
	f.waitFor(waitTimeout, "every server warm", f.AllServersWarm)
	f.wantWarm(before)
}

// peerAddress returns the peer address of a daemon.
func (f *fixture) peerAddress(n *testbed.Node) netip.AddrPort {
	for _, member := range n.Server.Status().Members {
		if member.ID == n.Server.ID() {
			return member.Peer
		}
	}
	f.Fatal("the node is not a member")
	return netip.AddrPort{}
}

// TestSnapshotChange guards against answers that mix two index snapshots or do not report missing shards.
func TestSnapshotChange(t *testing.T) {
	f := startFixture(t, nil)
	f.warmUp()
	stop := f.startLoad(0)
	for _, snapshots := range [][]broker.Snapshot{{2, 1}, {2}} {
		for _, spec := range f.Specs {
			f.Backends[spec.Name].SetSnapshots(snapshots...)
			f.waitForQueries(1)
		}
		// Daemons request the snapshots of servers once a second. No server may drop the newest snapshot known to them.
		f.waitFor(waitTimeout, "snapshots known", func() bool {
			for _, n := range f.Nodes() {
				for _, state := range n.Server.Status().Servers {
					if !slices.Equal(state.Snapshots, snapshots) {
						return false
					}
				}
			}
			return true
		})
	}
	changed := time.Now()
	f.waitForQueriesAfter(changed)
	results := stop()
	f.wantAnswers(results, tolerateNone)
	for i := range results {
		r := &results[i]
		if r.Start.After(changed) && (r.Answer.Snapshot != 2 || r.Answer.Status != caller.StatusComplete) {
			t.Errorf("after the change: got snapshot %d, %s", r.Answer.Snapshot, describe(r))
		}
	}
}
